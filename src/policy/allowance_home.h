/// The home of allowances: leases tokens of organisations to entry processes.
#ifndef CITRONWHARF_POLICY_ALLOWANCE_HOME_H_
#define CITRONWHARF_POLICY_ALLOWANCE_HOME_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "citronwharf/configuration.h"
#include "policy/allowance_ledger.h"
#include "wire/allowance_messages.h"

namespace citronwharf {

struct allowance_home_options {
  duration lease = milliseconds(500);
  /// A grant is repeated for so long when its ask comes again.
  duration repeat_window = seconds(10);
  /// A waiting ask that is not sent again for so long is forgotten.
  duration silence_limit = seconds(2);
  std::size_t max_waiting = 1024;  ///< asks of one organisation
};

/// Under which terms this process is home of an organisation now.
struct home_terms {
  allowance limit;
  time_point starts_at;     ///< from home_assignment
  std::size_t entries = 1;  ///< that share a surplus
};

/// What is to be sent to an entry.
struct home_reply {
  std::string entry;
  std::uint64_t incarnation = 0;
  std::variant<allowance_grant, allowance_refusal> message;
};
using home_replies = std::vector<home_reply>;

/// Gives while it may, first come first served, and lets asks wait for tokens
/// to accrue as long as their deadline allows. Above half the burst a lease
/// holds more than was needed; below, just that. No I/O, no clock of its own.
/// One thread.
class allowance_home {
 public:
  /// `self` is this process's incarnation.
  allowance_home(allowance_home_options options, std::uint64_t self);

  /// Until when this process may give: the end of its freshness.
  void authorise(time_point until) { authorised_until_ = until; }
  /// Takes an ask. Precondition: this process is the organisation's home.
  home_replies ask(const std::string& entry, std::uint64_t incarnation,
                   const allowance_ask& in, const home_terms& terms,
                   time_point now);
  /// Takes new terms for an organisation that is known; it keeps its ledger
  /// unless it starts anew.
  void renew(const std::string& organisation, const home_terms& terms,
             time_point now);
  /// This process is no longer home: waiting asks are sent elsewhere.
  home_replies resign(const std::string& organisation);
  void settle(const std::string& entry, std::uint64_t incarnation,
              const allowance_settle& in, time_point now);
  void refund(const std::string& entry, std::uint64_t incarnation,
              const allowance_refund& in, time_point now);
  void cancel(const std::string& entry, std::uint64_t incarnation,
              const allowance_cancel& in);

  /// Gives what has accrued, and refuses what is too late.
  home_replies serve(time_point now);
  /// Returns when serve() is due next, nothing when no ask waits.
  std::optional<time_point> next_serve(time_point now);
  /// Returns the organisations with a ledger here.
  std::vector<std::string> organisations() const;

 private:
  struct waiting_ask {
    lease_key key;
    allowance_ask in;
    time_point received;  // the newest copy
    time_point deadline;
  };
  struct account {
    allowance_ledger ledger;
    std::uint64_t epoch = 0;
    std::size_t entries = 1;
    std::deque<waiting_ask> waiting;
    double waiting_tokens = 0;
    std::map<lease_key, allowance_grant> granted;  // to send again
    std::deque<std::pair<time_point, lease_key>> granted_ends;
  };

  account& open(const std::string& organisation, const home_terms& terms,
                time_point now);
  void serve_one(account& of, time_point now, home_replies& replies);
  allowance_grant give(account& of, const waiting_ask& to, time_point now);
  duration predicted_wait(account& of, double tokens, time_point now);
  void forget_granted(account& of, time_point now) const;
  static bool refresh(account& of, const lease_key& key,
                      const allowance_ask& in, time_point now);

  allowance_home_options options_;
  std::uint64_t self_;
  time_point authorised_until_{};
  std::map<std::string, account> accounts_;
  std::set<std::string> busy_;  // accounts with waiting asks, or nearly
  std::uint64_t last_epoch_ = 0;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_ALLOWANCE_HOME_H_
