#include "capacity/page_renderer.h"

#include <cstdio>
#include <stdexcept>

namespace kumquatcove {
namespace {

std::string Print(const char* format, double value) {
  char text[64];
  std::snprintf(text, sizeof(text), format, value);
  return text;
}

// Whole numbers with separators between thousands.
std::string PrintWhole(double value) {
  const std::string digits = Print("%.0f", value);
  std::string text;
  for (std::size_t index = 0; index < digits.size(); ++index) {
    const bool starts_group = (digits.size() - index) % 3 == 0;
    if (starts_group && index > 0 && digits[index - 1] != '-') {
      text += ',';
    }
    text += digits[index];
  }
  return text;
}

std::string Format(const std::string& format, double value) {
  if (format == "n") {
    return PrintWhole(value);
  }
  if (format == "n1") {
    return Print("%.1f", value);
  }
  if (format == "n2") {
    return Print("%.2g", value);
  }
  if (format == "n3") {
    return Print("%.3g", value);
  }
  if (format == "k") {
    return value < 10'000 ? Print("%.1f", value / 1e3)
                          : PrintWhole(value / 1e3);
  }
  if (format == "M") {
    return Print("%.1f", value / 1e6);
  }
  if (format == "pct") {
    return Print("%.2f", value * 100);
  }
  throw std::invalid_argument("unknown format " + format);
}

double Find(const std::string& name, const FigureTable& figures) {
  if (const std::size_t at = name.find('@'); at != std::string::npos) {
    return figures.Sample(name.substr(0, at), std::stod(name.substr(at + 1)));
  }
  if (const std::size_t slash = name.find('/'); slash != std::string::npos) {
    return figures.GetFit(name.substr(0, slash)).fit.slope;
  }
  return figures.Get(name);
}

std::string RenderField(const std::string& field, const FigureTable& figures) {
  if (field.front() == '?') {
    const std::size_t sign = field.find("<=");
    if (sign == std::string::npos) {
      throw std::invalid_argument("no budget in " + field);
    }
    return Verdict(Find(field.substr(1, sign - 1), figures),
                   std::stod(field.substr(sign + 2)));
  }
  const std::size_t colon = field.find(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("no format in " + field);
  }
  return Format(field.substr(colon + 1), Find(field.substr(0, colon), figures));
}

}  // namespace

std::string Verdict(double measured, double budget) {
  return measured <= budget ? "within" : "**missed**";
}

std::string RenderPage(std::string_view text, const FigureTable& figures) {
  std::string page;
  std::size_t position = 0;
  while (position < text.size()) {
    const std::size_t open = text.find("{{", position);
    if (open == std::string_view::npos) {
      page += text.substr(position);
      break;
    }
    page += text.substr(position, open - position);
    const std::size_t close = text.find("}}", open);
    if (close == std::string_view::npos || close == open + 2) {
      throw std::invalid_argument("unfinished field in the page");
    }
    page += RenderField(std::string(text.substr(open + 2, close - open - 2)),
                        figures);
    position = close + 2;
  }
  return page;
}

}  // namespace kumquatcove
