#include "control/evacuation_orders.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/decode.h"
#include "control/evacuation_machine.h"

namespace citronwharf {
namespace {

// Below the 1 s after which operators try another process.
constexpr duration order_timeout = milliseconds(900);
// Delay before an order without effect is sent again; an election takes some
// hundred milliseconds.
constexpr duration resend_interval = milliseconds(50);

}  // namespace

evacuation_orders::evacuation_orders(process_context& process,
                                     document_cluster& cluster)
    : process_(process), cluster_(cluster), timer_(process.loop) {}

evacuation_orders::~evacuation_orders() {
  *alive_ = false;
}

void evacuation_orders::start() {
  process_.peers.on<evacuation_order>(
      [this, alive = alive_](const peer_id& from, const evacuation_order& in) {
        if (!*alive) {
          return;
        }
        propose(in, [this, alive, to = from](const evacuation_reply& out) {
          if (*alive) {
            // An operator whose process gets no reply orders again.
            process_.peers.reply(to, make_frame(out)).IgnoreError();
          }
        });
      });
  process_.peers.on<evacuation_reply>(
      [this, alive = alive_](const peer_id& /*from*/,
                             const evacuation_reply& in) {
        if (*alive) {
          handle_reply(in);
        }
      });
}

std::uint64_t evacuation_orders::submit(std::string domain, bool evacuated,
                                        order_callback done) {
  const std::uint64_t id = ++last_id_;
  pending_order& added = pending_[id];
  added.order.domain = std::move(domain);
  added.order.evacuated = evacuated;
  added.deadline = runtime_clock::now() + order_timeout;
  added.done = std::move(done);
  if (!timer_.expires_by(runtime_clock::now() + resend_interval)) {
    timer_.expires_after(resend_interval);
    when_expired(timer_, alive_, [this] { tick(); });
  }
  send(id);
  return id;
}

void evacuation_orders::send(std::uint64_t id) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return;
  }
  pending_order& pending = found->second;
  pending.order.id = ++last_attempt_;
  pending.order.based_on =
      pending.known_orders.value_or(cluster_.follower().evacuations().orders);
  const evacuation_order order = pending.order;
  if (!cluster_.leads()) {
    const std::string& leader = cluster_.follower().leader();
    pending.sent = !leader.empty() && leader != process_.options.process &&
                   process_.peers.send(leader, make_frame(order)).ok();
    return;
  }
  pending.sent = true;
  propose(order, [this, alive = alive_](const evacuation_reply& out) {
    if (*alive) {
      handle_reply(out);
    }
  });
}

void evacuation_orders::propose(
    const evacuation_order& order,
    std::function<void(const evacuation_reply&)> done) {
  evacuation_reply out;
  out.id = order.id;
  if (!cluster_.leads() || !cluster_.has_enough_voters()) {
    out.outcome = evacuation_outcome::not_taken;
    done(out);
    return;
  }
  cluster_.propose(
      evacuation_machine::make_command(order),
      [out, done = std::move(done)](
          const absl::StatusOr<proposal_result>& result) mutable {
        if (result.ok()) {
          out = decode_value<evacuation_reply>(result->result).value_or(out);
        } else if (absl::IsUnavailable(result.status())) {
          out.outcome = evacuation_outcome::not_taken;
        }
        done(out);
      });
}

void evacuation_orders::handle_reply(const evacuation_reply& in) {
  const auto found =
      std::find_if(pending_.begin(), pending_.end(), [&](const auto& each) {
        return each.second.sent && each.second.order.id == in.id;
      });
  if (found == pending_.end()) {
    return;
  }
  pending_order& pending = found->second;
  switch (in.outcome) {
    case evacuation_outcome::accepted:
    case evacuation_outcome::too_many:
    case evacuation_outcome::unknown:
      end(found->first, in.outcome);
      return;
    case evacuation_outcome::not_taken:
      pending.sent = false;
      return;
    case evacuation_outcome::outdated:
      pending.sent = false;
      pending.known_orders = in.orders;
      if (runtime_clock::now() < pending.deadline) {
        send(found->first);
      }
      return;
  }
}

void evacuation_orders::end(std::uint64_t id, evacuation_outcome outcome) {
  const auto found = pending_.find(id);
  const order_callback done = std::move(found->second.done);
  pending_.erase(found);
  done(outcome);
}

void evacuation_orders::tick() {
  const time_point now = runtime_clock::now();
  std::vector<std::uint64_t> overdue;
  std::vector<std::uint64_t> unsent;
  for (const auto& [id, each] : pending_) {
    if (now >= each.deadline) {
      overdue.push_back(id);
    } else if (!each.sent) {
      unsent.push_back(id);
    }
  }
  for (const std::uint64_t id : overdue) {
    if (const auto found = pending_.find(id); found != pending_.end()) {
      end(id, found->second.sent ? evacuation_outcome::unknown
                                 : evacuation_outcome::not_taken);
    }
  }
  for (const std::uint64_t id : unsent) {
    send(id);
  }
  if (pending_.empty() || timer_.expires_by(now + resend_interval)) {
    return;
  }
  timer_.expires_after(resend_interval);
  when_expired(timer_, alive_, [this] { tick(); });
}

}  // namespace citronwharf
