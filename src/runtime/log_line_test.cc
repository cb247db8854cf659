#include "runtime/log_line.h"

#include <doctest/doctest.h>

namespace kumquatcove {

TEST_CASE("Values cannot inject further pairs or lines") {
  CHECK(LogLine("e").Add("k", "a b=\"c\"\nevent=x\x80").Text() ==
        R"(event=e k="a b=\"c\"\x0aevent=x\x80")");
  CHECK(LogLine("e").Add("k", "a\"b").Text() == R"(event=e k="a\"b")");
  CHECK(LogLine("e").Add("k y", "").Add("n", 5).Text() ==
        R"(event=e k_y="" n=5)");
}

TEST_CASE(
    "Long values are truncated, so that one request cannot fill the log") {
  CHECK(LogLine("e").Add("k", std::string(5000, 'x')).Text().size() < 1100);
}

TEST_CASE("A timeline event is one line with its subject and fields") {
  const TimelineEvent event{{5, 2},
                            InstanceId("e1"),
                            "claim_granted",
                            "key 1",
                            {{"service", "caja"}}};
  CHECK(FormatTimelineEvent(event) ==
        "event=claim_granted subject=\"key 1\" instance=e1 hybrid_time=5.2 "
        "service=caja");
}

TEST_CASE("An event can be parsed from its log line") {
  const TimelineEvent event{{5'000'000, 2},
                            InstanceId("e1"),
                            "request_refused",
                            "key 1",
                            {{"problem", "a \"b\"\n=c\x80"}, {"empty", ""}}};
  const std::string line = FormatTimelineEvent(event);
  CHECK(ParseTimelineEvent(line) == event);
  CHECK(ParseTimelineEvent("I20261204 12:00:00.1 7 a.cc:1] " + line + "\n") ==
        event);
}

TEST_CASE("Truncated and unrelated lines are handled") {
  CHECK_FALSE(ParseTimelineEvent("").has_value());
  CHECK_FALSE(ParseTimelineEvent("a line of another program").has_value());
  const auto torn = ParseTimelineEvent("event=started subject=\"e1");
  REQUIRE(torn.has_value());
  CHECK(torn->subject == "e1");
  CHECK(ParseTimelineEvent("event=started hybrid_time=x.y instance=")
            .has_value());
}

}  // namespace kumquatcove
