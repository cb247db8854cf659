#include "node/link_charge.h"

namespace kumquatcove {
namespace {

// Weight of the latest answer in the smoothed answer size.
constexpr double kAnswerWeight = 0.1;

// Headers and framing of a relayed request or answer.
constexpr double kOverheadBytes = 500.0;

LimitKey LinkBetween(const RegionName& from, const RegionName& to) {
  return {LimitKind::kLink, ServiceName(), from, to};
}

}  // namespace

bool LinkCharge::TryCharge(Context& context,
                           BudgetLedger& budgets,
                           const RegionName& region,
                           const HttpRequest& http) const {
  const RegionName& own = context.Self().region;
  const double request_bytes =
      static_cast<double>(http.body.size() + http.target.size()) +
      kOverheadBytes;
  return budgets.TryTakeRate(context, LinkBetween(own, region),
                             request_bytes) &&
         budgets.TryTakeRate(context, LinkBetween(region, own),
                             m_expected_answer_bytes);
}

void LinkCharge::OnAnswer(Context& context,
                          BudgetLedger& budgets,
                          const RegionName& region,
                          const HttpAnswer& answer) {
  const double bytes = static_cast<double>(answer.body.size()) + kOverheadBytes;
  if (bytes > m_expected_answer_bytes) {
    budgets.TryTakeRate(context, LinkBetween(region, context.Self().region),
                        bytes - m_expected_answer_bytes);
  }
  m_expected_answer_bytes += kAnswerWeight * (bytes - m_expected_answer_bytes);
}

}  // namespace kumquatcove
