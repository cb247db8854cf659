#include "measure/svg_plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>
#include <string_view>
#include <vector>

namespace kumquatcove::measure {
namespace {

// Sizes in SVG units.
constexpr double kLeft = 190;
constexpr double kPlotWidth = 560;
constexpr double kRight = 30;
constexpr double kTop = 50;
constexpr double kRowHeight = 16;
constexpr double kGroupGap = 12;
constexpr double kBottom = 40;
// Ends of the axis in milliseconds.
constexpr double kLowestMs = 10;
constexpr double kHighestMs = 10'000;

/** One group of marks: the same figure of all contenders. */
struct PlotGroup {
  Scenario scenario;
  Metric metric;
  std::string_view title;
};

constexpr std::array kGroups{
    PlotGroup{Scenario::kHealthy, Metric::kP99Ms, "healthy"},
    PlotGroup{Scenario::kSlowed, Metric::kP99Ms, "two slowed"},
    PlotGroup{Scenario::kLongWork, Metric::kWithoutLongP99Ms, "short alone"},
    PlotGroup{Scenario::kLongWork, Metric::kP99Ms, "short + 5% long"},
    PlotGroup{Scenario::kHeadroom, Metric::kOtherRegionsP99Ms,
              "other regions, one failed"}};

std::string_view Colour(Contender contender) {
  switch (contender) {
    case Contender::kSystem:
      return "#0b6e4f";
    case Contender::kRandom:
      return "#c1440e";
    case Contender::kTwoChoicesReported:
      return "#7a5195";
    case Contender::kTwoChoicesOwn:
      return "#2f6fb3";
  }
  return "#000000";
}

double Position(double milliseconds) {
  const double clamped = std::clamp(milliseconds, kLowestMs, kHighestMs);
  return kLeft + kPlotWidth * std::log(clamped / kLowestMs) /
                     std::log(kHighestMs / kLowestMs);
}

/** Writes the document from top to bottom. */
class Plotter {
 public:
  explicit Plotter(const FigureTable& figures) : m_figures(figures) {}

  std::string Draw() {
    for (const DeploymentName deployment : AllValues<DeploymentName>()) {
      DrawDeployment(deployment);
    }
    const double height = m_y + kBottom;
    std::ostringstream document;
    document << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
             << kLeft + kPlotWidth + kRight << "\" height=\"" << height
             << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
             << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
             << Legend() << Axis() << m_marks.str() << "</svg>\n";
    return document.str();
  }

 private:
  void DrawDeployment(DeploymentName deployment) {
    bool has_title = false;
    for (const PlotGroup& group : kGroups) {
      bool has_group_title = false;
      for (const Contender contender : AllValues<Contender>()) {
        const auto spread = m_figures.Find(
            {deployment, group.scenario, contender}, group.metric);
        if (!spread) {
          continue;
        }
        if (!has_title) {
          m_marks << Text(10, m_y, ToString(deployment), "bold");
          m_y += kRowHeight;
          has_title = true;
        }
        if (!has_group_title) {
          has_group_title = true;
          m_marks << Text(20, m_y, group.title, "normal");
        }
        DrawMark(*spread, contender);
        m_y += kRowHeight;
      }
      m_y += has_group_title ? kGroupGap : 0;
    }
  }

  void DrawMark(const Spread& spread, Contender contender) {
    const std::string_view colour = Colour(contender);
    const double y = m_y - 4;
    m_marks << "<line x1=\"" << Position(spread.min) << "\" x2=\""
            << Position(spread.max) << "\" y1=\"" << y << "\" y2=\"" << y
            << "\" stroke=\"" << colour << "\" stroke-width=\"2\"/>\n"
            << "<circle cx=\"" << Position(spread.median) << "\" cy=\"" << y
            << "\" r=\"4\" fill=\"" << colour << "\"/>\n"
            << Text(Position(spread.max) + 8, m_y,
                    std::to_string(std::lround(spread.median)), "normal");
  }

  std::string Axis() const {
    std::ostringstream out;
    for (const int ms : {10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000}) {
      const double x = Position(ms);
      out << "<line x1=\"" << x << "\" x2=\"" << x << "\" y1=\"" << kTop - 14
          << "\" y2=\"" << m_y << "\" stroke=\"#dddddd\"/>\n"
          << Text(x - 10, m_y + 14, std::to_string(ms), "normal");
    }
    out << Text(kLeft, m_y + 30, "p99 in ms (logarithmic), median and range",
                "normal");
    return out.str();
  }

  static std::string Legend() {
    std::ostringstream out;
    double x = kLeft;
    for (const Contender contender : AllValues<Contender>()) {
      out << "<circle cx=\"" << x << "\" cy=\"16\" r=\"4\" fill=\""
          << Colour(contender) << "\"/>\n"
          << Text(x + 8, 20, ToString(contender), "normal");
      x += kPlotWidth / 4;
    }
    return out.str();
  }

  static std::string Text(double x,
                          double y,
                          std::string_view text,
                          std::string_view weight) {
    std::ostringstream out;
    out << "<text x=\"" << x << "\" y=\"" << y << "\" font-weight=\"" << weight
        << "\">" << text << "</text>\n";
    return out.str();
  }

  const FigureTable& m_figures;
  double m_y = kTop;
  std::ostringstream m_marks;
};

}  // namespace

std::string PlotLatencies(const FigureTable& figures) {
  return Plotter(figures).Draw();
}

}  // namespace kumquatcove::measure
