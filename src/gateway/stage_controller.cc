#include "gateway/stage_controller.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include <utility>

#include "gateway/call_without_id.h"
#include "net/http_status.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

constexpr duration planning_interval = milliseconds(500);
// A new leader sends orders only after this time, so that the orders of the
// previous leader have ended.
constexpr duration takeover_delay = seconds(4);
constexpr duration order_timeout = seconds(1);

}  // namespace

stage_controller::stage_controller(process_context& process,
                                   document_cluster& cluster,
                                   const gateway_codec& codec, http_pool& pool,
                                   server_list& servers,
                                   placement_client& placement,
                                   const server_limits& limits,
                                   profiles_of profiles)
    : process_(process),
      cluster_(cluster),
      codec_(codec),
      pool_(pool),
      servers_(servers),
      placement_(placement),
      limits_(limits),
      profiles_(std::move(profiles)),
      timer_(process.loop),
      planner_(stage_planner_options{}) {}

stage_controller::~stage_controller() {
  *alive_ = false;
}

void stage_controller::start() {
  process_.peers.on<stage_notice>(
      [this, alive = alive_](const peer_id& /*from*/, const stage_notice& in) {
        if (*alive) {
          const time_point now = runtime_clock::now();
          const announced_switch announced{
              in.to_prefill ? engine_stage::prefill : engine_stage::decode,
              now + milliseconds(in.span_ms)};
          servers_.switching(in.server, announced);
          placement_.begin_switch(in.server, announced);
          planner_.record_order(in.server, announced.to, now);
        }
      });
  tick();
}

void stage_controller::tick() {
  const time_point now = runtime_clock::now();
  const bool ordering_allowed = can_order(now);
  for (const auto& [service, profile] : profiles_()) {
    planner_.report(service, placement_.demand(service), now);
    if (!ordering_allowed || profile.switch_ms == 0) {
      continue;
    }
    for (stage_order& order :
         planner_.plan(service, servers_.servers_of_service(service),
                       placement_.failing(service), now)) {
      // Orders would use up the limit that the engine named.
      if (servers_.may_send(order.server, now) &&
          !limits_.rate(order.server, now)) {
        issue_order(std::move(order), profile);
      }
    }
  }
  timer_.expires_after(planning_interval);
  when_expired(timer_, alive_, [this] { tick(); });
}

bool stage_controller::can_order(time_point now) {
  if (!cluster_.leads()) {
    leader_term_ = 0;
    return false;
  }
  const std::uint64_t term = cluster_.term();
  if (term != leader_term_) {
    leader_term_ = term;
    leader_since_ = now;
    planner_.reset();
  }
  return now - leader_since_ >= takeover_delay &&
         cluster_.follower().fresh(now);
}

// Gateways are notified first, so that none sends requests to the engine while
// it switches.
void stage_controller::issue_order(stage_order order,
                                   const engine_profile& profile) {
  cluster_.broadcast(stage_notice{order.server, profile.switch_ms,
                                  order.stage == engine_stage::prefill});
  const std::uint64_t id = ++last_order_id_;
  pooled_call call = make_call_without_id(codec_, order.address);
  call.connect_timeout = order_timeout;
  pending_order& pending = pending_orders_[id];
  pending.order = std::move(order);
  pending.call = pool_.fetch(
      call, codec_.make_report_request(),
      [this, id](absl::StatusOr<http_response> response, bool /*sent*/) {
        const auto report =
            response.ok() ? codec_.read_report(response->body)
                          : absl::StatusOr<engine_report>(response.status());
        if (!report.ok() || report->busy) {
          end_order(id, report.ok() ? "busy" : report.status().ToString());
          return;
        }
        send_order(id, *report);
      });
}

void stage_controller::send_order(std::uint64_t id,
                                  const engine_report& report) {
  // Leadership may have been lost while the engine was asked.
  if (!can_order(runtime_clock::now())) {
    end_order(id, "no longer leads");
    return;
  }
  pending_order& pending = pending_orders_[id];
  if (servers_.is_evacuated(pending.order.server)) {
    log_event(events::evacuated_server_passed_over, pending.order.server,
              "stage order");
    end_order(id, "evacuated");
    return;
  }
  engine_switch out;
  out.stage = pending.order.stage;
  out.instance = pending.order.server;
  out.holder = process_.options.process;
  out.fencing_token = leader_term_;
  out.orders = report.orders;
  pooled_call call = make_call_without_id(codec_, pending.order.address);
  call.connect_timeout = order_timeout;
  pending.call = pool_.fetch(
      call, codec_.make_switch(out),
      [this, id](absl::StatusOr<http_response> response, bool /*sent*/) {
        if (!response.ok()) {
          end_order(id, response.status().ToString());
          return;
        }
        end_order(id, is_success(response->status)
                          ? "taken"
                          : fmt::format("refused ({})", response->status));
      });
}

void stage_controller::end_order(std::uint64_t id, const std::string& outcome) {
  const auto found = pending_orders_.find(id);
  if (found == pending_orders_.end()) {
    return;
  }
  const stage_order& order = found->second.order;
  log_event(events::stage_ordered, order.server,
            order.stage == engine_stage::prefill ? "prefill" : "decode",
            order.target, order.engines, order.prefill_engines,
            order.decode_engines, outcome);
  process_.metrics.add("citronwharf_stage_orders_total",
                       {{"outcome", outcome == "taken" ? "taken" : "failed"}});
  // The call may be the one whose handler runs now, so it is destroyed later.
  boost::asio::post(
      process_.loop,
      [ended = std::shared_ptr<http_call>(std::move(found->second.call))] {});
  pending_orders_.erase(found);
}

}  // namespace citronwharf
