#include "catalogue/catalogue_difference.h"

#include <map>
#include <string_view>
#include <utility>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "base/json_codec.h"

namespace kumquatcove {
namespace {

using Children = std::map<std::string, const boost::json::value*>;

// Returns the name under which an element of a list is compared, so that a
// removed element doesn't make all later ones differ.
std::string ElementKey(const boost::json::value& element, std::size_t index) {
  if (const boost::json::object* object = element.if_object()) {
    for (const char* name : {"id", "name", "prefix"}) {
      const boost::json::value* key = object->if_contains(name);
      if (key != nullptr && key->is_string()) {
        return std::string(key->get_string());
      }
    }
  }
  return std::to_string(index);
}

Children ChildrenOf(const boost::json::value& value) {
  Children children;
  if (const boost::json::object* object = value.if_object()) {
    for (const auto& member : *object) {
      children["." + std::string(member.key())] = &member.value();
    }
  } else if (const boost::json::array* array = value.if_array()) {
    for (std::size_t index = 0; index < array->size(); ++index) {
      children["[" + ElementKey((*array)[index], index) + "]"] =
          &(*array)[index];
    }
  }
  return children;
}

std::string Show(const boost::json::value* value) {
  return value == nullptr ? std::string() : boost::json::serialize(*value);
}

void DiffValues(const std::string& path,
                const boost::json::value* before,
                const boost::json::value* after,
                std::vector<FieldDifference>& differences) {
  const bool comparable =
      before != nullptr && after != nullptr && before->kind() == after->kind();
  if (comparable && *before == *after) {
    return;
  }
  if (!comparable || !before->is_structured()) {
    differences.push_back({path, Show(before), Show(after)});
    return;
  }
  const std::size_t found = differences.size();
  const Children old_children = ChildrenOf(*before);
  const Children new_children = ChildrenOf(*after);
  Children all = old_children;
  all.insert(new_children.begin(), new_children.end());
  const auto child = [](const Children& children, const std::string& name) {
    const auto it = children.find(name);
    return it == children.end() ? nullptr : it->second;
  };
  for (const auto& [name, value] : all) {
    DiffValues(path + name, child(old_children, name),
               child(new_children, name), differences);
  }
  if (differences.size() == found) {
    // Only the order differs, which children compared by name don't show.
    differences.push_back({path, Show(before), Show(after)});
  }
}

boost::json::value BodyToJson(const EntryBody& body) {
  return std::visit([](const auto& entry) { return ToJson(entry); }, body);
}

}  // namespace

std::vector<EntryDifference> DiffCatalogue(
    const CatalogueSnapshot& before,
    const std::vector<EntryBody>& after) {
  std::map<std::string, EntryDifference> differences;
  std::map<std::string, const CatalogueEntry*> old_entries;
  for (const CatalogueEntry& entry : before.entries) {
    const std::string name = EntryName(entry.body);
    old_entries[name] = &entry;
    differences[name] = {name, DifferenceKind::kRemoved, entry.revision, {}};
  }
  for (const EntryBody& body : after) {
    const std::string name = EntryName(body);
    const auto old = old_entries.find(name);
    if (old == old_entries.end()) {
      differences[name] = {name, DifferenceKind::kAdded, 0, {}};
    } else if (old->second->body == body) {
      differences.erase(name);
    } else {
      EntryDifference& difference = differences[name];
      difference.kind = DifferenceKind::kChanged;
      const boost::json::value old_json = BodyToJson(old->second->body);
      const boost::json::value new_json = BodyToJson(body);
      DiffValues("$", &old_json, &new_json, difference.fields);
    }
  }
  std::vector<EntryDifference> sorted;
  sorted.reserve(differences.size());
  for (auto& [name, difference] : differences) {
    sorted.push_back(std::move(difference));
  }
  return sorted;
}

}  // namespace kumquatcove
