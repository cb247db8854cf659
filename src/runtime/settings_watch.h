#ifndef RUNTIME_SETTINGS_WATCH_H_
#define RUNTIME_SETTINGS_WATCH_H_

#include <optional>
#include <string>

#include "runtime/settings.h"

namespace kumquatcove {

/**
 * Finds changes of a settings file, which may come without a signal.
 *
 * Thread safety: none.
 */
class SettingsWatch {
 public:
  /** The present content of `file` counts as known. */
  explicit SettingsWatch(std::string file);

  /** Returns the settings if the file has changed since the last call, or if
   * `always` is set. Throws SettingsError if they aren't valid, once for each
   * change. */
  std::optional<Settings> Read(bool always);

 private:
  std::string m_file;
  std::string m_known;
};

}  // namespace kumquatcove

#endif  // RUNTIME_SETTINGS_WATCH_H_
