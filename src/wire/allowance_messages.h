/// Messages between entry processes about allowances. Times are spans in
/// microseconds, never clock readings.
#ifndef CITRONWHARF_WIRE_ALLOWANCE_MESSAGES_H_
#define CITRONWHARF_WIRE_ALLOWANCE_MESSAGES_H_

#include <cstdint>
#include <string>

#include "base/value.h"

namespace citronwharf {

/// Entry to home: lease tokens. Sent again with the same id until answered.
struct allowance_ask {
  static constexpr const char* type_name = "allowance_ask";
  std::string organisation;
  std::uint64_t id = 0;          ///< counted by the entry's incarnation
  double needed = 0;             ///< tokens without which it is of no use
  double wanted = 0;             ///< tokens that would cover what may follow
  std::int64_t deadline_us = 0;  ///< left at the sending of this copy
  std::int64_t age_us = 0;       ///< since the first copy was sent
};
CITRONWHARF_VALUE(allowance_ask, organisation, id, needed, wanted, deadline_us,
                  age_us)

/// Home to entry. The lease ends `lease_us` after the grant, which was made
/// `waited_us` after the copy with `age_us` arrived: so the entry can bound
/// its end by its own clock, however long messages took.
struct allowance_grant {
  static constexpr const char* type_name = "allowance_grant";
  std::string organisation;
  std::uint64_t id = 0;
  std::uint64_t home_incarnation = 0;  ///< both echoed to the home
  std::uint64_t epoch = 0;             ///< of the home's ledger
  double tokens = 0;
  std::int64_t age_us = 0;
  std::int64_t waited_us = 0;
  std::int64_t lease_us = 0;
};
CITRONWHARF_VALUE(allowance_grant, organisation, id, home_incarnation, epoch,
                  tokens, age_us, waited_us, lease_us)

/// Home to entry: nothing was given.
struct allowance_refusal {
  static constexpr const char* type_name = "allowance_refusal";
  std::string organisation;
  std::uint64_t id = 0;
  bool wrong_home = false;  ///< ask again when the configuration says who is
  bool within_rate = false;
  std::int64_t retry_after_us = 0;
};
CITRONWHARF_VALUE(allowance_refusal, organisation, id, wrong_home, within_rate,
                  retry_after_us)

/// Entry to home: the lease is over, what was not spent goes back.
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

/// Entry to home: a request used less than it was charged from this lease.
struct allowance_refund {
  static constexpr const char* type_name = "allowance_refund";
  std::string organisation;
  std::uint64_t id = 0;
  std::uint64_t home_incarnation = 0;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;  ///< goes up with each refund of the entry
  double tokens = 0;
};
CITRONWHARF_VALUE(allowance_refund, organisation, id, home_incarnation, epoch,
                  sequence, tokens)

/// Entry to home: the ask isn't needed any more.
struct allowance_cancel {
  static constexpr const char* type_name = "allowance_cancel";
  std::string organisation;
  std::uint64_t id = 0;
};
CITRONWHARF_VALUE(allowance_cancel, organisation, id)

}  // namespace citronwharf

#endif  // CITRONWHARF_WIRE_ALLOWANCE_MESSAGES_H_
