/// The members that a configuration document may have, with their types and
/// limits.
#ifndef CITRONWHARF_CONTROL_DOCUMENT_FIELDS_H_
#define CITRONWHARF_CONTROL_DOCUMENT_FIELDS_H_

#include <limits>
#include <map>
#include <string>
#include <vector>

namespace citronwharf::detail {

enum class member_type {
  name,     ///< up to 64 letters, digits, "_", "." and "-"
  text,     ///< as name, or ""
  address,  ///< "ip:port"
  digest,   ///< 64 hex digits
  boolean,
  number,
  integer,
  choice,
  methods,   ///< list of HTTP methods
  allowance  ///< object with the members of allowance_members()
};

/// One member of a list item. The bounds apply to numbers and integers.
struct document_member {
  std::string name;
  member_type type = member_type::text;
  double least = 0;
  double most = std::numeric_limits<double>::max();
  std::vector<std::string> choices{};
};

/// Returns the members of the items of each list, by list name. Thread-safe.
const std::map<std::string, std::vector<document_member>>& list_members();
/// Returns the members of an allowance. Thread-safe.
const std::vector<document_member>& allowance_members();

}  // namespace citronwharf::detail

#endif  // CITRONWHARF_CONTROL_DOCUMENT_FIELDS_H_
