#ifndef EMULATOR_OCCUPANCY_METER_H_
#define EMULATOR_OCCUPANCY_METER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <boost/describe/class.hpp>

#include "base/clock_reading.h"

namespace kumquatcove::emulator {

/** Which work counts as spill-over, and from when on readings are kept. */
struct OccupancySettings {
  /** Origin of the callers of this region; work of other origins is spill-over.
   * Empty: no work is. */
  std::string local_origin;
  /** Share of the slots that spill-over may fill. */
  double limit_share = 1;
};
BOOST_DESCRIBE_STRUCT(OccupancySettings, (), (local_origin, limit_share))

/** Use of the slots of one service by the upstreams of one process. */
struct OccupancyReading {
  std::int64_t slots = 0;
  std::int64_t busy = 0;
  std::int64_t max_busy = 0;
  std::int64_t spill_over = 0;
  std::int64_t max_spill_over = 0;
  /** Greatest number of busy slots right after spill-over got one of them. */
  std::int64_t max_busy_at_spill_over = 0;
  std::int64_t spill_over_starts = 0;
  /** Starts of spill-over after which more slots were busy than the limit
   * allows. */
  std::int64_t spill_over_starts_above_limit = 0;
  /** Sum of busy time of all slots since the settings were applied. */
  std::int64_t busy_us = 0;
  /** Time since the settings were applied. */
  std::int64_t elapsed_us = 0;
};
BOOST_DESCRIBE_STRUCT(OccupancyReading,
                      (),
                      (slots,
                       busy,
                       max_busy,
                       spill_over,
                       max_spill_over,
                       max_busy_at_spill_over,
                       spill_over_starts,
                       spill_over_starts_above_limit,
                       busy_us,
                       elapsed_us))

/** Returns the origin of a request: the part of its echo text before the first
 * hyphen, which is the seed of the load tool that sent it. */
std::string_view OriginOf(std::string_view echo);

/**
 * Counts the busy slots of all upstreams of one service in one process.
 *
 * Thread safety: none. Precondition of all methods: times don't go back.
 */
class OccupancyMeter : public std::enable_shared_from_this<OccupancyMeter> {
 public:
  /** A busy slot; it is free again when this object goes. */
  class Slot {
   public:
    Slot() = default;
    Slot(std::shared_ptr<OccupancyMeter> meter, bool is_spill_over);
    ~Slot();
    Slot(Slot&& other) noexcept;
    Slot& operator=(Slot&& other) noexcept;
    Slot(const Slot&) = delete;
    Slot& operator=(const Slot&) = delete;

   private:
    std::shared_ptr<OccupancyMeter> m_meter;
    bool m_is_spill_over = false;
  };

  explicit OccupancyMeter(MonotonicTime start);

  void AddSlots(std::int64_t slots) { m_reading.slots += slots; }

  /** Counts work that got a slot. Precondition: this is owned by a shared
   * pointer. */
  Slot Occupy(std::string_view origin, MonotonicTime now);

  /** Starts new readings; slots that are busy stay counted. */
  void Reset(OccupancySettings settings, MonotonicTime now);

  OccupancyReading Read(MonotonicTime now);

 private:
  void Free(bool is_spill_over, MonotonicTime now);
  void AddBusyTime(MonotonicTime now);

  OccupancySettings m_settings;
  OccupancyReading m_reading;
  MonotonicTime m_start;
  MonotonicTime m_last;
};

}  // namespace kumquatcove::emulator

#endif  // EMULATOR_OCCUPANCY_METER_H_
