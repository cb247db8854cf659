#include "protocol/ids.h"

#include <array>
#include <cstdio>

namespace kumquatcove {

std::string FormatRequestId(RequestId id) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(id.number));
  return text.data();
}

}  // namespace kumquatcove
