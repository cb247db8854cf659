#ifndef DISPATCH_CRASH_SUSPICIONS_H_
#define DISPATCH_CRASH_SUSPICIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "base/clock_reading.h"

namespace kumquatcove {

/**
 * Contents of requests that were in flight when upstreams broke, as seen by all
 * instances together.
 *
 * Each instance tells the others of the breaks that it saw; all of them count.
 * A content is rejected once it was in flight at kMaxBreaks breaks without a
 * success, for kRejectionTime after the last one. A success at any instance
 * clears the count: a content that ran to its end doesn't crash every upstream.
 * What an instance knows is lost when it ends; a content needs as many breaks
 * again then. Thread safety: none; owned by one reducer.
 */
class CrashSuspicions {
 public:
  static constexpr int kMaxBreaks = 2;
  /** The platform lets a content that crashes upstreams be sent three times
   * more after its third crash; one trial each half minute stays below that on
   * a day of some minutes. */
  static constexpr Duration kRejectionTime = Seconds(30);
  static constexpr std::size_t kMaxContents = 4096;

  /** Notes a break that this instance or another one has seen. */
  void OnBreak(std::uint64_t content_hash, MonotonicTime now);

  /** Notes a success; returns true if that cleared a count. */
  bool OnSuccess(std::uint64_t content_hash);

  /** Returns whether requests with the content are to be rejected. */
  bool IsRejected(std::uint64_t content_hash, MonotonicTime now) const;

  /** Returns the number of breaks that are known of. */
  int CountBreaks(std::uint64_t content_hash) const;

 private:
  struct Content {
    int breaks = 0;
    MonotonicTime last_break;
  };

  std::map<std::uint64_t, Content> m_contents;
};

}  // namespace kumquatcove

#endif  // DISPATCH_CRASH_SUSPICIONS_H_
