#include "node/attempt_runner.h"

#include <utility>

namespace kumquatcove {
namespace {

// A new connection takes about 1 ms and crosses at most one region; after this
// time the upstream is assumed not to accept connections.
constexpr Duration kConnectTimeout = Milliseconds(300);

// After this many consecutive unanswered attempts on reused connections, the
// other idle connections to the upstream are assumed stalled and closed.
constexpr int kUnansweredLimit = 2;

}  // namespace

TicketId AttemptRunner::Start(Context& context, AttemptSpec spec) {
  const TicketId ticket{context.NextUniqueNumber()};
  SlotRequest request;
  request.ticket = ticket;
  request.service = spec.service;
  request.patience = spec.deadline - context.Now();
  request.length = spec.length;
  request.priority = spec.priority;
  request.spillover = spec.spillover;
  request.hedge = spec.hedge;
  request.isolate = spec.isolate;
  request.exclude = spec.exclude;

  Attempt attempt;
  attempt.spec = std::move(spec);
  attempt.since = context.Now();
  m_attempts.emplace(ticket, std::move(attempt));
  m_modules.slot_client.Request(context, m_modules.members, m_modules.health,
                                request);
  return ticket;
}

void AttemptRunner::Cancel(Context& context, TicketId ticket) {
  const auto found = m_attempts.find(ticket);
  if (found == m_attempts.end()) {
    return;
  }
  const Attempt attempt = std::move(found->second);
  m_attempts.erase(found);
  const bool sent = attempt.state == AttemptState::kSent;
  if (sent) {
    RecordUnanswered(context, attempt);
  }
  if (attempt.state != AttemptState::kWaitingForSlot) {
    m_modules.connections.Abandon(context, attempt.connection);
  }
  ReleaseSlot(context, ticket, attempt,
              sent ? AttemptResult::kCancelled : AttemptResult::kNotSent,
              sent ? context.Now() - attempt.since : Duration(0));
}

void AttemptRunner::OnConnectionOpened(Context& context,
                                       ConnectionId connection) {
  const UpstreamId* upstream = m_modules.connections.UpstreamOf(connection);
  if (upstream != nullptr) {
    m_modules.health.OnFreshConnection(context, UpstreamId(*upstream), true);
  }
  const std::optional<PoolEvent> event =
      m_modules.connections.OnOpened(context, connection);
  if (event && event->kind == PoolEventKind::kReady) {
    Send(context, event->ticket);
  }
}

void AttemptRunner::OnConnectionLost(Context& context,
                                     ConnectionId connection) {
  const std::optional<PoolEvent> event =
      m_modules.connections.OnLost(context, connection);
  if (!event) {
    return;
  }
  if (event->kind == PoolEventKind::kOpenFailed) {
    m_modules.health.OnFreshConnection(context, event->upstream, false);
    End(context, event->ticket, AttemptResult::kNotSent,
        RefusalReason::kUpstreamFailed);
  } else {
    End(context, event->ticket, AttemptResult::kFailed,
        RefusalReason::kUpstreamFailed);
  }
}

void AttemptRunner::OnUpstreamAnswered(Context& context,
                                       const UpstreamAnswered& event) {
  const UpstreamId* found = m_modules.connections.UpstreamOf(event.connection);
  if (found == nullptr) {
    return;
  }
  const UpstreamId upstream = *found;
  m_unanswered.erase(upstream);
  if (event.draining) {
    m_modules.health.OnDrainSignal(context, upstream);
  }
  const std::optional<TicketId> ticket = m_modules.connections.OnAnswered(
      context, event.connection, event.keep_alive && !event.draining);
  if (ticket) {
    End(context, *ticket,
        event.not_executed ? AttemptResult::kShed : AttemptResult::kAnswered,
        event.not_executed ? RefusalReason::kOverloaded : RefusalReason::kNone,
        event.answer);
  }
}

void AttemptRunner::ProcessDecisions(Context& context) {
  for (const SlotDecision& decision : m_modules.slot_client.TakeDecisions()) {
    if (m_attempts.find(decision.ticket) == m_attempts.end()) {
      continue;
    }
    if (decision.upstream.IsEmpty()) {
      End(context, decision.ticket, AttemptResult::kNotSent, decision.reason);
    } else {
      OnSlotGranted(context, decision.ticket, decision.upstream);
    }
  }
}

void AttemptRunner::OnTick(Context& context) {
  std::vector<TicketId> expired;
  for (const auto& [ticket, attempt] : m_attempts) {
    const bool connecting_too_long =
        attempt.state == AttemptState::kConnecting &&
        context.Now() - attempt.since >= kConnectTimeout;
    if (connecting_too_long || context.Now() >= attempt.spec.deadline) {
      expired.push_back(ticket);
    }
  }
  for (const TicketId ticket : expired) {
    ExpireAttempt(context, ticket);
  }
}

const Attempt* AttemptRunner::Find(TicketId ticket) const {
  const auto found = m_attempts.find(ticket);
  return found == m_attempts.end() ? nullptr : &found->second;
}

std::vector<AttemptEnd> AttemptRunner::TakeEnded() {
  return std::exchange(m_ended, {});
}

void AttemptRunner::OnSlotGranted(Context& context,
                                  TicketId ticket,
                                  const UpstreamId& upstream) {
  Attempt& attempt = m_attempts.find(ticket)->second;
  attempt.upstream = upstream;
  const std::optional<AcquiredConnection> acquired =
      m_modules.connections.Acquire(context, upstream, ticket,
                                    attempt.spec.fresh_connection);
  if (!acquired) {
    // The slot is held, so End must find a state in which it releases the slot.
    // There is no connection to close.
    attempt.state = AttemptState::kConnecting;
    End(context, ticket, AttemptResult::kNotSent,
        RefusalReason::kUpstreamFailed);
    return;
  }
  attempt.state = AttemptState::kConnecting;
  attempt.since = context.Now();
  attempt.connection = acquired->connection;
  attempt.reused_connection = acquired->ready;
  if (acquired->ready) {
    Send(context, ticket);
  }
}

void AttemptRunner::Send(Context& context, TicketId ticket) {
  const auto found = m_attempts.find(ticket);
  if (found == m_attempts.end()) {
    return;
  }
  Attempt& attempt = found->second;
  const bool expired = context.Now() >= attempt.spec.deadline;
  if (expired || (attempt.spec.claim &&
                  !m_modules.claims.MarkSent(context, *attempt.spec.claim))) {
    m_modules.connections.Abandon(context, attempt.connection);
    End(context, ticket, AttemptResult::kNotSent,
        RefusalReason::kDeadlineExpired);
    return;
  }
  attempt.state = AttemptState::kSent;
  attempt.since = context.Now();
  context.Emit(SendUpstream{attempt.connection, attempt.spec.deadline,
                            attempt.spec.deadline - context.Now(),
                            *attempt.spec.http});
}

void AttemptRunner::End(Context& context,
                        TicketId ticket,
                        AttemptResult result,
                        RefusalReason reason,
                        HttpAnswer answer) {
  const auto found = m_attempts.find(ticket);
  if (found == m_attempts.end()) {
    return;
  }
  Attempt attempt = std::move(found->second);
  m_attempts.erase(found);
  const Duration service_time = attempt.state == AttemptState::kSent
                                    ? context.Now() - attempt.since
                                    : Duration(0);
  if (!attempt.upstream.IsEmpty()) {
    ReleaseSlot(context, ticket, attempt, result, service_time);
  }
  m_ended.push_back({ticket, std::move(attempt.spec), attempt.upstream, result,
                     reason, std::move(answer), service_time});
}

void AttemptRunner::ReleaseSlot(Context& context,
                                TicketId ticket,
                                const Attempt& attempt,
                                AttemptResult result,
                                Duration service_time) {
  if (attempt.upstream.IsEmpty()) {
    m_modules.slot_client.Withdraw(context, m_modules.members, ticket);
    return;
  }
  m_modules.slot_client.Release(context, m_modules.members, ticket, result,
                                service_time);
  m_modules.health.OnAttempt(context, attempt.upstream, result, service_time);
}

void AttemptRunner::RecordUnanswered(Context& context, const Attempt& attempt) {
  if (!attempt.reused_connection) {
    return;
  }
  if (++m_unanswered[attempt.upstream] >= kUnansweredLimit) {
    m_modules.connections.CloseStalledConnections(context, attempt.connection);
    m_unanswered.erase(attempt.upstream);
  }
}

void AttemptRunner::ExpireAttempt(Context& context, TicketId ticket) {
  const Attempt& attempt = m_attempts.find(ticket)->second;
  switch (attempt.state) {
    case AttemptState::kWaitingForSlot:
      m_modules.slot_client.Withdraw(context, m_modules.members, ticket);
      End(context, ticket, AttemptResult::kNotSent,
          RefusalReason::kDeadlineExpired);
      return;
    case AttemptState::kConnecting:
      m_modules.connections.Abandon(context, attempt.connection);
      m_modules.health.OnFreshConnection(context, attempt.upstream, false);
      End(context, ticket, AttemptResult::kNotSent,
          RefusalReason::kUpstreamFailed);
      return;
    case AttemptState::kSent:
      RecordUnanswered(context, attempt);
      m_modules.connections.Abandon(context, attempt.connection);
      End(context, ticket, AttemptResult::kTimedOut,
          RefusalReason::kDeadlineExpired);
      return;
  }
}

}  // namespace kumquatcove
