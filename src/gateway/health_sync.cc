#include "gateway/health_sync.h"

#include <set>
#include <utility>

#include "observe/event.h"

namespace citronwharf {
namespace {

constexpr duration report_interval = milliseconds(250);
// A gateway that has just started learns the limits of servers within this
// time.
constexpr duration announcement_interval = seconds(1);

void log_limit(const server_limit_state& in, const std::string& heard_by) {
  if (in.lifted) {
    log_event(events::server_limit_lifted, in.server, heard_by);
  } else {
    log_event(events::server_limited, in.server, in.requests_per_second,
              nlohmann::json(in.kind).get<std::string>(), heard_by);
  }
}

void log_cold(const cold_state& in, const std::string& heard_by) {
  if (in.unreachable) {
    log_event(events::server_unreachable, in.server, heard_by);
  } else {
    log_event(events::server_cold, in.server, in.left_ms, heard_by);
  }
}

}  // namespace

health_sync::health_sync(process_context& process, document_cluster& cluster,
                         listed_servers listed, server_limits& limits,
                         warm_up& warm_up)
    : process_(process),
      cluster_(cluster),
      list_servers_(std::move(listed)),
      detector_(outlier_options{}),
      limits_(limits),
      warm_up_(warm_up),
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
  process_.peers.on<limit_report>(
      [this, alive = alive_](const peer_id& from, const limit_report& in) {
        if (*alive) {
          on_limits(from.name, {in.limit});
        }
      });
  process_.peers.on<limit_notice>(
      [this, alive = alive_](const peer_id& from, const limit_notice& in) {
        if (*alive) {
          on_limits(from.name, in.limits);
        }
      });
  process_.peers.on<cold_report>(
      [this, alive = alive_](const peer_id& from, const cold_report& in) {
        if (*alive) {
          on_cold(from.name, in.servers);
        }
      });
  process_.peers.on<cold_notice>(
      [this, alive = alive_](const peer_id& from, const cold_notice& in) {
        if (*alive) {
          on_cold(from.name, in.servers);
        }
      });
  schedule_report();
}

void health_sync::limit(const std::string& server, response_kind kind,
                        std::optional<double> rate, time_point sent_at) {
  const time_point now = runtime_clock::now();
  const std::optional<double> before = limits_.named_rate(server, now);
  const auto news = limits_.heard(server, kind, rate, sent_at, now);
  if (!news) {
    return;
  }
  if (limits_.named_rate(server, now) != before) {
    log_limit(*news, process_.options.process);
  }
  share_limit(*news);
}

void health_sync::share_limit(const server_limit_state& in) {
  if (cluster_.leads()) {
    cluster_.broadcast(limit_notice{{in}});
  } else {
    // A lost report is made up for by the next response of the server.
    process_.peers
        .send(cluster_.follower().leader(), make_frame(limit_report{in}))
        .IgnoreError();
  }
}

void health_sync::on_limits(const std::string& from,
                            const std::vector<server_limit_state>& in) {
  const time_point now = runtime_clock::now();
  for (const server_limit_state& each : in) {
    if (!limits_.merge(each, now)) {
      continue;
    }
    log_limit(each, from);
    if (cluster_.leads()) {
      share_limit(each);
    }
  }
}

void health_sync::refused_connection(const std::string& server) {
  share_cold(warm_up_.refused_connection(server, runtime_clock::now()));
}

void health_sync::answered(const std::string& server,
                           std::optional<duration> cold_left,
                           time_point sent_at) {
  share_cold(
      warm_up_.answered(server, cold_left, sent_at, runtime_clock::now()));
}

// A report that is lost while there is no leader is made up for when there is
// one.
void health_sync::share_cold(const std::optional<cold_state>& news) {
  if (!news) {
    return;
  }
  log_cold(*news, process_.options.process);
  if (cluster_.leads()) {
    cluster_.broadcast(cold_notice{{*news}});
  } else {
    process_.peers
        .send(cluster_.follower().leader(), make_frame(cold_report{{*news}}))
        .IgnoreError();
  }
}

void health_sync::on_cold(const std::string& from,
                          const std::vector<cold_state>& in) {
  const time_point now = runtime_clock::now();
  for (const cold_state& each : in) {
    if (!warm_up_.merge(each, now)) {
      continue;
    }
    log_cold(each, from);
    if (cluster_.leads()) {
      cluster_.broadcast(cold_notice{{each}});
    }
  }
}

void health_sync::announce_cold() {
  const time_point now = runtime_clock::now();
  process_.metrics.set("citronwharf_gateway_cold_servers", {},
                       static_cast<double>(warm_up_.cold_servers(now)));
  const std::vector<cold_state> learned = warm_up_.learned(now);
  const std::string leader = cluster_.follower().leader();
  const bool is_told = std::exchange(told_leader_, leader) == leader;
  if (learned.empty()) {
    return;
  }
  if (cluster_.leads()) {
    cluster_.broadcast(cold_notice{learned});
  } else if (!is_told) {
    process_.peers.send(leader, make_frame(cold_report{learned})).IgnoreError();
  }
}

// Also forgets the limits of servers that are gone.
void health_sync::announce_limits() {
  const time_point now = runtime_clock::now();
  if (now - limits_announced_at_ < announcement_interval) {
    return;
  }
  limits_announced_at_ = now;
  announce_cold();
  std::set<std::string> listed;
  for (const listed_server& each : list_servers_()) {
    listed.insert(each.id);
  }
  limits_.keep(listed);
  const std::vector<server_limit_state> limits = limits_.state(now);
  process_.metrics.set("citronwharf_gateway_limited_servers", {},
                       static_cast<double>(limits_.limited(now)));
  if (cluster_.leads() && !limits.empty()) {
    cluster_.broadcast(limit_notice{limits});
  }
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
    announce_limits();
    schedule_report();
  });
}

}  // namespace citronwharf
