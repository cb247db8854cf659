#include <cstdint>
#include <iostream>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <glog/logging.h>
#include <boost/asio/io_context.hpp>

#include "emulator/http_server.h"
#include "emulator/network_address.h"
#include "emulator/platform.h"
#include "emulator/program_usage.h"
#include "emulator/signal_stop.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:2379", "IP number and port");
ABSL_FLAG(double, writes_per_second, 400, "limit of writes; beyond it 503");
ABSL_FLAG(double, reads_per_second, 2000, "limit of reads; beyond it 503");
ABSL_FLAG(std::int64_t,
          list_lag_ms,
          0,
          "age of the instance list when it is reported");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the choice of lost replies");

int main(int argc, char** argv) {
  kumquatcove::emulator::SetProgramUsage(
      "kumquatcove-platform",
      "Emulates the platform: table, objects and instance list in memory.");
  absl::ParseCommandLine(argc, argv);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  const auto endpoint =
      kumquatcove::emulator::ParseAddress(absl::GetFlag(FLAGS_listen));
  if (!endpoint) {
    std::cerr << "kumquatcove-platform: --listen: expected an IP number and "
                 "port\n";
    return 1;
  }
  boost::asio::io_context io(1);
  kumquatcove::emulator::Platform platform(
      io, {absl::GetFlag(FLAGS_writes_per_second),
           absl::GetFlag(FLAGS_reads_per_second),
           absl::GetFlag(FLAGS_list_lag_ms), absl::GetFlag(FLAGS_seed)});
  kumquatcove::emulator::HttpServer server(
      io, *endpoint, [&](const auto& session) { platform.Handle(session); });
  try {
    server.Open();
  } catch (const std::exception& error) {
    LOG(ERROR) << "event=listen_failed address=" << absl::GetFlag(FLAGS_listen)
               << " error=\"" << error.what() << "\"";
    return 1;
  }
  const kumquatcove::emulator::SignalStop stop(
      io, [&] { server.Finish(); }, [&] { return !server.HasConnections(); });
  LOG(INFO) << "event=listening address=" << absl::GetFlag(FLAGS_listen);
  io.run();
  return 0;
}
