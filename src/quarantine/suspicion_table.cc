#include "quarantine/suspicion_table.h"

#include <algorithm>
#include <string>
#include <utility>

namespace kumquatcove {
namespace {

// Large enough that the popular content hashes within kSuccessRetention rarely
// replace each other.
constexpr std::size_t kSuccessEntries = 4096;
// LevelOf ignores expired entries; the sweep only frees their memory.
constexpr Duration kSweepInterval = Seconds(1);

}  // namespace

SuspicionTable::SuspicionTable() : m_successes(kSuccessEntries) {}

SuspicionLevel SuspicionTable::LevelOf(const Context& context,
                                       std::uint64_t content_hash) const {
  const auto found = m_contents.find(content_hash);
  return found == m_contents.end() || found->second.expires <= context.Now()
             ? SuspicionLevel::kCleared
             : found->second.level;
}

Suspicion SuspicionTable::OnBreak(Context& context,
                                  std::uint64_t content_hash,
                                  const UpstreamId& upstream,
                                  bool alone) {
  const SuspicionLevel level = LevelOf(context, content_hash);
  if (level == SuspicionLevel::kCleared) {
    return SetLevel(context, content_hash, SuspicionLevel::kSuspect, upstream);
  }
  const UpstreamId first = m_contents.at(content_hash).upstream;
  // Several requests with this content hash may report the same break of one
  // upstream.
  const bool second_upstream =
      upstream != first && !SucceededRecently(context, content_hash);
  if (level == SuspicionLevel::kQuarantined || alone || second_upstream) {
    return SetLevel(context, content_hash, SuspicionLevel::kQuarantined,
                    upstream);
  }
  return SetLevel(context, content_hash, SuspicionLevel::kSuspect, first);
}

bool SuspicionTable::OnSuccess(Context& context, std::uint64_t content_hash) {
  FindSuccessEntry(content_hash) = {content_hash,
                                    context.Now() + kSuccessRetention};
  const bool cleared =
      LevelOf(context, content_hash) != SuspicionLevel::kCleared;
  m_contents.erase(content_hash);
  if (cleared) {
    context.Record("suspicion_cleared", std::to_string(content_hash));
  }
  return cleared;
}

void SuspicionTable::OnSuspicion(Context& context, const Suspicion& suspicion) {
  switch (suspicion.level) {
    case SuspicionLevel::kCleared:
      OnSuccess(context, suspicion.content_hash);
      return;
    case SuspicionLevel::kSuspect:
      OnBreak(context, suspicion.content_hash, suspicion.upstream, false);
      return;
    case SuspicionLevel::kQuarantined:
      // The peer may not have received the notification of the success yet.
      SetLevel(context, suspicion.content_hash,
               SucceededRecently(context, suspicion.content_hash)
                   ? SuspicionLevel::kSuspect
                   : SuspicionLevel::kQuarantined,
               suspicion.upstream);
      return;
  }
}

void SuspicionTable::HoldAnswer(Context& context,
                                RequestId request,
                                const Suspicion& suspicion,
                                std::vector<InstanceId> peers) {
  if (peers.empty() || m_held_answers.size() >= kMaxHeldAnswers) {
    m_released_requests.push_back(request);
    return;
  }
  m_held_answers.push_back({request, suspicion.content_hash, suspicion.level,
                            std::move(peers), context.Now() + kMaxAnswerHold});
}

void SuspicionTable::OnAck(Context& /*context*/,
                           const InstanceId& from,
                           const SuspicionAck& ack) {
  const auto done = [&](HeldAnswer& held) {
    if (held.content_hash != ack.content_hash || held.level != ack.level) {
      return false;
    }
    std::erase(held.peers, from);
    if (!held.peers.empty()) {
      return false;
    }
    m_released_requests.push_back(held.request);
    return true;
  };
  std::erase_if(m_held_answers, done);
}

void SuspicionTable::OnTick(Context& context) {
  if (m_next_sweep <= context.Now()) {
    m_next_sweep = context.Now() + kSweepInterval;
    std::erase_if(m_contents, [&](const auto& content) {
      return content.second.expires <= context.Now();
    });
  }
  std::erase_if(m_held_answers, [&](const HeldAnswer& held) {
    const bool due = held.until <= context.Now();
    if (due) {
      m_released_requests.push_back(held.request);
    }
    return due;
  });
}

std::vector<RequestId> SuspicionTable::TakeReleased() {
  return std::exchange(m_released_requests, {});
}

Suspicion SuspicionTable::SetLevel(Context& context,
                                   std::uint64_t content_hash,
                                   SuspicionLevel level,
                                   const UpstreamId& upstream) {
  auto found = m_contents.find(content_hash);
  if (found == m_contents.end()) {
    MakeRoom();
    found = m_contents.emplace(content_hash, Content{}).first;
  }
  const bool quarantined = level == SuspicionLevel::kQuarantined;
  if (quarantined && found->second.level != level) {
    context.Record("content_quarantined", std::to_string(content_hash),
                   {{"upstream", upstream.Text()}});
  }
  found->second = {
      level, upstream,
      context.Now() + (quarantined ? kQuarantineTime : kSuspectTime)};
  return {content_hash, level, upstream};
}

void SuspicionTable::MakeRoom() {
  if (m_contents.size() < kMaxContents) {
    return;
  }
  // Evicts suspects before quarantined entries, which are based on more
  // evidence.
  const auto less = [](const auto& a, const auto& b) {
    return std::pair(a.second.level, a.second.expires) <
           std::pair(b.second.level, b.second.expires);
  };
  m_contents.erase(
      std::min_element(m_contents.begin(), m_contents.end(), less));
}

bool SuspicionTable::SucceededRecently(const Context& context,
                                       std::uint64_t content_hash) const {
  const RecentSuccess& entry = m_successes[content_hash % m_successes.size()];
  return entry.content_hash == content_hash && entry.until > context.Now();
}

SuspicionTable::RecentSuccess& SuspicionTable::FindSuccessEntry(
    std::uint64_t content_hash) {
  return m_successes[content_hash % m_successes.size()];
}

}  // namespace kumquatcove
