#ifndef DISPATCH_SERVICE_TIMES_H_
#define DISPATCH_SERVICE_TIMES_H_

#include <array>

#include <absl/container/flat_hash_map.h>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "base/name.h"

namespace kumquatcove {

/** Whether an upstream has handled the object of a request lately. */
enum class ObjectFamiliarity { kUnknown, kFamiliar };

constexpr auto EnumNames(ObjectFamiliarity) {
  return std::array{
      EnumName<ObjectFamiliarity>{ObjectFamiliarity::kUnknown, "unknown"},
      EnumName<ObjectFamiliarity>{ObjectFamiliarity::kFamiliar, "familiar"}};
}

/**
 * How long requests of each service take at an upstream, learned from answers.
 *
 * Times are kept apart by familiarity and brought to the usual speed of the
 * upstream's machine. Few requests take many times as long as the rest, so that
 * each sample is bounded before it enters the average. Thread safety: none.
 */
class ServiceTimes {
 public:
  /** Time assumed for a service before its first answer. */
  static constexpr Duration kInitialTime = Milliseconds(250);
  /** Share of the time that a familiar object is assumed to need before there
   * are answers of both kinds. */
  static constexpr double kInitialFamiliarShare = 0.5;

  /** Adds the time of one answer at usual speed. */
  void Add(const ServiceName& service,
           ObjectFamiliarity familiarity,
           Duration time);

  /** Returns the expected time at usual speed. */
  Duration Expect(const ServiceName& service,
                  ObjectFamiliarity familiarity) const;

 private:
  struct Averages {
    double unknown_us = 0;
    double familiar_us = 0;
  };

  absl::flat_hash_map<ServiceName, Averages> m_services;
};

}  // namespace kumquatcove

#endif  // DISPATCH_SERVICE_TIMES_H_
