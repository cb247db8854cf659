#ifndef REGISTRY_REGISTRY_CODEC_H_
#define REGISTRY_REGISTRY_CODEC_H_

#include <string>

#include "protocol/store_operation.h"
#include "registry/registry_record.h"

namespace kumquatcove {

/**
 * Maps registry tables to a platform's store keys and decodes their rows.
 *
 * Implementations are stateless; all functions may be called from any thread.
 */
class RegistryCodec {
 public:
  RegistryCodec() = default;
  RegistryCodec(const RegistryCodec&) = delete;
  RegistryCodec& operator=(const RegistryCodec&) = delete;
  virtual ~RegistryCodec() = default;

  /** Returns the prefix of all keys of a table. */
  virtual std::string KeyPrefix(RegistryTable table) const = 0;

  /** Decodes a row of a table; returns UnreadableRow if it is malformed. */
  virtual RegistryRecord Read(RegistryTable table,
                              const StoreRow& row) const = 0;
};

}  // namespace kumquatcove

#endif  // REGISTRY_REGISTRY_CODEC_H_
