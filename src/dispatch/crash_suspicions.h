#ifndef DISPATCH_CRASH_SUSPICIONS_H_
#define DISPATCH_CRASH_SUSPICIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "base/clock_reading.h"

namespace kumquatcove {

/**
 * Counts, over all instances, the crashes of upstreams during which a request
 * content was in flight.
 *
 * Each instance notifies the others of the breaks that it observed; all of them
 * count. Requests with a content hash are rejected once it was in flight at
 * kMaxBreaks breaks without a success, for kRejectionTime after the last one. A
 * success at any instance clears the count, since a request that completed
 * doesn't crash every upstream. The counts aren't stored: they are lost when
 * the instance ends, and start again from 0. Thread safety: none; owned by one
 * reducer.
 */
class CrashSuspicions {
 public:
  static constexpr int kMaxBreaks = 2;
  /** The platform allows three more sends of a crashing content after its third
   * crash; one trial each half minute stays below that in runs of a few
   * minutes. */
  static constexpr Duration kRejectionTime = Seconds(30);
  static constexpr std::size_t kMaxContents = 4096;

  /** Records a break that this or another instance observed. */
  void RecordBreak(std::uint64_t content_hash, MonotonicTime now);

  /** Records a success; returns true if that cleared a count. */
  bool RecordSuccess(std::uint64_t content_hash);

  /** Returns whether requests with this content hash are to be rejected. */
  bool IsRejected(std::uint64_t content_hash, MonotonicTime now) const;

  /** Returns the number of recorded breaks. */
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
