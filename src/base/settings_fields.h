/// The table that settings, their schema and their page are made from.
#ifndef CITRONWHARF_BASE_SETTINGS_FIELDS_H_
#define CITRONWHARF_BASE_SETTINGS_FIELDS_H_

#include <string>
#include <vector>

namespace citronwharf::detail {

enum class field_type {
  text,
  name,
  address,
  addresses,
  roles,
  integer,
  count,
  share,
  number,
  flag
};

/// One setting. Defaults are those of the settings structs.
struct settings_field {
  std::string pointer;  ///< JSON pointer, "/group/name" or "/name"
  field_type type = field_type::text;
  bool required = false;
  std::string unit;
  std::string meaning;
};

/// Returns the table in the order of the page. Thread-safe.
const std::vector<settings_field>& settings_fields();

}  // namespace citronwharf::detail

#endif  // CITRONWHARF_BASE_SETTINGS_FIELDS_H_
