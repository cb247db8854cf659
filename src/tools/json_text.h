#ifndef TOOLS_JSON_TEXT_H_
#define TOOLS_JSON_TEXT_H_

#include <string>
#include <vector>

#include <boost/json/value.hpp>

namespace kumquatcove {

/** Returns JSON with one member on each line. */
std::string IndentedJson(const boost::json::value& json);

/** Returns the members of an object as `key=value`, separated by blanks; other
 * values as JSON. */
std::string KeyValueText(const boost::json::value& json);

/** Returns a line `path: before -> after` for each difference. */
std::vector<std::string> JsonDifferences(const boost::json::value& before,
                                         const boost::json::value& after,
                                         const std::string& path = "");

}  // namespace kumquatcove

#endif  // TOOLS_JSON_TEXT_H_
