#include "dispatch/crash_monitor.h"

#include <algorithm>
#include <string>
#include <utility>

#include "protocol/effect.h"

namespace kumquatcove {
namespace {

// An upstream that has answered no instance of the region for twice as long as
// a request should have taken, and for at least kMinUnresponsiveTime, may have
// crashed: a new connection to it is opened as a check. The check is cheap, so
// it may also be started by stragglers.
constexpr int kUnresponsiveRatio = 2;
constexpr Duration kMinUnresponsiveTime = Milliseconds(250);
// Timeout of that connection, if two round trips don't take longer.
constexpr Duration kUnresponsiveCheckTimeout = Milliseconds(150);

}  // namespace

void CrashMonitor::OnConnectionBroken(Context& context,
                                      const UpstreamId& upstream,
                                      std::uint64_t content_hash,
                                      Duration timeout) {
  if (!m_checks.Join(upstream, content_hash)) {
    StartCheck(context, upstream, timeout, {content_hash});
  }
}

void CrashMonitor::StartCheck(Context& context,
                              const UpstreamId& upstream,
                              Duration timeout,
                              std::vector<std::uint64_t> contents) {
  const TrackedUpstream* tracked = m_upstreams.Find(upstream);
  if (tracked == nullptr) {
    return;
  }
  const ConnectionId connection = m_connections.NextId();
  m_checks.Start(connection,
                 {upstream, context.Now() + timeout, std::move(contents)});
  context.Emit(
      OpenConnection{connection, upstream, tracked->registration.address});
}

void CrashMonitor::CheckIfUnresponsive(Context& context,
                                       const DispatchRequest& request) {
  if (!request.active || !request.active->sent) {
    return;
  }
  const ActiveSend& send = *request.active;
  const TrackedUpstream* upstream = m_upstreams.Find(send.upstream);
  if (upstream == nullptr || upstream->last_contact > send.sent_at) {
    return;
  }
  const Duration round_trip =
      m_distances.RoundTrip(upstream->registration.zone);
  const Duration limit =
      std::max(kMinUnresponsiveTime,
               (send.choice.work_time + round_trip) * kUnresponsiveRatio);
  if (context.Now() - send.sent_at < limit ||
      m_checks.IsRunning(send.upstream)) {
    return;
  }
  context.Record(
      "upstream_silent", send.upstream.Text(),
      {{"request", FormatRequestId(request.id)},
       {"waited_us", std::to_string((context.Now() - send.sent_at).count())}});
  StartCheck(context, send.upstream,
             std::max(kUnresponsiveCheckTimeout, round_trip * 2), {});
}

void CrashMonitor::SuspectContents(Context& context, const CrashCheck& check) {
  for (const std::uint64_t content : check.contents) {
    m_suspicions.RecordBreak(content, context.Now());
    m_changes.push_back({content, SuspicionLevel::kSuspect, check.upstream});
    context.Record(
        "crash_suspected", check.upstream.Text(),
        {{"content", std::to_string(content)},
         {"breaks", std::to_string(m_suspicions.CountBreaks(content))}});
  }
}

void CrashMonitor::OnSuspicion(Context& context, const Suspicion& suspicion) {
  if (suspicion.level == SuspicionLevel::kCleared) {
    m_suspicions.RecordSuccess(suspicion.content_hash);
  } else {
    m_suspicions.RecordBreak(suspicion.content_hash, context.Now());
  }
}

void CrashMonitor::OnSuccess(const UpstreamId& upstream,
                             std::uint64_t content_hash) {
  if (m_suspicions.RecordSuccess(content_hash)) {
    m_changes.push_back({content_hash, SuspicionLevel::kCleared, upstream});
  }
}

std::vector<Suspicion> CrashMonitor::TakeChanges() {
  return std::exchange(m_changes, {});
}

}  // namespace kumquatcove
