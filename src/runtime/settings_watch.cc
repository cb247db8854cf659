#include "runtime/settings_watch.h"

#include <utility>

namespace kumquatcove {
namespace {

/** Returns the text of a file, or an empty string if it cannot be read.
 * SettingsWatch then reports the read error. */
std::string ReadTextOrEmpty(const std::string& file) {
  try {
    return ReadSettingsText(file);
  } catch (const SettingsError&) {
    return {};
  }
}

}  // namespace

SettingsWatch::SettingsWatch(std::string file)
    : m_file(std::move(file)), m_last_text(ReadTextOrEmpty(m_file)) {}

std::optional<Settings> SettingsWatch::Read(bool always) {
  std::string text = ReadTextOrEmpty(m_file);
  if (text == m_last_text && !always) {
    return std::nullopt;
  }
  m_last_text = std::move(text);
  return m_last_text.empty() ? ReadSettingsFile(m_file)
                             : ParseSettings(m_last_text, m_file);
}

}  // namespace kumquatcove
