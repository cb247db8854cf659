#ifndef CLAIMS_PACED_CALLER_H_
#define CLAIMS_PACED_CALLER_H_

#include <optional>

#include "claims/claim_record.h"
#include "claims/store_pacer.h"
#include "protocol/context.h"
#include "protocol/ids.h"
#include "protocol/store_operation.h"

namespace kumquatcove {

/**
 * A part of ClaimTable with store calls of its own, which are sent one at a
 * time within the limits of a StorePacer. `Part` has NextStep, TakeCall and
 * OnReply, as ClaimSweeper has.
 *
 * Thread safety: none.
 */
template <typename Part>
class PacedCaller {
 public:
  Part* operator->() { return &m_part; }
  const Part* operator->() const { return &m_part; }

  /** Sends the next call if there is one and the pacer permits it. */
  void Flush(Context& context, StorePacer& pacer) {
    const ClaimStep step = m_part.NextStep();
    if (step == ClaimStep::kWrite && pacer.CanWrite(context.Now())) {
      m_call = pacer.Write(context, m_part.TakeCall(context));
    } else if (step == ClaimStep::kRead && pacer.CanRead()) {
      m_call = pacer.Read(context, m_part.TakeCall(context));
    }
  }

  /** Passes on the reply to the call in flight. Returns false if it belongs to
   * another call. */
  bool OnReply(Context& context, StoreRequestId id, const StoreReply& reply) {
    if (m_call != id) {
      return false;
    }
    m_call.reset();
    m_part.OnReply(context, reply);
    return true;
  }

 private:
  Part m_part;
  std::optional<StoreRequestId> m_call;
};

}  // namespace kumquatcove

#endif  // CLAIMS_PACED_CALLER_H_
