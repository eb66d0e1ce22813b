/// Messages between entry processes about allowances. The home of an allowance
/// is the entry process that keeps its account and leases tokens to the
/// entries. Times are durations in microseconds, never time points.
#ifndef CITRONWHARF_WIRE_ALLOWANCE_MESSAGES_H_
#define CITRONWHARF_WIRE_ALLOWANCE_MESSAGES_H_

#include <cstdint>
#include <string>

#include "base/value.h"

namespace citronwharf {

/// Entry to home: requests a lease of tokens. Resent with the same id until
/// answered.
struct allowance_ask {
  static constexpr const char* type_name = "allowance_ask";
  std::string organisation;
  std::uint64_t id = 0;          ///< counter of the entry's incarnation
  double needed = 0;             ///< minimum of tokens; fewer are of no use
  double wanted = 0;             ///< tokens to cover expected requests too
  std::int64_t deadline_us = 0;  ///< time left when this copy was sent
  std::int64_t age_us = 0;       ///< since the first copy was sent
};
CITRONWHARF_VALUE(allowance_ask, organisation, id, needed, wanted, deadline_us,
                  age_us)

/// Home to entry: tokens are granted. The lease ends `lease_us` after the
/// grant, which was made `waited_us` after the copy with `age_us` arrived. The
/// entry can therefore bound the end of the lease by its own clock, whatever
/// the delay of the messages.
struct allowance_grant {
  static constexpr const char* type_name = "allowance_grant";
  std::string organisation;
  std::uint64_t id = 0;
  std::uint64_t home_incarnation = 0;  ///< echoed to the home
  std::uint64_t epoch = 0;             ///< of its account; echoed to the home
  double tokens = 0;
  std::int64_t age_us = 0;     ///< of the copy that was answered
  std::int64_t waited_us = 0;  ///< from its arrival to the grant
  std::int64_t lease_us = 0;
};
CITRONWHARF_VALUE(allowance_grant, organisation, id, home_incarnation, epoch,
                  tokens, age_us, waited_us, lease_us)

/// Home to entry: no tokens are granted.
struct allowance_refusal {
  static constexpr const char* type_name = "allowance_refusal";
  std::string organisation;
  std::uint64_t id = 0;
  bool wrong_home = false;  ///< ask again once the configuration names the home
  bool within_rate = false;  ///< the organisation kept within its rate
  std::int64_t retry_after_us = 0;
};
CITRONWHARF_VALUE(allowance_refusal, organisation, id, wrong_home, within_rate,
                  retry_after_us)

/// Entry to home: the lease has ended; returns the unspent tokens.
struct allowance_settle {
  static constexpr const char* type_name = "allowance_settle";
  std::string organisation;
  std::uint64_t id = 0;
  std::uint64_t home_incarnation = 0;
  std::uint64_t epoch = 0;
  double unused = 0;
};
CITRONWHARF_VALUE(allowance_settle, organisation, id, home_incarnation, epoch,
                  unused)

/// Entry to home: returns tokens of a request that used fewer than it was
/// charged from this lease.
struct allowance_refund {
  static constexpr const char* type_name = "allowance_refund";
  std::string organisation;
  std::uint64_t id = 0;
  std::uint64_t home_incarnation = 0;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;  ///< increases with each refund of the entry
  double tokens = 0;
};
CITRONWHARF_VALUE(allowance_refund, organisation, id, home_incarnation, epoch,
                  sequence, tokens)

/// Entry to home: withdraws an allowance_ask that is no longer needed.
struct allowance_cancel {
  static constexpr const char* type_name = "allowance_cancel";
  std::string organisation;
  std::uint64_t id = 0;
};
CITRONWHARF_VALUE(allowance_cancel, organisation, id)

}  // namespace citronwharf

#endif  // CITRONWHARF_WIRE_ALLOWANCE_MESSAGES_H_
