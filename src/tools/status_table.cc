#include "tools/status_table.h"

#include <algorithm>
#include <array>
#include <cstddef>

#include "base/enum_table.h"

namespace kumquatcove {
namespace {

constexpr std::size_t kColumns = 8;
using Row = std::array<std::string, kColumns>;

std::string PhaseOf(const StatusReport& report) {
  std::string phase(ToString(report.phase));
  if (!report.ready) {
    phase += ",not-ready";
  }
  if (report.isolated) {
    phase += ",isolated";
  }
  return phase;
}

void Append(std::string& list,
            const std::string& name,
            std::string_view value) {
  list += list.empty() ? "" : ",";
  list += name + "=";
  list += value;
}

Row RowOf(const StatusReport& report) {
  std::string members;
  for (const MemberStatus& member : report.members) {
    if (member.health != "live") {
      Append(members, member.instance.Text(), member.health);
    }
  }
  std::string upstreams;
  for (const UpstreamStatus& upstream : report.upstreams) {
    Append(upstreams, upstream.upstream.Text(), ToString(upstream.state));
  }
  return {report.instance.Text(),
          report.region.Text(),
          PhaseOf(report),
          std::to_string(report.catalogue_revision),
          report.store_reachable ? "reachable" : "unreachable",
          std::to_string(report.pending_requests),
          members.empty() ? "-" : members,
          upstreams.empty() ? "-" : upstreams};
}

}  // namespace

std::string StatusTable(const std::vector<StatusReport>& reports) {
  std::vector<Row> rows{{"INSTANCE", "REGION", "PHASE", "REVISION", "STORE",
                         "PENDING", "MEMBERS-NOT-LIVE",
                         "UPSTREAMS-NOT-SERVING"}};
  for (const StatusReport& report : reports) {
    rows.push_back(RowOf(report));
  }
  std::array<std::size_t, kColumns> widths{};
  for (const Row& row : rows) {
    for (std::size_t i = 0; i < kColumns; ++i) {
      widths.at(i) = std::max(widths.at(i), row.at(i).size());
    }
  }
  std::string text;
  for (const Row& row : rows) {
    for (std::size_t i = 0; i + 1 < kColumns; ++i) {
      text += row.at(i) + std::string(widths.at(i) - row.at(i).size() + 2, ' ');
    }
    text += row.back() + '\n';
  }
  return text;
}

}  // namespace kumquatcove
