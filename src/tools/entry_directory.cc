#include "tools/entry_directory.h"

#include <utility>

#include <boost/json/parse.hpp>

#include "base/json_codec.h"
#include "emulator/steady_clock.h"
#include "protocol/lookup.h"

namespace kumquatcove {

EntryDirectory::EntryDirectory(CallerConnections& connections,
                               std::vector<std::string> lookup,
                               Duration timeout)
    : m_connections(connections),
      m_lookup(std::move(lookup)),
      m_timeout(timeout) {}

void EntryDirectory::Find(const LookupKey& key, Done done) {
  Answer& answer = m_answers[key];
  if (!answer.addresses.empty() &&
      emulator::ReadMonotonicClock() < answer.valid_until) {
    // A copy, since the caller may cause a new look-up.
    const std::vector<std::string> addresses = answer.addresses;
    done(addresses);
    return;
  }
  answer.waiting.push_back(std::move(done));
  if (!answer.is_asking) {
    answer.is_asking = true;
    Ask(key, 0);
  }
}

void EntryDirectory::Ask(const LookupKey& key, std::size_t attempt) {
  if (attempt >= m_lookup.size()) {
    m_answers[key].addresses.clear();
    Deliver(key);
    return;
  }
  ++m_lookups;
  std::string target = "/kumquatcove/v1/entries?service=" + key.service;
  if (!key.client.empty()) {
    target += "&client=" + key.client;
  }
  const std::string& address = m_lookup[m_next_lookup++ % m_lookup.size()];
  m_connections.Exchange(address, {"GET", target, {}, ""}, m_timeout,
                         [this, key, attempt](const HttpResult& result) {
                           if (Take(key, result)) {
                             Deliver(key);
                           } else {
                             ++m_failed_lookups;
                             Ask(key, attempt + 1);
                           }
                         });
}

bool EntryDirectory::Take(const LookupKey& key, const HttpResult& result) {
  const auto* http = std::get_if<HttpAnswer>(&result);
  if (http == nullptr || http->status != 200) {
    return false;
  }
  try {
    const boost::json::value json = boost::json::parse(http->body);
    const auto entries = FromJson<std::vector<LookupEntry>>(
        json.as_object().at("entries"), "$.entries");
    const auto ttl_ms = FromJson<std::int64_t>(json.as_object().at("ttl_ms"));
    Answer& answer = m_answers[key];
    answer.addresses.clear();
    for (const LookupEntry& entry : entries) {
      answer.addresses.push_back(entry.address);
    }
    answer.valid_until = emulator::ReadMonotonicClock() + Milliseconds(ttl_ms);
    return !answer.addresses.empty();
  } catch (const std::exception&) {
    return false;
  }
}

void EntryDirectory::Deliver(const LookupKey& key) {
  Answer& answer = m_answers[key];
  answer.is_asking = false;
  const std::vector<std::string> addresses = answer.addresses;
  for (const Done& done : std::exchange(answer.waiting, {})) {
    done(addresses);
  }
}

}  // namespace kumquatcove
