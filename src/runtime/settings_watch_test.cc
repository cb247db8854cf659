#include "runtime/settings_watch.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

#include <unistd.h>

namespace kumquatcove {
namespace {

/** A modifiable copy of the example settings. */
class ChangingFile {
 public:
  ChangingFile()
      : m_text(ReadSettingsText((std::filesystem::path(__FILE__).parent_path() /
                                 "../../examples/kumquatcoved.json")
                                    .string())) {
    Write(m_text);
  }
  ~ChangingFile() { std::filesystem::remove(m_path); }
  ChangingFile(const ChangingFile&) = delete;
  ChangingFile& operator=(const ChangingFile&) = delete;

  void Write(const std::string& text) const {
    std::ofstream(m_path, std::ios::trunc) << text;
  }
  std::string TextFor(const std::string& instance) const {
    const std::string known = "lima-a-1";
    std::string text = m_text;
    return text.replace(text.find(known), known.size(), instance);
  }
  void Remove() const { std::filesystem::remove(m_path); }
  const std::string& Path() const { return m_path; }
  const std::string& Text() const { return m_text; }

 private:
  std::string m_path =
      (std::filesystem::temp_directory_path() /
       ("kumquatcove-settings-" + std::to_string(::getpid()) + ".json"))
          .string();
  std::string m_text;
};

}  // namespace

// Guards against missing a change that the platform makes to the settings file
// without a signal.
TEST_CASE("A changed settings file is read once, without a signal") {
  const ChangingFile file;
  SettingsWatch watch(file.Path());
  CHECK_FALSE(watch.Read(false).has_value());
  file.Write(file.TextFor("lima-a-2"));
  const std::optional<Settings> changed = watch.Read(false);
  REQUIRE(changed.has_value());
  CHECK(changed->instance == InstanceId("lima-a-2"));
  CHECK_FALSE(watch.Read(false).has_value());
  // After a signal the file is read even if it is unchanged.
  CHECK(watch.Read(true).has_value());
}

TEST_CASE("An invalid file is reported once and can be corrected") {
  const ChangingFile file;
  SettingsWatch watch(file.Path());
  file.Write("{");
  CHECK_THROWS_AS(watch.Read(false), SettingsError);
  CHECK_FALSE(watch.Read(false).has_value());
  file.Remove();
  CHECK_THROWS_AS(watch.Read(false), SettingsError);
  CHECK_FALSE(watch.Read(false).has_value());
  file.Write(file.Text());
  CHECK(watch.Read(false).has_value());
}

}  // namespace kumquatcove
