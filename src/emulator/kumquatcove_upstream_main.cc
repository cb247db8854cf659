#include <cstdint>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <glog/logging.h>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>

#include "emulator/http_server.h"
#include "emulator/network_address.h"
#include "emulator/program_usage.h"
#include "emulator/signal_stop.h"
#include "emulator/upstream_fleet.h"

ABSL_FLAG(std::string,
          catalogue,
          "",
          "catalogue file whose upstreams to serve");
ABSL_FLAG(std::string, service, "", "serve only upstreams of this service");
ABSL_FLAG(std::string, region, "", "serve only upstreams in this region");
ABSL_FLAG(std::string,
          model,
          "",
          "JSON file with model settings by service name and `default`");
ABSL_FLAG(std::string,
          upstreams,
          "",
          "JSON file with a list of upstreams, in place of --catalogue");
ABSL_FLAG(std::string,
          control,
          "127.0.0.1:0",
          "IP number and port for /emulator/faults and /emulator/counters");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the service times");

namespace kumquatcove::emulator {
namespace {

boost::json::value ReadJson(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("can't read " + path);
  }
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  return boost::json::parse(text);
}

std::vector<UpstreamSettings> ReadUpstreams() {
  const std::string list = absl::GetFlag(FLAGS_upstreams);
  const std::string catalogue = absl::GetFlag(FLAGS_catalogue);
  const std::string model = absl::GetFlag(FLAGS_model);
  if (list.empty() == catalogue.empty()) {
    throw std::runtime_error("give one of --catalogue and --upstreams");
  }
  if (!list.empty()) {
    return UpstreamsFromList(ReadJson(list));
  }
  return UpstreamsFromCatalogue(
      ReadJson(catalogue),
      model.empty() ? boost::json::value(boost::json::object{})
                    : ReadJson(model),
      {absl::GetFlag(FLAGS_service), absl::GetFlag(FLAGS_region)});
}

int Run() {
  const auto control = ParseAddress(absl::GetFlag(FLAGS_control));
  if (!control) {
    throw std::runtime_error("--control: expected an IP number and port");
  }
  boost::asio::io_context io(1);
  const std::vector<UpstreamSettings> upstreams = ReadUpstreams();
  UpstreamFleet fleet(io, upstreams, absl::GetFlag(FLAGS_seed));
  fleet.Open();
  HttpServer server(io, *control,
                    [&](const auto& session) { fleet.HandleControl(session); });
  server.Open();
  const SignalStop stop(
      io,
      [&] {
        fleet.Finish();
        server.Finish();
      },
      [&] { return !fleet.HasConnections() && !server.HasConnections(); });
  LOG(INFO) << "event=listening upstreams=" << upstreams.size()
            << " control_port=" << server.Port();
  io.run();
  return 0;
}

}  // namespace
}  // namespace kumquatcove::emulator

int main(int argc, char** argv) {
  kumquatcove::emulator::SetProgramUsage(
      "kumquatcove-upstream", "Emulates upstreams, each on a port of its own.");
  absl::ParseCommandLine(argc, argv);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  try {
    return kumquatcove::emulator::Run();
  } catch (const std::exception& error) {
    std::cerr << "kumquatcove-upstream: " << error.what() << "\n";
    return 1;
  }
}
