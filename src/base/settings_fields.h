/// Table of all settings, from which their schema and documentation are
/// generated.
#ifndef CITRONWHARF_BASE_SETTINGS_FIELDS_H_
#define CITRONWHARF_BASE_SETTINGS_FIELDS_H_

#include <string>
#include <vector>

namespace citronwharf::detail {

enum class field_type {
  text,
  name,     ///< 1 to 64 letters, digits, '_', '.' or '-'
  address,  ///< "ip:port", IPv4
  addresses,
  roles,
  positive_integer,
  non_negative_integer,
  fraction,
  non_negative_number,
  boolean
};

/// One setting. Its default is that of the settings structs.
struct settings_field {
  std::string pointer;  ///< JSON pointer, "/group/name" or "/name"
  field_type type = field_type::text;
  bool required = false;
  std::string unit;
  std::string documentation;
};

/// Returns the table in the order of docs/SETTINGS.md. Thread-safe.
const std::vector<settings_field>& settings_fields();

}  // namespace citronwharf::detail

#endif  // CITRONWHARF_BASE_SETTINGS_FIELDS_H_
