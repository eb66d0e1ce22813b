#include "endpoint/endpoint_role.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <utility>

#include "endpoint/decode_handler.h"
#include "endpoint/engine_watch.h"
#include "endpoint/order_runner.h"
#include "endpoint/plain_handler.h"
#include "endpoint/platform_list.h"
#include "endpoint/prefill_handler.h"
#include "endpoint/reservation_manager.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

constexpr duration busy_tick = milliseconds(10);
constexpr duration idle_tick = milliseconds(100);
constexpr duration platform_poll = milliseconds(500);

work_handler_options make_options(const settings& from) {
  work_handler_options options;
  options.queue.max_items = static_cast<std::size_t>(from.limits.max_waiting);
  options.queue.max_items_per_organisation =
      static_cast<std::size_t>(from.limits.max_waiting_per_organisation);
  return options;
}

class endpoint_process final : public process_role {
 public:
  explicit endpoint_process(process_context& process)
      : process_(process),
        engine_(process.loop, process.options.engine.address),
        held_(attempt_lease_options{}),
        parts_{process.loop,
               process.incarnation,
               engine_,
               info_,
               held_,
               leaving_,
               rates_,
               process.metrics,
               process.traces,
               make_options(process.options),
               [this](const std::string& entry, const frame& out) {
                 return process_.peers.send(entry, out);
               }},
        manager_(parts_),
        prefill_(parts_),
        decode_(parts_, manager_),
        plain_(parts_, process.options.engine.address),
        watch_(process.loop, engine_, watch_handlers()),
        orders_(
            process.options.process, engine_,
            [this](const frame& message) { tell_control(message); },
            [this](const engine_info& info) { know(info); }),
        timer_(process.loop) {}

  absl::Status start() override;
  void drain(std::function<void()> done) override;
  bool ready() const override { return !leaving_.leaving(); }

 private:
  engine_watch_handlers watch_handlers();
  void take_work();
  void take_control();
  template <typename Message, typename Take>
  void on_work(Take take);
  bool owns(const peer_id& from, const attempt_key& key);
  void session(const peer_id& peer, bool up);
  void configured(const configuration& next);
  void adopt(const engine_info& info, const std::vector<engine_held>& held);
  void drop(const attempt_key& key);
  void know(const engine_info& info);
  void tell_control(const frame& message);
  void leave(leaving_source source, bool leaves);
  void read_platform(time_point now);
  void send_hello(const std::string& entry);
  void send_hello_to_all();
  void tick();
  void schedule_tick();
  bool idle() const;
  void set_gauges();
  std::array<work_handler*, 3> work_handlers() {
    return {&prefill_, &decode_, &plain_};
  }
  const work_handler& main_door() const;

  process_context& process_;
  engine_client engine_;
  engine_info info_;
  attempt_leases held_;
  leaving_state leaving_;
  load_report rates_;
  work_handler_context parts_;
  reservation_manager manager_;
  prefill_handler prefill_;
  decode_handler decode_;
  plain_handler plain_;
  engine_watch watch_;
  order_runner orders_;
  std::set<std::string> sessions_;
  runtime_timer timer_;
  endpoint_role role_ = endpoint_role::plain;
  std::optional<engine_shape> wanted_;
  bool watching_ = false;
  platform_source platform_;
  time_point platform_read_{};
  std::int64_t wasted_tokens_ = 0;
  std::function<void()> drained_;
};

engine_watch_handlers endpoint_process::watch_handlers() {
  engine_watch_handlers handlers;
  handlers.on_found = [this](const engine_info& info, const auto& held) {
    adopt(info, held);
  };
  handlers.on_changed = [this](const engine_info& info) {
    if (info.incarnation != info_.incarnation) {
      log_event(events::engine_restarted, engine_.address());
    }
    know(info);
  };
  handlers.on_load = [this](const engine_load& load) {
    const auto more = load.wasted_tokens - wasted_tokens_;
    wasted_tokens_ = load.wasted_tokens;
    process_.metrics.add("citronwharf_endpoint_wasted_prefill_tokens_total", {},
                         static_cast<double>(std::max<std::int64_t>(0, more)));
  };
  return handlers;
}

absl::Status endpoint_process::start() {
  if (process_.options.engine.address.empty()) {
    return absl::InvalidArgumentError("/engine/address is needed");
  }
  if (!process_.options.engine.platform_list.empty()) {
    platform_ = platform_file(process_.options.engine.platform_list);
  }
  take_work();
  take_control();
  process_.peers.on_session(
      [this](const peer_id& peer, bool up) { session(peer, up); });
  process_.view.subscribe(
      [this](const configuration& next) { configured(next); });
  configured(*process_.view.current());
  schedule_tick();
  return absl::OkStatus();
}

bool endpoint_process::owns(const peer_id& from, const attempt_key& key) {
  const bool own =
      key.entry == from.name && key.incarnation == from.incarnation;
  if (!own) {
    log_event(events::foreign_key, from.name, to_string(key));
  }
  return own;
}

template <typename Message, typename Take>
void endpoint_process::on_work(Take take) {
  process_.peers.on<Message>(
      [this, take](const peer_id& from, const Message& message) {
        if (owns(from, message.header.key)) {
          take(message);
        }
      });
}

void endpoint_process::take_work() {
  on_work<reserve_request>([this](const auto& m) { manager_.take(m); });
  on_work<prefill_request>([this](const auto& m) { prefill_.take(m); });
  on_work<decode_request>([this](const auto& m) { decode_.take(m); });
  on_work<plain_request>([this](const auto& m) { plain_.take(m); });
}

void endpoint_process::take_control() {
  process_.peers.on<resume_request>(
      [this](const peer_id& from, const resume_request& message) {
        if (owns(from, message.key)) {
          decode_.resume(message);
        }
      });
  process_.peers.on<cancel_request>(
      [this](const peer_id& from, const cancel_request& message) {
        if (owns(from, message.key)) {
          drop(message.key);
        }
      });
  process_.peers.on<load_turn_reply>(
      [this](const peer_id&, const load_turn_reply& reply) {
        orders_.answered(reply);
      });
  process_.peers.on<wanted_attempts>([this](const peer_id& from,
                                            const wanted_attempts& claims) {
    if (from.name == claims.entry && from.incarnation == claims.incarnation) {
      held_.claim(claims, runtime_clock::now());
      decode_.claimed(claims);
    }
  });
}

void endpoint_process::session(const peer_id& peer, bool up) {
  const auto gone =
      held_.session(peer.name, peer.incarnation, up, runtime_clock::now());
  for (const attempt_key& key : gone) {
    drop(key);
  }
  if (up) {
    sessions_.insert(peer.name);
    send_hello(peer.name);
    return;
  }
  sessions_.erase(peer.name);
  for (work_handler* each : work_handlers()) {
    each->session_lost(peer.name);
  }
}

void endpoint_process::configured(const configuration& next) {
  const auto own = std::find_if(
      next.endpoints.begin(), next.endpoints.end(),
      [this](const auto& one) { return one.name == process_.options.process; });
  if (own == next.endpoints.end()) {
    return;
  }
  role_ = own->role;
  wanted_ = shape_of(*own);
  leave(leaving_source::configuration, own->draining);
  if (role_ != endpoint_role::plain && !watching_) {
    watching_ = true;
    watch_.start();
  }
  send_hello_to_all();
}

void endpoint_process::adopt(const engine_info& info,
                             const std::vector<engine_held>& held) {
  const time_point now = runtime_clock::now();
  know(info);
  for (const engine_held& one : held) {
    const auto key = parse_attempt_key(one.id);
    if (!key || !held_.adopt(*key, now)) {
      engine_.cancel(one.id);
      continue;
    }
    manager_.adopt(*key, one.pieces, now);
  }
  log_event(events::engine_found, engine_.address(), held.size());
  send_hello_to_all();
}

void endpoint_process::know(const engine_info& info) {
  info_ = info;
  manager_.set_memory(info);
  orders_.orders().is(
      {info.role, info.model, info.adapter, info.model_version});
}

// Any control replica forwards to the leader; entries may be replicas too.
void endpoint_process::tell_control(const frame& message) {
  for (const std::string& peer : sessions_) {
    process_.peers.send(peer, message).IgnoreError();
  }
}

void endpoint_process::drop(const attempt_key& key) {
  if (manager_.holds(key)) {
    engine_.cancel(to_string(key), [this, key] { manager_.release(key); });
  }
  for (work_handler* each : work_handlers()) {
    each->drop(key);
  }
  held_.end(key, runtime_clock::now());
}

void endpoint_process::leave(leaving_source source, bool leaves) {
  if (leaving_.set(source, leaves)) {
    log_event(events::leaving_changed, leaving_.leaving() ? "leaves" : "stays",
              to_string(source));
    send_hello_to_all();
  }
}

void endpoint_process::read_platform(time_point now) {
  if (!platform_ || now - platform_read_ < platform_poll) {
    return;
  }
  platform_read_ = now;
  const auto list = platform_();
  if (list.ok()) {
    leave(leaving_source::platform_list,
          leaves(*list, process_.options.process));
  }
}

const work_handler& endpoint_process::main_door() const {
  switch (role_) {
    case endpoint_role::prefill:
      return prefill_;
    case endpoint_role::decode:
      return decode_;
    case endpoint_role::plain:
      break;
  }
  return plain_;
}

void endpoint_process::send_hello(const std::string& entry) {
  const auto current = process_.view.current();
  const bool known =
      std::any_of(current->entries.begin(), current->entries.end(),
                  [&](const entry_member& one) { return one.name == entry; });
  if (!known || process_.peers.session_incarnation(entry) == 0) {
    return;
  }
  endpoint_hello hello;
  hello.endpoint = process_.options.process;
  main_door().add_load(hello.load);
  process_.peers.send(entry, make_frame(hello)).IgnoreError();
}

void endpoint_process::send_hello_to_all() {
  const auto current = process_.view.current();
  for (const entry_member& entry : current->entries) {
    send_hello(entry.name);
  }
}

bool endpoint_process::idle() const {
  return prefill_.idle() && decode_.idle() && plain_.idle();
}

void endpoint_process::schedule_tick() {
  timer_.expires_after(idle() ? idle_tick : busy_tick);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      tick();
    }
  });
}

void endpoint_process::tick() {
  const time_point now = runtime_clock::now();
  for (const attempt_key& key : held_.sweep(now)) {
    log_event(events::lease_ended, to_string(key));
    drop(key);
  }
  for (work_handler* each : work_handlers()) {
    each->tick(now);
  }
  read_platform(now);
  if (wanted_ && role_ != endpoint_role::plain) {
    orders_.orders().want(*wanted_, process_.view.fresh(now));
    orders_.tick(now, !leaving_.leaving());
  }
  set_gauges();
  if (drained_ && idle()) {
    const auto done = std::exchange(drained_, nullptr);
    done();
  }
  schedule_tick();
}

void endpoint_process::set_gauges() {
  endpoint_load load;
  main_door().add_load(load);
  metric_registry& metrics = process_.metrics;
  metrics.set("citronwharf_endpoint_pieces_held", {}, manager_.pieces_held());
  metrics.set("citronwharf_endpoint_pieces_free", {}, load.pieces_free);
  metrics.set("citronwharf_endpoint_waiting", {}, load.waiting);
  metrics.set("citronwharf_endpoint_running", {}, load.running);
}

void endpoint_process::drain(std::function<void()> done) {
  drained_ = std::move(done);
  leave(leaving_source::signal, true);
}

}  // namespace

std::unique_ptr<process_role> make_endpoint_role(process_context& process) {
  return std::make_unique<endpoint_process>(process);
}

}  // namespace citronwharf
