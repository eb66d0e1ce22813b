/// A process's copy of the published document and, on processes with a data
/// folder, a replica of the log that stores the document.
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
#include "control/evacuation_machine.h"
#include "control/group_manager.h"
#include "control/replica.h"

namespace citronwharf {

/// Not thread-safe; use from the event loop thread only.
/// Precondition: `process` outlives it.
class document_cluster {
 public:
  using publish_callback = std::function<void(const absl::Status&)>;

  /// `on_document` is called for each newer document once start() was called.
  /// Precondition: it is callable.
  document_cluster(process_context& process,
                   document_follower::document_handler on_document,
                   disk_operations disk = real_disk());
  ~document_cluster();
  document_cluster(const document_cluster&) = delete;
  document_cluster& operator=(const document_cluster&) = delete;

  /// Adds a state machine to the replica. `empty` is its state before the first
  /// command. Preconditions: start() was not called; the machine outlives this.
  void add_machine(const std::string& kind, state_machine& machine,
                   nlohmann::json empty);

  /// Starts polling, and opens the replica if the settings name a data folder.
  /// Retries opening until it succeeds if the disk fails.
  void start();

  document_follower& follower() { return *follower_; }
  const document_follower& follower() const { return *follower_; }
  bool leads() const;
  /// Returns the term of the log. It never decreases, and each term has at most
  /// one leader.
  std::uint64_t term() const;
  /// Sends a message to every process that polled this one recently.
  template <typename Message>
  void broadcast(const Message& message) {
    const frame out = make_frame(message);
    for (const auto& [process, at] : last_polls_) {
      // Best effort: a process that misses the message relies on its own
      // observations.
      process_.peers.send(process, out).IgnoreError();
    }
  }
  /// Returns whether the group has enough members for acknowledged commands to
  /// survive the losses that the settings name.
  bool has_enough_voters() const {
    return group_manager_.has_enough_voters(current_group_state());
  }
  /// Hands this process's seat in the group over to a process that has asked to
  /// join, if there is one. Call when the process is stopped, some time before
  /// it ends.
  void leave();
  /// Replaces the seed addresses.
  void set_seeds(const std::vector<std::string>& seeds);

  /// Publishes a validated document through the leader. `done` gets OK once
  /// this document, or one with a higher version, is committed and synced by a
  /// majority; Unavailable if the outcome is not known.
  void publish(std::uint64_t version, std::string text, publish_callback done);
  /// Proposes a command of an added machine. `done` gets its result, or an
  /// error if this process does not lead or the outcome is not known. Unlike a
  /// document, the command may be committed by a group that has lost a member
  /// or is still being formed.
  void propose(nlohmann::json command, replica::proposal_done done);

 private:
  struct added_machine {
    state_machine* machine = nullptr;
    nlohmann::json empty;
  };

  struct pending_publish {
    time_point deadline;
    publish_callback done;
  };

  void set_handlers();
  void handle_poll(const peer_id& from, const document_poll& in);
  void propose_document(std::uint64_t version, std::string text,
                        publish_callback done);
  void push_changes();
  void push_document();
  void push_evacuations();
  template <typename Message>
  void push_to_others(const Message& message);
  absl::Status open_replica();
  void reopen_failed_replica(time_point now);
  void tick();
  void execute_step(const group_step& step);
  void identify_candidate(const std::string& process,
                          const std::string& address);
  void add_member(const add_member_step& step);
  group_state current_group_state() const;
  std::uint64_t count_processes(time_point now);

  process_context& process_;
  disk_operations disk_;
  runtime_timer timer_;
  document_machine machine_;
  evacuation_machine evacuations_;
  std::map<std::string, added_machine> added_machines_;  // by kind
  std::unique_ptr<replica> replica_;  // null unless it was opened
  std::unique_ptr<document_follower> follower_;
  group_manager group_manager_;
  time_point reopen_at_ = time_point::max();
  std::map<std::string, time_point> last_polls_;  // last poll, by process
  time_point started_at_{};
  std::uint64_t last_publish_id_ = 0;
  std::map<std::uint64_t, pending_publish> pending_publishes_;
  std::uint64_t pushed_revision_ = 0;
  std::uint64_t pushed_evacuations_ = 0;
  // Shared with handlers that may run after the cluster is destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Returns the peer addresses of the seeds: their hosts with the port of
/// `own_peer_address`, since all processes of a deployment use the same port
/// for peers.
std::vector<std::string> seed_peer_addresses(
    const std::vector<std::string>& seeds, const std::string& own_peer_address);

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_DOCUMENT_CLUSTER_H_
