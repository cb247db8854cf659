#include "catalogue/catalogue_file.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "base/json_codec.h"
#include "catalogue/catalogue_validator.h"

namespace kumquatcove {
namespace {

// Longer values are cut in problems.
constexpr std::size_t kMaxShownValue = 200;

// Returns the value at a path of JsonCodecError; null if there is none.
const boost::json::value* FindPath(const boost::json::value& root,
                                   std::string_view path) {
  const boost::json::value* value = &root;
  path.remove_prefix(std::min<std::size_t>(path.size(), 1));
  while (!path.empty() && value != nullptr) {
    const std::size_t end = std::min(path.find_first_of(".[", 1), path.size());
    const std::string_view step = path.substr(1, end - 1);
    if (path.front() == '[') {
      std::size_t index = 0;
      std::from_chars(step.data(), step.data() + step.size(), index);
      value =
          value->is_array() ? value->get_array().if_contains(index) : nullptr;
    } else {
      value = value->is_object()
                  ? value->get_object().if_contains(
                        boost::json::string_view(step.data(), step.size()))
                  : nullptr;
    }
    path.remove_prefix(end);
  }
  return value;
}

std::string ShowValue(const boost::json::value* value) {
  std::string text =
      value == nullptr ? std::string() : boost::json::serialize(*value);
  if (text.size() > kMaxShownValue) {
    text.resize(kMaxShownValue);
    text += "...";
  }
  return text;
}

/** Parses one file into located entries and problems. */
class FileParser {
 public:
  FileParser(const CatalogueFile& file,
             std::vector<LocatedEntry>& entries,
             std::vector<CatalogueProblem>& problems)
      : m_file(file), m_entries(entries), m_problems(problems) {}

  void Parse() {
    if (m_file.content.size() > kMaxCatalogueFileBytes) {
      Report("$", "",
             std::to_string(m_file.content.size()) +
                 " bytes; permitted are at most " +
                 std::to_string(kMaxCatalogueFileBytes));
      return;
    }
    boost::json::error_code error;
    m_root = boost::json::parse(m_file.content, error);
    if (error) {
      Report("$", "", "not a JSON document: " + error.message());
    } else if (!m_root.is_object()) {
      Report("$", ShowValue(&m_root), "expected an object");
    } else if (CheckMembers()) {
      ParseEntries();
    }
  }

 private:
  void Report(std::string path, std::string value, std::string problem) {
    m_problems.push_back(
        {m_file.name, std::move(path), std::move(value), std::move(problem)});
  }

  void Report(const JsonCodecError& error) {
    std::string problem(error.what());
    problem.erase(0, error.Path().size() + 2);
    if (problem == "number out of range") {
      problem += "; permitted are -2147483648 to 2147483647";
    } else if (boost::algorithm::ends_with(error.Path(), ".request_class")) {
      problem += "; permitted are 'idempotent' and 'non-idempotent'";
    }
    Report(error.Path(), ShowValue(FindPath(m_root, error.Path())),
           std::move(problem));
  }

  bool CheckMembers() {
    const std::size_t before = m_problems.size();
    const boost::json::object& root = m_root.get_object();
    for (const auto& member : root) {
      const std::string_view name = member.key();
      if (name != "format_version" && name != "topology" &&
          name != "services") {
        Report("$." + std::string(name), ShowValue(&member.value()),
               "unknown member; permitted are format_version, topology and "
               "services");
      }
    }
    const boost::json::value* version = root.if_contains("format_version");
    if (version == nullptr || !version->is_int64() ||
        version->get_int64() != kCatalogueFormatVersion) {
      Report("$.format_version", ShowValue(version),
             "permitted is " + std::to_string(kCatalogueFormatVersion));
    }
    return m_problems.size() == before;
  }

  void ParseEntries() {
    const boost::json::object& root = m_root.get_object();
    if (const boost::json::value* topology = root.if_contains("topology")) {
      ParseEntry<TopologyEntry>(*topology, "$.topology");
    }
    const boost::json::value* services = root.if_contains("services");
    if (services == nullptr) {
      return;
    }
    if (!services->is_array()) {
      Report("$.services", ShowValue(services), "expected an array");
      return;
    }
    std::size_t index = 0;
    for (const boost::json::value& service : services->get_array()) {
      ParseEntry<ServiceEntry>(service,
                               "$.services[" + std::to_string(index++) + "]");
    }
  }

  template <class T>
  void ParseEntry(const boost::json::value& json, const std::string& path) {
    try {
      m_entries.push_back({{m_file.name, path}, FromJson<T>(json, path)});
    } catch (const JsonCodecError& error) {
      Report(error);
    }
  }

  const CatalogueFile& m_file;
  std::vector<LocatedEntry>& m_entries;
  std::vector<CatalogueProblem>& m_problems;
  boost::json::value m_root;
};

}  // namespace

CatalogueResult ParseCatalogue(const std::vector<CatalogueFile>& files) {
  std::vector<LocatedEntry> entries;
  std::vector<CatalogueProblem> problems;
  for (const CatalogueFile& file : files) {
    FileParser(file, entries, problems).Parse();
  }
  if (problems.empty()) {
    problems = ValidateCatalogue(entries);
  }
  if (!problems.empty()) {
    return problems;
  }
  std::vector<EntryBody> bodies;
  bodies.reserve(entries.size());
  for (LocatedEntry& entry : entries) {
    bodies.push_back(std::move(entry.body));
  }
  return bodies;
}

std::string FormatCatalogue(const std::vector<EntryBody>& bodies) {
  boost::json::object root;
  root["format_version"] = kCatalogueFormatVersion;
  boost::json::array services;
  for (const EntryBody& body : bodies) {
    if (const auto* topology = std::get_if<TopologyEntry>(&body)) {
      root["topology"] = ToJson(*topology);
    } else {
      services.push_back(ToJson(std::get<ServiceEntry>(body)));
    }
  }
  root["services"] = std::move(services);
  return boost::json::serialize(root);
}

}  // namespace kumquatcove
