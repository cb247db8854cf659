#ifndef WIRE_DESCRIBED_CODEC_H_
#define WIRE_DESCRIBED_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <capnp/dynamic.h>
#include <capnp/schema.h>
#include <boost/mp11/algorithm.hpp>
#include <boost/mp11/list.hpp>

#include "base/json_codec.h"
#include "wire/peer_envelope.h"

namespace kumquatcove::detail {

/**
 * Conversion of described structs to and from Cap'n Proto's dynamic values, by
 * the names of their members.
 *
 * One set of templates serves all messages, so that a new member needs one line
 * in the schema and none here; a member that is missing in the schema fails
 * every round-trip test.
 */

/** Returns a member's name in the schema: camel case. */
std::string SchemaName(std::string_view member);

[[noreturn]] void FailWire(std::string_view field, const std::string& problem);

/** Checks a list's length against the limit and returns it. */
unsigned CheckListLength(std::size_t size, std::string_view field);

/** Returns whether `T` is an id, a struct with nothing but a number. */
template <class T>
inline constexpr bool kIsId = false;
template <class T>
requires(Described<T> && sizeof(T) == sizeof(std::uint64_t) &&
         std::is_same_v<decltype(T::number),
                        std::uint64_t>) inline constexpr bool kIsId<T> = true;

/** Returns the fields of `T` in the order of its members. */
template <class T>
const std::vector<capnp::StructSchema::Field>& SchemaFields(
    capnp::StructSchema schema) {
  static const std::vector<capnp::StructSchema::Field> kFields = [&] {
    std::vector<capnp::StructSchema::Field> fields;
    boost::mp11::mp_for_each<Members<T>>([&](auto member) {
      fields.push_back(schema.getFieldByName(SchemaName(member.name).c_str()));
    });
    return fields;
  }();
  return kFields;
}

/** Returns the fields of the alternatives of the variant `T` in their order. */
template <class T>
const std::vector<capnp::StructSchema::Field>& AlternativeFields(
    capnp::StructSchema schema) {
  static const std::vector<capnp::StructSchema::Field> kFields = [&] {
    std::vector<capnp::StructSchema::Field> fields;
    boost::mp11::mp_for_each<boost::mp11::mp_transform<
        std::type_identity, boost::mp11::mp_rename<T, boost::mp11::mp_list>>>(
        [&](auto identity) {
          using Alternative = typename decltype(identity)::type;
          fields.push_back(
              schema.getFieldByName(SchemaName(Alternative::kName).c_str()));
        });
    return fields;
  }();
  return kFields;
}

template <class T>
void WriteStruct(const T& object, capnp::DynamicStruct::Builder builder);
template <class T>
T ReadStruct(capnp::DynamicStruct::Reader reader);

/** Returns a scalar as a dynamic value. */
template <class T>
capnp::DynamicValue::Reader ScalarValue(const T& object) {
  if constexpr (IsName<T>::value) {
    return capnp::Text::Reader(object.Text().c_str(), object.Text().size());
  } else if constexpr (std::is_same_v<T, Duration>) {
    return static_cast<std::int64_t>(object.count());
  } else if constexpr (std::is_same_v<T, WallTime>) {
    return object.microseconds;
  } else if constexpr (kIsId<T>) {
    return object.number;
  } else {
    return object;
  }
}

template <class T>
inline constexpr bool kIsScalar =
    std::is_arithmetic_v<T> || IsName<T>::value ||
    std::is_same_v<T, Duration> || std::is_same_v<T, WallTime> || kIsId<T>;

template <class T>
void WriteList(const std::vector<T>& list,
               capnp::DynamicStruct::Builder builder,
               capnp::StructSchema::Field field,
               std::string_view name) {
  if (list.empty()) {
    return;
  }
  auto elements = builder.init(field, CheckListLength(list.size(), name))
                      .template as<capnp::DynamicList>();
  for (unsigned i = 0; i < list.size(); ++i) {
    if constexpr (std::is_same_v<T, std::string>) {
      elements.set(i, capnp::Text::Reader(list[i].c_str(), list[i].size()));
    } else if constexpr (kIsScalar<T>) {
      elements.set(i, ScalarValue(list[i]));
    } else {
      WriteStruct(list[i], elements[i].template as<capnp::DynamicStruct>());
    }
  }
}

/** Writes a string to a field of type Text or Data. */
void WriteString(const std::string& text,
                 capnp::DynamicStruct::Builder builder,
                 capnp::StructSchema::Field field);

/** Writes the raw number of an enumeration. */
void WriteEnum(std::uint16_t value,
               capnp::DynamicStruct::Builder builder,
               capnp::StructSchema::Field field);

template <class T>
void WriteField(const T& object,
                capnp::DynamicStruct::Builder builder,
                capnp::StructSchema::Field field,
                std::string_view name) {
  if constexpr (std::is_same_v<T, std::string>) {
    WriteString(object, builder, field);
  } else if constexpr (std::is_enum_v<T>) {
    WriteEnum(static_cast<std::uint16_t>(object), builder, field);
  } else if constexpr (kIsScalar<T>) {
    builder.set(field, ScalarValue(object));
  } else if constexpr (IsVector<T>::value) {
    WriteList(object, builder, field, name);
  } else if constexpr (IsOptional<T>::value) {
    if (object) {
      builder.init(field).template as<capnp::DynamicStruct>().set(
          "value", ScalarValue(*object));
    }
  } else {
    WriteStruct(object,
                builder.init(field).template as<capnp::DynamicStruct>());
  }
}

template <class T>
void WriteStruct(const T& object, capnp::DynamicStruct::Builder builder) {
  if constexpr (IsVariant<T>::value) {
    const auto field =
        AlternativeFields<T>(builder.getSchema())[object.index()];
    std::visit(
        [&](const auto& alternative) {
          WriteStruct(alternative,
                      builder.init(field).template as<capnp::DynamicStruct>());
        },
        object);
  } else {
    const auto& fields = SchemaFields<T>(builder.getSchema());
    std::size_t index = 0;
    boost::mp11::mp_for_each<Members<T>>([&](auto member) {
      WriteField(object.*member.pointer, builder, fields[index], member.name);
      ++index;
    });
  }
}

/** Returns the bytes of a value of type Text or Data. */
std::string ReadString(const capnp::DynamicValue::Reader& value,
                       std::string_view name);

template <class T>
T ReadScalar(const capnp::DynamicValue::Reader& value, std::string_view name) {
  if constexpr (std::is_same_v<T, std::string> || IsName<T>::value) {
    return T(ReadString(value, name));
  } else if constexpr (std::is_same_v<T, Duration>) {
    return Duration(value.as<std::int64_t>());
  } else if constexpr (std::is_same_v<T, WallTime>) {
    return WallTime{value.as<std::int64_t>()};
  } else if constexpr (kIsId<T>) {
    return T{value.as<std::uint64_t>()};
  } else {
    return value.as<T>();
  }
}

template <class T>
T ReadEnum(const capnp::DynamicValue::Reader& value, std::string_view name) {
  const std::uint16_t raw = value.as<capnp::DynamicEnum>().getRaw();
  const T result = static_cast<T>(raw);
  if (ToString(result) == "invalid") {
    FailWire(name, "unknown value " + std::to_string(raw));
  }
  return result;
}

template <class T>
std::vector<T> ReadList(const capnp::DynamicValue::Reader& value,
                        std::string_view name) {
  const auto list = value.as<capnp::DynamicList>();
  std::vector<T> result;
  result.reserve(CheckListLength(list.size(), name));
  for (unsigned i = 0; i < list.size(); ++i) {
    if constexpr (kIsScalar<T> || std::is_same_v<T, std::string>) {
      result.push_back(ReadScalar<T>(list[i], name));
    } else {
      result.push_back(
          ReadStruct<T>(list[i].template as<capnp::DynamicStruct>()));
    }
  }
  return result;
}

template <class T>
T ReadField(const capnp::DynamicStruct::Reader& reader,
            capnp::StructSchema::Field field,
            std::string_view name) {
  if constexpr (IsOptional<T>::value) {
    if (!reader.has(field)) {
      return std::nullopt;
    }
    return ReadScalar<typename T::value_type>(
        reader.get(field).as<capnp::DynamicStruct>().get("value"), name);
  } else if constexpr (std::is_enum_v<T>) {
    return ReadEnum<T>(reader.get(field), name);
  } else if constexpr (kIsScalar<T> || std::is_same_v<T, std::string>) {
    return ReadScalar<T>(reader.get(field), name);
  } else if constexpr (IsVector<T>::value) {
    return ReadList<typename T::value_type>(reader.get(field), name);
  } else {
    return ReadStruct<T>(reader.get(field).as<capnp::DynamicStruct>());
  }
}

/** Reads the alternative that the union holds. */
template <class T>
T ReadVariant(const capnp::DynamicStruct::Reader& reader) {
  const auto& fields = AlternativeFields<T>(reader.getSchema());
  std::optional<T> result;
  KJ_IF_MAYBE (which, reader.which()) {
    std::size_t index = 0;
    boost::mp11::mp_for_each<boost::mp11::mp_transform<
        std::type_identity, boost::mp11::mp_rename<T, boost::mp11::mp_list>>>(
        [&](auto identity) {
          using Alternative = typename decltype(identity)::type;
          if (fields[index] == *which) {
            result = ReadStruct<Alternative>(
                reader.get(*which).template as<capnp::DynamicStruct>());
          }
          ++index;
        });
  }
  if (!result) {
    FailWire("union", "unknown alternative");
  }
  return std::move(*result);
}

template <class T>
T ReadStruct(capnp::DynamicStruct::Reader reader) {
  if constexpr (IsVariant<T>::value) {
    return ReadVariant<T>(reader);
  } else {
    const auto& fields = SchemaFields<T>(reader.getSchema());
    T result{};
    std::size_t index = 0;
    boost::mp11::mp_for_each<Members<T>>([&](auto member) {
      using Field = std::remove_cvref_t<decltype(result.*member.pointer)>;
      result.*member.pointer =
          ReadField<Field>(reader, fields[index], member.name);
      ++index;
    });
    return result;
  }
}

}  // namespace kumquatcove::detail

#endif  // WIRE_DESCRIBED_CODEC_H_
