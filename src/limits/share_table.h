#ifndef LIMITS_SHARE_TABLE_H_
#define LIMITS_SHARE_TABLE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/describe/class.hpp>

#include "base/name.h"
#include "limits/limit_key.h"

namespace kumquatcove {

/** The whole leased half of a limit; leased amounts are parts of it. */
inline constexpr std::int64_t kWholePool = 1'000'000'000;

/** What one instance leases of one limit, in parts of kWholePool. */
struct LeasedShare {
  LimitKey limit;
  std::int64_t held = 0;
  /** What it would use; others leave it its fair part of the pool. */
  std::int64_t wanted = 0;
  friend bool operator==(const LeasedShare&, const LeasedShare&) = default;
};
BOOST_DESCRIBE_STRUCT(LeasedShare, (), (limit, held, wanted))

/** All leases of one process. */
struct ShareHolder {
  InstanceId instance;
  std::int64_t incarnation = 0;
  /** Grows with each renewal; never repeats for the same process. */
  std::uint64_t renewal = 0;
  std::vector<LeasedShare> shares;
  friend bool operator==(const ShareHolder&, const ShareHolder&) = default;
};
BOOST_DESCRIBE_STRUCT(ShareHolder, (), (instance, incarnation, renewal, shares))

/** Value of the table row `budget/shares`. */
struct ShareTable {
  /**
   * Unique number of a row that replaced a missing or corrupt one, or 0.
   *
   * While it isn't 0, what was leased under the lost row may still be in use,
   * and nothing is leased: rates for LeaseWatch::kLeaseReclaim, and slots also
   * for the time that requests may hold them.
   */
  std::uint64_t rates_unknown = 0;
  std::uint64_t slots_unknown = 0;
  std::vector<ShareHolder> holders;
  /** Era of the store in which the row was written. In a later one the leases
   * that were granted after the copy was made aren't in the row. */
  std::optional<std::int64_t> era;
  friend bool operator==(const ShareTable&, const ShareTable&) = default;
};
BOOST_DESCRIBE_STRUCT(ShareTable,
                      (),
                      (rates_unknown, slots_unknown, holders, era))

inline constexpr char kShareTableKey[] = "budget/shares";
inline constexpr std::size_t kMaxShareHolders = 64;
inline constexpr std::size_t kMaxSharesPerHolder = 32;
inline constexpr std::size_t kMaxShareTableBytes = 256U << 10U;

/** Returns the sum of what holders lease of a limit. */
std::int64_t LeasedSum(const ShareTable& table, const LimitKey& limit);

/** Returns the JSON form, or nothing if it would exceed the bounds above. */
std::optional<std::string> EncodeShareTable(const ShareTable& table);

/** Returns the table, or nothing if `text` isn't a table within the bounds, or
 * leases more of a limit than there is. */
std::optional<ShareTable> DecodeShareTable(const std::string& text);

/**
 * Returns the fair part of `pool` for a holder that wants `own`, by max-min
 * fairness: a holder that wants less than an equal part gets what it wants, and
 * the rest is divided equally.
 */
std::int64_t FairPart(std::int64_t pool,
                      std::int64_t own,
                      std::vector<std::int64_t> others);

}  // namespace kumquatcove

#endif  // LIMITS_SHARE_TABLE_H_
