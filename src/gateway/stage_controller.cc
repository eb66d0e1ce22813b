#include "gateway/stage_controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>
#include <utility>

#include "observe/event.h"

namespace citronwharf {
namespace {

constexpr duration interval = milliseconds(500);
constexpr duration meter_window = seconds(2);
// Shorter prompts say little of an engine's speed.
constexpr std::int64_t min_metered_tokens = 1500;
// A process orders only after it has led for this long, so that orders of the
// one before have ended.
constexpr duration settle_in = seconds(4);
constexpr duration order_timeout = seconds(1);
// A wait that is seen counts for half after this.
constexpr double wait_half_life_s = 0.6;
// A prompt that waits for less is read sooner than at a decode engine.
constexpr double tolerated_wait_s = 0.08;
// At this much more, as many prompts overflow as may.
constexpr double full_overflow_wait_s = 0.2;
// Some prompts go on telling how long the wait is.
constexpr double max_overflow_share = 0.85;
constexpr int status_ok = 200;
constexpr int status_accepted = 202;

}  // namespace

void engine_meter::asked(const std::string& service, std::int64_t tokens,
                         time_point now) {
  prompts_[service].push_back({now, tokens});
}

void engine_meter::took(std::int64_t tokens, duration span, time_point now) {
  const double seconds_taken = std::chrono::duration<double>(span).count();
  if (tokens >= min_metered_tokens) {
    const double own = seconds_taken / static_cast<double>(tokens);
    seconds_per_token_ =
        seconds_per_token_ == 0 ? own : std::min(seconds_per_token_, own);
  }
  waited(seconds_taken - seconds_per_token_ * static_cast<double>(tokens), now);
}

void engine_meter::gave_up(duration span, time_point now) {
  waited(std::chrono::duration<double>(span).count(), now);
}

// What was seen last counts for less, the longer ago it was.
double engine_meter::wait_now(time_point now) const {
  const double age = std::chrono::duration<double>(now - wait_at_).count();
  return wait_s_ * std::exp2(-age / wait_half_life_s);
}

void engine_meter::waited(double seconds_waited, time_point now) {
  constexpr double weight_of_newest = 0.6;
  wait_s_ = (1 - weight_of_newest) * wait_now(now) +
            weight_of_newest * std::max(0.0, seconds_waited);
  wait_at_ = now;
}

double engine_meter::overflow_share(time_point now) {
  return std::clamp((wait_now(now) - tolerated_wait_s) / full_overflow_wait_s,
                    0.0, max_overflow_share);
}

void engine_meter::decodes(const std::string& service, double engines) {
  double& sum = decoding_[service];
  sum = std::max(0.0, sum + engines);
}

std::vector<engine_demand> engine_meter::demand(time_point now) {
  std::vector<engine_demand> out;
  for (auto& [service, prompts] : prompts_) {
    while (!prompts.empty() && now - prompts.front().at > meter_window) {
      prompts.pop_front();
    }
    double tokens = 0;
    for (const prompt& each : prompts) {
      tokens += static_cast<double>(each.tokens);
    }
    engine_demand of;
    of.service = service;
    of.prefill_engines = tokens * seconds_per_token_ /
                         std::chrono::duration<double>(meter_window).count();
    of.decode_engines = decoding_[service];
    out.push_back(std::move(of));
  }
  return out;
}

stage_controller::stage_controller(process_context& process,
                                   document_cluster& cluster,
                                   const gateway_codec& codec, http_pool& pool,
                                   server_list& servers, profile_of profiles)
    : process_(process),
      cluster_(cluster),
      codec_(codec),
      pool_(pool),
      servers_(servers),
      profiles_(std::move(profiles)),
      timer_(process.loop),
      planner_(stage_planner_options{}) {}

stage_controller::~stage_controller() {
  *alive_ = false;
}

void stage_controller::start() {
  process_.peers.on<engine_demand>(
      [this, alive = alive_](const peer_id& from, const engine_demand& in) {
        if (*alive) {
          planner_.report(from.name, in, runtime_clock::now());
        }
      });
  process_.peers.on<stage_notice>(
      [this, alive = alive_](const peer_id& /*from*/, const stage_notice& in) {
        if (*alive) {
          servers_.switching(in.server, milliseconds(in.span_ms),
                             runtime_clock::now());
        }
      });
  tick();
}

void stage_controller::tick() {
  const time_point now = runtime_clock::now();
  const std::vector<engine_demand> demand = meter_.demand(now);
  const std::string& leader = cluster_.follower().leader();
  for (const engine_demand& each : demand) {
    // A lost report is made good by the next one.
    process_.peers.send(leader, make_frame(each)).IgnoreError();
  }
  if (may_order(now)) {
    for (const engine_demand& each : demand) {
      const std::string& service = each.service;
      const engine_profile* profile = profiles_(service);
      if (profile == nullptr || profile->switch_ms == 0) {
        continue;
      }
      for (stage_order& order :
           planner_.plan(service, servers_.of_service(service), now)) {
        give(std::move(order), *profile);
      }
    }
  }
  timer_.expires_after(interval);
  timer_.async_wait([this, alive = alive_](boost::system::error_code error) {
    if (!error && *alive) {
      tick();
    }
  });
}

bool stage_controller::may_order(time_point now) {
  if (!cluster_.leads()) {
    led_term_ = 0;
    return false;
  }
  const std::uint64_t term = cluster_.term();
  if (term != led_term_) {
    led_term_ = term;
    leads_since_ = now;
    planner_.reset();
  }
  return now - leads_since_ >= settle_in && cluster_.follower().fresh(now);
}

// Gateways hear of it first, so that none sends the engine anything while it
// switches.
void stage_controller::give(stage_order order, const engine_profile& profile) {
  cluster_.tell_everyone(stage_notice{order.server, profile.switch_ms});
  const std::uint64_t id = ++last_order_;
  pooled_call call;
  call.address = order.address;
  call.connect_timeout = order_timeout;
  running_order& running = running_[id];
  running.order = std::move(order);
  running.call = pool_.fetch(
      call, codec_.ask_report(),
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
  // The lead may have been lost while the engine was asked.
  if (!may_order(runtime_clock::now())) {
    end_order(id, "no longer leads");
    return;
  }
  running_order& running = running_[id];
  engine_switch out;
  out.stage = running.order.stage;
  out.instance = running.order.server;
  out.holder = process_.options.process;
  out.fencing_token = led_term_;
  out.orders = report.orders;
  pooled_call call;
  call.address = running.order.address;
  call.connect_timeout = order_timeout;
  running.call = pool_.fetch(
      call, codec_.make_switch(out),
      [this, id](absl::StatusOr<http_response> response, bool /*sent*/) {
        if (!response.ok()) {
          end_order(id, response.status().ToString());
          return;
        }
        const bool taken = response->status == status_ok ||
                           response->status == status_accepted;
        end_order(id, taken ? "taken"
                            : fmt::format("refused ({})", response->status));
      });
}

void stage_controller::end_order(std::uint64_t id, const std::string& outcome) {
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return;
  }
  const stage_order& order = found->second.order;
  log_event(events::stage_ordered, order.server,
            order.stage == engine_stage::prefill ? "prefill" : "decode",
            order.target, order.engines, order.prefill_engines,
            order.decode_engines, outcome);
  process_.metrics.add("citronwharf_stage_orders_total",
                       {{"outcome", outcome == "taken" ? "taken" : "failed"}});
  // The call may be the one that ends right now.
  boost::asio::post(
      process_.loop,
      [ended = std::shared_ptr<http_call>(std::move(found->second.call))] {});
  running_.erase(found);
}

}  // namespace citronwharf
