#include "emulator/occupancy_meter.h"

#include <algorithm>

#include "emulator/steady_clock.h"

namespace kumquatcove::emulator {

std::string_view OriginOf(std::string_view echo) {
  const std::size_t hyphen = echo.find('-');
  return hyphen == std::string_view::npos ? std::string_view()
                                          : echo.substr(0, hyphen);
}

OccupancyMeter::Slot::Slot(std::shared_ptr<OccupancyMeter> meter,
                           bool is_spill_over)
    : m_meter(std::move(meter)), m_is_spill_over(is_spill_over) {}

OccupancyMeter::Slot::~Slot() {
  if (m_meter) {
    m_meter->Free(m_is_spill_over, ReadMonotonicClock());
  }
}

OccupancyMeter::Slot::Slot(Slot&& other) noexcept
    : m_meter(std::move(other.m_meter)),
      m_is_spill_over(other.m_is_spill_over) {}

OccupancyMeter::Slot& OccupancyMeter::Slot::operator=(Slot&& other) noexcept {
  std::swap(m_meter, other.m_meter);
  std::swap(m_is_spill_over, other.m_is_spill_over);
  return *this;
}

OccupancyMeter::OccupancyMeter(MonotonicTime start)
    : m_start(start), m_last(start) {}

OccupancyMeter::Slot OccupancyMeter::Occupy(std::string_view origin,
                                            MonotonicTime now) {
  AddBusyTime(now);
  OccupancyReading& reading = m_reading;
  reading.max_busy = std::max(reading.max_busy, ++reading.busy);
  // Work without an origin comes from tools that don't take part.
  const bool is_spill_over = !m_settings.local_origin.empty() &&
                             !origin.empty() &&
                             origin != m_settings.local_origin;
  if (is_spill_over) {
    reading.max_spill_over =
        std::max(reading.max_spill_over, ++reading.spill_over);
    reading.max_busy_at_spill_over =
        std::max(reading.max_busy_at_spill_over, reading.busy);
    ++reading.spill_over_starts;
    if (static_cast<double>(reading.busy) >
        m_settings.limit_share * static_cast<double>(reading.slots)) {
      ++reading.spill_over_starts_above_limit;
    }
  }
  return {shared_from_this(), is_spill_over};
}

void OccupancyMeter::Reset(OccupancySettings settings, MonotonicTime now) {
  m_settings = std::move(settings);
  OccupancyReading reading;
  reading.slots = m_reading.slots;
  reading.busy = m_reading.busy;
  reading.max_busy = m_reading.busy;
  reading.spill_over = m_reading.spill_over;
  reading.max_spill_over = m_reading.spill_over;
  m_reading = reading;
  m_start = now;
  m_last = now;
}

OccupancyReading OccupancyMeter::Read(MonotonicTime now) {
  AddBusyTime(now);
  m_reading.elapsed_us = (now - m_start).count();
  return m_reading;
}

void OccupancyMeter::Free(bool is_spill_over, MonotonicTime now) {
  AddBusyTime(now);
  --m_reading.busy;
  m_reading.spill_over -= is_spill_over ? 1 : 0;
}

void OccupancyMeter::AddBusyTime(MonotonicTime now) {
  m_reading.busy_us += m_reading.busy * (now - m_last).count();
  m_last = now;
}

}  // namespace kumquatcove::emulator
