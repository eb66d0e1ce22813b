#include "gateway/gateway_role.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <random>
#include <utility>

#include "gateway/admission_filter.h"
#include "gateway/allowance_client.h"
#include "gateway/directory_sync.h"
#include "gateway/evacuated_servers.h"
#include "gateway/forward.h"
#include "gateway/operator_api.h"
#include "gateway/quarantine_sync.h"
#include "gateway/serving_time.h"
#include "gateway/stage_controller.h"
#include "gateway/startup_queue.h"
#include "gateway/urgency.h"
#include "gateway/warm_up.h"
#include "net/connection_check.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

constexpr int status_ok = 200;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
constexpr int status_not_found = 404;
// Large enough for an operator's configuration with several hundred routes.
constexpr std::size_t max_configuration_bytes = 16U << 20U;
// Load balancers ask for readiness once a second, without a body.
constexpr std::size_t max_readiness_connections = 64;
constexpr std::size_t max_readiness_bytes = 2U << 20U;
// What forwarding keeps of a request: its state, the head that is sent, a
// connection to a server and its buffers.
constexpr std::size_t request_state_bytes = 16U << 10U;
// Share of its latency objective for which a request may wait for its
// allowance; the rest is left for its server. A generation may wait longer,
// since its prompt is read within a few tenths of the objective.
constexpr double max_allowance_wait_share = 0.25;
constexpr double max_generation_allowance_wait_share = 0.65;
// Time before the end of a draining process at which the last requests in
// progress are answered, so that the responses reach their callers.
constexpr duration last_response_margin = milliseconds(250);
// A server that ended refuses a connection at once.
constexpr duration end_check_timeout = milliseconds(200);
// Another process may serve the request at once.
constexpr duration retry_while_draining{};
// Callers that are refused for want of a configuration may retry after this.
constexpr duration retry_without_configuration = milliseconds(300);

retry_budget_options make_retry_budget_options(const gateway_settings& in) {
  retry_budget_options out;
  out.ratio = in.retry_ratio;
  out.slack = in.retry_slack;
  out.window = seconds(in.retry_window_s);
  return out;
}

server_list_options make_server_options(
    const settings& in,
    std::function<bool(const std::string& server, time_point now)> is_cold) {
  server_list_options out;
  out.failure_domain = in.failure_domain;
  out.is_cold = std::move(is_cold);
  return out;
}

directory_schedule_options make_schedule_options(const gateway_settings& in) {
  directory_schedule_options out;
  out.fallback_interval = milliseconds(in.directory_interval_ms);
  return out;
}

class gateway_role final : public process_role {
 public:
  gateway_role(process_context& process, gateway_codec codec)
      : process_(process),
        codec_(std::move(codec)),
        random_(process.incarnation),
        pool_(process.loop, {}),
        servers_(make_server_options(
                     process.options,
                     [this](const std::string& server, time_point now) {
                       return is_cold(server, now);
                     }),
                 process.incarnation),
        budget_(make_retry_budget_options(process.options.gateway),
                runtime_clock::now(),
                std::uniform_real_distribution<double>(0, 1)(random_)),
        cluster_(process,
                 [this](const published_document& in) { on_document(in); }),
        evacuations_(process, cluster_),
        allowances_(
            process.loop, process.peers, cluster_, process.incarnation,
            [this](const std::string& account) { return limit_of(account); }),
        directory_(process, cluster_, codec_, pool_,
                   make_schedule_options(process.options.gateway)),
        placement_(process, cluster_,
                   {[this](const std::string& engine, double requests) {
                      return has_requests(engine, requests);
                    },
                    [this](const std::string& engine, double requests) {
                      take_requests_as_leader(engine, requests);
                    },
                    [this](const std::string& engine) {
                      return is_cold(engine, runtime_clock::now());
                    }}),
        health_(
            process, cluster_, [this] { return servers_.all(); }, limits_,
            warm_up_),
        versions_(process, cluster_),
        stages_(process, cluster_, codec_, pool_, servers_, placement_, limits_,
                [this] { return engine_profiles(); }),
        routing_table_(
            std::make_shared<const routing_table>(gateway_configuration{})),
        quarantine_sync_(process, cluster_, quarantine_),
        end_check_(quarantine_,
                   [&loop = process.loop](const std::string& address,
                                          std::function<void(bool)> done) {
                     check_refused(loop, address, end_check_timeout,
                                   std::move(done));
                   }),
        context_{process.loop,
                 codec_,
                 pool_,
                 servers_,
                 budget_,
                 process.metrics,
                 placement_,
                 health_,
                 memory_queues_,
                 random_,
                 responses_,
                 process.options.failure_domain,
                 [this] { return cluster_.follower().processes(); },
                 [this] { return document_age(); },
                 [this](const std::string& organisation,
                        const allowance_grant& grant) {
                   allowances_.return_tokens(organisation_account(organisation),
                                             grant);
                 },
                 quarantine_,
                 end_check_,
                 [&peers = process.peers](const std::string& text) {
                   return peers.make_mac(text);
                 },
                 limits_,
                 versions_,
                 [this](const std::string& server, double requests,
                        duration max_wait,
                        std::function<void(bool, duration)> done) {
                   take_server_requests(server, requests, max_wait,
                                        std::move(done));
                 }},
        startup_queue_(
            process.loop, {},
            [this] { return can_route(runtime_clock::now()); },
            [this](admitted_request request) { filter(std::move(request)); }),
        drain_timer_(process.loop),
        work_end_timer_(process.loop) {}

  absl::Status start() override;
  void drain(time_point end, std::function<void()> done) override;
  bool ready() const override {
    return !draining_ && can_route(runtime_clock::now());
  }
  std::map<std::string, std::uint16_t> ports() const override { return ports_; }
  void reload(const settings& options) override {
    cluster_.set_seeds(options.gateway.seeds);
  }

 private:
  /// Returns whether the configuration and the servers are known and the
  /// configuration is fresh.
  bool can_route(time_point now) const {
    return routing_table_->version() != 0 && !servers_.empty() &&
           cluster_.follower().fresh(now);
  }
  /// Returns false while a process that has just started may hold an older set
  /// of evacuated domains than the members. One that hears from no majority for
  /// the startup timeout is cut off, and serves by its own view.
  bool may_know_evacuations(time_point now) const {
    return cluster_.follower().was_confirmed() ||
           !startup_queue_.is_starting(now);
  }
  absl::Status listen(std::unique_ptr<http_server>& server,
                      const std::string& name, const http_server_options& with,
                      http_server::handler handler);
  absl::Status listen_for_callers();
  void on_document(const published_document& in);
  void on_evacuations(const evacuation_set& in);
  void update_servers();
  void on_outlier(const outlier_notice& in);
  bool on_server_leaving(const std::string& server);
  void receive(http_request message, std::unique_ptr<http_exchange> exchange);
  void check_head(const http_request& head,
                  std::unique_ptr<http_exchange>& exchange);
  void on_memory_refusal();
  void filter(admitted_request request);
  void request_allowance(admitted_request request,
                         const gateway_organisation& payer);
  duration max_allowance_wait(const admitted_request& request) const;
  void on_allowance(std::uint64_t wait, double tokens,
                    const allowance_answer& answer);
  bool can_end_in_time(const admitted_request& request) const;
  time_point latest_start(const admitted_request& request) const;
  void refuse_while_draining(admitted_request& request);
  resolution resolve(const filter_result& found, const caller_request& caller);
  void refuse(admitted_request& request, const filter_refusal& refusal);
  bool refuse_quarantined(admitted_request& request);
  void filter_again(const std::shared_ptr<admitted_request>& held);
  void start_forward(admitted_request request);
  std::string choose_service(const gateway_route& route,
                             const caller_request& caller);
  account_limit limit_of(const std::string& account) const;
  bool is_cold(const std::string& server, time_point now) const {
    return warm_up_.rate(server, now).has_value();
  }
  bool has_requests(const std::string& engine, double requests);
  void take_requests_as_leader(const std::string& engine, double requests);
  void take_server_requests(const std::string& server, double requests,
                            duration max_wait,
                            std::function<void(bool, duration)> done);
  std::map<std::string, engine_profile> engine_profiles() const;
  duration document_age() const;
  void answer_last_requests();
  void finish_drain_if_idle();

  process_context& process_;
  gateway_codec codec_;
  std::mt19937_64 random_;
  http_pool pool_;
  server_list servers_;
  retry_budget budget_;
  document_cluster cluster_;
  evacuation_orders evacuations_;
  evacuated_servers listed_servers_;
  warm_up warm_up_;
  // All that limits a server's requests goes by these limits.
  server_limits limits_{{}, [this](const std::string& server, time_point now) {
                          return warm_up_.rate(server, now);
                        }};
  allowance_client allowances_;
  directory_sync directory_;
  placement_client placement_;
  health_sync health_;
  stream_versions versions_;
  stage_controller stages_;
  std::shared_ptr<const routing_table> routing_table_;
  std::map<std::string, memory_queue> memory_queues_;
  response_memory_budget responses_;
  prompt_quarantine quarantine_;
  quarantine_sync quarantine_sync_;
  server_end_check end_check_;
  forward_context context_;
  std::unique_ptr<http_server> callers_;
  std::unique_ptr<http_server> readiness_;
  std::unique_ptr<http_server> operators_;
  std::map<std::string, std::uint16_t> ports_;
  std::size_t evacuated_ = 0;  // listed servers
  std::uint64_t last_forward_ = 0;
  std::map<std::uint64_t, std::unique_ptr<request_forwarder>> forwards_;
  startup_queue startup_queue_;
  std::uint64_t last_wait_ = 0;
  // Shared because std::function requires copyable closures.
  std::map<std::uint64_t, std::shared_ptr<admitted_request>>
      waiting_for_allowance_;
  bool draining_ = false;
  // When the requests in progress are answered. Precondition: draining_.
  time_point work_end_{};
  // Balancers have had time to notice the drain; no connections are accepted.
  bool drain_announced_ = false;
  runtime_timer drain_timer_;
  runtime_timer work_end_timer_;
  time_point next_memory_event_{};
  std::function<void()> on_drained_;
};

absl::Status gateway_role::listen(std::unique_ptr<http_server>& server,
                                  const std::string& name,
                                  const http_server_options& with,
                                  http_server::handler handler) {
  server =
      std::make_unique<http_server>(process_.loop, with, std::move(handler));
  const auto port = server->listen();
  if (port.ok()) {
    ports_[name] = *port;
  }
  return port.status();
}

absl::Status gateway_role::listen_for_callers() {
  const limit_settings& limits = process_.options.limits;
  http_server_options options;
  options.listen = process_.options.listen.callers;
  options.max_connections = max_caller_connections(limits);
  options.max_header_bytes = static_cast<std::size_t>(limits.max_header_bytes);
  options.max_body_bytes = static_cast<std::size_t>(limits.max_body_bytes);
  options.read_timeout = milliseconds(limits.read_timeout_ms);
  options.idle_timeout = milliseconds(limits.idle_timeout_ms);
  options.write_timeout = milliseconds(limits.write_timeout_ms);
  options.max_buffered_bytes = max_buffered_bytes(limits);
  options.handler_bytes = request_state_bytes;
  options.on_head = [this](const http_request& head,
                           std::unique_ptr<http_exchange>& exchange) {
    check_head(head, exchange);
  };
  options.on_memory_refusal = [this] { on_memory_refusal(); };
  return listen(
      callers_, "callers", options,
      [this](http_request request, std::unique_ptr<http_exchange> exchange) {
        receive(std::move(request), std::move(exchange));
      });
}

absl::Status gateway_role::start() {
  startup_queue_.start(runtime_clock::now());
  http_server_options readiness_options;
  readiness_options.listen = process_.options.gateway.readiness;
  readiness_options.max_connections = max_readiness_connections;
  readiness_options.max_body_bytes = 0;
  readiness_options.max_buffered_bytes = max_readiness_bytes;
  absl::Status started = listen(
      readiness_, "readiness", readiness_options,
      [this](const http_request& request,
             std::unique_ptr<http_exchange> exchange) {
        const int status = !codec_.asks_readiness(request) ? status_not_found
                           : ready()                       ? status_ok
                                                           : status_unavailable;
        exchange->respond(json_response(status, "{}"));
      });
  if (!started.ok()) {
    return started;
  }
  http_server_options operator_options;
  operator_options.listen = process_.options.gateway.operators;
  operator_options.max_body_bytes = max_configuration_bytes;
  operator_options.max_buffered_bytes =
      max_buffered_bytes(process_.options.limits);
  started = listen(operators_, "operators", operator_options,
                   make_operator_handler(codec_, cluster_, evacuations_));
  if (!started.ok()) {
    return started;
  }
  started = listen_for_callers();
  if (!started.ok()) {
    return started;
  }
  directory_.start([this](const std::vector<listed_server>& listed) {
    listed_servers_.set_listed(listed);
    warm_up_.set_servers(listed, runtime_clock::now());
    update_servers();
  });
  cluster_.follower().on_evacuations(
      [this](const evacuation_set& in) { on_evacuations(in); });
  evacuations_.start();
  placement_.start();
  versions_.start();
  health_.start(
      [this](const outlier_notice& in) { on_outlier(in); },
      [this](const std::string& server) { return on_server_leaving(server); });
  stages_.start();
  quarantine_sync_.start();
  cluster_.start();
  process_.metrics.before_page([this](metric_registry& metrics) {
    metrics.set("citronwharf_gateway_fleet_processes", {},
                static_cast<double>(cluster_.follower().processes()));
    metrics.set("citronwharf_gateway_buffered_bytes", {},
                static_cast<double>(callers_->buffered_bytes()));
  });
  return started;
}

void gateway_role::on_evacuations(const evacuation_set& in) {
  process_.metrics.set("citronwharf_gateway_evacuated_domains", {},
                       static_cast<double>(in.domains.size()));
  for (const std::string& domain : listed_servers_.domains()) {
    if (in.domains.count(domain) == 0) {
      warm_up_.on_domain_restored(domain, runtime_clock::now());
    }
  }
  if (listed_servers_.set_domains(in.domains)) {
    update_servers();
  }
}

void gateway_role::update_servers() {
  const std::vector<listed_server> listed = listed_servers_.marked();
  if (servers_.replace(listed, runtime_clock::now())) {
    log_event(events::directory_read, servers_.size(), servers_.leaving());
  }
  placement_.set_engines(servers_.all());
  versions_.set_servers(listed);
  const auto evacuated = static_cast<std::size_t>(
      std::count_if(listed.begin(), listed.end(),
                    [](const listed_server& each) { return each.evacuated; }));
  if (std::exchange(evacuated_, evacuated) != evacuated) {
    log_event(events::servers_evacuated, evacuated, listed.size());
  }
  process_.metrics.set("citronwharf_gateway_evacuated_servers", {},
                       static_cast<double>(evacuated));
}

// The document was validated before it was published, but a process that runs
// an older release may not be able to read all of it.
void gateway_role::on_document(const published_document& in) {
  auto read = codec_.read_configuration(in.text);
  if (!read.ok()) {
    log_event(events::settings_reloaded, "configuration",
              read.status().ToString());
    return;
  }
  routing_table_ = std::make_shared<const routing_table>(*std::move(read));
  warm_up_.set_services(routing_table_->configuration().services);
  for (const auto& [service, profile] : engine_profiles()) {
    placement_.set_profile(service, profile);
  }
  process_.metrics.set("citronwharf_gateway_configuration_version", {},
                       static_cast<double>(in.version));
}

void gateway_role::on_outlier(const outlier_notice& in) {
  const duration span = milliseconds(in.span_ms);
  servers_.mark_outlier(in.server, span, runtime_clock::now());
  placement_.mark_outlier(in.server, span);
}

bool gateway_role::on_server_leaving(const std::string& server) {
  if (!servers_.leaves(server, runtime_clock::now())) {
    return false;
  }
  placement_.set_engines(servers_.all());
  return true;
}

account_limit gateway_role::limit_of(const std::string& account) const {
  if (const auto server = find_server(account)) {
    const auto rate = limits_.rate(*server, runtime_clock::now());
    return {to_server_allowance(rate.value_or(unlimited_rate)), true};
  }
  const auto organisation = find_organisation(account);
  const gateway_organisation* found =
      organisation ? routing_table_->find_organisation_by_name(*organisation)
                   : nullptr;
  return {found == nullptr
              ? to_allowance(0, 0)
              : to_allowance(found->tokens_per_second, found->burst_tokens)};
}

bool gateway_role::has_requests(const std::string& engine, double requests) {
  return !limits_.rate(engine, runtime_clock::now()) ||
         allowances_.has_tokens(server_account(engine), requests);
}

void gateway_role::take_requests_as_leader(const std::string& engine,
                                           double requests) {
  if (limits_.rate(engine, runtime_clock::now())) {
    allowances_.take_as_leader(server_account(engine), requests);
  }
}

void gateway_role::take_server_requests(
    const std::string& server, double requests, duration max_wait,
    std::function<void(bool, duration)> done) {
  allowances_.take(
      server_account(server), requests, 0, max_wait,
      [this, done = std::move(done)](const allowance_answer& answer) {
        process_.metrics.add(
            "citronwharf_gateway_limited_requests_total",
            {{"source", answer.source},
             {"outcome", answer.granted ? "granted" : "refused"}});
        done(answer.granted, answer.wait);
      });
}

std::map<std::string, engine_profile> gateway_role::engine_profiles() const {
  std::map<std::string, engine_profile> out;
  for (const gateway_service& each : routing_table_->configuration().services) {
    if (each.engine) {
      out[each.name] = *each.engine;
    }
  }
  return out;
}

// Returns the time since a majority last confirmed the document.
duration gateway_role::document_age() const {
  const document_follower_options defaults;
  const time_point confirmed =
      cluster_.follower().fresh_until() - defaults.lease;
  return runtime_clock::now() - confirmed;
}

void gateway_role::receive(http_request message,
                           std::unique_ptr<http_exchange> exchange) {
  admitted_request request;
  request.received = runtime_clock::now();
  // Attempts send it from here instead of from copies.
  message.shared_body =
      std::make_shared<const std::string>(std::move(message.body));
  message.body.clear();
  request.caller = codec_.read_request(std::move(message));
  request.exchange = std::move(exchange);
  filter(std::move(request));
}

// Refuses a request of unknown key or route before its body is read. Refusals
// that a moment may change wait for the body, as does a request that is held at
// the start of the process.
void gateway_role::check_head(const http_request& head,
                              std::unique_ptr<http_exchange>& exchange) {
  admitted_request request;
  request.received = runtime_clock::now();
  request.caller = codec_.read_request(head);
  const filter_result found =
      apply_filters(*routing_table_, request.caller,
                    cluster_.follower().fresh(request.received));
  if (found.refusal && !found.refusal->retryable) {
    request.exchange = std::move(exchange);
    request.resolved = resolve(found, request.caller);
    refuse(request, *found.refusal);
  }
}

void gateway_role::on_memory_refusal() {
  process_.metrics.add("citronwharf_gateway_memory_refusals_total", {});
  // Under attack there are many; one event tells of it.
  constexpr duration log_interval = seconds(10);
  const time_point now = runtime_clock::now();
  if (now >= next_memory_event_) {
    next_memory_event_ = now + log_interval;
    log_event(events::memory_refusals, callers_->buffered_bytes(),
              callers_->connections());
  }
}

void gateway_role::filter(admitted_request request) {
  const time_point now = runtime_clock::now();
  filter_result found = apply_filters(*routing_table_, request.caller,
                                      cluster_.follower().fresh(now));
  if (!found.refusal && !may_know_evacuations(now)) {
    found.refusal =
        filter_refusal{status_unavailable, "evacuations_not_known", true};
  }
  if (!can_route(now) && startup_queue_.admits(request, now) &&
      (!found.refusal || found.refusal->retryable)) {
    startup_queue_.hold(std::move(request));
    return;
  }
  request.resolved = resolve(found, request.caller);
  if (found.refusal) {
    refuse(request, *found.refusal);
    return;
  }
  const milliseconds route_limit(found.route->timeout_ms);
  request.deadline =
      request.received +
      std::min(route_limit, request.caller.deadline.value_or(route_limit));
  if (!can_end_in_time(request)) {
    refuse_while_draining(request);
    return;
  }
  if (refuse_quarantined(request)) {
    return;
  }
  if (found.organisation == nullptr ||
      found.organisation->tokens_per_second <= 0) {
    start_forward(std::move(request));
    return;
  }
  request_allowance(std::move(request), *found.organisation);
}

resolution gateway_role::resolve(const filter_result& found,
                                 const caller_request& caller) {
  return {routing_table_, found,
          found.refusal ? "" : choose_service(*found.route, caller)};
}

void gateway_role::refuse(admitted_request& request,
                          const filter_refusal& refusal) {
  const auto wait = refusal.retryable
                        ? std::optional<duration>(retry_without_configuration)
                        : std::nullopt;
  send_refusal(context_, request, refusal.status, refusal.reason, wait);
}

// Refuses the request before it takes any allowance.
bool gateway_role::refuse_quarantined(admitted_request& request) {
  const auto refusal = find_quarantine(context_, request);
  if (!refusal) {
    return false;
  }
  send_refusal(
      context_, request, status_unavailable, refusal->reason,
      suggest_retry_after(refusal->left,
                          request.deadline - runtime_clock::now(), random_));
  return true;
}

// Where the routes of a service differ in rank, a generation leaves the time
// for its own prompt.
duration gateway_role::max_allowance_wait(
    const admitted_request& request) const {
  const gateway_route& route = request.resolved.route();
  const milliseconds objective(route.objective_ms);
  if (route.stream && request.resolved.has_ranks()) {
    return max_generation_wait(
        objective,
        placement_.predicted_prefill(request.resolved.service_name(),
                                     request.caller.prompt_tokens.value_or(0)));
  }
  return std::chrono::duration_cast<duration>(
      objective * (route.stream ? max_generation_allowance_wait_share
                                : max_allowance_wait_share));
}

void gateway_role::request_allowance(admitted_request request,
                                     const gateway_organisation& payer) {
  const double tokens = allowance_tokens(payer, request.caller);
  const auto held = std::make_shared<admitted_request>(std::move(request));
  const std::uint64_t wait = ++last_wait_;
  waiting_for_allowance_[wait] = held;
  duration max_wait = max_allowance_wait(*held);
  // Requests to plain services take few tokens and are not ordered.
  const std::int64_t urgency =
      held->resolved.route().stream ? held->resolved.urgency() : 0;
  if (draining_) {
    const duration until_start = latest_start(*held) - runtime_clock::now();
    max_wait = std::clamp(until_start, duration{}, max_wait);
  }
  allowances_.take(organisation_account(held->resolved.organisation()), tokens,
                   urgency, max_wait,
                   [this, wait, tokens](const allowance_answer& answer) {
                     on_allowance(wait, tokens, answer);
                   });
}

void gateway_role::on_allowance(std::uint64_t wait, double tokens,
                                const allowance_answer& answer) {
  const std::shared_ptr<admitted_request> held =
      std::move(waiting_for_allowance_.at(wait));
  waiting_for_allowance_.erase(wait);
  if (held->exchange == nullptr) {
    // Refused at the end of a drain.
    if (answer.granted) {
      held->granted = {tokens, answer.by_leader, runtime_clock::now()};
      refund_allowance(context_, *held);
    }
    return;
  }
  held->trail += fmt::format(
      "{}allowance({},{},tokens={},waited_ms={},wait_ms={})",
      held->trail.empty() ? "" : " ", answer.granted ? "granted" : "refused",
      answer.source, tokens,
      std::chrono::duration_cast<milliseconds>(answer.waited).count(),
      std::chrono::duration_cast<milliseconds>(answer.wait).count());
  if (!answer.granted) {
    duration retry_after = answer.wait;
    if (held->resolved.has_ranks()) {
      retry_after = spread_retry_wait(
          answer.wait, held->deadline - runtime_clock::now(),
          std::uniform_real_distribution<double>(0, 1)(random_));
    }
    send_refusal(context_, *held, status_too_many, "over_allowance",
                 retry_after);
    finish_drain_if_idle();
    return;
  }
  process_.metrics.add("citronwharf_gateway_allowance_tokens_total",
                       {{"source", answer.source}}, tokens);
  held->granted = {tokens, answer.by_leader, runtime_clock::now()};
  if (!can_end_in_time(*held)) {
    refuse_while_draining(*held);
    return;
  }
  if (held->resolved.belongs_to(routing_table_) &&
      cluster_.follower().fresh(runtime_clock::now())) {
    start_forward(std::move(*held));
  } else {
    filter_again(held);
  }
}

// For a request that waited for its allowance while the configuration changed
// or ceased to be fresh. The grant stays valid unless the request is refused
// now or belongs to another organisation; then the tokens are returned.
void gateway_role::filter_again(const std::shared_ptr<admitted_request>& held) {
  const filter_result found =
      apply_filters(*routing_table_, held->caller,
                    cluster_.follower().fresh(runtime_clock::now()));
  const std::string granted_to = held->resolved.organisation();
  const bool same_organisation = !found.refusal &&
                                 found.organisation != nullptr &&
                                 found.organisation->name == granted_to;
  if (same_organisation) {
    held->resolved = resolve(found, held->caller);
    start_forward(std::move(*held));
    return;
  }
  refund_allowance(context_, *held);
  held->granted = {};
  filter(std::move(*held));
  finish_drain_if_idle();
}

time_point gateway_role::latest_start(const admitted_request& request) const {
  const gateway_route& route = request.resolved.route();
  const gateway_service& service = request.resolved.service();
  // Load balancers send callers here until they have noticed the drain, so what
  // is likely to end in time is served. Later requests are few, and must not be
  // cut off.
  return work_end_ -
         (drain_announced_
              ? max_serving_time(route, service, request.caller)
              : expected_serving_time(route, service, request.caller));
}

bool gateway_role::can_end_in_time(const admitted_request& request) const {
  return !draining_ || runtime_clock::now() <= latest_start(request);
}

void gateway_role::refuse_while_draining(admitted_request& request) {
  refund_allowance(context_, request);
  send_refusal(context_, request, status_unavailable, "draining",
               retry_while_draining);
}

void gateway_role::start_forward(admitted_request request) {
  const std::string service = request.resolved.service_name();
  budget_.request(service, request.received, runtime_clock::now());
  process_.metrics.add("citronwharf_gateway_service_requests_total",
                       {{"service", service}});
  const bool stream = request.resolved.route().stream;
  auto created = stream ? make_stream_forwarder(context_, std::move(request))
                        : make_plain_forwarder(context_, std::move(request));
  const std::uint64_t id = ++last_forward_;
  request_forwarder& started = *(forwards_[id] = std::move(created));
  if (draining_) {
    started.end_by(work_end_);
  }
  started.start([this, id] {
    forwards_.erase(id);
    finish_drain_if_idle();
  });
}

// All attempts to resume a stream choose the service that began it, at any
// process, as long as the weights stay the same.
std::string gateway_role::choose_service(const gateway_route& route,
                                         const caller_request& caller) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  std::int64_t total = 0;
  for (const weighted_service& each : route.services) {
    total += each.weight;
  }
  const std::string& began_as =
      caller.resumes.empty() ? caller.id : caller.resumes;
  std::mt19937_64 random(
      began_as.empty() ? random_() : hash_stream(context_.hash, "", began_as));
  std::uniform_int_distribution<std::int64_t> draw(0, total - 1);
  std::int64_t left = draw(random);
  for (const weighted_service& each : route.services) {
    left -= each.weight;
    if (left < 0) {
      return each.service;
    }
  }
  return route.services.back().service;
}

// Accepts connections until balancers have had time to notice the drain.
// Meanwhile each response closes its connection, so that the caller's next
// request uses another one.
void gateway_role::drain(time_point end, std::function<void()> done) {
  draining_ = true;
  cluster_.leave();
  work_end_ = end - last_response_margin;
  on_drained_ = std::move(done);
  callers_->close_after_responses();
  for (const auto& [id, forward] : forwards_) {
    forward->end_by(work_end_);
  }
  work_end_timer_.expires_at(work_end_);
  work_end_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      answer_last_requests();
    }
  });
  drain_timer_.expires_after(
      milliseconds(process_.options.gateway.drain_announce_ms));
  drain_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      drain_announced_ = true;
      callers_->stop_accepting();
      finish_drain_if_idle();
    }
  });
}

// Answers the requests that are not forwarded. Those that are end by
// themselves.
void gateway_role::answer_last_requests() {
  startup_queue_.close();
  for (const auto& [wait, held] : waiting_for_allowance_) {
    refuse_while_draining(*held);
  }
  callers_->refuse_unread();
}

void gateway_role::finish_drain_if_idle() {
  if (drain_announced_ && on_drained_ && forwards_.empty() &&
      waiting_for_allowance_.empty() && startup_queue_.empty() &&
      callers_->connections() == 0) {
    const auto done = std::move(on_drained_);
    on_drained_ = nullptr;
    done();
    return;
  }
  if (drain_announced_ && on_drained_) {
    // Responses are still being written.
    constexpr duration recheck_interval = milliseconds(20);
    drain_timer_.expires_after(recheck_interval);
    drain_timer_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        finish_drain_if_idle();
      }
    });
  }
}

}  // namespace

std::unique_ptr<process_role> make_gateway_role(process_context& process,
                                                gateway_codec codec) {
  return std::make_unique<gateway_role>(process, std::move(codec));
}

}  // namespace citronwharf
