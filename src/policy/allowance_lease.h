/// The entry's side of allowances: leases held, and acquires that wait.
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
  duration resend = milliseconds(250);  ///< of asks without an answer
  /// Share of a lease and of its wait left unused, for clocks that run
  /// unevenly: 1 / margin_divisor of the span.
  std::int64_t margin_divisor = 50;
  /// A lease covers up to this many times the need of one request.
  double prefetch = 16;
  /// An ask is refused when its home has been out of reach for so long.
  duration unreachable_limit = seconds(1);
  std::size_t most_charges = 16384;  ///< remembered, for what is given back
  std::size_t most_dropped = 1024;   ///< remembered, to give late grants back
};

/// Sends a message to a home.
struct lease_send {
  std::string home;
  std::variant<allowance_ask, allowance_settle, allowance_refund,
               allowance_cancel>
      message;
};
/// Answers an acquire, once.
struct lease_answer {
  std::uint64_t id = 0;
  bool granted = false;
  bool within_rate = false;
  duration retry_after{};
};
using lease_action = std::variant<lease_send, lease_answer>;
using lease_actions = std::vector<lease_action>;

/// Spends leased tokens, and asks the home when they do not suffice. A lease
/// is checked at the moment of spending, never before a wait. No I/O, no clock
/// of its own. One thread.
class allowance_leases {
 public:
  using find_home = std::function<std::string(const std::string&)>;

  /// `home_of` gives the home of an organisation now, "" when unknown.
  allowance_leases(allowance_lease_options options, find_home home_of);

  /// Takes tokens. An answer among the actions means they may be used at once.
  /// Precondition: `id` is new and above earlier ones.
  lease_actions acquire(std::uint64_t id, const std::string& organisation,
                        double tokens, time_point deadline, time_point now);
  /// Forgets a waiting acquire.
  lease_actions abandon(std::uint64_t id);
  /// Gives back part of what a granted acquire took.
  lease_actions give_back(std::uint64_t id, double tokens, time_point now);

  lease_actions on_grant(const std::string& home, const allowance_grant& in,
                         time_point now);
  lease_actions on_refusal(const std::string& home, const allowance_refusal& in,
                           time_point now);
  /// A home came into reach or was lost; homes not named are in reach. Its
  /// asks are refused at once when it stays away.
  void home_reachable(const std::string& home, bool up, time_point now);
  /// Sends asks again, ends leases, refuses what is too late.
  lease_actions tick(time_point now);
  /// Returns when tick() is due next.
  std::optional<time_point> next_tick() const;
  std::size_t waiting() const { return asks_.size(); }

 private:
  // A lease that may cover more requests.
  struct lease {
    std::string home;
    std::uint64_t id = 0;
    std::uint64_t home_incarnation = 0;
    std::uint64_t epoch = 0;
    double left = 0;
    time_point ends;
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
  // What an acquire was charged, and from which lease.
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
  void remember(std::uint64_t acquire, const std::string& organisation,
                const lease& from, double tokens);
  void start_ask(pending_ask ask, time_point now, lease_actions& out);
  static lease_send copy_of(std::uint64_t id, const pending_ask& ask,
                            time_point now);
  static lease_send settle_of(const std::string& organisation,
                              const lease& over);
  // Returns when the ask is given up: at its deadline, or sooner when its home
  // stays out of reach.
  time_point given_up_at(const pending_ask& ask) const;
  void drop(std::uint64_t ask_id);
  void keep(const std::string& organisation, lease next, lease_actions& out);

  allowance_lease_options options_;
  find_home home_of_;
  std::uint64_t last_ask_ = 0;
  std::uint64_t last_refund_ = 0;
  std::map<std::uint64_t, pending_ask> asks_;  // by ask id
  std::set<std::uint64_t> dropped_;            // asks that nobody waits for
  std::map<std::string, lease> leases_;        // by organisation
  std::map<std::uint64_t, charge> charges_;    // by acquire id
  std::map<std::string, time_point> lost_;     // homes out of reach, since when
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_ALLOWANCE_LEASE_H_
