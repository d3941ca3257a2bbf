#include "kernel/config/document_merge.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace eelgrass {
namespace {

using json = nlohmann::json;
using entry_map = std::map<std::string, json>;

bool Ignored(std::string_view field) { return field == "base" || field == "version"; }

/** What identifies an entry of a list: its name, or what it is about. */
std::string IdentityOf(const std::string& list, const json& entry) {
  if (entry.contains("name")) return entry.at("name").get<std::string>();
  if (list == "windows") {
    return entry.value("domain", "") + "@" + std::to_string(entry.value("from_ms", int64_t{0}));
  }
  return entry.value("organisation", "") + "@" + entry.value("service", "");
}

/** Every entry of every list, and every other field, under its place. */
entry_map Flatten(const json& document) {
  entry_map entries;
  for (const auto& [field, value] : document.items()) {
    if (Ignored(field)) continue;
    if (!value.is_array()) {
      entries[field] = value;
      continue;
    }
    for (const auto& entry : value) entries[field + "/" + IdentityOf(field, entry)] = entry;
  }
  return entries;
}

json Unflatten(const entry_map& entries) {
  json document = json::object();
  for (const auto& [place, value] : entries) {
    const size_t slash = place.find('/');
    if (slash == std::string::npos) {
      document[place] = value;
    } else {
      document[place.substr(0, slash)].push_back(value);
    }
  }
  return document;
}

const json* Lookup(const entry_map& entries, const std::string& place) {
  const auto found = entries.find(place);
  return found == entries.end() ? nullptr : &found->second;
}

bool Same(const json* a, const json* b) {
  if (a == nullptr || b == nullptr) return a == b;
  return *a == *b;
}

std::set<std::string> Places(const entry_map& a, const entry_map& b) {
  std::set<std::string> places;
  for (const auto& [place, value] : a) places.insert(place);
  for (const auto& [place, value] : b) places.insert(place);
  return places;
}

std::string TextOf(const json* value) { return value == nullptr ? std::string() : value->dump(); }

entry_map Read(std::string_view text) {
  return text.empty() ? entry_map() : Flatten(json::parse(text));
}

}  // namespace

std::vector<document_difference> Differences(std::string_view before, std::string_view after) {
  const entry_map old_entries = Read(before);
  const entry_map new_entries = Read(after);
  std::vector<document_difference> differences;
  for (const auto& place : Places(old_entries, new_entries)) {
    const json* old_value = Lookup(old_entries, place);
    const json* new_value = Lookup(new_entries, place);
    if (Same(old_value, new_value)) continue;
    differences.push_back({place, TextOf(old_value), TextOf(new_value)});
  }
  return differences;
}

result<std::string> MergeDocuments(std::string_view base, std::string_view wanted,
                                   std::string_view current) {
  const entry_map base_entries = Read(base);
  const entry_map wanted_entries = Read(wanted);
  entry_map merged = Read(current);
  std::string conflicts;
  for (const auto& place : Places(base_entries, wanted_entries)) {
    const json* old_value = Lookup(base_entries, place);
    const json* new_value = Lookup(wanted_entries, place);
    if (Same(old_value, new_value)) continue;
    const json* now = Lookup(merged, place);
    if (Same(now, new_value)) continue;
    if (!Same(now, old_value)) {
      conflicts += (conflicts.empty() ? "" : ", ") + place;
      continue;
    }
    if (new_value == nullptr) {
      merged.erase(place);
    } else {
      merged[place] = *new_value;
    }
  }
  if (!conflicts.empty()) {
    return Fail(error_kind::kConflict, "merge-change", "", "changed by others too: " + conflicts);
  }
  json document = Unflatten(merged);
  document["base"] = json::parse(current).value("version", int64_t{0});
  return document.dump(2);
}

}  // namespace eelgrass
