#include "control/replica.h"

#include <absl/strings/match.h>
#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <optional>
#include <random>
#include <utility>

#include "base/decode.h"
#include "control/data_folder.h"
#include "control/log_check.h"
#include "control/member_joiner.h"
#include "control/proposal_table.h"
#include "control/replica_status.h"
#include "control/replicated_log.h"
#include "control/unapplied_commands.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

// Deadline after which a proposal ends with an unknown outcome.
constexpr duration proposal_timeout = seconds(5);
// Commands applied between snapshots. On a disk of 64 MB, the journal has to
// fit twice, since opening writes it anew, beside the snapshots.
constexpr std::size_t snapshot_command_bytes = 8U << 20U;

std::string encode_command(const nlohmann::json& command) {
  std::string bytes;
  nlohmann::json::to_cbor(command, bytes);
  return bytes;
}

// Commands and snapshots were encoded by encode_command of some replica and are
// checksummed, so they can be decoded.
nlohmann::json decode_command(const std::string& bytes) {
  return nlohmann::json::from_cbor(bytes);
}

// A process that listens on an ephemeral port is not dialled; it dials the
// others.
bool has_port(const std::string& address) {
  return !address.empty() && !absl::EndsWith(address, ":0");
}

class disk_replica final : public replica {
 public:
  disk_replica(replica_environment environment, machines machines)
      : environment_(std::move(environment)),
        machines_(std::move(machines)),
        timer_(environment_.loop),
        alive_(std::make_shared<bool>(true)) {}

  ~disk_replica() override {
    *alive_ = false;
    disk_thread_.join();
  }

  absl::Status open() override;
  absl::Status make_group() override;
  void propose(nlohmann::json command, proposal_done done) override;
  void add_member(const std::string& process, const std::string& address,
                  std::function<void(absl::Status)> done) override;
  void remove_member(const std::string& id,
                     std::function<void(absl::Status)> done) override;
  void identify(const std::string& process, identity_handler done) override {
    joiner_->identify(process, std::move(done));
  }
  absl::Status add_learner(const replica_member& learner) override;
  std::set<std::string> silent_members() const override {
    return log_->silent_members(now());
  }
  absl::Status take_snapshot() override;
  replica_status status() const override;
  std::uint64_t unapplied(const std::string& kind) const override {
    return log_ ? unapplied_.count(*log_, kind) : 0;
  }
  void subscribe(std::function<void()> on_change) override {
    subscribers_.push_back(std::move(on_change));
  }

 private:
  template <typename Message>
  void listen_for();
  void schedule_pump();
  void pump();
  void arm_timer();
  void on_timer();
  void perform(send_action& action);
  void perform(write_action& action);
  void perform(apply_action& action);
  void perform(restore_action& action);
  void perform(members_action& action);
  void on_written(std::uint64_t sequence, const absl::Status& written);
  void finish_removal();
  void notify();
  time_point now() const { return runtime_clock::now(); }

  replica_environment environment_;
  machines machines_;
  runtime_timer timer_;
  std::optional<data_folder> folder_;
  std::optional<replicated_log> log_;
  std::unique_ptr<member_joiner> joiner_;
  mutable unapplied_commands unapplied_;  // caches decoded kinds
  proposal_table proposals_;
  std::string removing_;  // replica id, or ""
  std::function<void(absl::Status)> removed_;
  std::vector<std::function<void()>> subscribers_;
  std::size_t applied_bytes_ = 0;  // of commands, since the last snapshot
  bool pump_scheduled_ = false;
  bool write_inline_ = false;  // while a group is being created
  log_role known_role_ = log_role::outside;
  std::uint64_t known_term_ = 0;
  std::vector<replica_member> known_members_;
  // Shared with callbacks that may run after the replica is destroyed.
  std::shared_ptr<bool> alive_;
  // Syncs take milliseconds and must not block the event loop.
  boost::asio::thread_pool disk_thread_{1};
};

template <typename Message>
void disk_replica::listen_for() {
  environment_.peers.on<Message>(
      [this, alive = alive_](const peer_id& from, const Message& in) {
        if constexpr (std::is_same_v<Message, append_request>) {
          if (!well_formed(in)) {
            const auto why = absl::InvalidArgumentError("malformed log entry");
            environment_.peers.end_session(from.name, why);
            return;
          }
        }
        if (*alive) {
          log_->receive(now(), from.name, log_message(in));
          schedule_pump();
        }
      });
}

absl::Status disk_replica::open() {
  auto folder =
      open_data_folder(environment_.disk, environment_.options.data_folder,
                       environment_.options.deployment, draw_replica_id);
  if (!folder.ok()) {
    return folder.status();
  }
  folder_.emplace(*std::move(folder));
  if (folder_->log->figures().cut_bytes != 0) {
    log_event(events::torn_tail_cut, folder_->log->figures().cut_bytes);
  }
  replicated_log_options options;
  options.id = folder_->identity.replica;
  options.process = environment_.options.process;
  options.address = environment_.options.listen.peers;
  options.keep_entries =
      static_cast<std::uint64_t>(environment_.options.control.keep_entries);
  std::random_device seed;
  log_.emplace(options, std::mt19937_64(seed()), folder_->log->take_restored(),
               now());
  log_event(events::replica_opened, options.id, log_->state().term,
            log_->first_index(), log_->last_index(), log_->snapshot_index());
  listen_for<vote_request>();
  listen_for<vote_reply>();
  listen_for<append_request>();
  listen_for<append_reply>();
  listen_for<snapshot_request>();
  listen_for<snapshot_reply>();
  environment_.peers.on_session(
      [this, alive = alive_](const peer_id& peer, bool up) {
        if (*alive && up) {
          log_->peer_reachable(now(), peer.name);
          schedule_pump();
        }
      });
  joiner_ = std::make_unique<member_joiner>(
      environment_.peers, *log_, options.id, [this] { schedule_pump(); });
  pump();
  return absl::OkStatus();
}

absl::Status disk_replica::make_group() {
  absl::Status made = log_->make_group(now(), draw_replica_id());
  if (!made.ok()) {
    return made;
  }
  write_inline_ = true;
  log_->tick(now());
  pump();
  write_inline_ = false;
  return log_->fault().empty() ? absl::OkStatus()
                               : absl::UnavailableError(log_->fault());
}

void disk_replica::propose(nlohmann::json command, proposal_done done) {
  const auto position = log_->propose(now(), encode_command(command));
  if (!position.ok()) {
    done(position.status());
    return;
  }
  proposals_.add(*position, now() + proposal_timeout, std::move(done));
  schedule_pump();
}

void disk_replica::add_member(const std::string& process,
                              const std::string& address,
                              std::function<void(absl::Status)> done) {
  joiner_->add(process, address, std::move(done));
  schedule_pump();
}

void disk_replica::remove_member(const std::string& id,
                                 std::function<void(absl::Status)> done) {
  absl::Status started = removing_.empty()
                             ? log_->remove_member(now(), id)
                             : absl::FailedPreconditionError(
                                   "another change of members is under way");
  if (!started.ok()) {
    done(started);
    return;
  }
  removing_ = id;
  removed_ = std::move(done);
  schedule_pump();
}

absl::Status disk_replica::add_learner(const replica_member& learner) {
  absl::Status added = log_->add_learner(now(), learner);
  schedule_pump();
  return added;
}

absl::Status disk_replica::take_snapshot() {
  if (!log_->fault().empty()) {
    return absl::UnavailableError(log_->fault());
  }
  nlohmann::json state = nlohmann::json::object();
  for (const auto& [kind, machine] : machines_) {
    state[kind] = machine->snapshot();
  }
  std::string bytes = encode_command(state);
  log_event(events::snapshot_taken, log_->applied_index(), bytes.size());
  log_->take_snapshot(std::move(bytes));
  applied_bytes_ = 0;
  schedule_pump();
  return absl::OkStatus();
}

replica_status disk_replica::status() const {
  if (log_) {
    return describe(*log_, folder_->identity.replica);
  }
  replica_status closed;
  closed.role = to_text(log_role::outside);
  return closed;
}

// Events of one event loop iteration share one batch.
void disk_replica::schedule_pump() {
  if (pump_scheduled_) {
    return;
  }
  pump_scheduled_ = true;
  boost::asio::post(environment_.loop, [this, alive = alive_] {
    if (*alive) {
      pump();
    }
  });
}

void disk_replica::pump() {
  pump_scheduled_ = false;
  auto actions = log_->take_actions(now());
  const bool changed = !actions.empty();
  while (!actions.empty()) {
    for (log_action& action : actions) {
      std::visit([this](auto& typed) { perform(typed); }, action);
    }
    actions = log_->take_actions(now());
  }
  unapplied_.machines_reached(log_->applied_index());
  const bool leads = log_->role() == log_role::leader;
  proposals_.end_unknown(leads ? log_->state().term : 0, now());
  finish_removal();
  joiner_->advance();
  const auto since_snapshot =
      static_cast<std::int64_t>(log_->applied_index() - log_->snapshot_index());
  if (log_->fault().empty() &&
      (since_snapshot >= environment_.options.control.snapshot_entries ||
       applied_bytes_ >= snapshot_command_bytes)) {
    take_snapshot().IgnoreError();
  }
  arm_timer();
  if (changed) {
    notify();
  }
}

void disk_replica::arm_timer() {
  time_point due = log_->next_deadline();
  due = std::min(due, proposals_.next_deadline());
  due = std::min(due, joiner_->next_deadline());
  if (due == time_point::max()) {
    timer_.cancel();
    return;
  }
  if (timer_.expires_by(due)) {
    return;
  }
  timer_.expires_at(due);
  when_expired(timer_, alive_, [this] { on_timer(); });
}

void disk_replica::on_timer() {
  log_->tick(now());
  pump();
}

void disk_replica::perform(send_action& action) {
  std::visit(
      [&](const auto& message) {
        // A message that can't be sent counts as lost; the log resends it.
        environment_.peers.send(action.process, make_frame(message))
            .IgnoreError();
      },
      action.message);
}

void disk_replica::perform(write_action& action) {
  const std::uint64_t sequence = action.batch.sequence;
  if (write_inline_) {
    on_written(sequence, folder_->log->write(action.batch));
    return;
  }
  // The destructor joins the disk thread before the storage is destroyed.
  boost::asio::post(disk_thread_, [this, storage = folder_->log.get(),
                                   alive = alive_, &loop = environment_.loop,
                                   batch = std::move(action.batch)] {
    absl::Status written = storage->write(batch);
    boost::asio::post(loop, [this, alive, sequence = batch.sequence, written] {
      if (*alive) {
        on_written(sequence, written);
        pump();
      }
    });
  });
}

void disk_replica::on_written(std::uint64_t sequence,
                              const absl::Status& written) {
  if (written.ok()) {
    log_->written(now(), sequence);
    return;
  }
  log_event(events::replica_failed, written.ToString());
  log_->write_failed(written.ToString());
}

void disk_replica::perform(apply_action& action) {
  const std::uint64_t index = action.entry.index;
  applied_bytes_ += action.entry.data.bytes.size();
  const nlohmann::json command = decode_command(action.entry.data.bytes);
  const auto machine = machines_.find(command.value("kind", ""));
  nlohmann::json result{{"error", "no machine of this kind"}};
  if (machine != machines_.end()) {
    result = machine->second->apply(index, command);
  }
  proposals_.applied({index, action.entry.term}, std::move(result));
}

void disk_replica::perform(restore_action& action) {
  applied_bytes_ = 0;
  const nlohmann::json state = decode_command(action.snapshot.data.bytes);
  for (const auto& [kind, machine] : machines_) {
    if (state.contains(kind)) {
      machine->restore(state.at(kind));
    }
  }
}

void disk_replica::perform(members_action& action) {
  if (action.members == known_members_) {
    return;
  }
  known_members_ = action.members;
  std::string text;
  for (const replica_member& member : action.members) {
    text += fmt::format("{}{} {} {}", text.empty() ? "" : ", ", member.process,
                        member.id, member.voter ? "voter" : "learner");
    if (!member.replaces.empty()) {
      text += " replacing " + member.replaces;
    }
    if (member.process != environment_.options.process &&
        has_port(member.address)) {
      environment_.peers.connect(member.process, member.address);
    }
  }
  log_event(events::members_changed, text);
}

void disk_replica::finish_removal() {
  if (removing_.empty()) {
    return;
  }
  absl::Status outcome = absl::OkStatus();
  if (!log_->removed(removing_)) {
    if (log_->role() == log_role::leader) {
      return;
    }
    outcome = absl::AbortedError("leader changed; outcome unknown");
  }
  removing_.clear();
  std::exchange(removed_, nullptr)(outcome);
}

void disk_replica::notify() {
  const log_role role = log_->role();
  const std::uint64_t term = log_->state().term;
  if (role != known_role_ || term != known_term_) {
    known_role_ = role;
    known_term_ = term;
    log_event(events::role_changed, to_text(role), term, log_->leader());
  }
  for (const auto& on_change : subscribers_) {
    on_change();
  }
}

}  // namespace

std::unique_ptr<replica> make_replica(replica_environment environment,
                                      replica::machines machines) {
  return std::make_unique<disk_replica>(std::move(environment),
                                        std::move(machines));
}

std::unique_ptr<replica> make_replica(process_context& process,
                                      replica::machines machines) {
  return make_replica(replica_environment{process.loop, process.options,
                                          process.peers, real_disk()},
                      std::move(machines));
}

}  // namespace citronwharf
