#include "tools/json_text.h"

#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace kumquatcove {
namespace {

using boost::json::array;
using boost::json::object;
using boost::json::value;

void Indent(const value& json, const std::string& margin, std::string& text) {
  const std::string inner = margin + "  ";
  std::string separator = "\n";
  if (json.is_object() && !json.get_object().empty()) {
    text += '{';
    for (const auto& member : json.get_object()) {
      text += separator + inner + boost::json::serialize(member.key()) + ": ";
      Indent(member.value(), inner, text);
      separator = ",\n";
    }
    text += '\n' + margin + '}';
  } else if (json.is_array() && !json.get_array().empty()) {
    text += '[';
    for (const value& item : json.get_array()) {
      text += separator + inner;
      Indent(item, inner, text);
      separator = ",\n";
    }
    text += '\n' + margin + ']';
  } else {
    text += boost::json::serialize(json);
  }
}

void Append(std::vector<std::string>& lines, std::vector<std::string> more) {
  lines.insert(lines.end(), more.begin(), more.end());
}

std::vector<std::string> ObjectDifferences(const object& before,
                                           const object& after,
                                           const std::string& path) {
  std::vector<std::string> lines;
  const auto member_path = [&](const auto& member) {
    return (path.empty() ? path : path + ".") + std::string(member.key());
  };
  for (const auto& member : before) {
    const value* other = after.if_contains(member.key());
    Append(lines,
           JsonDifferences(member.value(), other == nullptr ? value() : *other,
                           member_path(member)));
  }
  for (const auto& member : after) {
    if (!before.contains(member.key())) {
      Append(lines,
             JsonDifferences(value(), member.value(), member_path(member)));
    }
  }
  return lines;
}

std::vector<std::string> ArrayDifferences(const array& before,
                                          const array& after,
                                          const std::string& path) {
  std::vector<std::string> lines;
  for (std::size_t i = 0; i < std::max(before.size(), after.size()); ++i) {
    Append(lines, JsonDifferences(i < before.size() ? before[i] : value(),
                                  i < after.size() ? after[i] : value(),
                                  path + "[" + std::to_string(i) + "]"));
  }
  return lines;
}

}  // namespace

std::string IndentedJson(const value& json) {
  std::string text;
  Indent(json, "", text);
  return text + "\n";
}

std::string KeyValueText(const value& json) {
  if (!json.is_object()) {
    return boost::json::serialize(json);
  }
  std::string text;
  for (const auto& member : json.get_object()) {
    text += (text.empty() ? "" : " ") + std::string(member.key()) + "=";
    text += member.value().is_string()
                ? std::string(member.value().get_string())
                : boost::json::serialize(member.value());
  }
  return text;
}

std::vector<std::string> JsonDifferences(const value& before,
                                         const value& after,
                                         const std::string& path) {
  if (before == after) {
    return {};
  }
  if (before.is_object() && after.is_object()) {
    return ObjectDifferences(before.get_object(), after.get_object(), path);
  }
  if (before.is_array() && after.is_array()) {
    return ArrayDifferences(before.get_array(), after.get_array(), path);
  }
  return {path + ": " + boost::json::serialize(before) + " -> " +
          boost::json::serialize(after)};
}

}  // namespace kumquatcove
