#include "gateway/quarantine_sync.h"

#include <absl/status/statusor.h>

#include <utility>

#include "base/decode.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

constexpr const char* file_name = "quarantine.json";
// Requests that are lost with one server are reported together.
constexpr duration send_delay = milliseconds(20);
constexpr duration tick_interval = milliseconds(250);
// A process that starts learns from the leader within this time.
constexpr duration leader_interval = seconds(1);
// Covers messages to the leader that were lost.
constexpr duration report_interval = seconds(5);

}  // namespace

quarantine_sync::quarantine_sync(process_context& process,
                                 document_cluster& cluster,
                                 prompt_quarantine& quarantine)
    : process_(process),
      cluster_(cluster),
      quarantine_(quarantine),
      disk_(real_disk()),
      send_timer_(process.loop),
      tick_timer_(process.loop) {}

quarantine_sync::~quarantine_sync() {
  *alive_ = false;
}

void quarantine_sync::start() {
  load();
  process_.peers.on<quarantine_state>(
      [this, alive = alive_](const peer_id& from, const quarantine_state& in) {
        if (*alive) {
          on_state(from.name, in);
        }
      });
  quarantine_.on_change([this, alive = alive_] {
    if (*alive) {
      schedule_send();
    }
  });
  tick();
}

void quarantine_sync::load() {
  if (process_.options.data_folder.empty()) {
    return;
  }
  const auto text = disk_.read(process_.options.data_folder + "/" + file_name);
  if (absl::IsNotFound(text.status())) {
    return;
  }
  const auto json = text.ok() ? parse_json(*text)
                              : absl::StatusOr<nlohmann::json>(text.status());
  const auto state = json.ok()
                         ? decode_value<quarantine_state>(*json)
                         : absl::StatusOr<quarantine_state>(json.status());
  if (!state.ok()) {
    log_event(events::quarantine_file_failed, state.status().ToString());
    return;
  }
  quarantine_.merge(*state, runtime_clock::now());
  log_changes(file_name);
}

void quarantine_sync::save() {
  if (process_.options.data_folder.empty()) {
    return;
  }
  quarantine_state state = quarantine_.state(runtime_clock::now());
  state.ends.clear();
  std::vector<part_quarantine_state> without_ages = state.parts;
  for (part_quarantine_state& each : without_ages) {
    each.age_ms = 0;
  }
  if (without_ages == saved_) {
    return;
  }
  const absl::Status written =
      replace_file(disk_, process_.options.data_folder, file_name,
                   write_json(nlohmann::json(state)));
  if (written.ok()) {
    saved_ = std::move(without_ages);
  } else if (!save_failed_) {
    log_event(events::quarantine_file_failed, written.ToString());
  }
  save_failed_ = !written.ok();
}

void quarantine_sync::on_state(const std::string& from,
                               const quarantine_state& in) {
  const bool news = quarantine_.merge(in, runtime_clock::now());
  log_changes(from);
  if (news && cluster_.leads()) {
    schedule_send();
  }
}

void quarantine_sync::schedule_send() {
  if (send_timer_.expires_by(runtime_clock::now() + send_delay)) {
    return;
  }
  send_timer_.expires_after(send_delay);
  when_expired(send_timer_, alive_, [this] { send(); });
}

void quarantine_sync::send() {
  log_changes(process_.options.process);
  const time_point now = runtime_clock::now();
  sent_at_ = now;
  sent_to_ = cluster_.follower().leader();
  const quarantine_state state = quarantine_.state(now);
  if (state.ends.empty() && state.parts.empty()) {
    return;
  }
  if (cluster_.leads()) {
    cluster_.broadcast(state);
  } else {
    // Sent again after report_interval.
    process_.peers.send(sent_to_, make_frame(state)).IgnoreError();
  }
}

void quarantine_sync::tick() {
  const time_point now = runtime_clock::now();
  quarantine_.find_quarantined({}, now);  // decides what is due by now
  log_changes(process_.options.process);
  save();
  const duration interval =
      cluster_.leads() ? leader_interval : report_interval;
  if (now - sent_at_ >= interval || sent_to_ != cluster_.follower().leader()) {
    send();
  }
  process_.metrics.set("citronwharf_gateway_quarantined_parts", {},
                       static_cast<double>(quarantine_.quarantined(now)));
  tick_timer_.expires_after(tick_interval);
  when_expired(tick_timer_, alive_, [this] { tick(); });
}

void quarantine_sync::log_changes(const std::string& heard_from) {
  bool parts_changed = false;
  for (const quarantine_change& each : quarantine_.take_changes()) {
    switch (each.what) {
      case quarantine_change::kind::suspected:
        log_event(events::part_suspected, each.part, each.server, each.ends);
        break;
      case quarantine_change::kind::quarantined:
        log_event(events::part_quarantined, each.part, each.ends, each.span_ms,
                  heard_from);
        parts_changed = true;
        break;
      case quarantine_change::kind::released:
        log_event(events::part_released, each.part, "answered");
        parts_changed = true;
        break;
      case quarantine_change::kind::dropped:
        log_event(events::part_released, each.part, "too many parts");
        parts_changed = true;
        break;
      case quarantine_change::kind::suspects_dropped:
        log_event(events::suspects_dropped, each.ends);
        break;
    }
  }
  if (parts_changed) {
    save();
  }
}

}  // namespace citronwharf
