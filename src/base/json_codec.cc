#include "base/json_codec.h"

#include <algorithm>

namespace kumquatcove {

JsonCodecError::JsonCodecError(std::string path, const std::string& problem)
    : std::runtime_error(path + ": " + problem), m_path(std::move(path)) {}

namespace detail {

void FailJson(const std::string& path, const std::string& problem) {
  throw JsonCodecError(path, problem);
}

std::int64_t JsonToSigned(const boost::json::value& json,
                          const std::string& path) {
  if (!json.is_int64()) {
    FailJson(path, "expected an integer");
  }
  return json.get_int64();
}

std::uint64_t JsonToUnsigned(const boost::json::value& json,
                             const std::string& path) {
  if (json.is_uint64()) {
    return json.get_uint64();
  }
  if (!json.is_int64() || json.get_int64() < 0) {
    FailJson(path, "expected a non-negative integer");
  }
  return static_cast<std::uint64_t>(json.get_int64());
}

double JsonToDouble(const boost::json::value& json, const std::string& path) {
  if (!json.is_number()) {
    FailJson(path, "expected a number");
  }
  return json.to_number<double>();
}

bool JsonToBool(const boost::json::value& json, const std::string& path) {
  if (!json.is_bool()) {
    FailJson(path, "expected true or false");
  }
  return json.get_bool();
}

std::string JsonToString(const boost::json::value& json,
                         const std::string& path) {
  if (!json.is_string()) {
    FailJson(path, "expected a string");
  }
  return std::string(json.get_string());
}

const boost::json::object& JsonToObject(const boost::json::value& json,
                                        const std::string& path) {
  if (!json.is_object()) {
    FailJson(path, "expected an object");
  }
  return json.get_object();
}

const boost::json::array& JsonToArray(const boost::json::value& json,
                                      const std::string& path) {
  if (!json.is_array()) {
    FailJson(path, "expected an array");
  }
  return json.get_array();
}

void CheckMembers(const boost::json::object& object,
                  const std::vector<std::string_view>& allowed,
                  const std::string& path) {
  for (const auto& member : object) {
    const std::string_view key = member.key();
    if (std::find(allowed.begin(), allowed.end(), key) == allowed.end()) {
      FailJson(path + "." + std::string(key), "unknown member");
    }
  }
}

}  // namespace detail
}  // namespace kumquatcove
