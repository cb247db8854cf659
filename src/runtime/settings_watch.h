#ifndef RUNTIME_SETTINGS_WATCH_H_
#define RUNTIME_SETTINGS_WATCH_H_

#include <optional>
#include <string>

#include "runtime/settings.h"

namespace kumquatcove {

/**
 * Detects changes of a settings file, which may occur without a signal.
 *
 * Thread safety: none.
 */
class SettingsWatch {
 public:
  /** Changes are relative to the current content of `file`. */
  explicit SettingsWatch(std::string file);

  /** Returns the settings if the file has changed since the last call, or if
   * `always` is set. Throws SettingsError once for each change if they are
   * invalid or cannot be read. */
  std::optional<Settings> Read(bool always);

 private:
  std::string m_file;
  std::string m_last_text;
};

}  // namespace kumquatcove

#endif  // RUNTIME_SETTINGS_WATCH_H_
