/// The home of allowances: leases an organisation's tokens to entry processes.
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
  /// A repeated ask gets the same grant again within this time.
  duration grant_retention = seconds(10);
  /// A waiting ask that is not sent again within this time is dropped.
  duration resend_timeout = seconds(2);
  std::size_t max_waiting = 1024;  ///< asks of one organisation
};

/// Terms under which this process is currently the home of an organisation.
struct home_terms {
  allowance limit;
  time_point starts_at;     ///< see home_assignment::starts_at
  std::size_t entries = 1;  ///< that share surplus tokens
};

/// A message for an entry process.
struct home_reply {
  std::string entry;
  std::uint64_t incarnation = 0;
  std::variant<allowance_grant, allowance_refusal> message;
};
using home_replies = std::vector<home_reply>;

/// Grants leases in first-come, first-served order while it is authorised. Asks
/// wait for tokens to accrue as long as their deadline allows. While more than
/// half of the burst is available, a lease holds more tokens than needed, else
/// just the needed ones. Performs no I/O and reads no clock; the caller passes
/// `now`. Not thread-safe.
class allowance_home {
 public:
  /// `own_incarnation` is the incarnation of this process.
  allowance_home(allowance_home_options options, std::uint64_t own_incarnation);

  /// Sets until when this process may grant leases: the end of its freshness.
  void authorise(time_point until) { authorised_until_ = until; }
  /// Handles an ask. Precondition: this process is the organisation's home.
  home_replies ask(const std::string& entry, std::uint64_t incarnation,
                   const allowance_ask& request, const home_terms& terms,
                   time_point now);
  /// Applies new terms to a known organisation. Its ledger is kept unless
  /// `starts_at` changed.
  void update_terms(const std::string& organisation, const home_terms& terms,
                    time_point now);
  /// Ends this process's role as home of the organisation. Waiting asks are
  /// refused with `wrong_home`, so that their entries ask the new home.
  home_replies resign(const std::string& organisation);
  void settle(const std::string& entry, std::uint64_t incarnation,
              const allowance_settle& request, time_point now);
  void refund(const std::string& entry, std::uint64_t incarnation,
              const allowance_refund& request, time_point now);
  void cancel(const std::string& entry, std::uint64_t incarnation,
              const allowance_cancel& request);

  /// Grants waiting asks from accrued tokens and refuses those past their
  /// deadline.
  home_replies serve_waiting(time_point now);
  /// Returns when serve_waiting() is due next, nothing when no ask waits.
  std::optional<time_point> next_serve_time(time_point now);
  /// Returns the organisations with a ledger here.
  std::vector<std::string> organisations() const;

 private:
  struct waiting_ask {
    lease_key key;
    allowance_ask request;
    time_point received;  // of the newest copy
    time_point deadline;
  };
  struct organisation_account {
    allowance_ledger ledger;
    std::uint64_t epoch = 0;
    std::size_t entries = 1;
    std::deque<waiting_ask> waiting;
    double waiting_tokens = 0;
    std::map<lease_key, allowance_grant> recent_grants;  // for repeated asks
    std::deque<std::pair<time_point, lease_key>> recent_grant_times;
  };

  organisation_account& open_account(const std::string& organisation,
                                     const home_terms& terms, time_point now);
  void serve_account(organisation_account& account, time_point now,
                     home_replies& replies);
  allowance_grant make_grant(organisation_account& account,
                             const waiting_ask& target, time_point now);
  duration predicted_wait(organisation_account& account, double tokens,
                          time_point now);
  void discard_old_grants(organisation_account& account, time_point now) const;
  static bool update_waiting(organisation_account& account,
                             const lease_key& key, const allowance_ask& request,
                             time_point now);

  allowance_home_options options_;
  std::uint64_t own_incarnation_;
  time_point authorised_until_{};
  std::map<std::string, organisation_account> accounts_;
  std::set<std::string> waiting_organisations_;  // may include some without
  std::uint64_t last_epoch_ = 0;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_ALLOWANCE_HOME_H_
