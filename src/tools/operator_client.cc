#include "tools/operator_client.h"

#include <thread>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "base/json_codec.h"
#include "emulator/steady_clock.h"
#include "tools/http_client.h"

namespace kumquatcove {
namespace {

constexpr Duration kRoundPause = Milliseconds(300);
/** Entry instances begin the message with it if the store did not reply to the
 * write of an edit. */
constexpr std::string_view kUnknownPrefix = "unknown:";

ExitCode ToExitCode(OperatorResult result) {
  switch (result) {
    case OperatorResult::kOk:
      return ExitCode::kOk;
    case OperatorResult::kInvalid:
      return ExitCode::kInvalid;
    case OperatorResult::kForbidden:
      return ExitCode::kForbidden;
    case OperatorResult::kConflict:
      return ExitCode::kConflict;
    case OperatorResult::kUnavailable:
      return ExitCode::kUnavailable;
  }
  return ExitCode::kUnavailable;
}

/** Returns what the HTTP server says of an error, followed by a separator, or
 * nothing. */
std::string ErrorText(const std::string& body) {
  boost::system::error_code error;
  const boost::json::value json = boost::json::parse(body, error);
  const auto* object = error ? nullptr : json.if_object();
  const auto* text = object ? object->if_contains("error") : nullptr;
  return text != nullptr && text->is_string()
             ? std::string(text->get_string()) + "; "
             : std::string();
}

/** Takes an answer that isn't an OperatorAnswer, such as one of the HTTP server
 * itself. */
CommandOutcome FromStatus(const HttpAnswer& answer) {
  CommandOutcome outcome;
  outcome.answer.result = OperatorResult::kUnavailable;
  outcome.answer.message =
      ErrorText(answer.body) + "HTTP status " + std::to_string(answer.status);
  if (answer.status == 401 || answer.status == 403) {
    outcome.code = ExitCode::kForbidden;
    outcome.answer.result = OperatorResult::kForbidden;
  } else if (answer.status >= 400 && answer.status < 500) {
    outcome.code = ExitCode::kInvalid;
  } else if (answer.status != 503) {
    outcome.code = ExitCode::kOutcomeUnknown;
  }
  return outcome;
}

CommandOutcome FromAnswer(const HttpAnswer& answer) {
  try {
    CommandOutcome outcome;
    outcome.answer = FromJson<OperatorAnswer>(boost::json::parse(answer.body));
    outcome.code = ToExitCode(outcome.answer.result);
    if (outcome.code == ExitCode::kUnavailable &&
        outcome.answer.message.starts_with(kUnknownPrefix)) {
      outcome.code = ExitCode::kOutcomeUnknown;
    }
    return outcome;
  } catch (const std::exception&) {
    return FromStatus(answer);
  }
}

bool IsDefinite(ExitCode code) {
  return code != ExitCode::kUnavailable && code != ExitCode::kOutcomeUnknown;
}

}  // namespace

CommandOutcome OperatorClient::Send(const OperatorCommand& command) const {
  const MonotonicTime give_up =
      emulator::ReadMonotonicClock() + m_settings.total_timeout;
  CommandOutcome last;
  last.answer.message = "no entry instance answered";
  bool may_have_run = false;
  while (true) {
    for (const std::string& entry : m_settings.entries) {
      last = SendTo(entry, command);
      if (IsDefinite(last.code)) {
        return last;
      }
      may_have_run = may_have_run || last.code == ExitCode::kOutcomeUnknown;
      if (emulator::ReadMonotonicClock() >= give_up) {
        break;
      }
    }
    if (emulator::ReadMonotonicClock() + kRoundPause >= give_up) {
      break;
    }
    std::this_thread::sleep_for(kRoundPause);
  }
  const bool is_edit = std::holds_alternative<ApplyCommand>(command);
  last.code = is_edit && may_have_run ? ExitCode::kOutcomeUnknown
                                      : ExitCode::kUnavailable;
  return last;
}

CommandOutcome OperatorClient::SendTo(const std::string& entry,
                                      const OperatorCommand& command) const {
  const HttpResult result =
      SendHttp(entry,
               {"POST",
                "/operator/v1/command",
                {{"Authorization", "Bearer " + m_settings.token},
                 {"Content-Type", "application/json"}},
                boost::json::serialize(ToJson(command))},
               m_settings.attempt_timeout);
  CommandOutcome outcome;
  outcome.answer.result = OperatorResult::kUnavailable;
  if (const auto* answer = std::get_if<HttpAnswer>(&result)) {
    outcome = FromAnswer(*answer);
  } else if (std::get<HttpFailure>(result) == HttpFailure::kNotSent) {
    outcome.answer.message = "no connection to " + entry;
  } else {
    outcome.code = ExitCode::kOutcomeUnknown;
    outcome.answer.message = "no reply from " + entry;
  }
  outcome.entry = entry;
  return outcome;
}

}  // namespace kumquatcove
