#include "gateway/codec.h"

#include <tuple>

namespace citronwharf {
namespace {

template <typename Server>
auto tied_members(Server& of) {
  return std::tie(of.id, of.service, of.address, of.failure_domain, of.slots,
                  of.leaving, of.stage, of.software_version);
}

}  // namespace

bool operator==(const listed_server& lhs, const listed_server& rhs) {
  return tied_members(lhs) == tied_members(rhs) &&
         lhs.evacuated == rhs.evacuated && lhs.cold_left_ms == rhs.cold_left_ms;
}

bool operator!=(const listed_server& lhs, const listed_server& rhs) {
  return !(lhs == rhs);
}

void to_json(nlohmann::json& out, const listed_server& value) {
  out = tied_members(value);
  if (value.cold_left_ms != 0) {
    out.push_back(value.cold_left_ms);
  }
}

void from_json(const nlohmann::json& in, listed_server& value) {
  in.at(0).get_to(value.id);
  in.at(1).get_to(value.service);
  in.at(2).get_to(value.address);
  in.at(3).get_to(value.failure_domain);
  in.at(4).get_to(value.slots);
  in.at(5).get_to(value.leaving);
  in.at(6).get_to(value.stage);
  in.at(7).get_to(value.software_version);
  constexpr std::size_t cold_left_at = 8;
  value.cold_left_ms =
      in.size() > cold_left_at ? in.at(cold_left_at).get<std::int64_t>() : 0;
}

}  // namespace citronwharf
