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
#include "platform/stand_in/link_proxy.h"
#include "platform/stand_in/upstream_stand_in.h"
#include "runtime/http_fields.h"

namespace kumquatcove::stand_in {
namespace {

constexpr Duration kConnectTimeout = Seconds(1);
// Callers give up this long after the time that they state.
constexpr Duration kAnswerMargin = Milliseconds(500);
constexpr Duration kRetryPause = Milliseconds(100);
constexpr int kMaxAttempts = 2;
constexpr std::uint64_t kObjects = 30;
// Share of requests that are sent on a kept connection if there is one.
constexpr double kKeptShare = 0.2;
// Kept connections to one instance.
constexpr std::size_t kMaxKept = 40;
// Share of requests that go on any kept connection, whatever the last look-up
// says; there are such callers until an instance is gone.
constexpr double kAnyKeptShare = 0.12;
// Share of new connections that the caller asks to close after the answer.
constexpr double kClosingShare = 0.3;

constexpr double kChunkedShare = 0.5;
constexpr double kSlowWriterShare = 0.2;
constexpr std::uint64_t kMaxPieces = 6;
constexpr std::uint64_t kMaxWriteMs = 1'000;
constexpr std::uint64_t kMaxBodyPieceBytes = 16'384;
constexpr double kSlowReaderShare = 0.7;

// Share of look-ups that are used beyond their time to live, by up to this
// factor.
constexpr double kStaleShare = 0.5;
constexpr double kMaxStaleFactor = 3;

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
  DrawRequest(call);
  call.started = emulator::ReadMonotonicClock();
  Try(number);
}

void CallerStandIn::MakeUpload(const SoakRoute& route, Call& call) {
  call.route = &route;
  call.target =
      absl::StrCat(std::string(route.prefix), m_random.NextBelow(kObjects));
  // The bytes differ, so that instances don't take them for one request that
  // crashes upstreams.
  call.body = absl::StrCat("upload ", m_last_call, " ");
  call.body.resize(LinkProxy::kUploadBytes, 'u');
}

void CallerStandIn::DrawRequest(Call& call) {
  if (m_upload_share > 0 && m_random.NextFraction() < m_upload_share) {
    MakeUpload(*FindSoakRoute(kUploads), call);
    return;
  }
  double share = m_random.NextFraction();
  for (const SoakRoute& route : kSoakRoutes) {
    call.route = &route;
    share -= route.share;
    if (share < 0) {
      break;
    }
  }
  call.target = absl::StrCat(std::string(call.route->prefix),
                             m_random.NextBelow(kObjects));
  call.pace.reads_slowly = call.target.starts_with(kLargeAnswers) &&
                           m_random.NextFraction() < kSlowReaderShare;
  call.pace.closes = m_random.NextFraction() < kClosingShare;
  if (call.route->idempotent) {
    return;
  }
  call.pace.chunked = m_random.NextFraction() < kChunkedShare;
  if (m_random.NextFraction() < kSlowWriterShare) {
    call.pace.pieces = static_cast<int>(2 + m_random.NextBelow(kMaxPieces - 1));
    call.pace.write_time = Milliseconds(
        static_cast<std::int64_t>(m_random.NextBelow(kMaxWriteMs)));
  }
  call.body = std::string(static_cast<std::size_t>(call.pace.pieces) *
                              (1 + m_random.NextBelow(kMaxBodyPieceBytes)),
                          'o');
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
  const double factor =
      m_random.NextFraction() < kStaleShare
          ? 1 + (kMaxStaleFactor - 1) * m_random.NextFraction()
          : 1;
  directory.expires =
      emulator::ReadMonotonicClock() +
      Duration(std::llround(answer.at("ttl-s").to_number<double>() * factor *
                            1'000'000));
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
  call.connection = nullptr;
  if (m_random.NextFraction() < kAnyKeptShare) {
    call.connection = TakeAnyIdle(call.address);
  } else if (call.route->idempotent && m_random.NextFraction() < kKeptShare) {
    call.connection = TakeIdle(call.address);
  }
  call.is_kept = call.connection != nullptr;
  if (call.is_kept) {
    OnOpened(number, true);
    return;
  }
  call.connection = std::make_shared<PacedConnection>(m_io.Context());
  call.connection->Open(
      call.address, kConnectTimeout,
      [this, number](bool opened) { OnOpened(number, opened); });
}

HttpRequest CallerStandIn::BeginSend(Call& call) {
  SentRequest sent;
  sent.idempotent = call.route->idempotent;
  sent.address = call.address;
  sent.timeout = call.route->timeout;
  sent.deadline = call.route->deadline;
  sent.kind = absl::StrCat(
      call.target, call.is_kept ? ", kept connection" : ", new connection",
      call.pace.closes && !call.is_kept ? " to be closed" : "",
      call.pace.chunked ? ", chunks" : "", ", ", call.body.size(), " bytes in ",
      call.pace.pieces, " pieces over ", call.pace.write_time.count() / 1000,
      " ms", call.pace.reads_slowly ? ", slow reader" : "");
  m_ledger.OnSent(call.attempt, std::move(sent),
                  emulator::ReadMonotonicClock());
  HttpRequest request;
  request.method = call.route->idempotent ? "GET" : "POST";
  request.target = call.target;
  request.headers = {
      {"Attempt-Id", call.attempt},
      {"Deadline-Ms", std::to_string(call.route->deadline.count() / 1000)},
      {"Cookie", absl::StrCat("Affinity-Key=", call.target)}};
  request.body = call.body;
  return request;
}

void CallerStandIn::OnOpened(std::uint64_t number, bool opened) {
  Call& call = m_calls.at(number);
  const HttpRequest request = BeginSend(call);
  if (!opened) {
    OnAnswered(number, {});
    return;
  }
  ExchangePace pace = call.pace;
  pace.closes = pace.closes && !call.is_kept;
  call.connection->Send(
      request, m_settings.host, pace,
      call.route->deadline + kAnswerMargin + pace.write_time,
      [this, attempt = call.attempt] {
        m_ledger.OnLastByte(attempt, emulator::ReadMonotonicClock());
      },
      [this, number](const ExchangeResult& result) {
        OnAnswered(number, result);
      });
}

void CallerStandIn::OnAnswered(std::uint64_t number,
                               const ExchangeResult& result) {
  Call& call = m_calls.at(number);
  const std::int32_t status = result.answer.status;
  const bool served = status == kOk;
  const bool whole =
      !served ||
      (result.answer.body == UpstreamAnswerBody(call.attempt, call.target) &&
       FindHeader(result.answer.headers, "Server-Seal") == "sealed");
  m_ledger.OnAnswer(call.attempt, result.end, status, whole,
                    emulator::ReadMonotonicClock());
  Keep(call);
  if (call.attempts < kMaxAttempts &&
      MayRepeat(call.route->idempotent, status)) {
    m_io.PostAfter(kRetryPause, [this, number] { Try(number); });
    return;
  }
  End(number, served);
}

void CallerStandIn::End(std::uint64_t number, bool served) {
  const auto found = m_calls.find(number);
  m_ledger.OnRequestEnd(found->second.started, served);
  m_calls.erase(found);
}

void CallerStandIn::Keep(Call& call) {
  std::vector<std::shared_ptr<PacedConnection>>& idle = IdleAt(call.address);
  if (idle.size() >= kMaxKept) {
    call.connection->Close();
  } else if (call.connection->IsIdle()) {
    idle.push_back(std::move(call.connection));
  }
}

std::vector<std::shared_ptr<PacedConnection>>& CallerStandIn::IdleAt(
    const std::string& address) {
  std::vector<std::shared_ptr<PacedConnection>>& idle = m_idle[address];
  std::erase_if(idle, [](const std::shared_ptr<PacedConnection>& connection) {
    return !connection->IsIdle();
  });
  return idle;
}

std::shared_ptr<PacedConnection> CallerStandIn::TakeIdle(
    const std::string& address) {
  std::vector<std::shared_ptr<PacedConnection>>& idle = IdleAt(address);
  if (idle.empty()) {
    return nullptr;
  }
  std::shared_ptr<PacedConnection> taken = std::move(idle.back());
  idle.pop_back();
  return taken;
}

std::shared_ptr<PacedConnection> CallerStandIn::TakeAnyIdle(
    std::string& address) {
  if (m_idle.empty()) {
    return nullptr;
  }
  const auto chosen =
      std::next(m_idle.begin(),
                static_cast<std::ptrdiff_t>(m_random.NextBelow(m_idle.size())));
  std::shared_ptr<PacedConnection> taken = TakeIdle(chosen->first);
  if (taken != nullptr) {
    address = chosen->first;
  }
  return taken;
}

void CallerStandIn::Discard(std::unique_ptr<HttpConnection> connection) {
  // Its own callback may be running.
  const std::shared_ptr<HttpConnection> ended = std::move(connection);
  m_io.Post([ended] {});
}

}  // namespace kumquatcove::stand_in
