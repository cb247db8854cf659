#include "wire/envelope_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <cstdint>

#include <capnp/any.h>
#include <capnp/message.h>
#include <capnp/serialize.h>

#include "base/random.h"
#include "wire/described_codec.h"

namespace kumquatcove {
namespace {

std::string MakeText(Random& random) {
  std::string text(random.NextBelow(12), ' ');
  for (char& c : text) {
    c = static_cast<char>(random.NextBelow(256));
  }
  return text;
}

/** Makes any described value; lists get 0 to 3 elements. */
template <class T>
T Make(Random& random) {
  if constexpr (std::is_same_v<T, std::string> || detail::IsName<T>::value) {
    return T(MakeText(random));
  } else if constexpr (std::is_same_v<T, bool>) {
    return random.NextBelow(2) == 1;
  } else if constexpr (std::is_floating_point_v<T>) {
    return random.NextFraction() - 0.5;
  } else if constexpr (std::is_integral_v<T>) {
    return static_cast<T>(random.Next());
  } else if constexpr (std::is_same_v<T, Duration>) {
    return Duration(static_cast<std::int64_t>(random.Next()));
  } else if constexpr (std::is_same_v<T, WallTime>) {
    return WallTime{static_cast<std::int64_t>(random.Next())};
  } else if constexpr (std::is_enum_v<T>) {
    const auto rows = EnumNames(T{});
    return rows[random.NextBelow(rows.size())].value;
  } else if constexpr (detail::IsOptional<T>::value) {
    return random.NextBelow(2) == 0 ? T{}
                                    : T{Make<typename T::value_type>(random)};
  } else if constexpr (detail::IsVector<T>::value) {
    T list(random.NextBelow(4));
    for (auto& element : list) {
      element = Make<typename T::value_type>(random);
    }
    return list;
  } else if constexpr (detail::IsVariant<T>::value) {
    T result;
    std::size_t chosen = random.NextBelow(std::variant_size_v<T>);
    boost::mp11::mp_with_index<std::variant_size_v<T>>(chosen, [&](auto index) {
      result = Make<std::variant_alternative_t<index, T>>(random);
    });
    return result;
  } else {
    T result{};
    boost::mp11::mp_for_each<detail::Members<T>>([&](auto member) {
      using Field = std::remove_cvref_t<decltype(result.*member.pointer)>;
      result.*member.pointer = Make<Field>(random);
    });
    return result;
  }
}

std::string Serialize(capnp::MessageBuilder& message) {
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

/** Decodes damaged bytes. Returns false if anything but a value or a WireError
 * comes out. */
bool DecodesOrFailsCleanly(const std::string& bytes) {
  try {
    DecodeEnvelope(bytes);
  } catch (const WireError&) {
  } catch (...) {
    return false;
  }
  return true;
}

}  // namespace

TEST_CASE(
    "Every message keeps its content through the codec, whatever its "
    "alternative, optional members and bytes") {
  CHECK(rc::check([](std::uint64_t seed) {
    Random random(seed);
    const auto envelope = Make<PeerEnvelope>(random);
    RC_ASSERT(DecodeEnvelope(EncodeEnvelope(envelope)) == envelope);
  }));
}

TEST_CASE(
    "Each alternative of the messages and of catalogue entries has a "
    "field in the schema") {
  Random random(1);
  boost::mp11::mp_for_each<
      boost::mp11::mp_iota_c<std::variant_size_v<PeerMessage>>>([&](auto i) {
    PeerEnvelope envelope;
    envelope.message = Make<std::variant_alternative_t<i, PeerMessage>>(random);
    CHECK(DecodeEnvelope(EncodeEnvelope(envelope)) == envelope);
  });
}

TEST_CASE(
    "Truncated messages and flipped bits give an error or another "
    "message, never a crash or a foreign exception") {
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    Random random(seed);
    const std::string bytes = EncodeEnvelope(Make<PeerEnvelope>(random));
    for (int trial = 0; trial < 50; ++trial) {
      std::string damaged = bytes.substr(0, random.NextBelow(bytes.size() + 1));
      CHECK(DecodesOrFailsCleanly(damaged));
      damaged = bytes;
      for (std::uint64_t flips = random.NextBelow(4) + 1; flips > 0; --flips) {
        damaged[random.NextBelow(damaged.size())] ^=
            static_cast<char>(1U << random.NextBelow(8));
      }
      CHECK(DecodesOrFailsCleanly(damaged));
    }
  }
}

TEST_CASE(
    "A message of a newer version with an unknown alternative is refused "
    "instead of being taken for another") {
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<schema::Envelope>().initMessage();
  builder.initGossip();
  capnp::toAny(builder).getDataSection()[0] = 0xee;
  CHECK_THROWS_WITH_AS(DecodeEnvelope(Serialize(message)),
                       "union: unknown alternative", WireError);
}

TEST_CASE("An unknown value of an enumeration is refused") {
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<schema::Envelope>().initMessage();
  builder.initSlotRefusal().setReason(static_cast<schema::RefusalReason>(999));
  CHECK_THROWS_WITH_AS(DecodeEnvelope(Serialize(message)),
                       "reason: unknown value 999", WireError);
}

TEST_CASE(
    "Lists and messages above the limits are refused on both sides, so "
    "that a peer can't use up the memory") {
  capnp::MallocMessageBuilder message;
  auto builder = message.initRoot<schema::Envelope>().initMessage();
  builder.initSlotRequest().initExclude(kMaxListLength + 1);
  CHECK_THROWS_AS(DecodeEnvelope(Serialize(message)), WireError);

  PeerEnvelope large;
  SlotInventory inventory;
  inventory.held.resize(kMaxListLength + 1);
  large.message = inventory;
  CHECK_THROWS_AS(EncodeEnvelope(large), WireError);

  RelayRequest relay;
  relay.http.body.assign(kMaxMessageBytes, 'x');
  large.message = relay;
  CHECK_THROWS_AS(EncodeEnvelope(large), WireError);
  CHECK_THROWS_AS(DecodeEnvelope(std::string(2 * kMaxMessageBytes, '\0')),
                  WireError);
}

}  // namespace kumquatcove
