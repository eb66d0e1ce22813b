#include "entry/claim.h"

#include <utility>

#include "entry/authenticate.h"

namespace citronwharf {
namespace {

constexpr duration answer_wait = milliseconds(1000);
constexpr duration leader_wait = milliseconds(50);
constexpr duration tick_interval = milliseconds(50);
constexpr duration come_back = seconds(1);
constexpr int bad_request_status = 400;
constexpr int conflict_status = 409;
constexpr int unprocessable = 422;
constexpr int unavailable_status = 503;

}  // namespace

std::string request_digest(const caller_request& in) {
  return key_digest(in.method + "\n" + in.route + "\n" + in.rest + "\n" +
                    in.body);
}

std::optional<problem> check_claim(const caller_request& in, bool keyed) {
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
                     come_back,
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
                     come_back,
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
      [this](const peer_id& from, const auto& in) { take(from, in); });
}

std::uint64_t claim_client::claim(claim_request in, time_point until,
                                  claimed done) {
  return add({std::move(in), until, {}, std::move(done)});
}

void claim_client::finish(claim_finish in, time_point until) {
  add({std::move(in), until, {}, [](const claim_reply&) {}});
}

std::uint64_t claim_client::add(waiting added) {
  const std::uint64_t id = ++last_id_;
  std::visit([id](auto& message) { message.id = id; }, added.message);
  waiting& one = waiting_.emplace(id, std::move(added)).first->second;
  ask(one, runtime_clock::now());
  schedule_tick();
  return id;
}

void claim_client::ask(waiting& one, time_point now) {
  const frame out = std::visit(
      [](const auto& message) { return make_frame(message); }, one.message);
  const bool sent = process_.peers.send(target(), out).ok();
  one.again_at = now + (sent ? answer_wait : leader_wait);
  if (!sent) {
    next_target();
  }
}

std::string claim_client::target() const {
  if (!leader_.empty()) {
    return leader_;
  }
  return replicas_.empty() ? "" : *replicas_.begin();
}

// Takes the replicas in turn until one knows the leader.
void claim_client::next_target() {
  auto next = replicas_.upper_bound(leader_);
  if (next == replicas_.end()) {
    next = replicas_.begin();
  }
  leader_ = next == replicas_.end() ? "" : *next;
}

void claim_client::take(const peer_id& /*from*/, const claim_reply& reply) {
  const auto found = waiting_.find(reply.id);
  if (found == waiting_.end()) {
    return;
  }
  if (reply.state == claim_state::not_leader) {
    if (reply.leader.empty()) {
      next_target();
    } else {
      leader_ = reply.leader;
    }
  }
  if (reply.state == claim_state::not_leader ||
      reply.state == claim_state::unavailable) {
    found->second.again_at = runtime_clock::now() + leader_wait;
    return;
  }
  end(reply.id, reply);
}

void claim_client::end(std::uint64_t id, const claim_reply& reply) {
  const auto found = waiting_.find(id);
  const claimed done = std::move(found->second.done);
  waiting_.erase(found);
  done(reply);
  if (idle_ && idle()) {
    idle_();
  }
}

void claim_client::tick() {
  const time_point now = runtime_clock::now();
  std::vector<std::uint64_t> over;
  for (auto& [id, one] : waiting_) {
    if (now >= one.until) {
      over.push_back(id);
    } else if (now >= one.again_at) {
      ask(one, now);
    }
  }
  for (const std::uint64_t id : over) {
    end(id, claim_reply{});
  }
  schedule_tick();
}

void claim_client::schedule_tick() {
  if (ticking_ || waiting_.empty()) {
    return;
  }
  ticking_ = true;
  timer_.expires_after(tick_interval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      ticking_ = false;
      tick();
    }
  });
}

}  // namespace citronwharf
