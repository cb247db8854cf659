#include "dispatch/request_log.h"

#include <utility>
#include <vector>

#include <absl/strings/str_format.h>

namespace kumquatcove {
namespace {

/** Returns the name of the log line at the end of a request. The reason of a
 * request that its caller abandoned has no meaning. */
std::string EndEventName(const DispatchRequest& request,
                         const CallerAnswer& answer) {
  if (request.abandoned) {
    return "request_abandoned";
  }
  return answer.outcome == Outcome::kRan ? "request_answered"
                                         : "request_refused";
}

std::string FormatMicroseconds(Duration time) {
  return std::to_string(time.count());
}

}  // namespace

std::string FormatRate(std::optional<double> rate) {
  return rate ? absl::StrFormat("%.3g", *rate) : "none";
}

void RecordRequestEnd(Context& context,
                      const DispatchRequest& request,
                      const CallerAnswer& answer) {
  std::vector<TimelineField> fields = {
      {"attempt", request.attempt},
      {"route", request.route == nullptr ? "" : request.route->name},
      {"service", request.service.Text()},
      {"configuration", std::to_string(request.table->Version())},
      {"outcome", std::string(ToString(answer.outcome))},
      {"reason", std::string(ToString(answer.reason))},
      {"status", std::to_string(answer.http.status)},
      {"sends", std::to_string(request.sends)},
      {"abandoned", request.abandoned ? "true" : "false"},
      {"duration_us", FormatMicroseconds(context.Now() - request.arrived)}};
  if (request.last) {
    const ActiveSend& send = *request.last;
    fields.push_back({"upstream", send.upstream.Text()});
    fields.push_back({"object", std::to_string(request.placement.object)});
    fields.push_back(
        {"familiarity", std::string(ToString(send.choice.prediction))});
    fields.push_back(
        {"waited_us", FormatMicroseconds(send.started - request.arrived)});
    fields.push_back(
        {"work_us", FormatMicroseconds(context.Now() - send.sent_at)});
    fields.push_back(
        {"expected_us", FormatMicroseconds(send.choice.completion)});
    fields.push_back(
        {"occupancy", absl::StrFormat("%.1f", send.choice.occupancy)});
    if (send.allowance) {
      fields.push_back({"sent_by", std::string(ToString(*send.allowance))});
    }
    if (send.choice.rate_limit) {
      fields.push_back({"rate_limit", FormatRate(send.choice.rate_limit)});
    }
  }
  if (request.awaited) {
    fields.push_back({"awaited", request.awaited->Text()});
  }
  if (request.considered) {
    const PlacementChoice& choice = *request.considered;
    fields.push_back({"best", choice.upstream.Text()});
    fields.push_back(
        {"best_completion_us", FormatMicroseconds(choice.completion)});
    fields.push_back(
        {"best_occupancy", absl::StrFormat("%.1f", choice.occupancy)});
    fields.push_back(
        {"left_us", FormatMicroseconds(request.deadline - context.Now())});
    if (choice.rate_limit) {
      fields.push_back({"best_rate_limit", FormatRate(choice.rate_limit)});
    }
  }
  context.Record(EndEventName(request, answer), FormatRequestId(request.id),
                 std::move(fields));
}

}  // namespace kumquatcove
