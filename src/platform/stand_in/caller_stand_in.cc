#include "platform/stand_in/caller_stand_in.h"

#include <cmath>
#include <iterator>
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include "emulator/steady_clock.h"
#include "platform/stand_in/upstream_stand_in.h"
#include "runtime/http_fields.h"

namespace kumquatcove::stand_in {
namespace {

constexpr Duration kPatience = Milliseconds(1'500);
constexpr Duration kConnectTimeout = Seconds(1);
// Callers give up this long after the time that they state.
constexpr Duration kAnswerMargin = Milliseconds(500);
constexpr Duration kRetryPause = Milliseconds(100);
constexpr int kMaxAttempts = 2;
constexpr std::uint64_t kObjects = 30;
constexpr double kIdempotentShare = 0.6;
// Share of requests that are sent on a kept connection if there is one.
constexpr double kKeptShare = 0.7;

constexpr std::int32_t kOk = 200;
constexpr std::int32_t kTooManyRequests = 429;
constexpr std::int32_t kUnavailable = 503;

/** Returns whether a caller may send a request again after this end. */
bool MayRepeat(bool idempotent, std::int32_t status) {
  return status == kTooManyRequests || status == kUnavailable ||
         (idempotent && status != kOk);
}

}  // namespace

CallerStandIn::CallerStandIn(IoThread& io,
                             SoakLedger& ledger,
                             CallerStandInSettings settings,
                             std::uint64_t seed)
    : m_io(io),
      m_ledger(ledger),
      m_settings(std::move(settings)),
      m_random(seed) {}

void CallerStandIn::Start() {
  for (const auto& [zone, region] : m_settings.zones) {
    LookUp(zone);
  }
  SendNext();
}

std::string CallerStandIn::Pick(const std::vector<std::string>& addresses) {
  return addresses[m_random.NextBelow(addresses.size())];
}

void CallerStandIn::SendNext() {
  if (m_stopped) {
    return;
  }
  const double pause_us = -std::log(1 - m_random.NextFraction()) * 1'000'000 /
                          m_settings.requests_per_second;
  m_io.PostAfter(Duration(std::llround(pause_us)), [this] { SendNext(); });
  const std::uint64_t number = ++m_last_call;
  Call& call = m_calls[number];
  call.zone = std::next(m_settings.zones.begin(),
                        static_cast<std::ptrdiff_t>(
                            m_random.NextBelow(m_settings.zones.size())))
                  ->first;
  call.idempotent = m_random.NextFraction() < kIdempotentShare;
  call.target = absl::StrCat(call.idempotent ? "/browse/" : "/order/",
                             m_random.NextBelow(kObjects));
  call.started = emulator::ReadMonotonicClock();
  Try(number);
}

void CallerStandIn::LookUp(const std::string& zone) {
  Directory& directory = m_directories[zone];
  if (directory.lookup) {
    return;
  }
  directory.lookup = std::make_unique<HttpConnection>(m_io);
  const std::string address = Pick(m_settings.lookup_addresses);
  directory.lookup->Open(address, kConnectTimeout, [=, this](bool opened) {
    if (!opened) {
      OnLookedUp(zone, std::nullopt);
      return;
    }
    HttpRequest request;
    request.method = "GET";
    request.target =
        absl::StrCat("/kumquatcove/resolve?name=", m_settings.host,
                     "&region=", m_settings.zones.at(zone), "&zone=", zone);
    m_directories[zone].lookup->Send(
        request, address, kConnectTimeout, nullptr,
        [this, zone](const std::optional<HttpResult>& result) {
          OnLookedUp(zone, result);
        });
  });
}

void CallerStandIn::OnLookedUp(const std::string& zone,
                               const std::optional<HttpResult>& result) {
  Directory& directory = m_directories[zone];
  Discard(std::move(directory.lookup));
  if (!result || result->answer.status != kOk) {
    m_io.PostAfter(kRetryPause, [this, zone] { LookUp(zone); });
    return;
  }
  const boost::json::object answer =
      boost::json::parse(result->answer.body).as_object();
  directory.addresses =
      boost::json::value_to<std::vector<std::string>>(answer.at("addresses"));
  directory.expires = emulator::ReadMonotonicClock() +
                      Duration(std::llround(
                          answer.at("ttl-s").to_number<double>() * 1'000'000));
}

void CallerStandIn::Try(std::uint64_t number) {
  Call& call = m_calls.at(number);
  Directory& directory = m_directories[call.zone];
  if (emulator::ReadMonotonicClock() >= directory.expires) {
    LookUp(call.zone);
  }
  if (directory.addresses.empty()) {
    End(number, false);
    return;
  }
  call.address = Pick(directory.addresses);
  ++call.attempts;
  call.attempt = absl::StrCat("attempt-", ++m_last_attempt);
  m_ledger.OnSent(call.attempt, call.idempotent,
                  emulator::ReadMonotonicClock());
  Discard(std::move(call.connection));
  call.connection = TakeIdle(call.address);
  if (call.connection) {
    OnOpened(number, true);
    return;
  }
  call.connection = std::make_unique<HttpConnection>(m_io);
  call.connection->Open(
      call.address, kConnectTimeout,
      [this, number](bool opened) { OnOpened(number, opened); });
}

void CallerStandIn::OnOpened(std::uint64_t number, bool opened) {
  if (!opened) {
    OnAnswered(number, std::nullopt);
    return;
  }
  Call& call = m_calls.at(number);
  HttpRequest request;
  request.method = call.idempotent ? "GET" : "POST";
  request.target = call.target;
  request.headers = {{"Attempt-Id", call.attempt},
                     {"Deadline-Ms", std::to_string(kPatience.count() / 1000)},
                     {"Cookie", absl::StrCat("Affinity-Key=", call.target)}};
  request.body = call.idempotent ? "" : "an order";
  call.connection->Send(request, m_settings.host, kPatience + kAnswerMargin,
                        nullptr,
                        [this, number](const std::optional<HttpResult>& r) {
                          OnAnswered(number, r);
                        });
}

void CallerStandIn::OnAnswered(std::uint64_t number,
                               const std::optional<HttpResult>& result) {
  Call& call = m_calls.at(number);
  const std::int32_t status = result ? result->answer.status : 0;
  const bool served = status == kOk;
  const bool whole =
      !served ||
      (result->answer.body == UpstreamAnswerBody(call.attempt, call.target) &&
       FindHeader(result->answer.headers, "Server-Seal") == "sealed");
  m_ledger.OnAnswer(call.attempt, status, whole,
                    emulator::ReadMonotonicClock());
  if (call.connection->IsIdle()) {
    m_idle[call.address].push_back(std::move(call.connection));
  }
  if (call.attempts < kMaxAttempts && MayRepeat(call.idempotent, status)) {
    m_io.PostAfter(kRetryPause, [this, number] { Try(number); });
    return;
  }
  End(number, served);
}

void CallerStandIn::End(std::uint64_t number, bool served) {
  const auto found = m_calls.find(number);
  m_ledger.OnRequestEnd(found->second.started, served);
  Discard(std::move(found->second.connection));
  m_calls.erase(found);
}

std::unique_ptr<HttpConnection> CallerStandIn::TakeIdle(
    const std::string& address) {
  std::vector<std::unique_ptr<HttpConnection>>& idle = m_idle[address];
  std::erase_if(idle, [](const std::unique_ptr<HttpConnection>& connection) {
    return !connection->IsIdle();
  });
  if (idle.empty() || m_random.NextFraction() >= kKeptShare) {
    return nullptr;
  }
  std::unique_ptr<HttpConnection> taken = std::move(idle.back());
  idle.pop_back();
  return taken;
}

void CallerStandIn::Discard(std::unique_ptr<HttpConnection> connection) {
  // Its own callback may be running.
  const std::shared_ptr<HttpConnection> ended = std::move(connection);
  m_io.Post([ended] {});
}

}  // namespace kumquatcove::stand_in
