#include "emulator/platform.h"

#include <chrono>
#include <string_view>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "base/json_codec.h"
#include "emulator/json_merge.h"
#include "emulator/steady_clock.h"

namespace kumquatcove::emulator {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kCopy = "/copy";
constexpr std::string_view kRestore = "/restore";
constexpr std::string_view kObjects = "/objects/";
constexpr std::string_view kInstance = "/instances/";
constexpr std::string_view kLeaving = "/leaving/";
/** Objects that a run may leave behind; more are refused. */
constexpr std::size_t kMaxObjects = 100'000;

std::string Path(const HttpSession::Request& request) {
  const std::string target(request.target());
  return std::string(TargetPath(target));
}

HttpAnswer Problem(std::int32_t status, const std::string& message) {
  return JsonAnswer(status, boost::json::serialize(boost::json::object{
                                {"error", message}, {"message", message}}));
}

HttpAnswer Overloaded() {
  return Problem(503, "too many requests");
}

boost::json::value Parse(const HttpSession::Request& request) {
  return request.body().empty() ? boost::json::value(boost::json::object{})
                                : boost::json::parse(request.body());
}

}  // namespace

Platform::Platform(boost::asio::io_context& io,
                   const PlatformSettings& settings)
    : m_io(io),
      m_instances(Milliseconds(settings.list_lag_ms)),
      m_reads(settings.reads_per_second),
      m_writes(settings.writes_per_second),
      m_random(settings.seed) {}

void Platform::Handle(const std::shared_ptr<HttpSession>& session) {
  const Request& request = session->GetRequest();
  const std::string path = Path(request);
  try {
    if (path == "/faults" || path == "/counters") {
      session->Respond(Control(request));
    } else if (path == kCopy || path == kRestore) {
      session->Respond(Backup(path));
    } else if (path == "/instances" || path.starts_with(kInstance) ||
               path.starts_with(kLeaving)) {
      if (m_faults.instance_list_down) {
        session->Reset();
        return;
      }
      session->Respond(Instances(request));
    } else {
      HandleStore(session);
    }
  } catch (const std::exception& error) {
    session->Respond(Problem(400, error.what()));
  }
}

HttpAnswer Platform::Control(const Request& request) {
  if (Path(request) == "/counters") {
    return JsonAnswer(200, boost::json::serialize(ToJson(m_counters)));
  }
  if (request.method() == http::verb::post) {
    m_faults = MergeJson(m_faults, Parse(request));
  }
  return JsonAnswer(200, boost::json::serialize(ToJson(m_faults)));
}

HttpAnswer Platform::Backup(const std::string& path) {
  if (path == kCopy) {
    m_copy = m_table;
  } else if (m_copy) {
    m_table.Restore(*m_copy);
  } else {
    return Problem(409, "there is no copy to restore");
  }
  return JsonAnswer(200, boost::json::serialize(boost::json::object{
                             {"cluster_id", m_table.ClusterId()},
                             {"revision", m_table.Revision()}}));
}

HttpAnswer Platform::Instances(const Request& request) {
  const std::string path = Path(request);
  const MonotonicTime now = ReadMonotonicClock();
  if (path == "/instances") {
    return JsonAnswer(200,
                      boost::json::serialize(ToJson(m_instances.Report(now))));
  }
  const bool remove = request.method() == http::verb::delete_;
  if (!remove && request.method() != http::verb::put) {
    return Problem(405, "expected PUT or DELETE");
  }
  if (path.starts_with(kLeaving)) {
    m_instances.SetLeaving(UpstreamId(path.substr(kLeaving.size())), !remove,
                           now);
    return JsonAnswer(200, "{}");
  }
  const InstanceId name(path.substr(kInstance.size()));
  if (remove) {
    m_instances.Remove(name, now);
  } else {
    ListedInstance defaults;
    defaults.instance = name;
    m_instances.Put(MergeJson(defaults, Parse(request)), now);
  }
  return JsonAnswer(200, "{}");
}

void Platform::HandleStore(const std::shared_ptr<HttpSession>& session) {
  if (m_faults.down) {
    session->Reset();
  } else if (m_faults.silent) {
    session->Silence();
  } else if (m_faults.late_effect_ms > 0) {
    After(m_faults.late_effect_ms, [this, request = session->GetRequest()] {
      try {
        Execute(request);
      } catch (const std::exception&) {
        // A malformed request has no effect, late or not.
        return;
      }
    });
    session->Close();
  } else if (m_faults.delay_ms > 0) {
    After(m_faults.delay_ms, [this, session] { Finish(session); });
  } else {
    Finish(session);
  }
}

void Platform::Finish(const std::shared_ptr<HttpSession>& session) {
  const bool lost = m_random.NextFraction() < m_faults.lose_replies;
  HttpAnswer answer;
  try {
    answer = Execute(session->GetRequest());
  } catch (const std::exception& error) {
    answer = Problem(400, error.what());
  }
  if (lost) {
    session->Close();
  } else {
    session->Respond(answer);
  }
}

HttpAnswer Platform::Execute(const Request& request) {
  const std::string path = Path(request);
  if (path.starts_with(kObjects)) {
    return Object(request, path.substr(kObjects.size()));
  }
  if (request.method() == http::verb::post && path == "/v3/kv/range") {
    return Range(request);
  }
  if (request.method() == http::verb::post && path == "/v3/kv/txn") {
    return Transaction(request);
  }
  return Problem(404, "not found");
}

HttpAnswer Platform::Range(const Request& request) {
  const TableRange range = RangeFromGateway(Parse(request));
  if (!AllowRead()) {
    return Overloaded();
  }
  return JsonAnswer(200, boost::json::serialize(
                             RangeToGateway(m_table.Range(range), Header())));
}

HttpAnswer Platform::Transaction(const Request& request) {
  const TableTransaction transaction = TransactionFromGateway(Parse(request));
  if (!(IsWrite(transaction) ? AllowWrite() : AllowRead())) {
    return Overloaded();
  }
  const TableTransactionResult result = m_table.Run(transaction);
  return JsonAnswer(
      200, boost::json::serialize(TransactionToGateway(result, Header())));
}

HttpAnswer Platform::Object(const Request& request, const std::string& key) {
  if (request.method() == http::verb::put) {
    if (!AllowWrite()) {
      return Overloaded();
    }
    if (m_objects.size() >= kMaxObjects && m_objects.count(key) == 0) {
      return Problem(507, "too many objects");
    }
    m_objects[key] = request.body();
    return {200, {}, ""};
  }
  if (request.method() != http::verb::get) {
    return Problem(405, "expected GET or PUT");
  }
  if (!AllowRead()) {
    return Overloaded();
  }
  const auto found = m_objects.find(key);
  return found == m_objects.end()
             ? Problem(404, "no such object")
             : HttpAnswer{200,
                          {{"Content-Type", "application/octet-stream"}},
                          found->second};
}

bool Platform::AllowRead() {
  const bool allowed = m_reads.Take(ReadMonotonicClock());
  ++(allowed ? m_counters.reads : m_counters.refused);
  return allowed;
}

bool Platform::AllowWrite() {
  const bool allowed = m_writes.Take(ReadMonotonicClock());
  ++(allowed ? m_counters.writes : m_counters.refused);
  return allowed;
}

void Platform::After(std::int64_t milliseconds, std::function<void()> action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      m_io, std::chrono::milliseconds(milliseconds));
  timer->async_wait(
      [timer, action = std::move(action)](boost::system::error_code error) {
        if (!error) {
          action();
        }
      });
}

}  // namespace kumquatcove::emulator
