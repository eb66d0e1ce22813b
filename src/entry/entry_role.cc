#include "entry/entry_role.h"

#include <fmt/format.h>

#include <boost/asio/post.hpp>
#include <map>
#include <set>
#include <utility>

#include "entry/active_request.h"
#include "entry/answer.h"
#include "entry/read.h"

namespace citronwharf {
namespace {

constexpr duration wanted_attempts_interval = seconds(1);
constexpr duration refusal_retry_after = seconds(1);
constexpr int unavailable = 503;
constexpr int too_many_requests = 429;

http_server_options make_server_options(const settings& in,
                                        std::uint64_t incarnation) {
  http_server_options out;
  out.make_request_id = [process = in.process, incarnation,
                         count = 0]() mutable {
    return fmt::format("{}-{:x}-refused-{}", process, incarnation, ++count);
  };
  out.listen = in.listen.callers;
  out.max_connections = static_cast<std::size_t>(in.limits.max_connections);
  out.max_header_bytes = static_cast<std::size_t>(in.limits.max_header_bytes);
  out.max_body_bytes = static_cast<std::size_t>(in.limits.max_body_bytes);
  out.read_timeout = milliseconds(in.limits.read_timeout_ms);
  out.idle_timeout = milliseconds(in.limits.idle_timeout_ms);
  out.write_timeout = milliseconds(in.limits.write_timeout_ms);
  return out;
}

placement_options make_placement_options(const process_context& process) {
  placement_options out;
  out.region = process.options.region;
  out.failure_domain = process.options.failure_domain;
  out.entry = process.options.process;
  out.seed = process.incarnation;
  return out;
}

// Returns whether the endpoint that sent this reply may still hold memory or
// results for the attempt.
bool may_hold(const reserve_reply& in) {
  return in.reason == failure_reason::none;
}
bool may_hold(const prefill_reply& in) {
  return in.reason == failure_reason::none;
}
bool may_hold(const tokens_message& /*in*/) {
  return true;
}
bool may_hold(const decode_finished& /*in*/) {
  return false;
}
bool may_hold(const plain_reply& /*in*/) {
  return false;
}

class entry final : public process_role {
 public:
  explicit entry(process_context& process)
      : process_(process),
        placement_(make_placement_options(process)),
        allowances_(make_allowance_service(process)),
        retry_budget_(retry_budget_options{}),
        waiting_limiter_(
            static_cast<std::size_t>(process.options.limits.max_waiting),
            static_cast<std::size_t>(
                process.options.limits.max_waiting_per_organisation)),
        claims_(process),
        context_{process,
                 placement_,
                 *allowances_,
                 retry_budget_,
                 waiting_limiter_,
                 endpoint_memory_,
                 claims_,
                 {},
                 {}},
        server_(process.loop,
                make_server_options(process.options, process.incarnation),
                [this](http_request in, std::unique_ptr<http_exchange> out) {
                  handle_request(std::move(in), std::move(out));
                }),
        wanted_attempts_timer_(process.loop) {
    context_.find = [this](std::uint64_t number) { return find(number); };
    claims_.on_idle([this] { check_drained(); });
    context_.remove = [this](std::uint64_t number) { remove(number); };
  }

  absl::Status start() override {
    subscribe();
    configure(*process_.view.current());
    process_.view.subscribe([this](const configuration& next) {
      configure(next);
      for_each([](active_request& active) { active.on_configuration(); });
    });
    const auto port = server_.listen();
    if (!port.ok()) {
      return port.status();
    }
    port_ = *port;
    accepting_ = true;
    schedule_wanted_attempts();
    return absl::OkStatus();
  }

  void drain(time_point /*end*/, std::function<void()> done) override {
    accepting_ = false;
    server_.stop_accepting();
    on_drained_ = std::move(done);
    check_drained();
  }

  // Without a fresh configuration the entry refuses all routes that need a key,
  // so a load balancer should send callers to another entry.
  bool ready() const override {
    return accepting_ && process_.view.fresh(runtime_clock::now());
  }

  std::map<std::string, std::uint16_t> ports() const override {
    return {{"callers", port_}};
  }

 private:
  void subscribe() {
    peer_hub& peers = process_.peers;
    peers.on<reserve_reply>([this](const peer_id& from, const auto& in) {
      record_load(from, in.load);
      deliver(from, in);
    });
    peers.on<prefill_reply>([this](const peer_id& from, const auto& in) {
      record_load(from, in.load);
      deliver(from, in);
    });
    peers.on<tokens_message>(
        [this](const peer_id& from, const auto& in) { deliver(from, in); });
    peers.on<decode_finished>([this](const peer_id& from, const auto& in) {
      record_load(from, in.load);
      deliver(from, in);
    });
    peers.on<plain_reply>([this](const peer_id& from, const auto& in) {
      record_load(from, in.load);
      deliver(from, in);
    });
    peers.on<endpoint_hello>([this](const peer_id& from, const auto& in) {
      record_load(from, in.load);
    });
    peers.on_session([this](const peer_id& peer, bool is_up) {
      placement_.reachable(peer.name, is_up, runtime_clock::now());
      const std::uint64_t incarnation = is_up ? peer.incarnation : 0;
      for_each([&](active_request& active) {
        active.on_session(peer.name, incarnation);
      });
      if (is_up && endpoint_addresses_.count(peer.name) > 0) {
        // An endpoint keeps everything that it holds for this entry until it
        // receives the wanted attempts.
        send_wanted_attempts(peer.name, held_attempts_by_endpoint()[peer.name]);
      }
    });
  }

  void record_load(const peer_id& from, const endpoint_load& load) {
    if (load.incarnation == from.incarnation) {
      endpoint_memory_.observe(from.name, load);
      placement_.observe(from.name, load, runtime_clock::now());
    }
  }

  // Passes a reply to its request. If the request is gone or the reply is for
  // another incarnation of this entry, what the endpoint may hold for the
  // attempt is cancelled.
  template <typename Reply>
  void deliver(const peer_id& from, const Reply& reply) {
    const attempt_key& key = reply.key;
    const bool is_own = key.entry == process_.options.process &&
                        key.incarnation == process_.incarnation;
    active_request* target = is_own ? find(key.request) : nullptr;
    if (target != nullptr) {
      target->on_reply(from.name, reply);
    } else if (may_hold(reply)) {
      (void)process_.peers.send(from.name, make_frame(cancel_request{key}));
    }
  }

  void configure(const configuration& next) {
    placement_.configure(next);
    std::map<std::string, std::string> addresses;
    for (const endpoint& each : next.endpoints) {
      addresses[each.name] = each.address;
    }
    for (const auto& [name, address] : endpoint_addresses_) {
      if (addresses.count(name) == 0) {
        process_.peers.forget(name);
      }
    }
    for (const auto& [name, address] : addresses) {
      const auto connected = endpoint_addresses_.find(name);
      const bool is_unchanged = connected != endpoint_addresses_.end() &&
                                connected->second == address;
      if (!is_unchanged && name != process_.options.process) {
        process_.peers.connect(name, address);
      }
    }
    endpoint_addresses_ = std::move(addresses);
  }

  void handle_request(http_request in,
                      std::unique_ptr<http_exchange> exchange) {
    active_span root = process_.traces.start_root(
        "request", find_header(in.headers, "traceparent"));
    const std::uint64_t number = ++last_number_;
    auto accepted = apply_filters(std::move(in), number);
    if (const auto* cause = std::get_if<problem>(&accepted)) {
      refuse(number, *cause, *exchange);
      return;
    }
    auto request = std::make_unique<active_request>(
        context_, std::get<accepted_request>(std::move(accepted)),
        std::move(exchange), std::move(root));
    active_request& started = *request;
    active_.emplace(number, std::move(request));
    started.start();
  }

  // Runs the filters that need not wait.
  value_or_problem<accepted_request> apply_filters(http_request in,
                                                   std::uint64_t number) {
    const auto current = process_.view.current();
    auto parsed = read_request(std::move(in));
    if (auto* cause = std::get_if<problem>(&parsed)) {
      return std::move(*cause);
    }
    const auto& read = std::get<caller_request>(parsed);
    auto caller = authenticate(read, process_.view, runtime_clock::now());
    if (auto* cause = std::get_if<problem>(&caller)) {
      return std::move(*cause);
    }
    auto routed = find_route(read, *current);
    if (auto* cause = std::get_if<problem>(&routed)) {
      return std::move(*cause);
    }
    accepted_request out{number, std::get<caller_identity>(std::move(caller)),
                         std::get<routed_call>(std::move(routed)),
                         std::nullopt};
    if (auto cause = check_idempotency_key(read, out.caller.keyed)) {
      return std::move(*cause);
    }
    if (!read.idempotency_key.empty()) {
      out.claim = claim_request{
          0,
          {out.caller.organisation, key_digest(read.idempotency_key)},
          request_digest(read),
          "",
          0};
    }
    if (auto cause = check_size(out.call, *current, endpoint_memory_)) {
      return std::move(*cause);
    }
    if (!accepting_) {
      return problem{unavailable,         request_outcome::not_run,
                     reasons::draining,   "this entry is stopping",
                     refusal_retry_after, true};
    }
    if (!waiting_limiter_.enter(out.caller.organisation)) {
      return problem{too_many_requests,   request_outcome::not_run,
                     reasons::queue_full, "too many requests wait here",
                     refusal_retry_after, true};
    }
    return out;
  }

  void refuse(std::uint64_t number, const problem& cause, http_exchange& to) {
    process_.metrics.add("citronwharf_refusals_total",
                         {{"reason", cause.reason},
                          {"within_rate", cause.within_rate ? "yes" : "no"}});
    to.respond(problem_response(format_request_id(process_, number), cause));
  }

  active_request* find(std::uint64_t number) {
    const auto found = active_.find(number);
    return found == active_.end() ? nullptr : found->second.get();
  }

  void remove(std::uint64_t number) {
    boost::asio::post(process_.loop, [this, number] {
      active_.erase(number);
      check_drained();
    });
  }

  // Requests may end during the iteration: remove() erases them in a later
  // iteration of the event loop.
  template <typename Visit>
  void for_each(Visit visit) {
    for (const auto& [number, request] : active_) {
      visit(*request);
    }
  }

  void check_drained() {
    if (!accepting_ && active_.empty() && claims_.idle() && on_drained_) {
      std::exchange(on_drained_, nullptr)();
    }
  }

  void schedule_wanted_attempts() {
    wanted_attempts_timer_.expires_after(wanted_attempts_interval);
    wanted_attempts_timer_.async_wait(
        [this](const boost::system::error_code& error) {
          if (!error) {
            send_all_wanted_attempts();
            schedule_wanted_attempts();
          }
        });
  }

  void send_all_wanted_attempts() {
    for (auto& [endpoint, keys] : held_attempts_by_endpoint()) {
      send_wanted_attempts(endpoint, std::move(keys));
    }
  }

  std::map<std::string, std::vector<attempt_key>> held_attempts_by_endpoint()
      const {
    std::map<std::string, std::vector<attempt_key>> attempts_by_endpoint;
    for (const auto& [number, active] : active_) {
      for (held_attempt& attempt : active->held()) {
        attempts_by_endpoint[attempt.endpoint].push_back(
            std::move(attempt.key));
      }
    }
    return attempts_by_endpoint;
  }

  void send_wanted_attempts(const std::string& endpoint,
                            std::vector<attempt_key> keys) {
    (void)process_.peers.send(
        endpoint,
        make_frame(wanted_attempts{process_.options.process,
                                   process_.incarnation, std::move(keys)}));
  }

  process_context& process_;
  placement placement_;
  std::unique_ptr<allowance_service> allowances_;
  retry_budget retry_budget_;
  waiting_limiter waiting_limiter_;
  endpoint_memory endpoint_memory_;
  claim_client claims_;
  entry_context context_;
  std::map<std::uint64_t, std::unique_ptr<active_request>> active_;
  http_server server_;
  runtime_timer wanted_attempts_timer_;
  std::map<std::string, std::string>
      endpoint_addresses_;  ///< addresses by name
  std::uint64_t last_number_ = 0;
  std::uint16_t port_ = 0;
  bool accepting_ = false;
  std::function<void()> on_drained_;
};

}  // namespace

std::unique_ptr<process_role> make_entry_role(process_context& process) {
  return std::make_unique<entry>(process);
}

}  // namespace citronwharf
