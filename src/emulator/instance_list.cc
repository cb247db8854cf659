#include "emulator/instance_list.h"

namespace kumquatcove::emulator {

void InstanceList::Put(const ListedInstance& instance, MonotonicTime now) {
  m_instances[instance.instance] = instance;
  Record(now);
}

void InstanceList::Remove(const InstanceId& instance, MonotonicTime now) {
  m_instances.erase(instance);
  Record(now);
}

void InstanceList::SetLeaving(const UpstreamId& upstream,
                              bool leaving,
                              MonotonicTime now) {
  if (leaving) {
    m_leaving.insert(upstream);
  } else {
    m_leaving.erase(upstream);
  }
  Record(now);
}

InstanceListArrived InstanceList::Report(MonotonicTime now) {
  DropOld(now);
  if (m_changes.empty() || m_changes.front().time > now - m_lag) {
    return {};
  }
  return m_changes.front().list;
}

void InstanceList::Record(MonotonicTime now) {
  DropOld(now);
  InstanceListArrived list;
  for (const auto& [name, instance] : m_instances) {
    list.instances.push_back(instance);
  }
  list.leaving_upstreams.assign(m_leaving.begin(), m_leaving.end());
  m_changes.push_back({now, std::move(list)});
}

void InstanceList::DropOld(MonotonicTime now) {
  while (m_changes.size() > 1 && m_changes[1].time <= now - m_lag) {
    m_changes.pop_front();
  }
}

}  // namespace kumquatcove::emulator
