#include "control/load_turn_service.h"

#include <chrono>
#include <utility>

#include "base/decode.h"

namespace citronwharf {
namespace {

// A process that polled within this span is live.
constexpr duration live_span = seconds(3);
// A turn is renewed in the log when less of its lease is left.
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
        asked(from, request);
      });
  process_.peers.on<load_turn_done>(
      [this](const peer_id& /*from*/, const load_turn_done& done) {
        ended(done);
      });
  log_.subscribe([this] {
    if (!told_.empty()) {
      tell_log();
    }
  });
}

bool load_turn_service::leads() const {
  return log_.status().role == "leader";
}

void load_turn_service::reply(const std::string& to, std::uint64_t id,
                              load_turn_reply with) {
  with.id = id;
  // An endpoint that is gone asks again.
  process_.peers.send(to, make_frame(with)).IgnoreError();
}

void load_turn_service::asked(const peer_id& from,
                              const load_turn_request& request) {
  if (!leads()) {
    return;
  }
  turn_command command;
  command.endpoint = request.endpoint;
  command.serving = request.serving;
  command.at_ms = wall_milliseconds();
  command.live = source_.polled_within(live_span, runtime_clock::now());
  const load_turn_reply now = turns_.preview(command);
  const bool granted = now.outcome == load_turn_outcome::granted;
  const bool standing =
      granted ? turns_.holds(command.endpoint, now.order.fencing_token,
                             command.at_ms, renew_below_ms)
              : turns_.knows(command);
  if (standing || now.outcome == load_turn_outcome::unknown) {
    reply(from.name, request.id, now);
    return;
  }
  log_.propose(to_proposal(command),
               [this, to = from.name,
                id = request.id](const absl::StatusOr<proposal_result>& done) {
                 const auto answer =
                     done.ok() ? decode_value<load_turn_reply>(done->result)
                               : done.status();
                 if (answer.ok()) {
                   reply(to, id, *answer);
                 }
               });
}

void load_turn_service::ended(const load_turn_done& done) {
  told_[done.endpoint] = {done, false};
  tell_log();
}

// Endpoints tell the end of a turn to every replica, once. Each keeps it until
// the log has it, so that a change of leader does not lose it.
void load_turn_service::tell_log() {
  const bool leader = leads();
  for (auto each = told_.begin(); each != told_.end();) {
    if (turns_.recorded(each->second.done)) {
      each = told_.erase(each);
      continue;
    }
    if (leader && !each->second.proposed) {
      each->second.proposed = true;
      propose_end(each->second.done);
      return;  // the map may have changed; the log's next change goes on
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
                 const auto told = told_.find(name);
                 if (!result.ok() && told != told_.end()) {
                   told->second.proposed = false;
                 }
               });
}

}  // namespace citronwharf
