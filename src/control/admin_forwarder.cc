#include "control/admin_forwarder.h"

#include <utility>
#include <vector>

#include "base/decode.h"

namespace citronwharf {
namespace {

// Must exceed the time that a new replica takes to catch up, because
// replica/add waits for that.
constexpr duration response_timeout = seconds(60);
constexpr duration check_interval = seconds(1);

}  // namespace

admin_forwarder::admin_forwarder(process_context& process, admin_api& api)
    : process_(process), api_(api), timer_(process.loop) {
  process_.peers.on<admin_forward>(
      [this](const peer_id& from, const admin_forward& in) {
        handle_forward(from, in);
      });
  process_.peers.on<admin_forward_reply>(
      [this](const peer_id& from, const admin_forward_reply& in) {
        handle_reply(from, in);
      });
  process_.peers.on_session([this](const peer_id& peer, bool up) {
    if (!up) {
      fail_pending_if(
          [&](const pending_request& in) { return in.leader == peer.name; });
    }
  });
}

void admin_forwarder::forward(const std::string& leader,
                              const admin_request& request,
                              admin_api::done respond) {
  const std::uint64_t id = ++last_id_;
  const absl::Status sent = process_.peers.send(
      leader, make_frame(admin_forward{id, request.method, request.target,
                                       request.body}));
  if (!sent.ok()) {
    respond(admin_error(503, "not_leader", "no session to leader " + leader));
    return;
  }
  pending_requests_[id] = {leader, runtime_clock::now() + response_timeout,
                           std::move(respond)};
  if (pending_requests_.size() == 1) {
    schedule_check();
  }
}

void admin_forwarder::handle_forward(const peer_id& from,
                                     const admin_forward& in) {
  // If the response is lost, the sender reports an unknown outcome and retries
  // under the same operation.
  const auto respond = [this, to = from,
                        id = in.id](const admin_response& out) {
    const admin_forward_reply reply{id, out.status, write_json(out.body)};
    process_.peers.reply(to, make_frame(reply)).IgnoreError();
  };
  api_.handle({in.method, in.target, in.body}, respond);
}

void admin_forwarder::handle_reply(const peer_id& from,
                                   const admin_forward_reply& in) {
  const auto found = pending_requests_.find(in.id);
  if (found == pending_requests_.end() || found->second.leader != from.name) {
    return;
  }
  const admin_api::done respond = std::move(found->second.respond);
  pending_requests_.erase(found);
  auto body = parse_json(in.body);
  respond(body.ok() ? admin_response{in.status, *std::move(body)}
                    : admin_error(504, "unknown_outcome", "malformed answer"));
}

void admin_forwarder::fail_pending_if(
    const std::function<bool(const pending_request&)>& condition) {
  std::vector<admin_api::done> callbacks;
  for (auto each = pending_requests_.begin();
       each != pending_requests_.end();) {
    const bool matches = condition(each->second);
    if (matches) {
      callbacks.push_back(std::move(each->second.respond));
    }
    each = matches ? pending_requests_.erase(each) : std::next(each);
  }
  for (const admin_api::done& respond : callbacks) {
    respond(admin_error(504, "unknown_outcome",
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
    fail_pending_if([&](const pending_request& in) { return in.until <= now; });
    if (!pending_requests_.empty()) {
      schedule_check();
    }
  });
}

}  // namespace citronwharf
