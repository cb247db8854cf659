#include "wire/envelope_codec.h"

#include <cstring>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/array.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "wire/described_codec.h"

namespace kumquatcove {

namespace {

constexpr std::size_t kWordBytes = sizeof(capnp::word);

capnp::ReaderOptions Limits() {
  capnp::ReaderOptions options;
  // Reading through pointers counts each object once; the factor leaves room
  // for lists of empty structs.
  options.traversalLimitInWords = 2 * kMaxMessageBytes / kWordBytes;
  options.nestingLimit = 16;
  return options;
}

void CheckSize(std::uint64_t words) {
  if (words * kWordBytes > kMaxMessageBytes) {
    throw WireError("message of " + std::to_string(words * kWordBytes) +
                    " bytes, more than " + std::to_string(kMaxMessageBytes));
  }
}

}  // namespace

void WriteEnvelope(const PeerEnvelope& envelope,
                   schema::Envelope::Builder builder) {
  try {
    detail::WriteStruct(envelope, capnp::DynamicStruct::Builder(builder));
    CheckSize(builder.asReader().totalSize().wordCount);
  } catch (const kj::Exception& error) {
    throw WireError(error.getDescription().cStr());
  }
}

PeerEnvelope ReadEnvelope(schema::Envelope::Reader reader) {
  try {
    CheckSize(reader.totalSize().wordCount);
    return detail::ReadStruct<PeerEnvelope>(
        capnp::DynamicStruct::Reader(reader));
  } catch (const kj::Exception& error) {
    throw WireError(error.getDescription().cStr());
  }
}

std::string EncodeEnvelope(const PeerEnvelope& envelope) {
  capnp::MallocMessageBuilder message;
  WriteEnvelope(envelope, message.initRoot<schema::Envelope>());
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

PeerEnvelope DecodeEnvelope(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes + kWordBytes) {
    throw WireError("message too long");
  }
  // Copied for alignment; an incomplete last word can't belong to a message.
  auto words = kj::heapArray<capnp::word>(bytes.size() / kWordBytes);
  std::memcpy(words.asBytes().begin(), bytes.data(), words.size() * kWordBytes);
  try {
    capnp::FlatArrayMessageReader message(words, Limits());
    return ReadEnvelope(message.getRoot<schema::Envelope>());
  } catch (const kj::Exception& error) {
    throw WireError(error.getDescription().cStr());
  }
}

}  // namespace kumquatcove
