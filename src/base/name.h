#ifndef BASE_NAME_H_
#define BASE_NAME_H_

#include <compare>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace kumquatcove {

/**
 * A string with a type of its own, so that the name of a service can't be
 * passed where a region is expected.
 *
 * Thread safety: as std::string.
 */
template <class Tag>
class Name {
 public:
  Name() = default;
  explicit Name(std::string text) : m_text(std::move(text)) {}

  /** Returns the text; valid as long as this object is. */
  const std::string& Text() const { return m_text; }
  bool IsEmpty() const { return m_text.empty(); }

  friend bool operator==(const Name&, const Name&) = default;
  friend std::strong_ordering operator<=>(const Name&, const Name&) = default;

  template <typename H>
  friend H AbslHashValue(
      H state,
      const Name& name) {  // NOLINT(readability-identifier-naming)
    return H::combine(std::move(state), name.m_text);
  }
  friend std::ostream& operator<<(std::ostream& out, const Name& name) {
    return out << name.m_text;
  }

 private:
  std::string m_text;
};

using InstanceId = Name<struct InstanceIdTag>;
using UpstreamId = Name<struct UpstreamIdTag>;
using ServiceName = Name<struct ServiceNameTag>;
using RegionName = Name<struct RegionNameTag>;
using ZoneName = Name<struct ZoneNameTag>;
using OperatorName = Name<struct OperatorNameTag>;
using EditId = Name<struct EditIdTag>;

}  // namespace kumquatcove

#endif  // BASE_NAME_H_
