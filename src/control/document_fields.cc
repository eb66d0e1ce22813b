#include "control/document_fields.h"

namespace citronwharf::detail {
namespace {

constexpr double max_weight = 1e6;
constexpr double max_tokens = 1e12;
constexpr double max_milliseconds = 86'400'000;
constexpr double max_body_bytes = 64U << 20U;

}  // namespace

const std::vector<document_member>& allowance_members() {
  static const std::vector<document_member> members{
      {"tokens_per_second", member_type::number, 1e-6, max_tokens, {}},
      {"burst_tokens", member_type::number, 1, max_tokens, {}},
  };
  return members;
}

const std::map<std::string, std::vector<document_member>>& list_members() {
  using type = member_type;
  static const std::map<std::string, std::vector<document_member>> lists{
      {"organisations",
       {{"name", type::name},
        {"weight", type::number, 1e-6, max_weight, {}},
        {"limit", type::allowance}}},
      {"keys",
       {{"id", type::name},
        {"organisation", type::name},
        {"digest", type::digest},
        {"withdrawn", type::boolean}}},
      {"routes",
       {{"name", type::name},
        {"kind", type::choice, 0, 0, {"pools", "plain"}},
        {"access", type::choice, 0, 0, {"keyed", "open"}},
        {"service", type::choice, 0, 0, {"commit", "lookup", "summary"}},
        {"idempotent", type::boolean},
        {"model", type::text},
        {"prefill_pool", type::text},
        {"decode_pool", type::text},
        {"plain_pool", type::text},
        {"methods", type::methods},
        {"first_token_target_ms", type::integer, 1, max_milliseconds, {}},
        {"between_tokens_target_ms", type::integer, 1, max_milliseconds, {}},
        {"deadline_ms", type::integer, 1, max_milliseconds, {}},
        {"max_body_bytes", type::integer, 0, max_body_bytes, {}},
        {"max_output_tokens", type::integer, 1, 1e6, {}},
        {"plain_cost_tokens", type::integer, 0, 1e9, {}}}},
      {"endpoints",
       {{"name", type::name},
        {"address", type::address},
        {"pool", type::name},
        {"role", type::choice, 0, 0, {"prefill", "decode", "plain"}},
        {"model", type::text},
        {"adapter", type::text},
        {"model_version", type::text},
        {"region", type::text},
        {"failure_domain", type::text},
        {"checks_fencing", type::boolean},
        {"draining", type::boolean}}},
      {"entries",
       {{"name", type::name},
        {"address", type::address},
        {"failure_domain", type::text}}},
  };
  return lists;
}

}  // namespace citronwharf::detail
