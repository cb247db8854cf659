#include "runtime/settings_watch.h"

#include <utility>

namespace kumquatcove {
namespace {

/** Returns the text of a file; empty if it can't be read, which ParseSettings
 * then refuses. */
std::string ReadKnown(const std::string& file) {
  try {
    return ReadSettingsText(file);
  } catch (const SettingsError&) {
    return {};
  }
}

}  // namespace

SettingsWatch::SettingsWatch(std::string file)
    : m_file(std::move(file)), m_known(ReadKnown(m_file)) {}

std::optional<Settings> SettingsWatch::Read(bool always) {
  std::string text = ReadKnown(m_file);
  if (text == m_known && !always) {
    return std::nullopt;
  }
  m_known = std::move(text);
  return m_known.empty() ? ReadSettingsFile(m_file)
                         : ParseSettings(m_known, m_file);
}

}  // namespace kumquatcove
