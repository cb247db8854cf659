#ifndef TESTS_FAKE_STORE_H_
#define TESTS_FAKE_STORE_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/clock_reading.h"
#include "protocol/store_operation.h"

namespace kumquatcove {

/** Faults of the fake store; the deployment applies them to each operation. */
struct FakeStoreFaults {
  /** Operations are refused at once and have no effect. */
  bool down = false;
  /** Operations get no reply and have no effect. */
  bool silent = false;
  /** Added to the time until an operation takes effect. */
  Duration delay{0};
  /** Probability that the reply is lost after the effect, in thousandths. */
  std::uint32_t lost_replies_permille = 0;
};

/** Table with versions and an object map, as the platform provides them. Thread
 * safety: none. */
class FakeStore {
 public:
  /** Rows of one moment; the objects aren't included. */
  struct Copy {
    std::map<std::string, StoreRow> rows;
    std::int64_t revision = 0;
  };

  /** Applies an operation atomically and returns its reply. */
  StoreReply Apply(const StoreOperation& operation);

  /** Returns the row, of version 0 if there is none. */
  StoreRow Row(const std::string& key) const;
  const std::map<std::string, StoreRow>& Rows() const { return m_rows; }

  Copy TakeCopy() const { return {m_rows, m_revision}; }
  /** Begins a new era with the rows and versions of a copy. */
  void Restore(const Copy& copy);

  /** Returns the number of writes so far; a StoreWrite counts as one. */
  std::uint64_t Writes() const { return m_writes; }
  std::uint64_t Reads() const { return m_reads; }

  FakeStoreFaults faults;

 private:
  StoreTransactionResult Commit(const StoreTransaction& transaction);

  std::map<std::string, StoreRow> m_rows;
  std::map<std::string, std::string> m_objects;
  std::int64_t m_revision = 0;
  std::int64_t m_era = 1;
  std::uint64_t m_writes = 0;
  std::uint64_t m_reads = 0;
};

}  // namespace kumquatcove

#endif  // TESTS_FAKE_STORE_H_
