/// Documents that change a configuration: whole documents, and partial ones
/// that contain only the changes.
#ifndef CITRONWHARF_CONTROL_CONFIGURATION_DOCUMENT_H_
#define CITRONWHARF_CONTROL_CONFIGURATION_DOCUMENT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "citronwharf/configuration.h"

namespace citronwharf {

/// How a document is applied. A whole document replaces every list; it keeps
/// the keys if it has no list of keys, and the draining flag of each endpoint
/// for which it does not set one. A partial document merges items by name and
/// removes those listed under "remove", as in {"remove": {"routes": ["old"]}}.
enum class document_mode { whole, partial };

/// Returns `base` with the document applied, the lists sorted and the version
/// of `base`. Precondition: check_document of validate.h found no fault.
/// Thread-safe.
configuration merge_document(const configuration& base,
                             const nlohmann::json& document,
                             document_mode mode);

/// Returns the partial document that turns `from` into `to`; an empty object if
/// they differ at most in the version. Precondition: lists are sorted.
/// Thread-safe.
nlohmann::json difference(const configuration& from, const configuration& to);

/// Returns the sort key of an item. Thread-safe.
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
