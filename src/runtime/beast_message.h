#ifndef RUNTIME_BEAST_MESSAGE_H_
#define RUNTIME_BEAST_MESSAGE_H_

#include <string>
#include <string_view>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "protocol/http_message.h"

namespace kumquatcove {

using BeastRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/** Converts an answer to a Beast response. Invalid headers and
 * connection-specific headers are omitted; a status outside 200 to 599 becomes
 * 502. */
BeastResponse ToBeast(HttpAnswer answer, bool keep_alive, bool is_head);

/** Converts a request to a Beast request. Precondition: method and target are
 * valid. */
BeastRequest ToBeast(HttpRequest request, std::string_view host);

}  // namespace kumquatcove

#endif  // RUNTIME_BEAST_MESSAGE_H_
