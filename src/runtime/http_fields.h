#ifndef RUNTIME_HTTP_FIELDS_H_
#define RUNTIME_HTTP_FIELDS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/http_message.h"

namespace kumquatcove {

/** Compares two header names case-insensitively. */
bool IsSameHeader(std::string_view left, std::string_view right);

/** Returns the value of the first header called `name`, or an empty string. */
std::string FindHeader(const std::vector<HttpHeader>& headers,
                       std::string_view name);

/** Returns whether a header is specific to one connection or regenerated for
 * each message, and so must not be forwarded. */
bool IsConnectionHeader(std::string_view name);

/** Removes the headers that a Connection header names, which concern only one
 * connection (RFC 9110, 7.6.1). */
void RemoveHeadersNamedInConnection(std::vector<HttpHeader>& headers);

/** Returns whether name and value can be written to a message without changing
 * its structure. Needed for headers received from peers, which no HTTP parser
 * has checked. */
bool IsValidHeader(const HttpHeader& header);

/** Returns whether a method or target can be written to a request line. */
bool IsValidMethod(std::string_view method);
bool IsValidTarget(std::string_view target);

/** Returns the decoded value of a parameter in the target's query, or an empty
 * string if it is absent. */
std::string FindQueryParameter(std::string_view target, std::string_view name);

/** Percent-encodes `text` for use in a path segment or in the value of a query
 * parameter. */
std::string EscapeQuery(std::string_view text);

/** Returns the target without its query. */
std::string_view PathOfTarget(std::string_view target);

/** Builds an answer with a JSON body. */
HttpAnswer MakeJsonAnswer(std::int32_t status, std::string body);

/** Builds an answer with the JSON body {"error": text}. */
HttpAnswer MakeErrorAnswer(std::int32_t status, std::string_view text);

}  // namespace kumquatcove

#endif  // RUNTIME_HTTP_FIELDS_H_
