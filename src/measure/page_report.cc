#include "measure/page_report.h"

#include <sstream>
#include <string_view>
#include <vector>

#include "measure/number_text.h"
#include "measure/target_check.h"

namespace kumquatcove::measure {
namespace {

/** A row of a table: a figure of a scenario. */
struct Row {
  std::string_view title;
  Scenario scenario;
  Metric metric;
};

const std::vector<Row>& LatencyRows() {
  static const std::vector<Row> kRows{
      {"healthy, p50 ms", Scenario::kHealthy, Metric::kP50Ms},
      {"healthy, p99 ms", Scenario::kHealthy, Metric::kP99Ms},
      {"two upstreams slowed, p50 ms", Scenario::kSlowed, Metric::kP50Ms},
      {"two upstreams slowed, p99 ms", Scenario::kSlowed, Metric::kP99Ms},
      {"short work alone, p99 ms", Scenario::kLongWork,
       Metric::kWithoutLongP99Ms},
      {"short work with 5% long work, p99 ms", Scenario::kLongWork,
       Metric::kP99Ms},
      {"drain, p99 ms", Scenario::kDrain, Metric::kP99Ms},
      {"one region failed, p99 ms of callers of the others",
       Scenario::kHeadroom, Metric::kOtherRegionsP99Ms}};
  return kRows;
}

const std::vector<Row>& OtherRows() {
  static const std::vector<Row> kRows{
      {"healthy, share not run", Scenario::kHealthy, Metric::kNotRunShare},
      {"healthy, non-idempotent p99 ms", Scenario::kHealthy,
       Metric::kOnceP99Ms},
      {"healthy, non-idempotent share not run", Scenario::kHealthy,
       Metric::kOnceNotRunShare},
      {"healthy, busy share of slots", Scenario::kHealthy, Metric::kBusyShare},
      {"slowed, share not run", Scenario::kSlowed, Metric::kNotRunShare},
      {"slowed, busy share of slots", Scenario::kSlowed, Metric::kBusyShare},
      {"long work, share of short not run", Scenario::kLongWork,
       Metric::kNotRunShare},
      {"long work, share of long not run", Scenario::kLongWork,
       Metric::kLongNotRunShare},
      {"drain, last new request, ms", Scenario::kDrain, Metric::kLastArrivalMs},
      {"drain, new requests after its start", Scenario::kDrain,
       Metric::kArrivalsAfterDrain},
      {"drain, requests cut off", Scenario::kDrain, Metric::kCutOffRequests},
      {"drain, requests that did not run", Scenario::kDrain,
       Metric::kNotRunRequests},
      {"region failed, refused share of its callers", Scenario::kHeadroom,
       Metric::kRefusedShare},
      {"region failed, refused share of all callers", Scenario::kHeadroom,
       Metric::kRefusedShareOfAll},
      {"region failed, share not run of other callers", Scenario::kHeadroom,
       Metric::kOtherRegionsNotRunShare},
      {"region failed, spill-over requests", Scenario::kHeadroom,
       Metric::kSpillOverStarts},
      {"region failed, greatest spill-over share of a region's slots",
       Scenario::kHeadroom, Metric::kSpillOverShare},
      {"region failed, greatest busy share when spill-over got a slot",
       Scenario::kHeadroom, Metric::kBusyShareAtSpillOver},
      {"region failed, spill-over beyond the headroom limit",
       Scenario::kHeadroom, Metric::kSpillOverStartsAboveLimit},
      {"headroom limit, share of slots", Scenario::kHeadroom,
       Metric::kHeadroomLimitShare}};
  return kRows;
}

const std::vector<Row>& UseRows() {
  static const std::vector<Row> kRows{
      {"entry instances, all together, cores", Scenario::kHealthy,
       Metric::kEntryCores},
      {"busiest entry instance, cores", Scenario::kHealthy,
       Metric::kBusiestEntryCores},
      {"busiest upstream process, cores", Scenario::kHealthy,
       Metric::kBusiestUpstreamCores},
      {"platform, cores", Scenario::kHealthy, Metric::kPlatformCores},
      {"load tool, cores", Scenario::kHealthy, Metric::kLoadCores},
      {"entry instances, us of a core for a request", Scenario::kHealthy,
       Metric::kEntryUsPerRequest}};
  return kRows;
}

/** Writes the sections of the page. */
class PageWriter {
 public:
  PageWriter(const FigureTable& figures, const PageCircumstances& circumstances)
      : m_figures(figures), m_circumstances(circumstances) {}

  std::string Write() {
    WriteIntroduction();
    WriteTargets();
    for (const DeploymentName deployment : AllValues<DeploymentName>()) {
      if (IsMeasured(deployment)) {
        WriteDeployment(deployment);
      }
    }
    WriteCost();
    WriteMethod();
    return m_out.str();
  }

 private:
  void WriteIntroduction() {
    m_out << "# Measurements\n\nWritten by `kumquatcove-measure`. Each figure "
             "is the median of "
          << m_circumstances.repeat
          << " runs with different seeds, followed by the least and the "
             "greatest value. The seeds begin at "
          << m_circumstances.seed << ". Each scenario ran for "
          << NumberText(m_circumstances.duration_s) << " s after a warm-up of "
          << NumberText(m_circumstances.warm_up_s) << " s, on one machine with "
          << m_circumstances.cores
          << " cores. At the start the load average of the machine was "
          << NumberText(m_circumstances.load_average) << ".\n\n";
    if (!m_circumstances.plot.empty()) {
      m_out << "![p99 by scenario](" << m_circumstances.plot << ")\n\n";
    }
  }

  void WriteTargets() {
    m_out << "## Targets of section 1.3 of the design page\n\n"
             "| deployment | target | limit | measured | |\n|---|---|---|---|"
             "---|\n";
    for (const TargetResult& result : CheckTargets(m_figures)) {
      m_out << "| " << ToString(result.deployment) << " | " << result.target
            << " | " << ToString(result.rule) << " " << NumberText(result.limit)
            << " | " << NumberText(result.measured) << " | "
            << (result.IsMet() ? "met" : "**not met**") << " |\n";
    }
    m_out << "\n";
  }

  void WriteDeployment(DeploymentName deployment) {
    m_out << "## " << ToString(deployment) << "\n\n"
          << "Latencies of the idempotent service's callers, with the way to "
             "and from the entry instance:\n\n";
    WriteTable(deployment, LatencyRows(), /*with_ratio=*/true);
    m_out << "Other figures:\n\n";
    WriteTable(deployment, OtherRows(), /*with_ratio=*/false);
    m_out << "Processor use in the scenario `healthy`:\n\n";
    WriteTable(deployment, UseRows(), /*with_ratio=*/false);
  }

  void WriteTable(DeploymentName deployment,
                  const std::vector<Row>& rows,
                  bool with_ratio) {
    m_out << "| |";
    for (const Contender contender : AllValues<Contender>()) {
      m_out << " " << ToString(contender) << " |";
    }
    m_out << (with_ratio ? " system / best baseline |" : "") << "\n|---|";
    for (std::size_t i = 0; i < AllValues<Contender>().size(); ++i) {
      m_out << "---|";
    }
    m_out << (with_ratio ? "---|" : "") << "\n";
    for (const Row& row : rows) {
      WriteRow(deployment, row, with_ratio);
    }
    m_out << "\n";
  }

  void WriteRow(DeploymentName deployment, const Row& row, bool with_ratio) {
    const FigureKey system{deployment, row.scenario, Contender::kSystem};
    const auto measured = m_figures.Find(system, row.metric);
    if (!measured) {
      return;
    }
    m_out << "| " << row.title << " |";
    for (const Contender contender : AllValues<Contender>()) {
      const auto spread =
          m_figures.Find({deployment, row.scenario, contender}, row.metric);
      m_out << " " << (spread ? SpreadText(*spread) : "") << " |";
    }
    if (with_ratio) {
      m_out << " " << RatioToBest(system, row.metric, measured->median) << " |";
    }
    m_out << "\n";
  }

  std::string RatioToBest(FigureKey key, Metric metric, double median) const {
    const auto best = m_figures.BestBaseline(key, metric);
    if (!best) {
      return "";
    }
    key.contender = *best;
    return NumberText(
        Ratio(median, m_figures.Find(key, metric).value().median));
  }

  void WriteCost() {
    bool has_title = false;
    for (const DeploymentName deployment : AllValues<DeploymentName>()) {
      const FigureKey key{deployment, Scenario::kCost, Contender::kSystem};
      for (const Metric metric : m_figures.MetricsOf(key)) {
        if (!has_title) {
          m_out << "## Cost of an entry instance\n\nOne entry instance, no "
                   "delays, upstreams that answer at once; 200 requests/s for "
                   "latencies, 1,000 requests/s for the processor time of "
                   "requests, then look-ups only.\n\n| deployment | figure | "
                   "|\n|---|---|---|\n";
          has_title = true;
        }
        m_out << "| " << ToString(deployment) << " | `" << ToString(metric)
              << "` | " << SpreadText(m_figures.Find(key, metric).value())
              << " |\n";
      }
    }
    m_out << (has_title ? "\n" : "");
  }

  void WriteMethod() {
    m_out
        << "## Method\n\n"
           "Ten entry instances, the platform and one process of emulated "
           "upstreams for each region run on loopback; messages between "
           "availability zones and regions are delayed as section 1.6 of the "
           "design page says. Service times are exponential with a mean of 20 "
           "ms; 1% of the requests take 20 times longer, long work 10 times. "
           "Shares of busy slots count stragglers. Requests arrive at random "
           "times that do not depend on answers, the same for all contenders "
           "of a run; a latency is counted from the intended arrival. "
           "Requests that did not run count as slower than all others, and a "
           "p99 among them is shown as the deadline of 5,000 ms. The "
           "deployments of both users run at the same time. Leases of "
           "spill-over "
           "slots may begin at once, as in a deployment older than 70 s.\n\n"
           "* `healthy`: 70% of the idempotent service's slots, and 15 "
           "requests/s to each non-idempotent service.\n"
           "* `slowed`: 60%; one upstream in each of two regions takes ten "
           "times longer from before the warm-up on.\n"
           "* `long-work`: short work at 50%; then the same with 5% long work "
           "on top, which makes about 76%.\n"
           "* `drain`: 60%; one upstream is switched to draining. Requests cut "
           "off are those without a known outcome; the others that did not "
           "run were refused.\n"
           "* `headroom`: 60% in each region; all upstreams of the idempotent "
           "service in one region fail. Spill-over is recognised at the "
           "upstreams by a mark of the load tool of each region; the limit "
           "is checked at the moment when it gets a slot.\n\n"
           "The baselines choose upstreams directly, without a queue at the "
           "entry instance and without hedging; all else is the same code.\n";
  }

  bool IsMeasured(DeploymentName deployment) const {
    for (const FigureKey& key : m_figures.Keys()) {
      if (key.deployment == deployment && key.scenario != Scenario::kCost) {
        return true;
      }
    }
    return false;
  }

  const FigureTable& m_figures;
  const PageCircumstances& m_circumstances;
  std::ostringstream m_out;
};

}  // namespace

std::string PageReport(const FigureTable& figures,
                       const PageCircumstances& circumstances) {
  return PageWriter(figures, circumstances).Write();
}

}  // namespace kumquatcove::measure
