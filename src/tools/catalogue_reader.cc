#include "tools/catalogue_reader.h"

#include <fstream>
#include <iterator>
#include <set>

#include <boost/json/parse.hpp>

#include "base/json_codec.h"
#include "catalogue/catalogue_file.h"
#include "catalogue/catalogue_validator.h"

namespace kumquatcove {
namespace {

std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw CatalogueFileError(path + ": can't be read");
  }
  return {std::istreambuf_iterator<char>(file), {}};
}

void AddEntries(const boost::json::value& json,
                std::vector<EntryBody>& entries) {
  const boost::json::object& document = detail::JsonToObject(json, "$");
  detail::CheckMembers(document, {"format_version", "topology", "services"},
                       "$");
  const boost::json::value* version = document.if_contains("format_version");
  if (version == nullptr ||
      detail::JsonToSigned(*version, "$.format_version") !=
          kCatalogueFormatVersion) {
    throw JsonCodecError("$.format_version", "expected 1");
  }
  if (const auto* topology = document.if_contains("topology")) {
    entries.emplace_back(FromJson<TopologyEntry>(*topology, "$.topology"));
  }
  if (const auto* services = document.if_contains("services")) {
    for (auto& service :
         FromJson<std::vector<ServiceEntry>>(*services, "$.services")) {
      entries.emplace_back(std::move(service));
    }
  }
}

}  // namespace

std::vector<EntryBody> ReadCatalogueFiles(
    const std::vector<std::string>& paths) {
  std::vector<EntryBody> entries;
  for (const std::string& path : paths) {
    try {
      AddEntries(boost::json::parse(ReadText(path)), entries);
    } catch (const CatalogueFileError&) {
      throw;
    } catch (const std::exception& error) {
      throw CatalogueFileError(path + ": " + error.what());
    }
  }
  std::set<std::string> names;
  for (const EntryBody& entry : entries) {
    if (!names.insert(EntryName(entry)).second) {
      throw CatalogueFileError("entry '" + EntryName(entry) +
                               "' is declared twice");
    }
  }
  return entries;
}

std::size_t ValidateCatalogueFiles(const std::vector<std::string>& paths) {
  std::vector<CatalogueFile> files;
  files.reserve(paths.size());
  for (const std::string& path : paths) {
    files.push_back({path, ReadText(path)});
  }
  const CatalogueResult result = ParseCatalogue(files);
  if (!result.has_value()) {
    throw CatalogueFileError(ToString(result.error()));
  }
  return result.value().size();
}

void CheckCatalogue(const std::vector<EntryBody>& entries) {
  const std::vector<CatalogueProblem> problems = ValidateCatalogue(entries);
  if (!problems.empty()) {
    throw CatalogueFileError(ToString(problems));
  }
}

}  // namespace kumquatcove
