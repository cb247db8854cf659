#ifndef EMULATOR_UPSTREAM_FLEET_H_
#define EMULATOR_UPSTREAM_FLEET_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "emulator/emulated_upstream.h"
#include "emulator/http_server.h"
#include "emulator/occupancy_meter.h"

namespace kumquatcove::emulator {

/**
 * All emulated upstreams of one process, with a control port that works also
 * while an upstream is down.
 *
 * Thread safety: none; used from the thread that runs the I/O context.
 */
class UpstreamFleet {
 public:
  UpstreamFleet(boost::asio::io_context& io,
                const std::vector<UpstreamSettings>& upstreams,
                std::uint64_t seed);

  /** Begins to serve all upstreams. Throws boost::system::system_error if a
   * port is taken. */
  void Open();

  /** Refuses new connections to all upstreams; each ends after the requests
   * that have arrived are answered. */
  void Finish();
  bool HasConnections() const;

  /** Handles a request to the control port: `POST /emulator/faults` with the
   * member `upstream` (an id, or `*` for all), `GET /emulator/counters`, `GET
   * /emulator/executions` with the executions of each idempotency key over all
   * upstreams, `GET /emulator/occupancy` (an OccupancyReading for each service)
   * and `POST /emulator/occupancy` (OccupancySettings for all services). */
  void HandleControl(const std::shared_ptr<HttpSession>& session);

  /** Returns the upstream, or null. */
  EmulatedUpstream* Find(const std::string& id);

 private:
  HttpAnswer Faults(const std::string& body);
  HttpAnswer Counters(const std::string& id) const;
  HttpAnswer Occupancy(const std::string& settings);
  HttpAnswer Executions() const;

  std::map<ServiceName, std::shared_ptr<OccupancyMeter>> m_meters;
  std::vector<std::unique_ptr<EmulatedUpstream>> m_upstreams;
};

}  // namespace kumquatcove::emulator

#endif  // EMULATOR_UPSTREAM_FLEET_H_
