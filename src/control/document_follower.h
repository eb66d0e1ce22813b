/// Every process's copy of the published document, and how fresh it is.
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

/// A process that has heard from nobody shares budgets with this many.
constexpr std::uint64_t unknown_processes = 32;

struct document_follower_options {
  std::string process;
  /// How long a majority's word that a document is the newest holds. Bounds
  /// how long a withdrawn key can go on working at a process that is cut off.
  duration lease = seconds(3);
  duration poll_interval = milliseconds(400);
  duration poll_interval_not_fresh = milliseconds(150);
  /// Limit of read(): operators turn to another process after a second.
  duration read_timeout = milliseconds(850);
};

/// Polls the members of the group, takes newer documents and extends the
/// freshness of its copy. Loop's thread only. Precondition: `peers` outlives
/// it.
class document_follower {
 public:
  using read_done = std::function<void(bool newest)>;
  using document_handler = std::function<void(const published_document&)>;

  /// `on_document` is called after each newer document, from start() on or with
  /// the first offer(). Precondition: it is callable.
  document_follower(boost::asio::io_context& loop, peer_hub& peers,
                    document_follower_options options, std::uint64_t seed,
                    document_handler on_document);
  ~document_follower();
  document_follower(const document_follower&) = delete;
  document_follower& operator=(const document_follower&) = delete;

  /// Starts to poll.
  void start();

  const published_document& current() const { return current_; }
  /// Returns whether the copy was surely the newest within the lease.
  bool fresh(time_point now) const { return now < fresh_until_; }
  time_point fresh_until() const { return fresh_until_; }
  const std::vector<control_member>& members() const { return members_; }
  /// Process name of the leader, or "".
  const std::string& leader() const { return leader_; }
  /// Processes of the fleet, this one included: the most that a member counted
  /// within seconds, since one that was away has not met all yet.
  std::uint64_t processes() const { return processes_.value(); }

  /// Calls `done` once a majority has confirmed, after this call, that the
  /// copy held then is the newest; with false when that takes too long.
  void read(read_done done);
  /// Takes a document from a replica of this process.
  void offer(const published_document& in);

 private:
  struct waiting_read {
    time_point since;
    time_point deadline;
    read_done done;
  };

  void poll();
  void schedule_poll();
  void take_reply(const peer_id& from, const document_poll_reply& in);
  void learn_members(const document_poll_reply& in);
  void extend_freshness();
  void end_reads();

  peer_hub& peers_;
  document_follower_options options_;
  runtime_timer timer_;
  freshness freshness_;
  std::mt19937_64 random_;
  document_handler on_document_;
  published_document current_;
  time_point fresh_until_{};
  bool was_fresh_ = false;
  std::set<std::string> sessions_;  // processes with a session
  std::vector<control_member> members_;
  std::uint64_t term_ = 0;
  std::string leader_;
  recent_maximum processes_;
  std::map<std::uint64_t, time_point> polls_;  // sent, by poll id
  std::uint64_t last_poll_ = 0;
  time_point fetched_at_{};
  std::vector<waiting_read> reads_;
  // Shared with handlers that may come after the follower is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_DOCUMENT_FOLLOWER_H_
