/// Allowances of organisations over all gateways: the leader counts, gateways
/// ask it, and fall back to their part when it can't be reached.
#ifndef CITRONWHARF_GATEWAY_FLEET_ALLOWANCE_H_
#define CITRONWHARF_GATEWAY_FLEET_ALLOWANCE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "policy/token_bucket.h"
#include "wire/document_messages.h"

namespace citronwharf {

/// Rate and burst as token_bucket takes them.
allowance to_allowance(double tokens_per_second, double burst_tokens);

/// Rate and burst with reservations: tokens may be taken before they accrue, by
/// a request that waits until then. In any span t, requests that have waited
/// get rate * t + burst at most. No clock of its own. One thread.
class reserving_bucket {
 public:
  /// Starts with `tokens`.
  reserving_bucket(allowance limit, double tokens, time_point now);

  /// Takes a new limit; what has accrued is kept, cut to the new burst.
  void set_limit(allowance limit, time_point now);
  /// Takes tokens and returns the wait until they have accrued; nothing, and
  /// takes none, when that is over `max_wait`.
  std::optional<duration> take(double tokens, duration max_wait,
                               time_point now);
  void put_back(double tokens, time_point now);
  /// Gives up what has accrued.
  void empty(time_point now);
  /// Returns the span until so many tokens have accrued.
  duration wait_for(double tokens, time_point now);
  double available(time_point now);
  const allowance& limit() const { return limit_; }

 private:
  void accrue(time_point now);
  duration span_for(double tokens) const;

  allowance limit_;
  double tokens_;  // below 0: reserved
  time_point at_;
};

/// A reply of the leader's count to a process whose request has waited.
struct fleet_tokens_decision {
  std::string process;
  fleet_tokens_reply reply;
};

/// The leader's count. Load it answers: an organisation within its rate sends
/// some large requests at once; they wait until their tokens have accrued, as
/// long as they can still be served in time. Small requests go first, since
/// they hardly delay the large ones. In a flood the queue's bound refuses at
/// once. No I/O, no clock of its own. One thread.
class fleet_allowance_leader {
 public:
  /// A process that starts to lead gives what accrues from now on and a part
  /// of the burst: the one that led before may have just given the rest.
  void start_leading(time_point now) {
    accounts_.clear();
    waiting_.clear();
    leads_since_ = now;
  }

  /// Grants the tokens, queues the request where they accrue within the wait
  /// that it allows, or says when its caller should come back. While nearly all
  /// of the burst is there, a gateway gets a surplus for requests to come.
  fleet_tokens_reply ask(const std::string& process, const fleet_tokens_ask& in,
                         const allowance& limit, time_point now);
  /// Takes back what this leader granted, and nothing that another one did.
  void refund(const fleet_tokens_refund& in, time_point now);
  /// Counts what a gateway granted by itself since this process began to lead;
  /// the organisation may be in debt then.
  void charge(const fleet_tokens_spent& in, const allowance& limit,
              time_point now);

  /// Returns the replies to queued requests that are due.
  std::vector<fleet_tokens_decision> decide(time_point now);
  /// Returns when decide() has something to do; nothing while no request waits.
  std::optional<time_point> next_decision(time_point now);

 private:
  struct queued_ask {
    std::string process;
    std::uint64_t id = 0;
    double tokens = 0;
    time_point until;
  };
  struct ask_queue {
    std::deque<queued_ask> asks;
    double tokens = 0;  // of the asks

    void push(queued_ask ask);
    queued_ask pop();
  };
  struct account {
    reserving_bucket bucket;
    ask_queue small;
    ask_queue large;
    time_point returns_until{};  // refused callers use what accrues till then

    ask_queue& next() { return small.asks.empty() ? large : small; }
    bool waits() const { return !small.asks.empty() || !large.asks.empty(); }
  };

  account& account_of(const std::string& organisation, const allowance& limit,
                      time_point now);
  static duration suggest_return(account& of, double tokens, time_point now);

  std::map<std::string, account> accounts_;  // by organisation
  std::set<std::string> waiting_;  // organisations with queued requests
  time_point leads_since_{};
};

/// One gateway's view. Load it answers: organisations far over their limits
/// while the leader is silent, frozen or replaced. What gateways grant by
/// themselves adds up to what accrues meanwhile for an organisation that was
/// near its limit at the leader's last word; others, which can't be, get a part
/// of the burst as well. No I/O, no clock of its own. One thread.
class fleet_allowance_share {
 public:
  /// Takes tokens from the surplus at hand.
  bool take_surplus(const std::string& organisation, double tokens,
                    time_point now);
  void add_surplus(const std::string& organisation, double tokens,
                   time_point now);
  /// The leader did not answer in time, or answered for an organisation.
  void leader_silent(time_point now);
  void leader_answered(const std::string& organisation,
                       const fleet_tokens_reply& reply, time_point now);
  /// Returns whether the leader is worth asking: after a silence, requests
  /// would each wait for nothing.
  bool asks_leader(time_point now) const { return now >= asks_again_at_; }
  /// Takes tokens of this gateway's own part of the allowance, for when the
  /// leader can't be asked. A scarce part of a request's tokens decides by
  /// `draw`, from [0, 1): so many of the fleet's requests are granted as the
  /// parts add up to. Returns the wait until they are there, zero when they
  /// were taken.
  duration take_own_part(const std::string& organisation,
                         const allowance& limit, double tokens,
                         std::size_t processes, double draw, time_point now);
  /// Returns what was granted so since the last call, for the leader.
  std::vector<fleet_tokens_spent> take_spent(time_point now);

 private:
  struct surplus {
    double tokens = 0;
    time_point until{};
  };
  struct spending {
    double tokens = 0;
    time_point at;  // the last
  };
  bool is_scarce(const std::string& organisation, time_point now) const;

  std::map<std::string, surplus> surplus_;            // by organisation
  std::map<std::string, reserving_bucket> own_part_;  // by organisation
  std::map<std::string, time_point> scarce_;  // last word of the leader so
  std::map<std::string, spending> spent_;     // by organisation
  time_point asks_again_at_{};
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_FLEET_ALLOWANCE_H_
