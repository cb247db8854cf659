#include "runtime/log_output.h"

#include <algorithm>
#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#define DOCTEST_CONFIG_NO_SHORT_MACRO_NAMES
#include <doctest/doctest.h>

namespace kumquatcove {
namespace {

/** A log output that writes to a pipe, which is read only on request. */
class PipeFixture {
 public:
  PipeFixture() = default;
  ~PipeFixture() {
    ::close(m_ends[0]);
    ::close(m_ends[1]);
  }
  PipeFixture(const PipeFixture&) = delete;
  PipeFixture& operator=(const PipeFixture&) = delete;

  void Write(const std::string& text) {
    m_output.send(google::GLOG_INFO, "a/file.cc", "file.cc", 7,
                  google::LogMessageTime(), text.data(), text.size());
  }

  std::uint64_t TakeDropped() { return m_output.TakeDropped(); }

  /** Returns the text written since the last call. */
  std::string Read() {
    std::string text;
    std::array<char, 4096> buffer{};
    ssize_t size = 0;
    while ((size = ::read(m_ends[0], buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return text;
  }

 private:
  static std::array<int, 2> Open() {
    std::array<int, 2> ends{};
    DOCTEST_REQUIRE(::pipe(ends.data()) == 0);
    DOCTEST_REQUIRE(::fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
    return ends;
  }

  std::array<int, 2> m_ends = Open();
  LogOutput m_output{m_ends[1]};
};

}  // namespace

DOCTEST_TEST_CASE("A line is written completely, with the log prefix") {
  PipeFixture fixture;
  fixture.Write("event=started");
  const std::string text = fixture.Read();
  DOCTEST_CHECK(text.starts_with("I"));
  DOCTEST_CHECK(text.ends_with("file.cc:7] event=started\n"));
  DOCTEST_CHECK(fixture.TakeDropped() == 0);
}

// Guards against a process that blocks because its log is not read.
DOCTEST_TEST_CASE("Lines that are not read are dropped and counted") {
  PipeFixture fixture;
  constexpr std::uint64_t kLines = 5'000;
  for (std::uint64_t i = 0; i < kLines; ++i) {
    fixture.Write("event=request_refused number=" + std::to_string(i));
  }
  const std::uint64_t dropped = fixture.TakeDropped();
  DOCTEST_CHECK(dropped > 0);
  const std::string text = fixture.Read();
  DOCTEST_CHECK(static_cast<std::uint64_t>(std::count(
                    text.begin(), text.end(), '\n')) == kLines - dropped);
  DOCTEST_CHECK(text.ends_with('\n'));
  fixture.Write("event=started");
  DOCTEST_CHECK(fixture.TakeDropped() == 0);
}

DOCTEST_TEST_CASE("A line that is too long is truncated") {
  PipeFixture fixture;
  fixture.Write(std::string(2 * LogOutput::kMaxLineBytes, 'x'));
  const std::string text = fixture.Read();
  DOCTEST_CHECK(text.size() == LogOutput::kMaxLineBytes);
  DOCTEST_CHECK(text.ends_with('\n'));
}

}  // namespace kumquatcove
