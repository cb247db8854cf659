#include "wire/described_codec.h"

namespace kumquatcove::detail {

std::string SchemaName(std::string_view member) {
  std::string name;
  bool upper = false;
  for (const char c : member) {
    if (c == '_') {
      upper = true;
      continue;
    }
    name +=
        upper && c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c;
    upper = false;
  }
  return name;
}

void FailWire(std::string_view field, const std::string& problem) {
  throw WireError(std::string(field) + ": " + problem);
}

unsigned CheckListLength(std::size_t size, std::string_view field) {
  if (size > kMaxListLength) {
    FailWire(field, std::to_string(size) + " elements, more than " +
                        std::to_string(kMaxListLength));
  }
  return static_cast<unsigned>(size);
}

void WriteString(const std::string& text,
                 capnp::DynamicStruct::Builder builder,
                 capnp::StructSchema::Field field) {
  if (text.size() > kMaxMessageBytes) {
    FailWire(field.getProto().getName().cStr(), "too long");
  }
  if (field.getType().isData()) {
    builder.set(field, capnp::Data::Reader(
                           reinterpret_cast<const kj::byte*>(text.data()),
                           text.size()));
  } else {
    builder.set(field, capnp::Text::Reader(text.c_str(), text.size()));
  }
}

void WriteEnum(std::uint16_t value,
               capnp::DynamicStruct::Builder builder,
               capnp::StructSchema::Field field) {
  builder.set(field, capnp::DynamicEnum(field.getType().asEnum(), value));
}

std::string ReadString(const capnp::DynamicValue::Reader& value,
                       std::string_view name) {
  if (value.getType() == capnp::DynamicValue::TEXT) {
    const auto text = value.as<capnp::Text>();
    return {text.begin(), text.size()};
  }
  if (value.getType() == capnp::DynamicValue::DATA) {
    const auto data = value.as<capnp::Data>();
    return {reinterpret_cast<const char*>(data.begin()), data.size()};
  }
  FailWire(name, "neither text nor data");
}

}  // namespace kumquatcove::detail
