/// Messages about the evacuation of failure domains: the set of evacuated
/// domains, and the operators' orders on their way to the leader.
#ifndef CITRONWHARF_WIRE_EVACUATION_MESSAGES_H_
#define CITRONWHARF_WIRE_EVACUATION_MESSAGES_H_

#include <cstdint>
#include <set>
#include <string>

#include "base/value.h"

namespace citronwharf {

/// The evacuated failure domains.
struct evacuation_set {
  static constexpr const char* type_name = "evacuation_update";
  /// Counts the commands in the log, also those without effect.
  std::uint64_t revision = 0;
  /// Counts the accepted orders, also those that repeat an earlier one.
  std::uint64_t orders = 0;
  std::set<std::string> domains;
};
CITRONWHARF_VALUE(evacuation_set, revision, orders, domains)

/// An order of an operator. It is valid only while no other order was accepted
/// since the `based_on`-th, so that one that arrives late has no effect.
struct evacuation_order {
  static constexpr const char* type_name = "evacuation_order";
  std::uint64_t id = 0;  ///< counter of the sender
  std::string domain;
  bool evacuated = false;  ///< if false, the evacuation ends
  std::uint64_t based_on = 0;
};
CITRONWHARF_VALUE(evacuation_order, id, domain, evacuated, based_on)

enum class evacuation_outcome {
  unknown,   ///< it may have been accepted
  accepted,  ///< committed
  outdated,  ///< no effect: another order was accepted meanwhile
  too_many,  ///< no effect: too many domains are evacuated
  not_taken  ///< no effect: the process can't propose commands now
};
NLOHMANN_JSON_SERIALIZE_ENUM(evacuation_outcome,
                             {{evacuation_outcome::unknown, "unknown"},
                              {evacuation_outcome::accepted, "accepted"},
                              {evacuation_outcome::outdated, "outdated"},
                              {evacuation_outcome::too_many, "too_many"},
                              {evacuation_outcome::not_taken, "not_taken"}})

/// Reply to an evacuation_order.
struct evacuation_reply {
  static constexpr const char* type_name = "evacuation_reply";
  std::uint64_t id = 0;
  evacuation_outcome outcome = evacuation_outcome::unknown;
  std::uint64_t orders = 0;  ///< accepted so far; set if a command was applied
};
CITRONWHARF_VALUE(evacuation_reply, id, outcome, orders)

}  // namespace citronwharf

#endif  // CITRONWHARF_WIRE_EVACUATION_MESSAGES_H_
