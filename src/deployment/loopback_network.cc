#include "deployment/loopback_network.h"

#include <unistd.h>

#include <absl/strings/str_cat.h>

namespace kumquatcove {

std::string OwnLoopbackNetwork() {
  const int process = static_cast<int>(::getpid());
  constexpr int kNumbers = 250;
  // 127.0 is left to programs that listen at 127.0.0.1.
  return absl::StrCat("127.", 1 + process / kNumbers % kNumbers, ".",
                      process % kNumbers, ".");
}

}  // namespace kumquatcove
