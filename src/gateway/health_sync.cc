#include "gateway/health_sync.h"

#include <utility>

#include "observe/event.h"

namespace citronwharf {
namespace {

constexpr duration interval = milliseconds(250);

}  // namespace

health_sync::health_sync(process_context& process, document_cluster& cluster,
                         listed_servers listed)
    : process_(process),
      cluster_(cluster),
      listed_(std::move(listed)),
      detector_(outlier_options{}),
      timer_(process.loop) {}

health_sync::~health_sync() {
  *alive_ = false;
}

void health_sync::start(notice_handler on_notice, leaving_handler on_leaving) {
  on_notice_ = std::move(on_notice);
  on_leaving_ = std::move(on_leaving);
  process_.peers.on<outcome_report>(
      [this, alive = alive_](const peer_id& /*from*/,
                             const outcome_report& in) {
        if (*alive) {
          take(in);
        }
      });
  process_.peers.on<outlier_notice>(
      [this, alive = alive_](const peer_id& /*from*/,
                             const outlier_notice& in) {
        if (*alive) {
          on_notice_(in);
        }
      });
  process_.peers.on<leaving_report>(
      [this, alive = alive_](const peer_id& from, const leaving_report& in) {
        if (*alive && on_leaving_(in.server)) {
          log_event(events::server_leaves, in.server, from.name);
          tell_all(in.server);
        }
      });
  process_.peers.on<leaving_notice>(
      [this, alive = alive_](const peer_id& from, const leaving_notice& in) {
        if (*alive && on_leaving_(in.server)) {
          log_event(events::server_leaves, in.server, from.name);
        }
      });
  schedule();
}

void health_sync::lost(const std::string& server) {
  ++seen_[server].lost;
  report();
}

// The directory tells the others later if there is no leader.
void health_sync::leaving(const std::string& server) {
  if (!on_leaving_(server)) {
    return;
  }
  log_event(events::server_leaves, server, process_.options.process);
  if (cluster_.leads()) {
    tell_all(server);
  } else {
    process_.peers
        .send(cluster_.follower().leader(), make_frame(leaving_report{server}))
        .IgnoreError();
  }
}

void health_sync::tell_all(const std::string& server) {
  if (cluster_.leads()) {
    cluster_.tell_everyone(leaving_notice{server});
  }
}

void health_sync::report() {
  if (seen_.empty()) {
    return;
  }
  outcome_report out;
  for (auto& [server, counts] : seen_) {
    counts.server = server;
    out.servers.push_back(std::move(counts));
  }
  seen_.clear();
  // A report that is lost is one of many.
  process_.peers.send(cluster_.follower().leader(), make_frame(out))
      .IgnoreError();
}

void health_sync::take(const outcome_report& in) {
  const bool leads = cluster_.leads();
  if (leads && !led_) {
    detector_.reset();
  }
  led_ = leads;
  if (!leads) {
    return;
  }
  const time_point now = runtime_clock::now();
  detector_.take(in, now);
  for (const outlier_notice& each : detector_.decide(listed_(), now)) {
    log_event(events::outlier_found, each.server, each.reason, each.span_ms);
    cluster_.tell_everyone(each);
  }
}

void health_sync::schedule() {
  timer_.expires_after(interval);
  when_expired(timer_, alive_, [this] {
    report();
    schedule();
  });
}

}  // namespace citronwharf
