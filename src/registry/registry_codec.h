#ifndef REGISTRY_REGISTRY_CODEC_H_
#define REGISTRY_REGISTRY_CODEC_H_

#include <string>

#include "protocol/store_operation.h"
#include "registry/registry_record.h"

namespace kumquatcove {

/**
 * How a platform names its tables and writes what they hold.
 *
 * Implementations have no state; all functions are safe from any thread.
 */
class RegistryCodec {
 public:
  RegistryCodec() = default;
  RegistryCodec(const RegistryCodec&) = delete;
  RegistryCodec& operator=(const RegistryCodec&) = delete;
  virtual ~RegistryCodec() = default;

  /** Returns the start of the keys of a table. */
  virtual std::string KeyPrefix(RegistryTable table) const = 0;

  /** Reads a row of a table; gives UnreadableRow if it has another form. */
  virtual RegistryRecord Read(RegistryTable table,
                              const StoreRow& row) const = 0;
};

}  // namespace kumquatcove

#endif  // REGISTRY_REGISTRY_CODEC_H_
