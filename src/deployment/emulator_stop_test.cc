#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

#include <doctest/doctest.h>

#include "deployment/child_process.h"
#include "deployment/loopback_network.h"
#include "tools/http_client.h"

namespace kumquatcove {
namespace {

constexpr Duration kTimeout = Seconds(20);

std::string Program(const std::string& name) {
  const char* folder = std::getenv("KUMQUATCOVE_PROGRAMS");
  REQUIRE_MESSAGE(folder != nullptr,
                  "set KUMQUATCOVE_PROGRAMS or run the tests by ctest");
  return std::string(folder) + "/" + name;
}

std::string WorkFile(const std::string& name) {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      ("kumquatcove-emulator-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  return (folder / name).string();
}

std::string Address(int port) {
  return OwnLoopbackNetwork() + "1:" + std::to_string(port);
}

HttpResult Send(const std::string& address,
                const std::string& method,
                const std::string& target,
                const std::string& body = "") {
  return SendHttp(address, {method, target, {}, body}, kTimeout);
}

bool HasStatus(const HttpResult& result, std::int32_t status) {
  const auto* answer = std::get_if<HttpAnswer>(&result);
  return answer != nullptr && answer->status == status;
}

/** Waits until the program answers at `address`. */
bool WaitForStart(const std::string& address, const std::string& target) {
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (!HasStatus(Send(address, "GET", target), 200)) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(Milliseconds(10));
  }
  return true;
}

/** Starts one emulated upstream whose probes take `probe_ms`. */
ChildProcess StartUpstream(int port, int probe_ms) {
  const std::string list = WorkFile("upstreams.json");
  std::ofstream(list) << R"([{"id": "u1", "service": "s", "address": ")"
                      << Address(port) << R"(", "probe_cost_ms": )" << probe_ms
                      << "}]";
  ChildProcess process(
      Program("kumquatcove-upstream"),
      {"--upstreams=" + list, "--control=" + Address(port + 1)},
      WorkFile("upstream.log"));
  REQUIRE(WaitForStart(Address(port + 1), "/emulator/counters"));
  return process;
}

std::future<HttpResult> SendLater(const std::string& address,
                                  const std::string& method,
                                  const std::string& target) {
  auto result = std::async(std::launch::async, [address, method, target] {
    return Send(address, method, target);
  });
  // The request is in progress when the test goes on.
  std::this_thread::sleep_for(Milliseconds(300));
  return result;
}

}  // namespace

TEST_CASE("An emulated upstream that is stopped answers what it has accepted") {
  // Otherwise a planned stop of the upstream looks like its crash.
  ChildProcess process = StartUpstream(40'000, 1'000);
  std::future<HttpResult> answer = SendLater(Address(40'000), "GET", "/health");
  process.Terminate();
  CHECK(HasStatus(answer.get(), 200));
  REQUIRE(process.WaitForEnd(kTimeout));
  CHECK(process.ExitCode() == 0);
}

TEST_CASE("A second signal ends an emulator process at once") {
  ChildProcess process = StartUpstream(40'010, 9'000);
  std::future<HttpResult> answer = SendLater(Address(40'010), "GET", "/health");
  process.Terminate();
  CHECK(!process.WaitForEnd(Milliseconds(500)));
  process.Terminate();
  CHECK(process.WaitForEnd(Seconds(3)));
  CHECK(!HasStatus(answer.get(), 200));
}

TEST_CASE(
    "The emulated platform that is stopped answers what it has accepted") {
  const std::string address = Address(40'020);
  ChildProcess process(Program("kumquatcove-platform"), {"--listen=" + address},
                       WorkFile("platform.log"));
  REQUIRE(WaitForStart(address, "/counters"));
  REQUIRE(HasStatus(Send(address, "POST", "/faults", R"({"delay_ms": 1000})"),
                    200));
  std::future<HttpResult> answer = SendLater(address, "PUT", "/objects/a");
  process.Terminate();
  CHECK(HasStatus(answer.get(), 200));
  REQUIRE(process.WaitForEnd(kTimeout));
  CHECK(process.ExitCode() == 0);
}

}  // namespace kumquatcove
