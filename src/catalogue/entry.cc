#include "catalogue/entry.h"

namespace kumquatcove {
namespace {

struct NameVisitor {
  std::string operator()(const ServiceEntry& entry) const {
    return entry.service.Text();
  }
  std::string operator()(const TopologyEntry&) const {
    return std::string(kTopologyEntryName);
  }
};

}  // namespace

std::string EntryName(const EntryBody& body) {
  return std::visit(NameVisitor{}, body);
}

const OperatorName& EntryOwner(const EntryBody& body) {
  return std::visit(
      [](const auto& entry) -> const OperatorName& { return entry.owner; },
      body);
}

}  // namespace kumquatcove
