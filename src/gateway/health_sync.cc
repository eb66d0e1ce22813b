#include "gateway/health_sync.h"

#include <utility>

#include "observe/event.h"

namespace citronwharf {
namespace {

constexpr duration report_interval = milliseconds(250);

}  // namespace

health_sync::health_sync(process_context& process, document_cluster& cluster,
                         listed_servers listed)
    : process_(process),
      cluster_(cluster),
      list_servers_(std::move(listed)),
      detector_(outlier_options{}),
      report_timer_(process.loop) {}

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
          on_report(in);
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
          notify_all(in.server);
        }
      });
  process_.peers.on<leaving_notice>(
      [this, alive = alive_](const peer_id& from, const leaving_notice& in) {
        if (*alive && on_leaving_(in.server)) {
          log_event(events::server_leaves, in.server, from.name);
        }
      });
  schedule_report();
}

void health_sync::lost(const std::string& server) {
  ++outcomes_[server].lost;
  send_report();
}

// If there is no leader, the other gateways learn it later from the directory.
void health_sync::leaving(const std::string& server) {
  if (!on_leaving_(server)) {
    return;
  }
  log_event(events::server_leaves, server, process_.options.process);
  if (cluster_.leads()) {
    notify_all(server);
  } else {
    process_.peers
        .send(cluster_.follower().leader(), make_frame(leaving_report{server}))
        .IgnoreError();
  }
}

void health_sync::notify_all(const std::string& server) {
  if (cluster_.leads()) {
    cluster_.broadcast(leaving_notice{server});
  }
}

void health_sync::send_report() {
  if (outcomes_.empty()) {
    return;
  }
  outcome_report out;
  for (auto& [server, counts] : outcomes_) {
    counts.server = server;
    out.servers.push_back(std::move(counts));
  }
  outcomes_.clear();
  // A lost report does no harm, as it is one of many.
  process_.peers.send(cluster_.follower().leader(), make_frame(out))
      .IgnoreError();
}

void health_sync::on_report(const outcome_report& in) {
  const bool leads = cluster_.leads();
  if (leads && !was_leading_) {
    detector_.reset();
  }
  was_leading_ = leads;
  if (!leads) {
    return;
  }
  const time_point now = runtime_clock::now();
  detector_.record(in, now);
  for (const outlier_notice& each :
       detector_.find_outliers(list_servers_(), now)) {
    log_event(events::outlier_found, each.server, each.reason, each.span_ms);
    cluster_.broadcast(each);
  }
}

void health_sync::schedule_report() {
  report_timer_.expires_after(report_interval);
  when_expired(report_timer_, alive_, [this] {
    send_report();
    schedule_report();
  });
}

}  // namespace citronwharf
