#include "tests/fake_store.h"

namespace kumquatcove {

StoreReply FakeStore::Apply(const StoreOperation& operation) {
  StoreReply reply;
  reply.status = StoreStatus::kOk;
  reply.era = m_era;
  if (const auto* read = std::get_if<StoreRead>(&operation)) {
    ++m_reads;
    for (const std::string& key : read->keys) {
      reply.rows.push_back(Row(key));
    }
  } else if (const auto* scan = std::get_if<StoreScan>(&operation)) {
    ++m_reads;
    for (auto row = m_rows.lower_bound(scan->prefix);
         row != m_rows.end() && row->first.starts_with(scan->prefix); ++row) {
      reply.rows.push_back(row->second);
    }
  } else if (const auto* write = std::get_if<StoreWrite>(&operation)) {
    ++m_writes;
    for (const StoreTransaction& transaction : write->transactions) {
      reply.results.push_back(Commit(transaction));
    }
  } else if (const auto* get = std::get_if<ObjectGet>(&operation)) {
    ++m_reads;
    const auto found = m_objects.find(get->key);
    if (found != m_objects.end()) {
      reply.object = found->second;
    }
  } else if (const auto* put = std::get_if<ObjectPut>(&operation)) {
    ++m_writes;
    m_objects[put->key] = put->content;
  }
  return reply;
}

void FakeStore::Restore(const Copy& copy) {
  m_rows = copy.rows;
  m_revision = copy.revision;
  ++m_era;
}

StoreRow FakeStore::Row(const std::string& key) const {
  const auto found = m_rows.find(key);
  return found == m_rows.end() ? StoreRow{key, 0, ""} : found->second;
}

StoreTransactionResult FakeStore::Commit(const StoreTransaction& transaction) {
  StoreTransactionResult result;
  result.committed = true;
  for (const StoreCondition& condition : transaction.conditions) {
    result.committed =
        result.committed && Row(condition.key).version == condition.version;
  }
  if (!result.committed) {
    for (const StoreCondition& condition : transaction.conditions) {
      result.rows.push_back(Row(condition.key));
    }
    return result;
  }
  ++m_revision;
  for (const StoreMutation& mutation : transaction.mutations) {
    if (mutation.value) {
      m_rows[mutation.key] = {mutation.key, m_revision, *mutation.value};
    } else {
      m_rows.erase(mutation.key);
    }
  }
  return result;
}

}  // namespace kumquatcove
