/// Macros that define equality and JSON conversion, and thereby CBOR, of value
/// types from one list of members.
#ifndef CITRONWHARF_BASE_VALUE_H_
#define CITRONWHARF_BASE_VALUE_H_

#include <nlohmann/json.hpp>
#include <optional>

namespace nlohmann {

/// Writes an empty optional as null and reads null as an empty optional.
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

// The macro parameters are types and members, which cannot be parenthesised.
// NOLINTBEGIN(bugprone-macro-parentheses)

#define CITRONWHARF_EQUAL_MEMBER(member) &&lhs.member == rhs.member

/// Defines ==, !=, to_json and from_json over the members listed, whose names
/// become the JSON names. Use it in the namespace of the type. from_json throws
/// nlohmann::json::exception if a member is missing or has the wrong type, so
/// convert untrusted input with decode_value.
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

/// Like CITRONWHARF_VALUE, but members that are missing keep their default, for
/// messages that get further members while older processes run.
#define CITRONWHARF_VALUE_WITH_DEFAULTS(type, ...)                   \
  NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(type, __VA_ARGS__) \
  inline bool operator==(const type& lhs, const type& rhs) {         \
    return true NLOHMANN_JSON_EXPAND(                                \
        NLOHMANN_JSON_PASTE(CITRONWHARF_EQUAL_MEMBER, __VA_ARGS__)); \
  }                                                                  \
  inline bool operator!=(const type& lhs, const type& rhs) {         \
    return !(lhs == rhs);                                            \
  }

/// Like CITRONWHARF_VALUE, with one more member, `added`, that is left out of
/// the JSON while it has the default of its type and may be missing when read.
/// For members added to a message that older processes read or write.
#define CITRONWHARF_VALUE_ADDING(type, added, ...)                             \
  inline void to_json(nlohmann::json& nlohmann_json_j,                         \
                      const type& nlohmann_json_t) {                           \
    NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_TO, __VA_ARGS__))   \
    if (!(nlohmann_json_t.added == type{}.added)) {                            \
      nlohmann_json_j[#added] = nlohmann_json_t.added;                         \
    }                                                                          \
  }                                                                            \
  inline void from_json(const nlohmann::json& nlohmann_json_j,                 \
                        type& nlohmann_json_t) {                               \
    NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(NLOHMANN_JSON_FROM, __VA_ARGS__)) \
    nlohmann_json_t.added =                                                    \
        nlohmann_json_j.value(#added, decltype(nlohmann_json_t.added){});      \
  }                                                                            \
  inline bool operator==(const type& lhs, const type& rhs) {                   \
    return lhs.added == rhs.added NLOHMANN_JSON_EXPAND(NLOHMANN_JSON_PASTE(    \
                            CITRONWHARF_EQUAL_MEMBER, __VA_ARGS__));           \
  }                                                                            \
  inline bool operator!=(const type& lhs, const type& rhs) {                   \
    return !(lhs == rhs);                                                      \
  }

/// Like CITRONWHARF_VALUE, for a type without members.
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
