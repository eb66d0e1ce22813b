/// At which software version streams began, known to the whole fleet and after
/// restarts of all processes: what gateways send to the leader, which stores it
/// in the replicated log.
#ifndef CITRONWHARF_GATEWAY_STREAM_VERSIONS_H_
#define CITRONWHARF_GATEWAY_STREAM_VERSIONS_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/process_context.h"
#include "control/document_cluster.h"
#include "control/stream_version_machine.h"
#include "gateway/codec.h"

namespace citronwharf {

/// A caller resumes a stream within its deadline, and after this time at the
/// latest. Records live no longer, and a base version is only replaced once no
/// server has had it for so long.
constexpr duration max_resumable_time = seconds(900);

/// Chooses the base versions of services. Performs no I/O and reads no clock;
/// the caller passes `now`. Not thread-safe.
class base_version_planner {
 public:
  /// Starts anew. For use when another process has led meanwhile.
  void reset() { absent_since_.clear(); }
  /// Returns the base versions that are to change, by service. `base_of`
  /// returns the current one of a service, or "".
  std::map<std::string, std::string> plan(
      const std::vector<listed_server>& listed,
      const std::function<std::string(const std::string&)>& base_of,
      time_point now);

 private:
  std::map<std::string, time_point> absent_since_;  // by service
};

/// Not thread-safe; use from the event loop thread only. Preconditions: process
/// and cluster outlive it; it is created before the cluster is started.
class stream_versions {
 public:
  /// Called with the version at which a stream began, "" if nobody knows.
  using found_handler = std::function<void(const std::string& version)>;

  stream_versions(process_context& process, document_cluster& cluster);
  ~stream_versions();
  stream_versions(const stream_versions&) = delete;
  stream_versions& operator=(const stream_versions&) = delete;

  void start();
  /// Sets the servers of the fleet.
  void set_servers(const std::vector<listed_server>& listed);

  /// Has a majority of the replicas store the record. Calls `done` once that is
  /// certain or not needed, unless it is cancelled before; not from within this
  /// call. Returns the id for cancel().
  std::uint64_t store(stream_version record, std::function<void()> done);
  /// Finds the version at which a stream began. Calls `done` once, unless it is
  /// cancelled before; not from within this call. Returns the id for cancel().
  std::uint64_t find(resumed_stream wanted, found_handler done);
  void cancel(std::uint64_t id);

 private:
  struct pending_store {
    stream_version_store message;
    std::function<void()> done;
    time_point resend_at;
  };
  struct pending_find {
    stream_version_find message;
    found_handler done;
    time_point resend_at;
  };
  struct known_base {
    std::string version;
    time_point until;
  };
  // A message that the next command answers.
  template <typename Message>
  struct waiting {
    peer_id from;
    Message message;
  };

  bool is_base(const stream_version& record, time_point now) const;
  template <typename Pending>
  void send(Pending& pending);
  void handle_stored(const stream_version_stored& in);
  void handle_found(const stream_version_found& in);
  void receive(const peer_id& from, const stream_version_store& in);
  void receive(const peer_id& from, const stream_version_find& in);
  template <typename Message>
  void reply(const peer_id& to, const Message& out);
  void reply_stored(const peer_id& to, const stream_version_store& in,
                    bool done);
  void update_leadership();
  void schedule_command();
  void propose();
  void tick();

  process_context& process_;
  document_cluster& cluster_;
  runtime_timer timer_;
  runtime_timer command_timer_;
  stream_version_machine machine_;
  base_version_planner planner_;
  std::vector<listed_server> listed_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, pending_store> stores_;
  std::map<std::uint64_t, pending_find> finds_;
  std::map<std::string, known_base> bases_;  // by service, from the leader
  // Of the leader.
  bool leading_ = false;
  // Whether a command of this term was applied, and with it all that former
  // leaders committed.
  bool caught_up_ = false;
  // Sender and id of what waits. Senders repeat what is not answered.
  std::set<std::tuple<std::string, std::uint64_t, std::uint64_t>> waiting_;
  std::vector<waiting<stream_version_store>> to_store_;
  std::vector<waiting<stream_version_find>> to_find_;
  bool proposing_ = false;
  time_point proposed_at_{};
  std::uint64_t term_ = 0;
  // Checked by handlers that may run after this object is destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_STREAM_VERSIONS_H_
