#ifndef BASE_ENUM_TABLE_H_
#define BASE_ENUM_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace kumquatcove {

/** One row of an EnumTable. */
template <class Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

/**
 * Table of the names of an enumeration, used for logs, JSON and settings.
 *
 * An enumeration joins by a function `constexpr auto EnumNames(Enum)` that
 * returns a std::array of EnumName, found by argument-dependent look-up.
 */
template <class Enum>
constexpr std::string_view ToString(Enum value) {
  for (const auto& row : EnumNames(Enum{})) {
    if (row.value == value) {
      return row.name;
    }
  }
  return "invalid";
}

/** Returns the value called `name`, or nothing if there is none. */
template <class Enum>
constexpr std::optional<Enum> FromString(std::string_view name) {
  for (const auto& row : EnumNames(Enum{})) {
    if (row.name == name) {
      return row.value;
    }
  }
  return std::nullopt;
}

}  // namespace kumquatcove

#endif  // BASE_ENUM_TABLE_H_
