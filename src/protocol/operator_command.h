#ifndef PROTOCOL_OPERATOR_COMMAND_H_
#define PROTOCOL_OPERATOR_COMMAND_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/describe/class.hpp>

#include "base/enum_table.h"
#include "base/name.h"
#include "catalogue/entry.h"

namespace kumquatcove {

/** New body of one entry; `expected_revision` 0 creates the entry. */
struct EntryEdit {
  std::int64_t expected_revision = 0;
  EntryBody body;
  friend bool operator==(const EntryEdit&, const EntryEdit&) = default;
};
BOOST_DESCRIBE_STRUCT(EntryEdit, (), (expected_revision, body))

/** Applies edits of several entries atomically. Repeating the command with the
 * same `edit` has no further effect. */
struct ApplyCommand {
  static constexpr std::string_view kName = "apply";
  EditId edit;
  std::vector<EntryEdit> edits;
  friend bool operator==(const ApplyCommand&, const ApplyCommand&) = default;
};
BOOST_DESCRIBE_STRUCT(ApplyCommand, (), (edit, edits))

/** Requests the active catalogue of this instance. */
struct GetCatalogueCommand {
  static constexpr std::string_view kName = "get_catalogue";
  friend bool operator==(const GetCatalogueCommand&,
                         const GetCatalogueCommand&) = default;
};
BOOST_DESCRIBE_STRUCT(GetCatalogueCommand, (), ())

/** Requests the edits recorded in the store, newest first. */
struct HistoryCommand {
  static constexpr std::string_view kName = "history";
  friend bool operator==(const HistoryCommand&,
                         const HistoryCommand&) = default;
};
BOOST_DESCRIBE_STRUCT(HistoryCommand, (), ())

/** Requests the state of this instance and of its members. */
struct StatusCommand {
  static constexpr std::string_view kName = "status";
  friend bool operator==(const StatusCommand&, const StatusCommand&) = default;
};
BOOST_DESCRIBE_STRUCT(StatusCommand, (), ())

/** Requests timeline events. An empty `subject` requests all stored events. */
struct TimelineCommand {
  static constexpr std::string_view kName = "timeline";
  /** Request id, idempotency key, edit id or upstream by which events are
   * filtered. */
  std::string subject;
  friend bool operator==(const TimelineCommand&,
                         const TimelineCommand&) = default;
};
BOOST_DESCRIBE_STRUCT(TimelineCommand, (), (subject))

using OperatorCommand = std::variant<ApplyCommand,
                                     GetCatalogueCommand,
                                     HistoryCommand,
                                     StatusCommand,
                                     TimelineCommand>;

enum class OperatorResult {
  kOk,
  kInvalid,
  kForbidden,
  kConflict,
  kUnavailable
};

constexpr auto EnumNames(OperatorResult) {
  using Row = EnumName<OperatorResult>;
  return std::array{Row{OperatorResult::kOk, "ok"},
                    Row{OperatorResult::kInvalid, "invalid"},
                    Row{OperatorResult::kForbidden, "forbidden"},
                    Row{OperatorResult::kConflict, "conflict"},
                    Row{OperatorResult::kUnavailable, "unavailable"}};
}

/** Answer to an operator: a result, a message that explains it, and a JSON
 * document whose schema depends on the command. */
struct OperatorAnswer {
  OperatorResult result = OperatorResult::kOk;
  std::string message;
  std::string document;
  friend bool operator==(const OperatorAnswer&,
                         const OperatorAnswer&) = default;
};
BOOST_DESCRIBE_STRUCT(OperatorAnswer, (), (result, message, document))

}  // namespace kumquatcove

#endif  // PROTOCOL_OPERATOR_COMMAND_H_
