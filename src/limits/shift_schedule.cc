#include "limits/shift_schedule.h"

#include <algorithm>

#include "base/hash.h"

namespace kumquatcove {
namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::uint64_t kBuckets = 1000;

}  // namespace

std::int32_t MovedPermille(const ShiftDeclaration& shift,
                           WallTime committed,
                           WallTime now) {
  if (shift.target_permille <= 0 || shift.step_permille <= 0) {
    return 0;
  }
  // A clock behind the committer's sees the first step, as the others do.
  const std::int64_t elapsed =
      std::max<std::int64_t>(0, now.microseconds - committed.microseconds) /
      kMicrosecondsPerSecond;
  const std::int64_t interval =
      std::max<std::int64_t>(1, shift.step_interval_s);
  const std::int64_t steps = std::min<std::int64_t>(
      elapsed / interval, shift.target_permille / shift.step_permille + 1);
  return static_cast<std::int32_t>(std::min<std::int64_t>(
      shift.target_permille, (steps + 1) * shift.step_permille));
}

std::optional<RegionName> ShiftTarget(const CatalogueEntry& entry,
                                      const RegionName& own_region,
                                      std::uint64_t content_hash,
                                      WallTime now) {
  const auto* service = std::get_if<ServiceEntry>(&entry.body);
  if (service == nullptr) {
    return std::nullopt;
  }
  // Hashed again with the service: requests that move for one service must not
  // be those that other users of the content hash pick.
  const std::uint64_t bucket =
      StableHash(service->service.Text(), content_hash) % kBuckets;
  std::uint64_t begin = 0;
  for (std::size_t index = 0; index < service->shifts.size(); ++index) {
    const ShiftDeclaration& shift = service->shifts[index];
    const WallTime start = index < entry.shift_starts.size()
                               ? entry.shift_starts[index]
                               : entry.committed;
    if (shift.from != own_region || shift.to == own_region) {
      continue;
    }
    // Each shift owns the buckets up to its target, so that the ramp of one
    // never changes which requests another one moves.
    const auto moved =
        static_cast<std::uint64_t>(MovedPermille(shift, start, now));
    if (bucket >= begin && bucket < begin + moved) {
      return shift.to;
    }
    begin += static_cast<std::uint64_t>(std::max(0, shift.target_permille));
  }
  return std::nullopt;
}

}  // namespace kumquatcove
