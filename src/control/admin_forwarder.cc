#include "control/admin_forwarder.h"

#include <utility>
#include <vector>

namespace citronwharf {
namespace {

// Longer than a new replica takes to catch up, as replica/add waits for it.
constexpr duration answer_timeout = seconds(60);
constexpr duration check_interval = seconds(1);

}  // namespace

admin_forwarder::admin_forwarder(process_context& process, admin_api& api)
    : process_(process), api_(api), timer_(process.loop) {
  process_.peers.on<admin_forward>(
      [this](const peer_id& from, const admin_forward& in) {
        take_forwarded(from, in);
      });
  process_.peers.on<admin_forward_reply>(
      [this](const peer_id& from, const admin_forward_reply& in) {
        take_reply(from, in);
      });
  process_.peers.on_session([this](const peer_id& peer, bool up) {
    if (!up) {
      give_up_if([&](const waiting& in) { return in.leader == peer.name; });
    }
  });
}

void admin_forwarder::forward(const std::string& leader,
                              const admin_request& request,
                              admin_api::done answer) {
  const std::uint64_t id = ++last_id_;
  const absl::Status sent = process_.peers.send(
      leader, make_frame(admin_forward{id, request.method, request.target,
                                       request.body}));
  if (!sent.ok()) {
    answer(admin_error(503, "not_leader", "no session to leader " + leader));
    return;
  }
  waiting_[id] = {leader, runtime_clock::now() + answer_timeout,
                  std::move(answer)};
  if (waiting_.size() == 1) {
    schedule_check();
  }
}

void admin_forwarder::take_forwarded(const peer_id& from,
                                     const admin_forward& in) {
  api_.handle({in.method, in.target, in.body},
              [this, to = from.name, id = in.id](const admin_response& out) {
                // An answer that is lost is an unknown outcome at the other
                // end, which resends under the same operation.
                process_.peers
                    .send(to, make_frame(admin_forward_reply{id, out.status,
                                                             out.body.dump()}))
                    .IgnoreError();
              });
}

void admin_forwarder::take_reply(const peer_id& from,
                                 const admin_forward_reply& in) {
  const auto found = waiting_.find(in.id);
  if (found == waiting_.end() || found->second.leader != from.name) {
    return;
  }
  const admin_api::done answer = std::move(found->second.answer);
  waiting_.erase(found);
  auto body = parse_json(in.body);
  answer(body.ok() ? admin_response{in.status, *std::move(body)}
                   : admin_error(504, "unknown_outcome", "malformed answer"));
}

void admin_forwarder::give_up_if(
    const std::function<bool(const waiting&)>& condition) {
  std::vector<admin_api::done> answers;
  for (auto each = waiting_.begin(); each != waiting_.end();) {
    const bool over = condition(each->second);
    if (over) {
      answers.push_back(std::move(each->second.answer));
    }
    each = over ? waiting_.erase(each) : std::next(each);
  }
  for (const admin_api::done& answer : answers) {
    answer(admin_error(504, "unknown_outcome",
                       "the leader was lost before it answered"));
  }
}

void admin_forwarder::schedule_check() {
  timer_.expires_after(check_interval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    const time_point now = runtime_clock::now();
    give_up_if([&](const waiting& in) { return in.until <= now; });
    if (!waiting_.empty()) {
      schedule_check();
    }
  });
}

}  // namespace citronwharf
