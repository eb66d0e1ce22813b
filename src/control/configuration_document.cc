#include "control/configuration_document.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/configuration_json.h"

namespace citronwharf {
namespace {

using nlohmann::json;

template <typename Item>
void sort_by_name(std::vector<Item>& items) {
  std::sort(items.begin(), items.end(), [](const Item& lhs, const Item& rhs) {
    return name_of_item(lhs) < name_of_item(rhs);
  });
}

template <typename Item>
void remove_items(std::vector<Item>& items, const json& names) {
  const auto named = [&](const Item& item) {
    return std::find(names.begin(), names.end(), name_of_item(item)) !=
           names.end();
  };
  items.erase(std::remove_if(items.begin(), items.end(), named), items.end());
}

// Precondition: items are sorted.
template <typename Item>
void merge_items(std::vector<Item>& items, const json& changes,
                 const char* name) {
  std::vector<Item> added;
  for (const json& change : changes) {
    const auto wanted = change.at(name).get<std::string>();
    const auto found =
        std::lower_bound(items.begin(), items.end(), wanted,
                         [](const Item& item, const std::string& key) {
                           return name_of_item(item) < key;
                         });
    if (found == items.end() || name_of_item(*found) != wanted) {
      added.push_back(change.get<Item>());
      continue;
    }
    json merged = *found;
    merged.merge_patch(change);
    *found = merged.get<Item>();
  }
  items.insert(items.end(), added.begin(), added.end());
  sort_by_name(items);
}

template <typename Item>
void append_differences(const char* list, const std::vector<Item>& from,
                        const std::vector<Item>& to, json& out) {
  auto old_item = from.begin();
  for (const Item& item : to) {
    while (old_item != from.end() &&
           name_of_item(*old_item) < name_of_item(item)) {
      out["remove"][list].push_back(name_of_item(*old_item));
      ++old_item;
    }
    const bool same_name =
        old_item != from.end() && name_of_item(*old_item) == name_of_item(item);
    if (!same_name || *old_item != item) {
      out[list].push_back(item);
    }
    old_item += same_name ? 1 : 0;
  }
  for (; old_item != from.end(); ++old_item) {
    out["remove"][list].push_back(name_of_item(*old_item));
  }
}

// Draining is set by `endpoint drain`; a document that does not set it leaves
// it unchanged.
void preserve_draining(const std::vector<endpoint>& before,
                       const json& document, std::vector<endpoint>& items) {
  std::set<std::string> draining;
  for (const endpoint& in : before) {
    if (in.draining) {
      draining.insert(in.name);
    }
  }
  for (const json& item : document.value("endpoints", json::array())) {
    if (item.contains("draining")) {
      draining.erase(item.at("name").get<std::string>());
    }
  }
  for (endpoint& in : items) {
    in.draining = in.draining || draining.count(in.name) != 0;
  }
}

}  // namespace

configuration merge_document(const configuration& base, const json& document,
                             document_mode mode) {
  configuration out = base;
  const json removed = document.value("remove", json::object());
  for_each_list([&](const char* list, auto member) {
    auto& items = out.*member;
    if (mode == document_mode::whole &&
        (std::string(list) != "keys" || document.contains(list))) {
      items.clear();
    }
    if (mode == document_mode::partial && removed.contains(list)) {
      remove_items(items, removed.at(list));
    }
    if (document.contains(list)) {
      merge_items(items, document.at(list), name_member(list));
    }
  });
  if (mode == document_mode::whole) {
    preserve_draining(base.endpoints, document, out.endpoints);
  }
  return out;
}

json difference(const configuration& from, const configuration& to) {
  json out = json::object();
  for_each_list([&](const char* list, auto member) {
    append_differences(list, from.*member, to.*member, out);
  });
  return out;
}

}  // namespace citronwharf
