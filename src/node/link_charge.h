#ifndef NODE_LINK_CHARGE_H_
#define NODE_LINK_CHARGE_H_

#include <cstddef>

#include "base/name.h"
#include "limits/budget_ledger.h"
#include "protocol/context.h"
#include "protocol/http_message.h"

namespace kumquatcove {

/**
 * Charges relayed requests and their answers to the link budgets between
 * regions.
 *
 * The size of the answer is unknown when the request is relayed. The smoothed
 * size of earlier answers is charged at that time, and the excess when the
 * answer arrives.
 * Thread safety: none; owned by one reducer.
 */
class LinkCharge {
 public:
  /** Charges a request to `region` and its expected answer to the budgets of
   * both directions. Returns false if one of them is exhausted. */
  bool TryCharge(Context& context,
                 BudgetLedger& budgets,
                 const RegionName& region,
                 const HttpRequest& http) const;

  /** Charges the bytes of an answer beyond its expected size, which reduces the
   * budget of later relays. */
  void OnAnswer(Context& context,
                BudgetLedger& budgets,
                const RegionName& region,
                const HttpAnswer& answer);

 private:
  double m_expected_answer_bytes = 2'000.0;
};

}  // namespace kumquatcove

#endif  // NODE_LINK_CHARGE_H_
