/// The entry's side of allowances: held leases and waiting acquires.
#ifndef CITRONWHARF_POLICY_ALLOWANCE_LEASE_H_
#define CITRONWHARF_POLICY_ALLOWANCE_LEASE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "wire/allowance_messages.h"

namespace citronwharf {

struct allowance_lease_options {
  duration resend_interval = milliseconds(250);  ///< of unanswered asks
  /// A lease ends early by 1 / margin_divisor of its length and wait, to allow
  /// for clock drift.
  std::int64_t margin_divisor = 50;
  /// Tokens asked for, as a multiple of the need of one request.
  double prefetch_factor = 16;
  /// An ask is refused when its home has been unreachable for this long.
  duration unreachable_timeout = seconds(1);
  std::size_t max_charges = 16384;      ///< kept for give_back()
  std::size_t max_dropped_asks = 1024;  ///< kept to settle late grants
};

/// A message for a home.
struct lease_message {
  std::string home;
  std::variant<allowance_ask, allowance_settle, allowance_refund,
               allowance_cancel>
      message;
};
/// The result of an acquire; each acquire has at most one.
struct acquire_result {
  std::uint64_t id = 0;
  bool granted = false;
  bool within_rate = false;
  duration retry_after{};
};
using lease_action = std::variant<lease_message, acquire_result>;
using lease_actions = std::vector<lease_action>;

/// Spends leased tokens and asks the home for more when they do not suffice.
/// The expiry of a lease is checked at the moment of spending, never before a
/// wait. Performs no I/O and reads no clock; the caller passes `now`. Not
/// thread-safe.
class allowance_leases {
 public:
  using home_lookup = std::function<std::string(const std::string&)>;

  /// `home_of` returns the current home of an organisation, "" when unknown.
  allowance_leases(allowance_lease_options options, home_lookup home_of);

  /// Acquires tokens. If the actions contain a result, the tokens may be used
  /// at once. Precondition: `id` is greater than all earlier ones.
  lease_actions acquire(std::uint64_t id, const std::string& organisation,
                        double tokens, time_point deadline, time_point now);
  /// Cancels a waiting acquire.
  lease_actions abandon(std::uint64_t id);
  /// Returns part of the tokens of a granted acquire.
  lease_actions give_back(std::uint64_t id, double tokens, time_point now);

  lease_actions on_grant(const std::string& home,
                         const allowance_grant& response, time_point now);
  lease_actions on_refusal(const std::string& home,
                           const allowance_refusal& response, time_point now);
  /// Records whether a home is reachable; homes are reachable by default. Asks
  /// are refused when their home stays unreachable for `unreachable_timeout`.
  void set_home_reachable(const std::string& home, bool is_up, time_point now);
  /// Resends asks, settles expired leases and refuses asks past their deadline.
  lease_actions tick(time_point now);
  /// Returns when tick() is due next.
  std::optional<time_point> next_tick() const;
  std::size_t waiting() const { return asks_.size(); }

 private:
  // A lease with tokens left for further requests.
  struct lease {
    std::string home;
    std::uint64_t id = 0;
    std::uint64_t home_incarnation = 0;
    std::uint64_t epoch = 0;
    double remaining = 0;
    time_point expires_at;
  };
  struct pending_ask {
    std::uint64_t acquire = 0;
    std::string organisation;
    std::string home;
    double tokens = 0;
    double wanted = 0;
    time_point deadline;
    time_point first_sent;
    time_point last_sent;
  };
  // The tokens that an acquire was charged, and their lease.
  struct charge {
    std::string organisation;
    std::string home;
    std::uint64_t lease_id = 0;
    std::uint64_t home_incarnation = 0;
    std::uint64_t epoch = 0;
    double tokens = 0;
  };

  bool spend(std::uint64_t acquire, const std::string& organisation,
             double tokens, time_point now);
  void record_charge(std::uint64_t acquire, const std::string& organisation,
                     const lease& from, double tokens);
  void start_ask(pending_ask ask, time_point now, lease_actions& actions);
  static lease_message make_ask(std::uint64_t id, const pending_ask& ask,
                                time_point now);
  static lease_message make_settle(const std::string& organisation,
                                   const lease& closed);
  // Returns when the ask is refused: at its deadline, or earlier when its home
  // stays unreachable.
  time_point give_up_time(const pending_ask& ask) const;
  void record_dropped_ask(std::uint64_t ask_id);
  void store_lease(const std::string& organisation, lease candidate,
                   lease_actions& actions);

  allowance_lease_options options_;
  home_lookup home_of_;
  std::uint64_t last_ask_ = 0;
  std::uint64_t last_refund_ = 0;
  std::map<std::uint64_t, pending_ask> asks_;  // by ask id
  std::set<std::uint64_t> dropped_asks_;       // ids of asks without waiter
  std::map<std::string, lease> leases_;        // by organisation
  std::map<std::uint64_t, charge> charges_;    // by acquire id
  std::map<std::string, time_point> unreachable_since_;  // by home
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_ALLOWANCE_LEASE_H_
