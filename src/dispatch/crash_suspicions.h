#ifndef DISPATCH_CRASH_SUSPICIONS_H_
#define DISPATCH_CRASH_SUSPICIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock_reading.h"
#include "registry/registry_record.h"

namespace kumquatcove {

/**
 * Contents of requests that were in flight when upstreams broke, as seen by all
 * instances together.
 *
 * Each instance counts the breaks that it saw and publishes its count; the sum
 * decides. A content is rejected once it was in flight at kMaxBreaks breaks
 * without a success, for kRejectionTime after the last one. A success at this
 * instance clears its own count: a content that ran to its end doesn't crash
 * every upstream. Thread safety: none; owned by one reducer.
 */
class CrashSuspicions {
 public:
  static constexpr int kMaxBreaks = 2;
  /** The platform lets a content that crashes upstreams be sent three times
   * more after its third crash; one trial each half minute stays below that on
   * a day of some minutes. */
  static constexpr Duration kRejectionTime = Seconds(30);
  static constexpr std::size_t kMaxContents = 4096;

  /** Notes a break and returns this instance's count, to be published. */
  SuspicionRecord OnBreak(std::uint64_t content_hash, MonotonicTime now);

  /** Notes an answer; returns true if that cleared a count, which is then to be
   * published as zero. */
  bool OnSuccess(std::uint64_t content_hash);

  /** Takes the count of another instance. */
  void OnReport(const std::string& reporter,
                const SuspicionRecord& record,
                MonotonicTime now);

  /** Returns whether requests with the content are to be rejected. */
  bool IsRejected(std::uint64_t content_hash, MonotonicTime now) const;

  /** Returns the number of breaks that are known of. */
  int CountBreaks(std::uint64_t content_hash) const;

 private:
  struct Content {
    int own = 0;
    std::map<std::string, int> others;
    MonotonicTime last_break;
  };

  Content& Enter(std::uint64_t content_hash);

  std::map<std::uint64_t, Content> m_contents;
};

}  // namespace kumquatcove

#endif  // DISPATCH_CRASH_SUSPICIONS_H_
