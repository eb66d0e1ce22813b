#include "caller_fixture.h"

#include <fmt/format.h>

#include "entry/authenticate.h"
#include "entry/entry_role.h"
#include "fake/tokens.h"
#include "run-until.h"

namespace citronwharf::test {
namespace {

constexpr std::uint64_t incarnation = 5;

std::unique_ptr<peer_hub> make_hub(boost::asio::io_context& loop,
                                   const std::string& name) {
  peer_hub_options options;
  options.self = {name, incarnation};
  options.deployment = "test";
  options.secret = std::string(32, 's');
  return std::make_unique<peer_hub>(loop, options);
}

route make_route(const std::string& name, route_kind kind, bool idempotent) {
  route out;
  out.name = name;
  out.kind = kind;
  out.idempotent = idempotent;
  out.methods = {"POST"};
  out.max_output_tokens = 100;
  out.deadline_ms = 8000;
  out.max_body_bytes = 4000;
  out.model = kind == route_kind::pools ? "m" : "";
  out.prefill_pool = "prefill";
  out.decode_pool = "decode";
  out.plain_pool = "plain";
  return out;
}

configuration make_configuration(const std::vector<scripted_endpoint*>& all) {
  configuration out;
  out.organisations = {{"importers", 1.0, {1e9, 1e9}},
                       {"small", 1.0, {0.001, 10}}};
  out.keys = {{"k1", "importers", key_digest("good"), false},
              {"k2", "importers", key_digest("old"), true},
              {"k3", "small", key_digest("small"), false}};
  out.routes = {make_route("commit", route_kind::plain, false),
                make_route("lookup", route_kind::plain, true),
                make_route("open", route_kind::plain, true),
                make_route("summary", route_kind::pools, true)};
  out.routes[1].methods = {"GET", "POST"};
  out.routes[2].access = route_access::open;
  out.entries = {{"entry-1", "127.0.0.1:1", ""}};
  for (const scripted_endpoint* one : all) {
    endpoint added;
    added.name = one->name;
    added.address = one->address();
    added.pool = one->name;
    added.role = one->name == "prefill"  ? endpoint_role::prefill
                 : one->name == "decode" ? endpoint_role::decode
                                         : endpoint_role::plain;
    out.endpoints.push_back(added);
  }
  return out;
}

}  // namespace

scripted_endpoint::scripted_endpoint(boost::asio::io_context& loop,
                                     const std::string& name_in)
    : name(name_in), hub_(make_hub(loop, name_in)) {
  port_ = hub_->listen().value();
  load.incarnation = incarnation;
  load.pieces_total = 20;
  load.piece_tokens = 100;
  load.pieces_free = 20;
  load.tokens_per_second = 1000;
  hub_->on<reserve_request>([this](const peer_id&, const auto& in) {
    record(in);
    if (!on_reserve || !on_reserve(in)) {
      held.insert(in.header.key);
      reserve_reply out;
      out.key = in.header.key;
      out.load = load;
      send(out);
    }
  });
  hub_->on<prefill_request>([this](const peer_id&, const auto& in) {
    record(in);
    if (!on_prefill || !on_prefill(in)) {
      held.insert(in.header.key);
      prefill_reply out;
      out.key = in.header.key;
      out.ran = true;
      out.export_id = to_string(in.header.key);
      out.expires_in_us = 900000;
      out.load = load;
      prompts()[out.export_id] = in.prompt;
      send(out);
    }
  });
  hub_->on<decode_request>([this](const peer_id&, const auto& in) {
    record(in);
    const std::string prompt = prompts()[in.export_id];
    if (!on_decode || !on_decode(in, prompt)) {
      send_tokens(in.header.key, prompt, in.offset, in.max_tokens);
      send_end(in.header.key, in.max_tokens);
    }
  });
  hub_->on<plain_request>([this](const peer_id&, const auto& in) {
    record(in);
    if (!on_plain || !on_plain(in)) {
      plain_reply out;
      out.key = in.header.key;
      out.ran = true;
      out.status = 201;
      out.headers = {{"X-Sheet", "7"}, {"Connection", "close"}};
      out.body = in.method + " " + in.target + " " + in.body;
      out.load = load;
      send(out);
    }
  });
  hub_->on<cancel_request>([this](const peer_id&, const auto& in) {
    record(in);
    held.erase(in.key);
  });
  hub_->on<resume_request>(
      [this](const peer_id&, const auto& in) { record(in); });
  hub_->on<wanted_attempts>(
      [this](const peer_id&, const auto& in) { record(in); });
  hub_->on_session([this](const peer_id&, bool up) {
    if (up) {
      send_hello();
    }
  });
}

template <typename Message>
void scripted_endpoint::record(const Message& in) {
  received += nlohmann::json(in).dump() + "\n";
  ++frame_counts[Message::type_name];
}

std::string scripted_endpoint::address() const {
  return fmt::format("127.0.0.1:{}", port_);
}

void scripted_endpoint::send_hello() {
  send(endpoint_hello{name, load});
}

void scripted_endpoint::send_tokens(const attempt_key& key,
                                    const std::string& prompt,
                                    std::int32_t from, std::int32_t to) {
  for (std::int32_t index = from; index < to; ++index) {
    send(tokens_message{key, index, {fake::fake_token(prompt, index)}});
  }
}

void scripted_endpoint::send_end(const attempt_key& key, std::int32_t total,
                                 failure_reason reason) {
  decode_finished out;
  out.key = key;
  out.reason = reason;
  out.ran = true;
  out.total_tokens = total;
  out.load = load;
  held.erase(key);
  send(out);
}

std::map<std::string, std::string>& scripted_endpoint::prompts() {
  static std::map<std::string, std::string> all;
  return all;
}

void instant_replica::propose(nlohmann::json command, proposal_done done) {
  if (!leads) {
    done(absl::UnavailableError("control-2"));
    return;
  }
  ++index_;
  proposal_result result{index_, machine_.apply(index_, command)};
  if (unconfirmed_commits > 0) {
    --unconfirmed_commits;
    done(absl::DeadlineExceededError("unknown"));
    return;
  }
  done(std::move(result));
}

replica_status instant_replica::status() const {
  replica_status out;
  out.leader = "control-2";
  return out;
}

scripted_control::scripted_control(boost::asio::io_context& loop,
                                   const std::string& name, claims& machine,
                                   process_context& shared)
    : hub(make_hub(loop, name)), log(machine) {
  options.process = name;
  process = std::make_unique<process_context>(
      process_context{loop, options, incarnation, *hub, shared.view,
                      shared.metrics, shared.traces});
  service = std::make_unique<claim_service>(*process, log, [] { return 0; });
  hub->listen().value();
}

caller_fixture::caller_fixture(const std::function<void(settings&)>& change,
                               duration initial_freshness_period)
    : freshness_period(initial_freshness_period),
      traces(loop, {}),
      hub(make_hub(loop, "entry-1")),
      prefill(loop, "prefill"),
      decode(loop, "decode"),
      plain(loop, "plain") {
  options.process = "entry-1";
  options.deployment = "test";
  options.limits.max_body_bytes = 8000;
  if (change) {
    change(options);
  }
  const std::uint16_t peers = hub->listen().value();
  process = std::make_unique<process_context>(
      process_context{loop, options, incarnation, *hub, view, metrics, traces});
  entry = make_entry_role(*process);
  desired = make_configuration({&prefill, &decode, &plain});
  apply();
  entry->start().IgnoreError();
  for (auto* one : {&follower, &leader}) {
    const char* name = one == &leader ? "control-2" : "control-1";
    *one = std::make_unique<scripted_control>(loop, name, machine, *process);
    (*one)->log.leads = one == &leader;
    (*one)->hub->connect("entry-1", fmt::format("127.0.0.1:{}", peers));
  }
  address = fmt::format("127.0.0.1:{}", entry->ports()["callers"]);
  wait_until([this] {
    return hub->session_incarnation("prefill") != 0 &&
           hub->session_incarnation("decode") != 0 &&
           hub->session_incarnation("plain") != 0 &&
           hub->session_incarnation("control-1") != 0 &&
           hub->session_incarnation("control-2") != 0;
  });
}

void caller_fixture::apply() {
  ++desired.version;
  view.replace(desired);
  view.confirm(desired.version, runtime_clock::now() + freshness_period);
}

bool caller_fixture::wait_until(const std::function<bool()>& condition) {
  return run_until(loop, condition);
}

std::unique_ptr<caller_call> caller_fixture::start_call(
    const http_request& in) {
  auto out = std::make_unique<caller_call>();
  caller_call* self = out.get();
  http_call_handlers handlers;
  handlers.on_head = [self](const http_response& head) { self->answer = head; };
  handlers.on_body = [self](const std::string& data) {
    self->answer.body += data;
  };
  handlers.on_done = [self] { self->ended = self->complete = true; };
  handlers.on_failure = [self](const http_failure&) { self->ended = true; };
  http_call_options where;
  where.address = address;
  out->call = start_http_call(loop, where, in, handlers);
  return out;
}

std::unique_ptr<caller_call> caller_fixture::call_and_wait(
    const http_request& in) {
  auto out = start_call(in);
  wait_until([&] { return out->ended; });
  return out;
}

http_request caller_fixture::post(const std::string& target,
                                  const std::string& body,
                                  const std::string& key) {
  http_request out{"POST", "/v1/routes/" + target, {}, body, ""};
  if (!key.empty()) {
    out.headers.push_back({"Authorization", "Bearer " + key});
  }
  return out;
}

}  // namespace citronwharf::test
