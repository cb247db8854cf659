#ifndef PLATFORM_USER_REGISTRY_CODEC_H_
#define PLATFORM_USER_REGISTRY_CODEC_H_

#include <string>

#include "registry/registry_codec.h"

namespace kumquatcove {

/** Reads the rows of the users' platform. Safe from any thread. */
class UserRegistryCodec : public RegistryCodec {
 public:
  std::string KeyPrefix(RegistryTable table) const override;
  RegistryRecord Read(RegistryTable table, const StoreRow& row) const override;
};

}  // namespace kumquatcove

#endif  // PLATFORM_USER_REGISTRY_CODEC_H_
