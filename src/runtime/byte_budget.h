#ifndef RUNTIME_BYTE_BUDGET_H_
#define RUNTIME_BYTE_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace kumquatcove {

/**
 * Bytes that several connections may buffer together.
 *
 * The first `exempt` bytes of each connection aren't counted, so that small
 * bodies pass while large ones use up the budget. Thread safety: none.
 */
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t limit, std::size_t exempt = 0)
      : m_limit(limit), m_exempt(exempt) {}

  std::size_t Reserved() const { return m_reserved; }

 private:
  friend class ByteReservation;

  std::size_t m_limit;
  std::size_t m_exempt;
  std::size_t m_reserved = 0;
};

/** One connection's part of a ByteBudget; the destructor releases it. */
class ByteReservation {
 public:
  explicit ByteReservation(std::shared_ptr<ByteBudget> budget)
      : m_budget(std::move(budget)) {}
  ~ByteReservation() { Release(); }
  ByteReservation(const ByteReservation&) = delete;
  ByteReservation& operator=(const ByteReservation&) = delete;

  /** Reserves at least `bytes` in total. Returns false and reserves no more if
   * the budget doesn't allow them. */
  bool GrowTo(std::size_t bytes) {
    if (bytes <= m_budget->m_exempt + m_counted) {
      return true;
    }
    const std::size_t more = bytes - m_budget->m_exempt - m_counted;
    if (more > m_budget->m_limit - m_budget->m_reserved) {
      return false;
    }
    m_budget->m_reserved += more;
    m_counted += more;
    return true;
  }

  void Release() { m_budget->m_reserved -= std::exchange(m_counted, 0); }

 private:
  std::shared_ptr<ByteBudget> m_budget;
  /** Bytes beyond the exempt ones. */
  std::size_t m_counted = 0;
};

}  // namespace kumquatcove

#endif  // RUNTIME_BYTE_BUDGET_H_
