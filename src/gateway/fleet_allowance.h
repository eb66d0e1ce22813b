/// Allowances that are enforced over all gateways: of organisations, in tokens,
/// and of servers that named a limit, in requests. Gateways ask the leader,
/// which keeps the accounts, and use their own part of an allowance while it
/// can't be reached.
#ifndef CITRONWHARF_GATEWAY_FLEET_ALLOWANCE_H_
#define CITRONWHARF_GATEWAY_FLEET_ALLOWANCE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/urgency_shares.h"
#include "policy/token_bucket.h"
#include "wire/document_messages.h"

namespace citronwharf {

/// Returns the limit in the form that token_bucket takes; the burst is at least
/// one token.
allowance to_allowance(double tokens_per_second, double burst_tokens);

/// The limit of an account.
struct account_limit {
  allowance limit;
  /// What it takes are single requests, most of them larger than what accrues
  /// in the part of one gateway. Refused callers are told when tokens accrue,
  /// and are not spread over later times.
  bool single_requests = false;
};

/// Names of accounts.
std::string organisation_account(const std::string& organisation);
std::string server_account(const std::string& server);
/// Returns the name of the organisation or server if the account is of that
/// kind.
std::optional<std::string> find_organisation(const std::string& account);
std::optional<std::string> find_server(const std::string& account);

/// Token bucket with reservations: a request may take tokens before they accrue
/// if it waits until they have. Over any span t, requests that have waited get
/// at most rate * t + burst tokens. Reads no clock; the caller passes `now`.
/// Not thread-safe.
class reserving_bucket {
 public:
  /// Starts with `tokens`, cut to the burst.
  reserving_bucket(allowance limit, double tokens, time_point now);

  /// Replaces the limit. Accrued tokens are kept, cut to the new burst.
  void set_limit(allowance limit, time_point now);
  /// Takes tokens and returns the wait until they have accrued. Takes none and
  /// returns nothing if that wait is longer than `max_wait`.
  std::optional<duration> take(double tokens, duration max_wait,
                               time_point now);
  void put_back(double tokens, time_point now);
  /// Discards accrued tokens; reservations stay.
  void discard_accrued(time_point now);
  /// Returns the wait until `tokens` have accrued.
  duration wait_until_accrued(double tokens, time_point now);
  double available(time_point now);
  const allowance& limit() const { return limit_; }

 private:
  void accrue_until(time_point now);
  duration accrual_time(double tokens) const;

  allowance limit_;
  double tokens_;  // negative: reserved ahead of accrual
  time_point accrued_at_;
};

/// The leader's reply to a process whose request was queued.
struct fleet_tokens_decision {
  std::string process;
  fleet_tokens_reply reply;
};

/// The leader's accounts of all organisations. Designed for this load: an
/// organisation within its rate sends several large requests at once. They are
/// queued until their tokens have accrued, as long as they can still be served
/// in time. Small requests go first, since they hardly delay the large ones. In
/// a flood, requests whose wait would be too long are refused at once. Requests
/// of several urgencies are ordered by urgency, then by deadline, and
/// urgency_shares divides the tokens between them; an account whose requests
/// all have one urgency is served in the order of arrival. Performs no I/O and
/// reads no clock; the caller passes `now`. Not thread-safe.
class fleet_allowance_leader {
 public:
  /// Resets all accounts when this process becomes the leader. It grants what
  /// accrues from `now` on and a part of the burst, since the previous leader
  /// may have just granted the rest.
  void start_leading(time_point now) {
    accounts_.clear();
    accounts_with_queue_.clear();
    leads_since_ = now;
  }

  /// Grants the tokens, or queues the request if they accrue within the wait
  /// that it allows, or refuses it and says when its caller should retry. While
  /// nearly all of the burst is available, the gateway also gets a surplus for
  /// later requests.
  fleet_tokens_reply ask(const std::string& process, const fleet_tokens_ask& in,
                         const account_limit& terms, time_point now);
  /// Returns whether the account has these tokens and nothing is queued for
  /// them.
  bool has_tokens(const std::string& name, double tokens,
                  const allowance& limit, time_point now);
  /// Takes tokens for a request that the leader itself places.
  void take(const std::string& name, double tokens, const allowance& limit,
            time_point now);
  /// Takes tokens back if this leader granted them; ignores grants of an
  /// earlier leader.
  void refund(const fleet_tokens_refund& in, time_point now);
  /// Charges what a gateway granted from its own part. The organisation's
  /// account may become negative. Grants from before this process began to lead
  /// only count against the part of the burst that the account started with.
  void charge(const fleet_tokens_spent& in, const allowance& limit,
              time_point now);

  /// Dequeues the requests that are due and returns the replies to them.
  std::vector<fleet_tokens_decision> decide(time_point now);
  /// Returns when decide() is to be called next; nothing while no request is
  /// queued.
  std::optional<time_point> next_decision(time_point now);

 private:
  struct queued_ask {
    std::string process;
    std::uint64_t id = 0;
    double tokens = 0;
    time_point deadline;
  };
  struct ask_queue {
    std::deque<queued_ask> asks;
    double tokens = 0;  // sum over `asks`

    void push(queued_ask ask, bool by_deadline);
    queued_ask pop();
  };
  // The requests of one urgency.
  struct ask_level {
    ask_queue small;
    ask_queue large;
    // Refused callers were told to retry up to this time and then use what has
    // accrued.
    time_point retries_until{};

    ask_queue& next_queue() { return small.asks.empty() ? large : small; }
    bool has_queued() const {
      return !small.asks.empty() || !large.asks.empty();
    }
  };
  struct account {
    reserving_bucket bucket;
    // Part of the burst that the account started with, less what gateways
    // granted before.
    double initial_tokens = 0;
    std::vector<ask_level> levels = std::vector<ask_level>(1);  // by urgency
    // Only while requests of several urgencies are asked for.
    std::optional<urgency_shares> shares;
    // When each urgency last asked.
    std::array<std::optional<time_point>, urgency_shares::max_urgencies>
        last_asked;

    bool has_queued() const { return has_queued_before(levels.size()); }
    // Returns whether requests of urgencies below `level` are queued.
    bool has_queued_before(std::size_t level) const;
    double available(std::size_t level, time_point now);
    // Takes the tokens if requests of this level may have them now.
    bool take(std::size_t level, double tokens, time_point now);
    // Returns the wait until requests of this level may have `tokens`.
    duration wait_until_available(std::size_t level, double tokens,
                                  time_point now);
    double rate(std::size_t level) const;
  };

  account& find_or_add_account(const std::string& name, const allowance& limit,
                               time_point now);
  static std::size_t note_urgency(account& owner, const fleet_tokens_ask& in,
                                  double tokens, bool small, time_point now);
  static duration suggest_retry_wait(account& owner, std::size_t level,
                                     double tokens, time_point now);
  static void decide_level(account& owner, std::size_t level, time_point now,
                           std::vector<fleet_tokens_decision>& out);

  std::map<std::string, account> accounts_;  // by name
  std::set<std::string> accounts_with_queue_;
  time_point leads_since_{};
};

/// One gateway's portion of the allowances. Designed for this load:
/// organisations send far over their limits while the leader is unreachable,
/// frozen or being replaced. If the leader last reported an organisation as
/// near its limit, the gateways together grant what accrues meanwhile. An
/// organisation that was not near its limit also gets its burst, divided among
/// the gateways. Performs no I/O and reads no clock; the caller passes `now`.
/// Not thread-safe.
class fleet_allowance_share {
 public:
  /// Takes tokens from the surplus that the leader granted. Returns false, and
  /// takes none, if it doesn't suffice.
  bool take_surplus(const std::string& name, double tokens, time_point now);
  void add_surplus(const std::string& name, double tokens, time_point now);
  /// Records that the leader did not reply in time.
  void leader_silent(time_point now);
  /// Records the leader's reply to a request of an organisation.
  void on_leader_reply(const std::string& name, const fleet_tokens_reply& reply,
                       time_point now);
  /// Returns whether to ask the leader. After a timeout it is not asked for a
  /// while, so that not every request waits for a reply that doesn't come.
  bool should_ask_leader(time_point now) const { return now >= next_ask_at_; }
  /// Takes tokens from this gateway's own part of the allowance, for use while
  /// the leader can't be asked. The part may go ahead of its content by one
  /// request. Near the limit it must first hold a random fraction of the
  /// request, for which `draw` is a random number from [0, 1): so the grants of
  /// all gateways match the sum of the parts, however large the requests are.
  /// Returns zero if the tokens were taken, else the wait until they have
  /// accrued.
  duration take_own_part(const std::string& name, const allowance& limit,
                         double tokens, std::size_t processes, double draw,
                         time_point now);
  /// Takes tokens for a single request at random. The part's content, as a
  /// share of the tokens, is the probability, and is used up either way. So the
  /// gateways together take on average no more than accrues and the burst,
  /// however many they are and however long they were idle. `draw` is a random
  /// number from [0, 1). Returns zero if the tokens were taken, else the wait
  /// until the part is as full as it gets.
  duration take_own_part_at_random(const std::string& name,
                                   const allowance& limit, double tokens,
                                   std::size_t processes, double draw,
                                   time_point now);
  /// Returns what was granted from the own part since the last call, to be
  /// reported to the leader.
  std::vector<fleet_tokens_spent> take_spent(time_point now);

 private:
  struct surplus {
    double tokens = 0;
    time_point expires_at{};
  };
  struct spending {
    double tokens = 0;
    time_point last_at;  // of the latest grant
  };
  struct own_part {
    reserving_bucket bucket;
    // Fraction of a request that the part must hold near the limit. Drawn anew
    // after each request that went ahead.
    std::optional<double> needed_share;
    // When a request last went ahead of the content or was not granted.
    std::optional<time_point> last_short_at;
  };
  bool is_scarce(const std::string& name, time_point now) const;
  void add_spending(const std::string& name, double tokens, time_point now);

  std::map<std::string, surplus> surplus_;    // by account
  std::map<std::string, own_part> own_part_;  // by account
  // By account; for take_own_part_at_random().
  std::map<std::string, reserving_bucket> random_parts_;
  // When the leader last reported an organisation as scarce.
  std::map<std::string, time_point> last_scarce_at_;
  std::map<std::string, spending> unreported_spending_;  // by account
  time_point next_ask_at_{};
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_FLEET_ALLOWANCE_H_
