#include "entry/claim.h"

#include <utility>

#include "entry/authenticate.h"

namespace citronwharf {
namespace {

constexpr duration reply_timeout = milliseconds(1000);
constexpr duration leader_retry_interval = milliseconds(50);
constexpr duration tick_interval = milliseconds(50);
constexpr duration claim_retry_after = seconds(1);
constexpr int bad_request_status = 400;
constexpr int conflict_status = 409;
constexpr int unprocessable = 422;
constexpr int unavailable_status = 503;

}  // namespace

std::string request_digest(const caller_request& in) {
  return key_digest(in.method + "\n" + in.route + "\n" + in.route_target +
                    "\n" + in.body);
}

std::optional<problem> check_idempotency_key(const caller_request& in,
                                             bool keyed) {
  if (keyed || in.idempotency_key.empty()) {
    return std::nullopt;
  }
  return problem{bad_request_status,
                 request_outcome::not_run,
                 reasons::bad_request,
                 "Idempotency-Key needs a route with keys",
                 {},
                 false};
}

std::optional<problem> claim_problem(claim_state state) {
  const auto not_run = request_outcome::not_run;
  const auto unknown = request_outcome::unknown;
  switch (state) {
    case claim_state::granted:
    case claim_state::done:
      return std::nullopt;
    case claim_state::in_progress:
      return problem{conflict_status,
                     unknown,
                     reasons::claim_in_progress,
                     "a try with this key is under way",
                     claim_retry_after,
                     false};
    case claim_state::unknown:
      return problem{conflict_status,
                     unknown,
                     reasons::claim_unknown,
                     "the outcome of an earlier try with this key is unknown",
                     {},
                     false};
    case claim_state::conflict:
      return problem{unprocessable,
                     not_run,
                     reasons::claim_conflict,
                     "the key was used for another request",
                     {},
                     false};
    default:
      return problem{unavailable_status,
                     not_run,
                     reasons::claim_unavailable,
                     "the key can't be claimed now; nothing was sent",
                     claim_retry_after,
                     true};
  }
}

claim_client::claim_client(process_context& process)
    : process_(process), timer_(process.loop) {
  peer_hub& peers = process_.peers;
  peers.on<claim_hello>([this](const peer_id& from, const auto& in) {
    replicas_.insert(from.name);
    leader_ = in.leader.empty() ? leader_ : in.leader;
  });
  peers.on<claim_reply>(
      [this](const peer_id& from, const auto& in) { on_reply(from, in); });
}

std::uint64_t claim_client::claim(claim_request in, time_point deadline,
                                  claim_callback done) {
  return add({std::move(in), deadline, {}, std::move(done)});
}

void claim_client::finish(claim_finish in, time_point deadline) {
  add({std::move(in), deadline, {}, [](const claim_reply&) {}});
}

std::uint64_t claim_client::add(pending_message added) {
  const std::uint64_t id = ++last_id_;
  std::visit([id](auto& message) { message.id = id; }, added.message);
  pending_message& pending =
      pending_.emplace(id, std::move(added)).first->second;
  send_message(pending, runtime_clock::now());
  schedule_tick();
  return id;
}

void claim_client::send_message(pending_message& pending, time_point now) {
  const frame out = std::visit(
      [](const auto& message) { return make_frame(message); }, pending.message);
  const bool sent = process_.peers.send(target_replica(), out).ok();
  pending.resend_at = now + (sent ? reply_timeout : leader_retry_interval);
  if (!sent) {
    switch_replica();
  }
}

std::string claim_client::target_replica() const {
  if (!leader_.empty()) {
    return leader_;
  }
  return replicas_.empty() ? "" : *replicas_.begin();
}

// Tries the replicas in order of their names until one knows the leader.
void claim_client::switch_replica() {
  auto next_replica = replicas_.upper_bound(leader_);
  if (next_replica == replicas_.end()) {
    next_replica = replicas_.begin();
  }
  leader_ = next_replica == replicas_.end() ? "" : *next_replica;
}

void claim_client::on_reply(const peer_id& /*from*/, const claim_reply& reply) {
  const auto found = pending_.find(reply.id);
  if (found == pending_.end()) {
    return;
  }
  if (reply.state == claim_state::not_leader) {
    if (reply.leader.empty()) {
      switch_replica();
    } else {
      leader_ = reply.leader;
    }
  }
  if (reply.state == claim_state::not_leader ||
      reply.state == claim_state::unavailable) {
    found->second.resend_at = runtime_clock::now() + leader_retry_interval;
    return;
  }
  complete(reply.id, reply);
}

void claim_client::complete(std::uint64_t id, const claim_reply& reply) {
  const auto found = pending_.find(id);
  const claim_callback done = std::move(found->second.done);
  pending_.erase(found);
  done(reply);
  if (on_idle_ && idle()) {
    on_idle_();
  }
}

void claim_client::tick() {
  const time_point now = runtime_clock::now();
  std::vector<std::uint64_t> expired;
  for (auto& [id, pending] : pending_) {
    if (now >= pending.deadline) {
      expired.push_back(id);
    } else if (now >= pending.resend_at) {
      send_message(pending, now);
    }
  }
  for (const std::uint64_t id : expired) {
    complete(id, claim_reply{});
  }
  schedule_tick();
}

void claim_client::schedule_tick() {
  if (tick_scheduled_ || pending_.empty()) {
    return;
  }
  tick_scheduled_ = true;
  timer_.expires_after(tick_interval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      tick_scheduled_ = false;
      tick();
    }
  });
}

}  // namespace citronwharf
