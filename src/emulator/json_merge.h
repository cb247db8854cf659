#ifndef EMULATOR_JSON_MERGE_H_
#define EMULATOR_JSON_MERGE_H_

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "base/json_codec.h"

namespace kumquatcove::emulator {

/**
 * Returns `base` with the members that `changes` has replaced, so that a
 * settings file or a fault switch names only what differs.
 *
 * Throws JsonCodecError on unknown members and wrong types.
 */
template <class T>
T MergeJson(const T& base, const boost::json::value& changes) {
  boost::json::value merged = ToJson(base);
  for (const auto& member : detail::JsonToObject(changes, "$")) {
    merged.as_object()[member.key()] = member.value();
  }
  return FromJson<T>(merged);
}

}  // namespace kumquatcove::emulator

#endif  // EMULATOR_JSON_MERGE_H_
