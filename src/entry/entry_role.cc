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

constexpr duration holder_interval = seconds(1);
constexpr duration queue_full_retry = seconds(1);
constexpr int unavailable = 503;
constexpr int too_many_requests = 429;

http_server_options server_options(const settings& in,
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

// What an endpoint may still hold for an attempt that is not known any more.
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
        places_(make_placement_options(process)),
        allowances_(make_allowance_service(process)),
        retries_(retry_budget_options{}),
        waiting_(static_cast<std::size_t>(process.options.limits.max_waiting),
                 static_cast<std::size_t>(
                     process.options.limits.max_waiting_per_organisation)),
        claims_(process),
        context_{process, places_, *allowances_, retries_, waiting_,
                 memory_, claims_, {},           {}},
        server_(process.loop,
                server_options(process.options, process.incarnation),
                [this](http_request in, std::unique_ptr<http_exchange> out) {
                  take(std::move(in), std::move(out));
                }),
        holder_timer_(process.loop) {
    context_.find = [this](std::uint64_t number) { return find(number); };
    claims_.on_idle([this] { check_drained(); });
    context_.remove = [this](std::uint64_t number) { remove(number); };
  }

  absl::Status start() override {
    subscribe();
    configure(*process_.view.current());
    process_.view.subscribe([this](const configuration& next) {
      configure(next);
      for_each([](active_request& one) { one.on_configuration(); });
    });
    const auto port = server_.listen();
    if (!port.ok()) {
      return port.status();
    }
    port_ = *port;
    accepting_ = true;
    send_holder_claims_later();
    return absl::OkStatus();
  }

  void drain(std::function<void()> done) override {
    accepting_ = false;
    server_.stop_accepting();
    drained_ = std::move(done);
    check_drained();
  }

  // An entry that is not fresh refuses keyed routes: a balancer should send
  // its callers to another one.
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
      observe(from, in.load);
      deliver(from, in);
    });
    peers.on<prefill_reply>([this](const peer_id& from, const auto& in) {
      observe(from, in.load);
      deliver(from, in);
    });
    peers.on<tokens_message>(
        [this](const peer_id& from, const auto& in) { deliver(from, in); });
    peers.on<decode_finished>([this](const peer_id& from, const auto& in) {
      observe(from, in.load);
      deliver(from, in);
    });
    peers.on<plain_reply>([this](const peer_id& from, const auto& in) {
      observe(from, in.load);
      deliver(from, in);
    });
    peers.on<endpoint_hello>([this](const peer_id& from, const auto& in) {
      observe(from, in.load);
    });
    peers.on_session([this](const peer_id& peer, bool up) {
      places_.reachable(peer.name, up, runtime_clock::now());
      const std::uint64_t incarnation = up ? peer.incarnation : 0;
      for_each(
          [&](active_request& one) { one.on_session(peer.name, incarnation); });
      if (up && connected_.count(peer.name) > 0) {
        // Until it hears of claims an endpoint keeps all it holds for us.
        send_claims(peer.name, wanted_work()[peer.name]);
      }
    });
  }

  void observe(const peer_id& from, const endpoint_load& load) {
    if (load.incarnation == from.incarnation) {
      memory_.observe(from.name, load);
      places_.observe(from.name, load, runtime_clock::now());
    }
  }

  // Replies to another incarnation of this entry are dropped; what is held
  // for an attempt that nobody knows is cancelled.
  template <typename Reply>
  void deliver(const peer_id& from, const Reply& reply) {
    const attempt_key& key = reply.key;
    const bool own = key.entry == process_.options.process &&
                     key.incarnation == process_.incarnation;
    active_request* to = own ? find(key.request) : nullptr;
    if (to != nullptr) {
      to->on_reply(from.name, reply);
    } else if (may_hold(reply)) {
      (void)process_.peers.send(from.name, make_frame(cancel_request{key}));
    }
  }

  void configure(const configuration& next) {
    places_.configure(next);
    std::map<std::string, std::string> wanted;
    for (const endpoint& one : next.endpoints) {
      wanted[one.name] = one.address;
    }
    for (const auto& [name, address] : connected_) {
      if (wanted.count(name) == 0) {
        process_.peers.forget(name);
      }
    }
    for (const auto& [name, address] : wanted) {
      const auto known = connected_.find(name);
      const bool same = known != connected_.end() && known->second == address;
      if (!same && name != process_.options.process) {
        process_.peers.connect(name, address);
      }
    }
    connected_ = std::move(wanted);
  }

  void take(http_request in, std::unique_ptr<http_exchange> exchange) {
    active_span root = process_.traces.start_root(
        "request", find_header(in.headers, "traceparent"));
    const std::uint64_t number = ++last_number_;
    auto accepted = filter(std::move(in), number);
    if (const auto* why = std::get_if<problem>(&accepted)) {
      refuse(number, *why, *exchange);
      return;
    }
    auto request = std::make_unique<active_request>(
        context_, std::get<accepted_request>(std::move(accepted)),
        std::move(exchange), std::move(root));
    active_request& started = *request;
    active_.emplace(number, std::move(request));
    started.start();
  }

  // The filters that decide at once.
  value_or_problem<accepted_request> filter(http_request in,
                                            std::uint64_t number) {
    const auto current = process_.view.current();
    auto request = read_request(std::move(in));
    if (auto* why = std::get_if<problem>(&request)) {
      return std::move(*why);
    }
    const auto& read = std::get<caller_request>(request);
    auto caller = authenticate(read, process_.view, runtime_clock::now());
    if (auto* why = std::get_if<problem>(&caller)) {
      return std::move(*why);
    }
    auto call = find_route(read, *current);
    if (auto* why = std::get_if<problem>(&call)) {
      return std::move(*why);
    }
    accepted_request out{number, std::get<caller_identity>(std::move(caller)),
                         std::get<routed_call>(std::move(call)), std::nullopt};
    if (auto why = check_claim(read, out.caller.keyed)) {
      return std::move(*why);
    }
    if (!read.idempotency_key.empty()) {
      out.claim = claim_request{
          0,
          {out.caller.organisation, key_digest(read.idempotency_key)},
          request_digest(read),
          "",
          0};
    }
    if (auto why = check_size(out.call, *current, memory_)) {
      return std::move(*why);
    }
    if (!accepting_) {
      return problem{unavailable,       request_outcome::not_run,
                     reasons::draining, "this entry is stopping",
                     queue_full_retry,  true};
    }
    if (!waiting_.enter(out.caller.organisation)) {
      return problem{too_many_requests,   request_outcome::not_run,
                     reasons::queue_full, "too many requests wait here",
                     queue_full_retry,    true};
    }
    return out;
  }

  void refuse(std::uint64_t number, const problem& why, http_exchange& to) {
    process_.metrics.add("citronwharf_refusals_total",
                         {{"reason", why.reason},
                          {"within_rate", why.within_rate ? "yes" : "no"}});
    to.respond(problem_response(format_request_id(process_, number), why));
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

  // Requests that end during the loop stay until the loop's next turn.
  template <typename Visit>
  void for_each(Visit visit) {
    for (const auto& [number, request] : active_) {
      visit(*request);
    }
  }

  void check_drained() {
    if (!accepting_ && active_.empty() && claims_.idle() && drained_) {
      std::exchange(drained_, nullptr)();
    }
  }

  void send_holder_claims_later() {
    holder_timer_.expires_after(holder_interval);
    holder_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        send_holder_claims();
        send_holder_claims_later();
      }
    });
  }

  void send_holder_claims() {
    for (auto& [endpoint, keys] : wanted_work()) {
      send_claims(endpoint, std::move(keys));
    }
  }

  std::map<std::string, std::vector<attempt_key>> wanted_work() const {
    std::map<std::string, std::vector<attempt_key>> wanted;
    for (const auto& [number, one] : active_) {
      for (held_attempt& work : one->held()) {
        wanted[work.endpoint].push_back(std::move(work.key));
      }
    }
    return wanted;
  }

  void send_claims(const std::string& endpoint, std::vector<attempt_key> keys) {
    (void)process_.peers.send(
        endpoint,
        make_frame(wanted_attempts{process_.options.process,
                                   process_.incarnation, std::move(keys)}));
  }

  process_context& process_;
  placement places_;
  std::unique_ptr<allowance_service> allowances_;
  retry_budget retries_;
  waiting_limiter waiting_;
  endpoint_memory memory_;
  claim_client claims_;
  entry_context context_;
  std::map<std::uint64_t, std::unique_ptr<active_request>> active_;
  http_server server_;
  runtime_timer holder_timer_;
  std::map<std::string, std::string> connected_;  ///< addresses by endpoint
  std::uint64_t last_number_ = 0;
  std::uint16_t port_ = 0;
  bool accepting_ = false;
  std::function<void()> drained_;
};

}  // namespace

std::unique_ptr<process_role> make_entry_role(process_context& process) {
  return std::make_unique<entry>(process);
}

}  // namespace citronwharf
