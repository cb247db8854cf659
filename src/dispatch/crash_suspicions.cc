#include "dispatch/crash_suspicions.h"

#include <algorithm>

namespace kumquatcove {

CrashSuspicions::Content& CrashSuspicions::Enter(std::uint64_t content_hash) {
  const auto found = m_contents.find(content_hash);
  if (found == m_contents.end() && m_contents.size() >= kMaxContents) {
    const auto oldest = std::min_element(
        m_contents.begin(), m_contents.end(),
        [](const auto& left, const auto& right) {
          return left.second.last_break < right.second.last_break;
        });
    m_contents.erase(oldest);
  }
  return m_contents[content_hash];
}

SuspicionRecord CrashSuspicions::OnBreak(std::uint64_t content_hash,
                                         MonotonicTime now) {
  Content& content = Enter(content_hash);
  ++content.own;
  content.last_break = now;
  return {content_hash, content.own};
}

bool CrashSuspicions::OnSuccess(std::uint64_t content_hash) {
  const auto found = m_contents.find(content_hash);
  if (found == m_contents.end()) {
    return false;
  }
  const bool published = found->second.own > 0;
  m_contents.erase(found);
  return published;
}

void CrashSuspicions::OnReport(const std::string& reporter,
                               const SuspicionRecord& record,
                               MonotonicTime now) {
  if (record.breaks == 0) {
    // The reporter got an answer to the content.
    m_contents.erase(record.content_hash);
    return;
  }
  Content& content = Enter(record.content_hash);
  content.others[reporter] = record.breaks;
  content.last_break = now;
}

int CrashSuspicions::CountBreaks(std::uint64_t content_hash) const {
  const auto found = m_contents.find(content_hash);
  if (found == m_contents.end()) {
    return 0;
  }
  int breaks = found->second.own;
  for (const auto& [reporter, count] : found->second.others) {
    breaks += count;
  }
  return breaks;
}

bool CrashSuspicions::IsRejected(std::uint64_t content_hash,
                                 MonotonicTime now) const {
  const auto found = m_contents.find(content_hash);
  return found != m_contents.end() && CountBreaks(content_hash) >= kMaxBreaks &&
         now < found->second.last_break + kRejectionTime;
}

}  // namespace kumquatcove
