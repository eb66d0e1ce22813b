/// A process's copy of the published document and of the set of evacuated
/// failure domains, and how long they are fresh.
#ifndef CITRONWHARF_CONTROL_DOCUMENT_FOLLOWER_H_
#define CITRONWHARF_CONTROL_DOCUMENT_FOLLOWER_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/recent_maximum.h"
#include "control/freshness.h"
#include "net/peer_hub.h"
#include "wire/document_messages.h"

namespace citronwharf {

/// Number of processes assumed, when sharing budgets, until a member has
/// reported a count.
constexpr std::uint64_t default_process_count = 32;

struct document_follower_options {
  std::string process;
  /// How long a copy counts as fresh after a majority confirmed that it is the
  /// newest. Bounds how long a partitioned process accepts a withdrawn key.
  duration lease = seconds(3);
  duration poll_interval = milliseconds(400);
  duration poll_interval_not_fresh = milliseconds(150);
  /// Time limit of read(). Below the 1 s after which operators try
  /// another process.
  duration read_timeout = milliseconds(850);
};

/// Polls the members of the group, fetches newer documents and extends the
/// freshness of its copy. Not thread-safe; use from the event loop thread only.
/// Precondition: `peers` outlives it.
class document_follower {
 public:
  using read_callback = std::function<void(bool newest)>;
  using document_handler = std::function<void(const published_document&)>;
  using evacuations_handler = std::function<void(const evacuation_set&)>;

  /// `on_document` is called for each newer document, received after start() or
  /// passed to accept_if_newer(). Precondition: it is callable.
  document_follower(boost::asio::io_context& loop, peer_hub& peers,
                    document_follower_options options, std::uint64_t seed,
                    document_handler on_document);
  ~document_follower();
  document_follower(const document_follower&) = delete;
  document_follower& operator=(const document_follower&) = delete;

  void start();
  /// Sets the handler that is called for each newer set of evacuated domains,
  /// before freshness is extended by it. Precondition: start() was not called.
  void on_evacuations(evacuations_handler handler) {
    on_evacuations_ = std::move(handler);
  }

  const published_document& current() const { return current_; }
  const evacuation_set& evacuations() const { return evacuations_; }
  /// Returns whether a majority confirmed within the lease that the copies of
  /// the document and of the evacuated domains are the newest.
  bool fresh(time_point now) const { return now < fresh_until_; }
  time_point fresh_until() const { return fresh_until_; }
  /// Returns whether the copies were ever fresh since the process started.
  bool was_confirmed() const { return fresh_until_ != time_point{}; }
  const std::vector<control_member>& members() const { return members_; }
  /// Process name of the leader, or "" if none is known.
  const std::string& leader() const { return leader_; }
  /// Number of processes in the fleet, including this one: the highest count
  /// that any member reported recently, since a member that was offline may not
  /// yet be connected to all.
  std::uint64_t processes() const { return process_count_.value(); }

  /// Calls `done` with true once a majority has confirmed, after this call,
  /// that the copy held at that time is the newest; with false on time-out.
  void read(read_callback done);
  /// Replaces the copy if `in` has a higher revision.
  void accept_if_newer(const published_document& in);
  void accept_if_newer(const evacuation_set& in);

 private:
  struct pending_read {
    time_point since;
    time_point deadline;
    read_callback done;
  };

  void poll();
  void schedule_poll();
  void handle_poll_reply(const peer_id& from, const document_poll_reply& in);
  void update_members(const document_poll_reply& in);
  void extend_freshness();
  void complete_reads();

  peer_hub& peers_;
  document_follower_options options_;
  runtime_timer timer_;
  freshness freshness_;
  freshness evacuations_freshness_;
  std::mt19937_64 random_;
  document_handler on_document_;
  evacuations_handler on_evacuations_;
  published_document current_;
  evacuation_set evacuations_;
  time_point fresh_until_{};
  bool was_fresh_ = false;
  std::set<std::string> connected_processes_;  // processes with an open session
  std::vector<control_member> members_;
  std::uint64_t term_ = 0;
  std::string leader_;
  recent_maximum process_count_;
  std::map<std::uint64_t, time_point> sent_polls_;  // send times by poll id
  std::uint64_t last_poll_id_ = 0;
  time_point fetch_sent_at_{};
  std::vector<pending_read> reads_;
  // Shared with handlers that may run after the follower is destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_DOCUMENT_FOLLOWER_H_
