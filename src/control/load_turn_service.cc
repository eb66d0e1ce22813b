#include "control/load_turn_service.h"

#include <chrono>
#include <utility>

#include "base/decode.h"

namespace citronwharf {
namespace {

// A process that polled within this time counts as live.
constexpr duration liveness_window = seconds(3);
// A turn is renewed in the log when less than this is left of its lease.
constexpr std::int64_t renew_below_ms = load_turns::lease_ms / 2;

std::int64_t wall_milliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

nlohmann::json to_proposal(const turn_command& command) {
  nlohmann::json proposal = command;
  proposal["kind"] = turn_command::kind;
  return proposal;
}

}  // namespace

load_turn_service::load_turn_service(process_context& process, replica& log,
                                     const load_turns& turns,
                                     const configuration_source& source)
    : process_(process), log_(log), turns_(turns), source_(source) {
  process_.peers.on<load_turn_request>(
      [this](const peer_id& from, const load_turn_request& request) {
        handle_request(from, request);
      });
  process_.peers.on<load_turn_done>(
      [this](const peer_id& /*from*/, const load_turn_done& done) {
        handle_done(done);
      });
  log_.subscribe([this] {
    if (!pending_ends_.empty()) {
      propose_pending_ends();
    }
  });
}

bool load_turn_service::leads() const {
  return log_.status().role == "leader";
}

void load_turn_service::send_reply(const peer_id& to, std::uint64_t id,
                                   load_turn_reply message) {
  message.id = id;
  // Best effort: an endpoint that misses the reply asks again.
  process_.peers.reply(to, make_frame(message)).IgnoreError();
}

void load_turn_service::handle_request(const peer_id& from,
                                       const load_turn_request& request) {
  if (!leads()) {
    return;
  }
  turn_command command;
  command.endpoint = request.endpoint;
  command.serving = request.serving;
  command.at_ms = wall_milliseconds();
  command.live = source_.polled_within(liveness_window, runtime_clock::now());
  const load_turn_reply current_reply = turns_.preview(command);
  const bool granted = current_reply.outcome == load_turn_outcome::granted;
  const bool up_to_date =
      granted
          ? turns_.has_turn(command.endpoint, current_reply.order.fencing_token,
                            command.at_ms, renew_below_ms)
          : turns_.matches_state(command);
  if (up_to_date || current_reply.outcome == load_turn_outcome::unknown) {
    send_reply(from, request.id, current_reply);
    return;
  }
  log_.propose(to_proposal(command),
               [this, to = from,
                id = request.id](const absl::StatusOr<proposal_result>& done) {
                 const auto answer =
                     done.ok() ? decode_value<load_turn_reply>(done->result)
                               : done.status();
                 if (answer.ok()) {
                   send_reply(to, id, *answer);
                 }
               });
}

void load_turn_service::handle_done(const load_turn_done& done) {
  pending_ends_[done.endpoint] = {done, false};
  propose_pending_ends();
}

// Endpoints report the end of a turn once, to every replica. Each replica keeps
// the report until the log contains it, so that it survives a leader change.
void load_turn_service::propose_pending_ends() {
  const bool leader = leads();
  for (auto each = pending_ends_.begin(); each != pending_ends_.end();) {
    if (turns_.end_recorded(each->second.done)) {
      each = pending_ends_.erase(each);
      continue;
    }
    if (leader && !each->second.proposed) {
      each->second.proposed = true;
      propose_end(each->second.done);
      return;  // the map may have changed; continues on the next log change
    }
    ++each;
  }
}

void load_turn_service::propose_end(const load_turn_done& done) {
  turn_command command;
  command.endpoint = done.endpoint;
  command.ended = true;
  command.fencing_token = done.fencing_token;
  command.carried_out = done.carried_out;
  command.at_ms = wall_milliseconds();
  log_.propose(to_proposal(command),
               [this, name = done.endpoint](
                   const absl::StatusOr<proposal_result>& result) {
                 const auto pending_entry = pending_ends_.find(name);
                 if (!result.ok() && pending_entry != pending_ends_.end()) {
                   pending_entry->second.proposed = false;
                 }
               });
}

}  // namespace citronwharf
