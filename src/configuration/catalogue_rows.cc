#include "configuration/catalogue_rows.h"

#include <algorithm>
#include <exception>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "base/hash.h"
#include "base/json_codec.h"

namespace kumquatcove {
namespace {

template <class T>
std::optional<T> Decode(const std::string& text) {
  try {
    return FromJson<T>(boost::json::parse(text));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

template <class T>
std::string Encode(const T& content) {
  return boost::json::serialize(ToJson(content));
}

}  // namespace

std::string EntryKey(std::string_view entry_name) {
  return std::string(kEntryPrefix) + std::string(entry_name);
}

std::string EditKey(const EditId& edit) {
  return std::string(kEditPrefix) + edit.Text();
}

std::optional<HeadRow> DecodeHeadRow(const StoreRow& row) {
  return row.version == 0 ? HeadRow{} : Decode<HeadRow>(row.value);
}

std::optional<EditRow> DecodeEditRow(const StoreRow& row) {
  return row.version == 0 ? std::nullopt : Decode<EditRow>(row.value);
}

std::optional<CatalogueSnapshot> DecodeCatalogue(
    const std::vector<StoreRow>& rows) {
  CatalogueSnapshot snapshot;
  for (const StoreRow& row : rows) {
    std::optional<CatalogueEntry> entry = Decode<CatalogueEntry>(row.value);
    if (!entry || EntryKey(EntryName(entry->body)) != row.key) {
      return std::nullopt;
    }
    snapshot.revision = std::max(snapshot.revision, entry->revision);
    snapshot.entries.push_back(std::move(*entry));
  }
  return snapshot;
}

std::string EncodeRow(const HeadRow& content) {
  return Encode(content);
}

std::string EncodeRow(const EditRow& content) {
  return Encode(content);
}

std::string EncodeRow(const CatalogueEntry& content) {
  return Encode(content);
}

std::uint64_t ContentHash(const ApplyCommand& command) {
  return StableHash(Encode(command.edits));
}

}  // namespace kumquatcove
