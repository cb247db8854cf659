#include "dispatch/crash_suspicions.h"

#include <algorithm>

namespace kumquatcove {

void CrashSuspicions::RecordBreak(std::uint64_t content_hash,
                                  MonotonicTime now) {
  if (!m_contents.contains(content_hash) && m_contents.size() >= kMaxContents) {
    const auto oldest = std::min_element(
        m_contents.begin(), m_contents.end(),
        [](const auto& left, const auto& right) {
          return left.second.last_break < right.second.last_break;
        });
    m_contents.erase(oldest);
  }
  Content& content = m_contents[content_hash];
  ++content.breaks;
  content.last_break = now;
}

bool CrashSuspicions::RecordSuccess(std::uint64_t content_hash) {
  return m_contents.erase(content_hash) > 0;
}

int CrashSuspicions::CountBreaks(std::uint64_t content_hash) const {
  const auto found = m_contents.find(content_hash);
  return found == m_contents.end() ? 0 : found->second.breaks;
}

bool CrashSuspicions::IsRejected(std::uint64_t content_hash,
                                 MonotonicTime now) const {
  const auto found = m_contents.find(content_hash);
  return found != m_contents.end() && found->second.breaks >= kMaxBreaks &&
         now < found->second.last_break + kRejectionTime;
}

}  // namespace kumquatcove
