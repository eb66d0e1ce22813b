#include "control/evacuation_machine.h"

#include "base/decode.h"

namespace citronwharf {

nlohmann::json evacuation_machine::make_command(const evacuation_order& in) {
  nlohmann::json out = in;
  out["kind"] = kind;
  return out;
}

nlohmann::json evacuation_machine::apply(std::uint64_t /*index*/,
                                         const nlohmann::json& command) {
  // Also incremented by a command without effect: processes compare it with the
  // number of commands in the log.
  ++current_.revision;
  const auto in = decode_value<evacuation_order>(command);
  if (!in.ok()) {
    return {{"error", in.status().ToString()}};
  }
  const evacuation_outcome outcome = execute(*in);
  return evacuation_reply{in->id, outcome, current_.orders};
}

evacuation_outcome evacuation_machine::execute(const evacuation_order& in) {
  if (in.based_on != current_.orders) {
    return evacuation_outcome::outdated;
  }
  if (!in.evacuated) {
    current_.domains.erase(in.domain);
  } else if (current_.domains.count(in.domain) == 0) {
    if (current_.domains.size() >= max_domains) {
      return evacuation_outcome::too_many;
    }
    current_.domains.insert(in.domain);
  }
  ++current_.orders;
  return evacuation_outcome::accepted;
}

nlohmann::json evacuation_machine::snapshot() const {
  return current_;
}

void evacuation_machine::restore(const nlohmann::json& state) {
  current_ = state.get<evacuation_set>();
}

}  // namespace citronwharf
