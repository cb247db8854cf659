#include "measure/lookup_probe.h"

#include <boost/asio/io_context.hpp>

#include "emulator/steady_clock.h"
#include "tools/caller_connections.h"

namespace kumquatcove::measure {
namespace {

constexpr Duration kLookupTimeout = Seconds(2);

class Prober {
 public:
  explicit Prober(const LookupProbeSettings& settings)
      : m_address(settings.address),
        m_connections(m_io),
        m_request{"GET",
                  "/kumquatcove/v1/entries?service=" + settings.service +
                      "&client=" + settings.client,
                  {},
                  ""},
        m_end(emulator::ReadMonotonicClock() +
              Duration(static_cast<Duration::rep>(settings.duration_s * 1e6))) {
    for (std::int32_t caller = 0; caller < settings.callers; ++caller) {
      SendNext();
    }
  }

  LookupProbeResult Run() {
    m_io.run();
    return m_result;
  }

 private:
  void SendNext() {
    if (emulator::ReadMonotonicClock() >= m_end) {
      return;
    }
    m_connections.Exchange(
        m_address, m_request, kLookupTimeout, [this](const HttpResult& result) {
          const auto* answer = std::get_if<HttpAnswer>(&result);
          ++(answer != nullptr && answer->status == 200 ? m_result.answered
                                                        : m_result.failed);
          SendNext();
        });
  }

  boost::asio::io_context m_io;
  std::string m_address;
  CallerConnections m_connections;
  ToolRequest m_request;
  MonotonicTime m_end;
  LookupProbeResult m_result;
};

}  // namespace

LookupProbeResult RunLookupProbe(const LookupProbeSettings& settings) {
  return Prober(settings).Run();
}

}  // namespace kumquatcove::measure
