#include "platform/stand_in/paced_connection.h"

#include <future>
#include <memory>
#include <optional>
#include <string>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <boost/asio/ip/address_v4.hpp>

#include "emulator/http_server.h"
#include "emulator/steady_clock.h"
#include "platform/stand_in/soak_instances.h"
#include "runtime/invalid_answers.h"
#include "runtime/io_thread.h"
#include "runtime/one_answer_server.h"

namespace kumquatcove::stand_in {
namespace {

using Session = std::shared_ptr<emulator::HttpSession>;

/** Exchanges one request with a server that `handler` plays. */
ExchangeResult Exchange(const ExchangePace& pace,
                        const emulator::HttpSession::Handler& handler,
                        std::string body = "an order",
                        Duration* sent_after = nullptr) {
  IoThread io;
  emulator::HttpServer server(
      io.Context(), {boost::asio::ip::address_v4::loopback(), 0}, handler);
  io.Start();
  std::promise<ExchangeResult> ended;
  std::shared_ptr<PacedConnection> connection;
  RunAndWait(io, [&] {
    server.Open();
    connection = std::make_shared<PacedConnection>(io.Context());
    connection->Open(
        absl::StrCat("127.0.0.1:", server.Port()), Seconds(1), [&](bool) {
          HttpRequest request;
          request.method = "POST";
          request.target = "/order/1";
          request.body = std::move(body);
          const MonotonicTime begin = emulator::ReadMonotonicClock();
          connection->Send(
              request, "shop.example", pace, Seconds(5),
              [begin, sent_after] {
                if (sent_after != nullptr) {
                  *sent_after = emulator::ReadMonotonicClock() - begin;
                }
              },
              [&](ExchangeResult result) {
                ended.set_value(std::move(result));
              });
        });
  });
  ExchangeResult result = ended.get_future().get();
  RunAndWait(io, [&] {
    connection->Close();
    server.StopListening();
    server.ResetConnections();
  });
  io.Stop();
  return result;
}

TEST_CASE("A body in chunks and pieces arrives whole, and its last byte late") {
  std::string got;
  Duration sent_after(0);
  const ExchangeResult result = Exchange(
      {.chunked = true, .pieces = 4, .write_time = Milliseconds(200)},
      [&](const Session& session) {
        got = session->GetRequest().body();
        session->Respond({200, {}, "done"});
      },
      "in four pieces", &sent_after);
  CHECK(result.end == ExchangeEnd::kAnswered);
  CHECK(result.answer.body == "done");
  CHECK(got == "in four pieces");
  CHECK(sent_after >= Milliseconds(150));
}

TEST_CASE("A large answer that is read slowly is whole") {
  const std::string large(1'000'000, 'x');
  const MonotonicTime begin = emulator::ReadMonotonicClock();
  const ExchangeResult result =
      Exchange({.reads_slowly = true}, [&](const Session& session) {
        session->Respond({200, {}, large});
      });
  CHECK(result.end == ExchangeEnd::kAnswered);
  CHECK(result.answer.body == large);
  CHECK(emulator::ReadMonotonicClock() - begin >= Milliseconds(300));
}

TEST_CASE("An orderly end differs from a reset") {
  CHECK(Exchange({}, [](const Session& session) { session->Close(); }).end ==
        ExchangeEnd::kClosed);
  CHECK(Exchange({}, [](const Session& session) { session->Reset(); }).end ==
        ExchangeEnd::kReset);
}

// Guards against a soak that doesn't notice an instance which passes on bytes
// that are no answer.
TEST_CASE("An invalid answer differs from an answer and from a reset") {
  for (const std::string& bytes : MakeInvalidAnswers()) {
    CAPTURE(bytes);
    const OneAnswerServer server(bytes);
    boost::asio::io_context io;
    const auto connection = std::make_shared<PacedConnection>(io);
    std::optional<ExchangeEnd> end;
    connection->Open(server.Address(), Seconds(1), [&](bool) {
      HttpRequest request;
      request.method = "GET";
      request.target = "/browse/1";
      connection->Send(
          request, "shop.example", {}, Seconds(5), [] {},
          [&](const ExchangeResult& result) { end = result.end; });
    });
    io.run();
    CHECK(end == ExchangeEnd::kInvalid);
  }
}

// A server that closes with unread bytes ends the stream and then resets it.
TEST_CASE("A server that hasn't read all resets the connection") {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(
      io, {boost::asio::ip::address_v4::loopback(), 0});
  acceptor.async_accept([](boost::system::error_code /*error*/,
                           boost::asio::ip::tcp::socket socket) {
    const auto kept =
        std::make_shared<boost::asio::ip::tcp::socket>(std::move(socket));
    kept->async_wait(
        boost::asio::ip::tcp::socket::wait_read,
        [kept](boost::system::error_code /*error*/) {
          boost::system::error_code ignored;
          kept->shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
          kept->close(ignored);
        });
  });
  const auto connection = std::make_shared<PacedConnection>(io);
  std::optional<ExchangeEnd> end;
  connection->Open(
      absl::StrCat("127.0.0.1:", acceptor.local_endpoint().port()), Seconds(1),
      [&](bool) {
        HttpRequest request;
        request.method = "POST";
        request.target = "/order/1";
        connection->Send(
            request, "shop.example", {}, Seconds(5), [] {},
            [&](const ExchangeResult& result) { end = result.end; });
      });
  io.run();
  CHECK(end == ExchangeEnd::kReset);
}

}  // namespace
}  // namespace kumquatcove::stand_in
