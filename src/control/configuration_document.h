/// Documents that change a configuration: whole ones, and partial ones that
/// name only what differs.
#ifndef CITRONWHARF_CONTROL_CONFIGURATION_DOCUMENT_H_
#define CITRONWHARF_CONTROL_CONFIGURATION_DOCUMENT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "citronwharf/configuration.h"

namespace citronwharf {

/// How a document is read. A whole one replaces every list, but for keys when
/// it has none, and for the draining of endpoints that it does not name. A
/// partial one merges items by name, and removes those listed
/// below "remove", as in {"remove": {"routes": ["old"]}}.
enum class document_mode { whole, partial };

/// Returns `base` changed by the document, lists sorted, the version as in
/// `base`. Precondition: check_document of validate.h found no fault.
/// Thread-safe.
configuration merge_document(const configuration& base,
                             const nlohmann::json& document,
                             document_mode mode);

/// Returns the partial document that leads from one configuration to the
/// other; an empty object when they differ in nothing but the version.
/// Preconditions: lists are sorted. Thread-safe.
nlohmann::json difference(const configuration& from, const configuration& to);

/// Returns the name of an item, by which lists are sorted. Thread-safe.
template <typename Item>
const std::string& name_of_item(const Item& item) {
  return item.name;
}
inline const std::string& name_of_item(const api_key& item) {
  return item.id;
}

/// Calls visit(list name, member pointer) for each list of a configuration.
template <typename Visitor>
void for_each_list(Visitor visit) {
  visit("organisations", &configuration::organisations);
  visit("keys", &configuration::keys);
  visit("routes", &configuration::routes);
  visit("endpoints", &configuration::endpoints);
  visit("entries", &configuration::entries);
}

/// Returns the member that names an item of the list. Thread-safe.
inline const char* name_member(const std::string& list) {
  return list == "keys" ? "id" : "name";
}

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_CONFIGURATION_DOCUMENT_H_
