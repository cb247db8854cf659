#ifndef RUNTIME_HTTP_FIELDS_H_
#define RUNTIME_HTTP_FIELDS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/http_message.h"

namespace kumquatcove {

/** Returns whether two header names are the same, without regard to case. */
bool IsSameHeader(std::string_view left, std::string_view right);

/** Returns the value of the first header called `name`, or an empty string. */
std::string FindHeader(const std::vector<HttpHeader>& headers,
                       std::string_view name);

/** Returns whether a header concerns one connection only, or is set anew for
 * each message, so that it isn't passed on. */
bool IsConnectionHeader(std::string_view name);

/** Returns whether name and value can be written to a message without changing
 * its structure. Headers from peers aren't checked by a parser. */
bool IsValidHeader(const HttpHeader& header);

/** Returns whether a method or target can be written to a request line. */
bool IsValidMethod(std::string_view method);
bool IsValidTarget(std::string_view target);

/** Returns the value of a parameter of the target's query, with escapes
 * resolved; empty if absent. */
std::string FindQueryParameter(std::string_view target, std::string_view name);

/** Returns `text` with all characters escaped that can't stand in a path
 * segment or in the value of a query parameter. */
std::string EscapeQuery(std::string_view text);

/** Returns the target without its query. */
std::string_view PathOfTarget(std::string_view target);

/** Builds an answer with a JSON body. */
HttpAnswer MakeJsonAnswer(std::int32_t status, std::string body);

/** Builds an answer with the JSON body {"error": text}. */
HttpAnswer MakeErrorAnswer(std::int32_t status, std::string_view text);

}  // namespace kumquatcove

#endif  // RUNTIME_HTTP_FIELDS_H_
