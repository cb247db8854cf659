#ifndef BASE_JSON_CODEC_H_
#define BASE_JSON_CODEC_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <boost/describe/members.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <boost/mp11/algorithm.hpp>
#include <boost/mp11/list.hpp>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "base/name.h"

namespace kumquatcove {

/** A JSON value doesn't have the form of the type that it is converted to. */
class JsonCodecError : public std::runtime_error {
 public:
  JsonCodecError(std::string path, const std::string& problem);

  /** Returns the path of the offending value, such as `$.records[2].phase`. */
  const std::string& Path() const { return m_path; }

 private:
  std::string m_path;
};

/** Converts described structs, names, times, enumerations with tables, and
 * containers of them to JSON. */
template <class T>
boost::json::value ToJson(const T& object);

/**
 * Converts JSON to a value of type `T`.
 *
 * Every member must be there and no other, except that absent optionals are
 * empty. `path` is the path reported in errors. Throws JsonCodecError.
 */
template <class T>
T FromJson(const boost::json::value& json, const std::string& path = "$");

namespace detail {

template <class T>
struct IsVariant : std::false_type {};
template <class... Ts>
struct IsVariant<std::variant<Ts...>> : std::true_type {};
template <class T>
struct IsVector : std::false_type {};
template <class T>
struct IsVector<std::vector<T>> : std::true_type {};
template <class T>
struct IsOptional : std::false_type {};
template <class T>
struct IsOptional<std::optional<T>> : std::true_type {};
template <class T>
struct IsName : std::false_type {};
template <class Tag>
struct IsName<Name<Tag>> : std::true_type {};
template <class T>
struct IsMap : std::false_type {};
template <class K, class V>
struct IsMap<std::map<K, V>> : std::true_type {};

template <class T>
concept Described = boost::describe::has_describe_members<T>::value;

template <class T>
using Members =
    boost::describe::describe_members<T,
                                      boost::describe::mod_public |
                                          boost::describe::mod_inherited>;

[[noreturn]] void FailJson(const std::string& path, const std::string& problem);
std::int64_t JsonToSigned(const boost::json::value& json,
                          const std::string& path);
std::uint64_t JsonToUnsigned(const boost::json::value& json,
                             const std::string& path);
double JsonToDouble(const boost::json::value& json, const std::string& path);
bool JsonToBool(const boost::json::value& json, const std::string& path);
std::string JsonToString(const boost::json::value& json,
                         const std::string& path);
const boost::json::object& JsonToObject(const boost::json::value& json,
                                        const std::string& path);
const boost::json::array& JsonToArray(const boost::json::value& json,
                                      const std::string& path);
void CheckMembers(const boost::json::object& object,
                  const std::vector<std::string_view>& allowed,
                  const std::string& path);

template <class T>
T IntegerFromJson(const boost::json::value& json, const std::string& path) {
  if constexpr (std::is_signed_v<T>) {
    const std::int64_t number = JsonToSigned(json, path);
    if (number < std::numeric_limits<T>::min() ||
        number > std::numeric_limits<T>::max()) {
      FailJson(path, "number out of range");
    }
    return static_cast<T>(number);
  } else {
    const std::uint64_t number = JsonToUnsigned(json, path);
    if (number > std::numeric_limits<T>::max()) {
      FailJson(path, "number out of range");
    }
    return static_cast<T>(number);
  }
}

template <class T>
T DescribedFromJson(const boost::json::value& json, const std::string& path) {
  const boost::json::object& object = JsonToObject(json, path);
  std::vector<std::string_view> names;
  T result{};
  boost::mp11::mp_for_each<Members<T>>([&](auto member) {
    using Field = std::remove_cvref_t<decltype(result.*member.pointer)>;
    names.push_back(member.name);
    const std::string member_path = path + "." + member.name;
    const boost::json::value* found = object.if_contains(member.name);
    if (found != nullptr) {
      result.*member.pointer = FromJson<Field>(*found, member_path);
    } else if constexpr (!IsOptional<Field>::value) {
      FailJson(member_path, "missing");
    }
  });
  CheckMembers(object, names, path);
  return result;
}

template <class T>
T VariantFromJson(const boost::json::value& json, const std::string& path) {
  const boost::json::object& object = JsonToObject(json, path);
  if (object.size() != 1) {
    FailJson(path, "expected one member that names the alternative");
  }
  const std::string_view name = object.begin()->key();
  std::optional<T> result;
  boost::mp11::mp_for_each<boost::mp11::mp_transform<
      std::type_identity, boost::mp11::mp_rename<T, boost::mp11::mp_list>>>(
      [&](auto identity) {
        using Alternative = typename decltype(identity)::type;
        if (name == Alternative::kName) {
          result = FromJson<Alternative>(object.begin()->value(),
                                         path + "." + std::string(name));
        }
      });
  if (!result) {
    FailJson(path, "unknown alternative '" + std::string(name) + "'");
  }
  return std::move(*result);
}

}  // namespace detail

template <class T>
boost::json::value ToJson(const T& object) {
  if constexpr (std::is_same_v<T, bool> || std::is_floating_point_v<T>) {
    return object;
  } else if constexpr (std::is_integral_v<T>) {
    return object;
  } else if constexpr (std::is_same_v<T, std::string>) {
    return boost::json::value(object);
  } else if constexpr (detail::IsName<T>::value) {
    return boost::json::value(object.Text());
  } else if constexpr (std::is_same_v<T, Duration>) {
    return object.count();
  } else if constexpr (std::is_same_v<T, MonotonicTime>) {
    return object.time_since_epoch().count();
  } else if constexpr (std::is_same_v<T, WallTime>) {
    return object.microseconds;
  } else if constexpr (std::is_enum_v<T>) {
    return boost::json::value(ToString(object));
  } else if constexpr (detail::IsOptional<T>::value) {
    return object ? ToJson(*object) : boost::json::value(nullptr);
  } else if constexpr (detail::IsVector<T>::value) {
    boost::json::array array;
    for (const auto& element : object) {
      array.push_back(ToJson(element));
    }
    return array;
  } else if constexpr (detail::IsMap<T>::value) {
    boost::json::object map;
    for (const auto& [key, mapped] : object) {
      map[ToJson(key).as_string()] = ToJson(mapped);
    }
    return map;
  } else if constexpr (detail::IsVariant<T>::value) {
    return std::visit(
        [](const auto& alternative) -> boost::json::value {
          boost::json::object wrapped;
          wrapped[std::remove_cvref_t<decltype(alternative)>::kName] =
              ToJson(alternative);
          return wrapped;
        },
        object);
  } else {
    static_assert(detail::Described<T>, "type has no JSON form");
    boost::json::object members;
    boost::mp11::mp_for_each<detail::Members<T>>([&](auto member) {
      members[member.name] = ToJson(object.*member.pointer);
    });
    return members;
  }
}

template <class T>
T FromJson(const boost::json::value& json, const std::string& path) {
  if constexpr (std::is_same_v<T, bool>) {
    return detail::JsonToBool(json, path);
  } else if constexpr (std::is_floating_point_v<T>) {
    return static_cast<T>(detail::JsonToDouble(json, path));
  } else if constexpr (std::is_integral_v<T>) {
    return detail::IntegerFromJson<T>(json, path);
  } else if constexpr (std::is_same_v<T, std::string> ||
                       detail::IsName<T>::value) {
    return T(detail::JsonToString(json, path));
  } else if constexpr (std::is_same_v<T, Duration>) {
    return Duration(detail::JsonToSigned(json, path));
  } else if constexpr (std::is_same_v<T, MonotonicTime>) {
    return MonotonicTime(Duration(detail::JsonToSigned(json, path)));
  } else if constexpr (std::is_same_v<T, WallTime>) {
    return WallTime{detail::JsonToSigned(json, path)};
  } else if constexpr (std::is_enum_v<T>) {
    const std::string name = detail::JsonToString(json, path);
    const std::optional<T> found = FromString<T>(name);
    if (!found) {
      detail::FailJson(path, "unknown value '" + name + "'");
    }
    return *found;
  } else if constexpr (detail::IsOptional<T>::value) {
    return json.is_null() ? T{}
                          : T{FromJson<typename T::value_type>(json, path)};
  } else if constexpr (detail::IsVector<T>::value) {
    T result;
    const boost::json::array& array = detail::JsonToArray(json, path);
    result.reserve(array.size());
    for (const boost::json::value& element : array) {
      const std::string element_path =
          path + "[" + std::to_string(result.size()) + "]";
      result.push_back(FromJson<typename T::value_type>(element, element_path));
    }
    return result;
  } else if constexpr (detail::IsMap<T>::value) {
    T result;
    for (const auto& member : detail::JsonToObject(json, path)) {
      const std::string member_path = path + "." + std::string(member.key());
      result.emplace(
          FromJson<typename T::key_type>(boost::json::value(member.key()),
                                         member_path),
          FromJson<typename T::mapped_type>(member.value(), member_path));
    }
    return result;
  } else if constexpr (detail::IsVariant<T>::value) {
    return detail::VariantFromJson<T>(json, path);
  } else {
    static_assert(detail::Described<T>, "type has no JSON form");
    return detail::DescribedFromJson<T>(json, path);
  }
}

}  // namespace kumquatcove

#endif  // BASE_JSON_CODEC_H_
