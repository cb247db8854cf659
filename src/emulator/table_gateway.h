#ifndef EMULATOR_TABLE_GATEWAY_H_
#define EMULATOR_TABLE_GATEWAY_H_

#include <cstdint>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "emulator/key_value_table.h"

namespace kumquatcove::emulator {

/** What each answer tells of the table. */
struct TableHeader {
  std::int64_t cluster_id = 1;
  std::int64_t revision = 1;
};

/**
 * Converts between table operations and the JSON form that the gateway of etcd
 * v3 uses.
 *
 * Keys and values are base64, 64-bit integers are strings (numbers are accepted
 * too), and members that have their default value are left out of answers. All
 * functions that read JSON throw JsonCodecError. Thread safety: full.
 */
TableRange RangeFromGateway(const boost::json::value& json);
TableTransaction TransactionFromGateway(const boost::json::value& json);
boost::json::object RangeToGateway(const TableRangeResult& result,
                                   const TableHeader& header);
boost::json::object TransactionToGateway(const TableTransactionResult& result,
                                         const TableHeader& header);

}  // namespace kumquatcove::emulator

#endif  // EMULATOR_TABLE_GATEWAY_H_
