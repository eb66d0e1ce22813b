/// Value types: equality and JSON (and so CBOR) conversion from one list of
/// members.
#ifndef CITRONWHARF_BASE_VALUE_H_
#define CITRONWHARF_BASE_VALUE_H_

#include <nlohmann/json.hpp>
#include <optional>

namespace nlohmann {

/// An absent optional member is written as null.
template <typename T>
struct adl_serializer<std::optional<T>> {
  static void to_json(json& out, const std::optional<T>& value) {
    if (value) {
      out = *value;
    } else {
      out = nullptr;
    }
  }
  static void from_json(const json& in, std::optional<T>& value) {
    if (in.is_null()) {
      value.reset();
    } else {
      value = in.get<T>();
    }
  }
};

}  // namespace nlohmann

// Macro parameters below are types and members, which take no parentheses.
// NOLINTBEGIN(bugprone-macro-parentheses)

#define CITRONWHARF_EQUAL_MEMBER(member) &&lhs.member == rhs.member

/// Defines ==, !=, to_json and from_json for the members listed. Use it in the
/// type's own namespace. Reading throws nlohmann's exception on a member that
/// is missing or of the wrong type: decode at a boundary with decode_value.
/// Example: CITRONWHARF_VALUE(allowance, tokens_per_second, burst_tokens)
#define CITRONWHARF_VALUE(type, ...)                                 \
  NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(type, __VA_ARGS__)              \
  inline bool operator==(const type& lhs, const type& rhs) {         \
    return true NLOHMANN_JSON_EXPAND(                                \
        NLOHMANN_JSON_PASTE(CITRONWHARF_EQUAL_MEMBER, __VA_ARGS__)); \
  }                                                                  \
  inline bool operator!=(const type& lhs, const type& rhs) {         \
    return !(lhs == rhs);                                            \
  }

/// As CITRONWHARF_VALUE, for a message without members.
#define CITRONWHARF_EMPTY_VALUE(type)                                     \
  inline void to_json(nlohmann::json& out, const type& /*value*/) {       \
    out = nlohmann::json::object();                                       \
  }                                                                       \
  inline void from_json(const nlohmann::json& /*in*/, type& /*value*/) {} \
  inline bool operator==(const type& /*lhs*/, const type& /*rhs*/) {      \
    return true;                                                          \
  }                                                                       \
  inline bool operator!=(const type& /*lhs*/, const type& /*rhs*/) {      \
    return false;                                                         \
  }

// NOLINTEND(bugprone-macro-parentheses)

#endif  // CITRONWHARF_BASE_VALUE_H_
