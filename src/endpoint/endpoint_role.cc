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

constexpr duration busy_tick_interval = milliseconds(10);
constexpr duration idle_tick_interval = milliseconds(100);
constexpr duration platform_poll_interval = milliseconds(500);

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
        leases_(attempt_lease_options{}),
        handler_context_{process.loop,
                         process.incarnation,
                         engine_,
                         info_,
                         leases_,
                         leaving_,
                         estimator_,
                         process.metrics,
                         process.traces,
                         make_options(process.options),
                         [this](const std::string& entry, const frame& out) {
                           return process_.peers.send(entry, out);
                         }},
        manager_(handler_context_),
        prefill_(handler_context_),
        decode_(handler_context_, manager_),
        plain_(handler_context_, process.options.engine.address),
        engine_watch_(process.loop, engine_, make_watch_handlers()),
        order_runner_(
            process.options.process, engine_,
            [this](const frame& message) { send_to_control(message); },
            [this](const engine_info& info) { update_engine_info(info); }),
        timer_(process.loop) {}

  absl::Status start() override;
  void drain(time_point end, std::function<void()> done) override;
  bool ready() const override { return !leaving_.leaving(); }

 private:
  engine_watch_handlers make_watch_handlers();
  void register_work_messages();
  void register_control_messages();
  template <typename Message, typename Handler>
  void register_work_message(Handler handle);
  bool owns_attempt(const peer_id& from, const attempt_key& key);
  void update_session(const peer_id& peer, bool up);
  void on_configuration(const configuration& next);
  void on_engine_found(const engine_info& info,
                       const std::vector<engine_held>& held);
  void cancel_attempt(const attempt_key& key);
  void update_engine_info(const engine_info& info);
  void send_to_control(const frame& message);
  void set_leaving(leaving_source source, bool requested);
  void poll_platform_list(time_point now);
  void send_hello(const std::string& entry);
  void send_hello_to_all();
  void tick();
  void schedule_tick();
  bool idle() const;
  void set_gauges();
  std::array<work_handler*, 3> work_handlers() {
    return {&prefill_, &decode_, &plain_};
  }
  const work_handler& main_handler() const;

  process_context& process_;
  engine_client engine_;
  engine_info info_;
  attempt_leases leases_;
  leaving_state leaving_;
  rate_estimator estimator_;
  work_handler_context handler_context_;
  reservation_manager manager_;
  prefill_handler prefill_;
  decode_handler decode_;
  plain_handler plain_;
  engine_watch engine_watch_;
  order_runner order_runner_;
  std::set<std::string> connected_peers_;
  runtime_timer timer_;
  endpoint_role role_ = endpoint_role::plain;
  std::optional<engine_configuration> wanted_configuration_;
  bool watch_started_ = false;
  platform_source read_platform_list_;
  time_point last_platform_poll_{};
  std::int64_t wasted_tokens_ = 0;
  std::function<void()> on_drained_;
};

engine_watch_handlers endpoint_process::make_watch_handlers() {
  engine_watch_handlers handlers;
  handlers.on_found = [this](const engine_info& info, const auto& held) {
    on_engine_found(info, held);
  };
  handlers.on_changed = [this](const engine_info& info) {
    if (info.incarnation != info_.incarnation) {
      log_event(events::engine_restarted, engine_.address());
    }
    update_engine_info(info);
  };
  handlers.on_load = [this](const engine_load& load) {
    const auto newly_wasted = load.wasted_tokens - wasted_tokens_;
    wasted_tokens_ = load.wasted_tokens;
    process_.metrics.add(
        "citronwharf_endpoint_wasted_prefill_tokens_total", {},
        static_cast<double>(std::max<std::int64_t>(0, newly_wasted)));
  };
  return handlers;
}

absl::Status endpoint_process::start() {
  if (process_.options.engine.address.empty()) {
    return absl::InvalidArgumentError(
        "/engine/address is required by role endpoint");
  }
  if (!process_.options.engine.platform_list.empty()) {
    read_platform_list_ =
        make_platform_file_source(process_.options.engine.platform_list);
  }
  register_work_messages();
  register_control_messages();
  process_.peers.on_session(
      [this](const peer_id& peer, bool up) { update_session(peer, up); });
  process_.view.subscribe(
      [this](const configuration& next) { on_configuration(next); });
  on_configuration(*process_.view.current());
  schedule_tick();
  return absl::OkStatus();
}

bool endpoint_process::owns_attempt(const peer_id& from,
                                    const attempt_key& key) {
  const bool own =
      key.entry == from.name && key.incarnation == from.incarnation;
  if (!own) {
    log_event(events::foreign_key, from.name, to_string(key));
  }
  return own;
}

template <typename Message, typename Handler>
void endpoint_process::register_work_message(Handler handle) {
  process_.peers.on<Message>(
      [this, handle](const peer_id& from, const Message& message) {
        if (owns_attempt(from, message.header.key)) {
          handle(message);
        }
      });
}

void endpoint_process::register_work_messages() {
  register_work_message<reserve_request>(
      [this](const auto& m) { manager_.handle(m); });
  register_work_message<prefill_request>(
      [this](const auto& m) { prefill_.handle(m); });
  register_work_message<decode_request>(
      [this](const auto& m) { decode_.handle(m); });
  register_work_message<plain_request>(
      [this](const auto& m) { plain_.handle(m); });
}

void endpoint_process::register_control_messages() {
  process_.peers.on<resume_request>(
      [this](const peer_id& from, const resume_request& message) {
        if (owns_attempt(from, message.key)) {
          decode_.resume(message);
        }
      });
  process_.peers.on<cancel_request>(
      [this](const peer_id& from, const cancel_request& message) {
        if (owns_attempt(from, message.key)) {
          cancel_attempt(message.key);
        }
      });
  process_.peers.on<load_turn_reply>(
      [this](const peer_id&, const load_turn_reply& reply) {
        order_runner_.on_turn_reply(reply);
      });
  process_.peers.on<wanted_attempts>([this](const peer_id& from,
                                            const wanted_attempts& claims) {
    if (from.name == claims.entry && from.incarnation == claims.incarnation) {
      leases_.claim(claims, runtime_clock::now());
      decode_.on_claims(claims);
    }
  });
}

void endpoint_process::update_session(const peer_id& peer, bool up) {
  const auto to_cancel = leases_.update_session(peer.name, peer.incarnation, up,
                                                runtime_clock::now());
  for (const attempt_key& key : to_cancel) {
    cancel_attempt(key);
  }
  if (up) {
    connected_peers_.insert(peer.name);
    send_hello(peer.name);
    return;
  }
  connected_peers_.erase(peer.name);
  for (work_handler* handler : work_handlers()) {
    handler->session_lost(peer.name);
  }
}

void endpoint_process::on_configuration(const configuration& next) {
  const auto own =
      std::find_if(next.endpoints.begin(), next.endpoints.end(),
                   [this](const auto& candidate) {
                     return candidate.name == process_.options.process;
                   });
  if (own == next.endpoints.end()) {
    return;
  }
  role_ = own->role;
  wanted_configuration_ = engine_configuration_of(*own);
  set_leaving(leaving_source::configuration, own->draining);
  if (role_ != endpoint_role::plain && !watch_started_) {
    watch_started_ = true;
    engine_watch_.start();
  }
  send_hello_to_all();
}

void endpoint_process::on_engine_found(const engine_info& info,
                                       const std::vector<engine_held>& held) {
  const time_point now = runtime_clock::now();
  update_engine_info(info);
  for (const engine_held& held_request : held) {
    const auto key = parse_attempt_key(held_request.id);
    if (!key || !leases_.adopt(*key, now)) {
      engine_.cancel(held_request.id);
      continue;
    }
    manager_.adopt(*key, held_request.pieces, now);
  }
  log_event(events::engine_found, engine_.address(), held.size());
  send_hello_to_all();
}

void endpoint_process::update_engine_info(const engine_info& info) {
  info_ = info;
  manager_.set_memory(info);
  order_runner_.orders().set_present(
      {info.role, info.model, info.adapter, info.model_version});
}

// Sends to all peers: any control replica forwards to the leader, and an entry
// process may also be a control replica.
void endpoint_process::send_to_control(const frame& message) {
  for (const std::string& peer : connected_peers_) {
    process_.peers.send(peer, message).IgnoreError();
  }
}

void endpoint_process::cancel_attempt(const attempt_key& key) {
  if (manager_.is_adopted(key)) {
    engine_.cancel(to_string(key), [this, key] { manager_.release(key); });
  }
  for (work_handler* handler : work_handlers()) {
    handler->cancel_attempt(key);
  }
  leases_.end(key, runtime_clock::now());
}

void endpoint_process::set_leaving(leaving_source source, bool requested) {
  if (leaving_.set(source, requested)) {
    log_event(events::leaving_changed, leaving_.leaving() ? "leaves" : "stays",
              to_string(source));
    send_hello_to_all();
  }
}

void endpoint_process::poll_platform_list(time_point now) {
  if (!read_platform_list_ ||
      now - last_platform_poll_ < platform_poll_interval) {
    return;
  }
  last_platform_poll_ = now;
  const auto list = read_platform_list_();
  if (list.ok()) {
    set_leaving(leaving_source::platform_list,
                lists_as_leaving(*list, process_.options.process));
  }
}

const work_handler& endpoint_process::main_handler() const {
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
  const bool is_entry = std::any_of(
      current->entries.begin(), current->entries.end(),
      [&](const entry_member& member) { return member.name == entry; });
  if (!is_entry || process_.peers.session_incarnation(entry) == 0) {
    return;
  }
  endpoint_hello hello;
  hello.endpoint = process_.options.process;
  main_handler().add_load(hello.load);
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
  timer_.expires_after(idle() ? idle_tick_interval : busy_tick_interval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      tick();
    }
  });
}

void endpoint_process::tick() {
  const time_point now = runtime_clock::now();
  for (const attempt_key& key : leases_.sweep(now)) {
    log_event(events::lease_ended, to_string(key));
    cancel_attempt(key);
  }
  for (work_handler* handler : work_handlers()) {
    handler->tick(now);
  }
  poll_platform_list(now);
  if (wanted_configuration_ && role_ != endpoint_role::plain) {
    order_runner_.orders().set_wanted(*wanted_configuration_,
                                      process_.view.fresh(now));
    order_runner_.tick(now, !leaving_.leaving());
  }
  set_gauges();
  if (on_drained_ && idle()) {
    const auto done = std::exchange(on_drained_, nullptr);
    done();
  }
  schedule_tick();
}

void endpoint_process::set_gauges() {
  endpoint_load load;
  main_handler().add_load(load);
  metric_registry& metrics = process_.metrics;
  metrics.set("citronwharf_endpoint_pieces_held", {}, manager_.pieces_held());
  metrics.set("citronwharf_endpoint_pieces_free", {}, load.pieces_free);
  metrics.set("citronwharf_endpoint_waiting", {}, load.waiting);
  metrics.set("citronwharf_endpoint_running", {}, load.running);
}

void endpoint_process::drain(time_point /*end*/, std::function<void()> done) {
  on_drained_ = std::move(done);
  set_leaving(leaving_source::signal, true);
}

}  // namespace

std::unique_ptr<process_role> make_endpoint_role(process_context& process) {
  return std::make_unique<endpoint_process>(process);
}

}  // namespace citronwharf
