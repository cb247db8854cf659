#include "dispatch/answer_learner.h"

#include <algorithm>
#include <cstdint>

namespace kumquatcove {
namespace {

// Smallest work time that an upstream may state, as a ratio to the usual one.
constexpr double kMinWorkTimeRatio = 0.1;
constexpr double kPercent = 100.0;

}  // namespace

void AnswerLearner::OnSuccess(const DispatchRequest& request,
                              const ActiveSend& send,
                              const UpstreamAnswered& event,
                              MonotonicTime now) {
  TrackedUpstream* upstream = m_upstreams.Find(send.upstream);
  if (upstream == nullptr) {
    return;
  }
  const Duration spent =
      now - send.sent_at - m_distances.RoundTrip(upstream->registration.zone);
  const double ratio =
      event.load ? event.load->work_time_percent / kPercent : 1;
  const auto usual = Duration(static_cast<std::int64_t>(
      static_cast<double>(spent.count()) / std::max(ratio, kMinWorkTimeRatio)));
  if (!m_upstreams.IsCold(*upstream, now)) {
    m_learner.RecordSuccess(request.placement, send.choice,
                            upstream->registration.slots, usual);
    const Duration expected =
        m_times.Expect(request.service, send.choice.prediction);
    m_upstreams.OnAnswerTime(
        send.upstream,
        static_cast<double>(usual.count()) /
            static_cast<double>(std::max<std::int64_t>(expected.count(), 1)),
        now);
  }
  if (const ObjectHash object = request.placement.object; object != 0) {
    upstream->objects.Record(object);
    m_shared_load.OnHandled(send.upstream, object);
  }
}

}  // namespace kumquatcove
