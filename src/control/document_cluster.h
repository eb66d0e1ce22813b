/// The published document in a process: the copy that the process follows and,
/// where it has a disk, a replica of the log that keeps it.
#ifndef CITRONWHARF_CONTROL_DOCUMENT_CLUSTER_H_
#define CITRONWHARF_CONTROL_DOCUMENT_CLUSTER_H_

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/process_context.h"
#include "control/document_follower.h"
#include "control/document_machine.h"
#include "control/group_manager.h"
#include "control/replica.h"

namespace citronwharf {

/// Loop's thread only. Precondition: `process` outlives it.
class document_cluster {
 public:
  using publish_done = std::function<void(const absl::Status&)>;

  /// `on_document` is called after each newer document, from start() on.
  /// Precondition: it is callable.
  document_cluster(process_context& process,
                   document_follower::document_handler on_document);
  ~document_cluster();
  document_cluster(const document_cluster&) = delete;
  document_cluster& operator=(const document_cluster&) = delete;

  /// Starts to follow, and opens the replica where settings name a data folder.
  /// A disk that fails is tried again until it works.
  void start();

  document_follower& follower() { return *follower_; }
  const document_follower& follower() const { return *follower_; }
  bool leads() const;
  /// Term of the log, which only grows; at most one process leads in it.
  std::uint64_t term() const;
  /// Sends a message to every process that polled this one lately.
  template <typename Message>
  void tell_everyone(const Message& message) {
    const frame out = make_frame(message);
    for (const auto& [process, at] : polled_) {
      // Who misses it goes by what it sees itself.
      process_.peers.send(process, out).IgnoreError();
    }
  }
  /// Takes new first contacts.
  void set_seeds(const std::vector<std::string>& seeds);

  /// Publishes a checked document through the leader. `done` gets ok once it,
  /// or one with a higher version, is committed and synced by a majority;
  /// Unavailable when the outcome is not known.
  void publish(std::uint64_t version, std::string text, publish_done done);

 private:
  struct pending_publish {
    time_point deadline;
    publish_done done;
  };

  void set_handlers();
  void answer_poll(const peer_id& from, const document_poll& in);
  void propose(std::uint64_t version, std::string text, publish_done done);
  void push_document();
  absl::Status open_replica();
  void reopen_failed_replica(time_point now);
  void tick();
  void take_step(const group_step& step);
  group_state look() const;
  std::uint64_t count_processes(time_point now);

  process_context& process_;
  runtime_timer timer_;
  document_machine machine_;
  std::unique_ptr<replica> replica_;  // null without a data folder
  std::unique_ptr<document_follower> follower_;
  group_manager group_manager_;
  bool changing_members_ = false;
  time_point reopen_at_ = time_point::max();
  std::map<std::string, time_point> polled_;  // last poll, by process
  time_point started_{};
  std::uint64_t last_publish_ = 0;
  std::map<std::uint64_t, pending_publish> publishing_;
  std::uint64_t pushed_revision_ = 0;
  // Shared with handlers that may come after the cluster is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Returns the peer addresses of the first contacts: their hosts with the port
/// that every process of the deployment has for peers.
std::vector<std::string> seed_peers(const std::vector<std::string>& seeds,
                                    const std::string& own_peer_address);

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_DOCUMENT_CLUSTER_H_
