#ifndef RUNTIME_TEST_SUPPORT_H_
#define RUNTIME_TEST_SUPPORT_H_

#include <array>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <future>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "runtime/event_sink.h"
#include "runtime/http_handler.h"
#include "runtime/request_server.h"

namespace kumquatcove {

/** Maximum time that a test waits for an expected event. */
inline constexpr std::chrono::seconds kTestTimeout(10);

/** Records values and allows a test to wait for them. */
template <class T>
class Recorder {
 public:
  void Add(T value) {
    const std::lock_guard lock(m_mutex);
    m_values.push_back(std::move(value));
    m_changed.notify_all();
  }

  /** Waits until `count` values are recorded. Returns false on timeout. */
  bool WaitForCount(std::size_t count) const {
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, kTestTimeout,
                              [&] { return m_values.size() >= count; });
  }

  std::vector<T> Values() const {
    const std::lock_guard lock(m_mutex);
    return m_values;
  }

 private:
  mutable std::mutex m_mutex;
  mutable std::condition_variable m_changed;
  std::vector<T> m_values;
};

/** Event sink that records events. */
class RecordingEvents : public EventSink, public Recorder<Event> {
 public:
  void Post(Event event) override { Add(std::move(event)); }

  /** Waits for event `index` and returns it. Returns `std::nullopt` on timeout
   * or if it is not of type `T`. */
  template <class T>
  std::optional<T> Get(std::size_t index) const {
    if (!WaitForCount(index + 1)) {
      return std::nullopt;
    }
    const std::vector<Event> events = Values();
    const auto* found = std::get_if<T>(&events[index]);
    return found != nullptr ? std::optional<T>(*found) : std::nullopt;
  }
};

/** HTTP handler that answers with the result of a function, and does not answer
 * if the function returns `std::nullopt`. */
class ScriptedHandler : public HttpHandler {
 public:
  using Script = std::function<std::optional<HttpAnswer>(const HttpRequest&)>;

  explicit ScriptedHandler(Script script) : m_script(std::move(script)) {}
  void SetServer(RequestServer& server) { m_server = &server; }

  void OnRequest(ServedRequest request) override {
    std::optional<HttpAnswer> answer = m_script(request.http);
    m_last = request.exchange;
    requests.Add(request.http);
    if (answer) {
      m_server->Answer(request.exchange, std::move(*answer));
    }
  }
  /** Answers the last request; on the server's thread. */
  void AnswerLast() { m_server->Answer(m_last, HttpAnswer{200, {}, ""}); }
  void OnClientDisconnected(ExchangeId exchange) override {
    disconnected.Add(exchange);
  }
  HttpAnswer OnMalformed(std::int32_t status,
                         std::string_view problem) override {
    HttpAnswer answer;
    answer.status = status;
    answer.body = problem;
    return answer;
  }

  Recorder<HttpRequest> requests;
  Recorder<ExchangeId> disconnected;

 private:
  Script m_script;
  RequestServer* m_server = nullptr;
  ExchangeId m_last;
};

/** Loopback server that answers with a ScriptedHandler::Script. The destructor
 * stops it. */
class ScriptedServer {
 public:
  explicit ScriptedServer(ScriptedHandler::Script script,
                          RequestServerLimits limits = {})
      : handler(std::move(script)),
        server(m_io, "127.0.0.1:0", limits, handler) {
    handler.SetServer(server);
    m_io.Start();
  }
  ~ScriptedServer() { m_io.Stop(); }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(server.Port());
  }

  /** Runs `work` on the server's thread and waits until it returns. */
  void Run(const std::function<void()>& work) {
    std::promise<void> done;
    m_io.Post([&] {
      work();
      done.set_value();
    });
    done.get_future().wait();
  }

  /** Runs `work` on the server's thread some time later. */
  void Post(std::function<void()> work) { m_io.Post(std::move(work)); }

 private:
  IoThread m_io;

 public:
  ScriptedHandler handler;
  RequestServer server;
};

/** Blocking TCP client that sends and receives raw bytes. */
class RawClient {
 public:
  explicit RawClient(std::uint16_t port) : m_stream(m_context) {
    m_stream.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  }

  /** Sends bytes. Errors are ignored, since a server may close the connection
   * early. */
  void Send(std::string_view bytes) {
    boost::system::error_code ignored;
    boost::asio::write(m_stream.socket(),
                       boost::asio::buffer(bytes.data(), bytes.size()),
                       ignored);
  }

  /** Reads until `wanted` is received, the peer closes the connection or
   * kTestTimeout expires. Returns all bytes read so far. */
  std::string ReadUntil(std::string_view wanted) {
    while (m_read.find(wanted) == std::string::npos && ReadSome()) {
    }
    return m_read;
  }

  /** Reads until the peer closes the connection. Returns false on timeout. */
  bool ReadToEnd() {
    while (ReadSome()) {
    }
    return m_closed;
  }

  void Close() { m_stream.close(); }

 private:
  bool ReadSome() {
    std::array<char, 4096> buffer{};
    bool done = false;
    std::size_t size = 0;
    m_stream.expires_after(kTestTimeout);
    m_stream.async_read_some(
        boost::asio::buffer(buffer),
        [&](const boost::system::error_code& error, std::size_t count) {
          done = !error;
          size = count;
          m_closed = error && error != boost::beast::error::timeout;
        });
    m_context.restart();
    m_context.run();
    m_read.append(buffer.data(), size);
    return done;
  }

  boost::asio::io_context m_context;
  boost::beast::tcp_stream m_stream;
  std::string m_read;
  bool m_closed = false;
};

}  // namespace kumquatcove

#endif  // RUNTIME_TEST_SUPPORT_H_
