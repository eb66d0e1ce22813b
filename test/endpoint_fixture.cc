#include "endpoint_fixture.h"

#include <fmt/format.h>

#include <algorithm>

namespace citronwharf::test {
namespace {

constexpr std::int64_t deadline_us = 20'000'000;
constexpr std::int32_t prompt_tokens = 300;

peer_hub_options hub_options(const std::string& name,
                             std::uint64_t incarnation) {
  peer_hub_options options;
  options.self = {name, incarnation};
  options.deployment = "test";
  options.secret = std::string(32, 's');
  return options;
}

std::string loopback_address(std::uint16_t port) {
  return fmt::format("127.0.0.1:{}", port);
}

settings make_endpoint_settings(settings base, const std::string& name,
                                const std::string& engine_address) {
  base.process = name;
  base.roles = {"endpoint"};
  base.engine.address = engine_address;
  return base;
}

}  // namespace

fake::engine_options fast_engine_options() {
  fake::engine_options options;
  options.token_interval = milliseconds(1);
  options.prefill_base = milliseconds(1);
  options.load_lag = milliseconds(0);
  return options;
}

endpoint_node::endpoint_node(boost::asio::io_context& loop,
                             const std::string& name, std::uint64_t incarnation,
                             const std::string& engine_address,
                             const settings& base)
    : options(make_endpoint_settings(base, name, engine_address)),
      hub(loop, hub_options(name, incarnation)),
      traces(loop, {}),
      context{loop, options, incarnation, hub, view, metrics, traces},
      role(make_endpoint_role(context)),
      port(hub.listen().value()) {}

std::string endpoint_node::address() const {
  return loopback_address(port);
}

entry_node::entry_node(boost::asio::io_context& loop, std::uint64_t number)
    : incarnation(number),
      hub(std::make_unique<peer_hub>(loop, hub_options("entry-1", number))) {
  hub->on<endpoint_hello>([this](const peer_id&, const auto& message) {
    hellos.push_back(message);
  });
  hub->on<reserve_reply>([this](const peer_id&, const auto& message) {
    reserve_replies.push_back(message);
  });
  hub->on<prefill_reply>([this](const peer_id&, const auto& message) {
    prefill_replies.push_back(message);
  });
  hub->on<plain_reply>([this](const peer_id&, const auto& message) {
    plain_replies.push_back(message);
  });
  hub->on<decode_finished>([this](const peer_id&, const auto& message) {
    finished_messages.push_back(message);
  });
  hub->on<tokens_message>(
      [this](const peer_id&, const tokens_message& message) {
        saw_offset_gap =
            saw_offset_gap || message.offset != next_offsets[message.key];
        next_offsets[message.key] =
            message.offset + static_cast<std::int32_t>(message.tokens.size());
        for (const std::string& token : message.tokens) {
          texts[message.key] += token;
        }
      });
}

attempt_key entry_node::key(std::uint64_t request,
                            std::uint32_t attempt) const {
  return {"entry-1", incarnation, request, attempt};
}

work_header entry_node::header(std::uint64_t request) const {
  work_header header;
  header.key = key(request);
  header.organisation = "importers";
  header.service = "summary";
  header.deadline_us = deadline_us;
  return header;
}

endpoint_fixture::endpoint_fixture(const fake::engine_options& engines,
                                   const settings& base)
    : prefill_engine(loop, engines),
      decode_engine(loop, engines),
      service(loop, "127.0.0.1:0"),
      base_(base) {
  engines_["prefill-1"] = loopback_address(prefill_engine.listen().value());
  engines_["decode-1"] = loopback_address(decode_engine.listen().value());
  engines_["plain-1"] = loopback_address(service.listen().value());
  for (const auto& [name, engine] : engines_) {
    start_node(name, 1);
  }
  start_entry(1);
}

configuration endpoint_fixture::make_configuration(
    const std::vector<std::string>& draining) {
  configuration made;
  made.version = ++version_;
  for (const auto& [name, engine] : engines_) {
    endpoint one;
    one.name = name;
    one.role = name == "prefill-1"  ? endpoint_role::prefill
               : name == "decode-1" ? endpoint_role::decode
                                    : endpoint_role::plain;
    one.draining =
        std::find(draining.begin(), draining.end(), name) != draining.end();
    made.endpoints.push_back(one);
  }
  made.entries.push_back({"entry-1", "", ""});
  return made;
}

void endpoint_fixture::start_node(const std::string& name,
                                  std::uint64_t incarnation) {
  nodes_[name] = std::make_unique<endpoint_node>(loop, name, incarnation,
                                                 engines_.at(name), base_);
  endpoint_node& made = *nodes_[name];
  BOOST_ASSERT(made.role->start().ok());
  made.view.replace(make_configuration({}));
}

void endpoint_fixture::connect(const std::string& name) {
  entry->hub->connect(name, node(name).address());
  run_loop_until([&] { return entry->hub->session_incarnation(name) != 0; });
}

void endpoint_fixture::start_entry(std::uint64_t incarnation) {
  entry.reset();
  entry = std::make_unique<entry_node>(loop, incarnation);
  for (const auto& [name, one] : nodes_) {
    connect(name);
  }
  // Prefill and decode endpoints report their memory once they know the engine.
  run_loop_until([&] {
    return std::count_if(entry->hellos.begin(), entry->hellos.end(),
                         [](const endpoint_hello& hello) {
                           return hello.load.pieces_total > 0;
                         }) >= 2;
  });
}

void endpoint_fixture::restart(const std::string& name,
                               std::uint64_t incarnation) {
  nodes_.erase(name);
  start_node(name, incarnation);
  entry->hellos.clear();
  entry->hub->connect(name, node(name).address());
  run_loop_until([&] {
    return entry->hub->session_incarnation(name) == incarnation &&
           std::any_of(entry->hellos.begin(), entry->hellos.end(),
                       [&](const endpoint_hello& hello) {
                         return hello.load.incarnation == incarnation;
                       });
  });
}

void endpoint_fixture::configure(const std::vector<std::string>& draining) {
  const configuration next = make_configuration(draining);
  for (const auto& [name, one] : nodes_) {
    one->view.replace(next);
  }
}

bool endpoint_fixture::run_loop_until(const std::function<bool()>& condition) {
  return run_until(loop, condition);
}

void endpoint_fixture::run_for(duration span) {
  const time_point end = runtime_clock::now() + span;
  run_until(loop, [&] { return runtime_clock::now() >= end; });
}

std::uint64_t endpoint_fixture::incarnation(const std::string& name) {
  return node(name).context.incarnation;
}

bool endpoint_fixture::start_request(std::uint64_t request,
                                     const std::string& prompt,
                                     std::int32_t max_tokens) {
  const work_header header = entry->header(request);
  const std::size_t replies_before_reserve = entry->reserve_replies.size();
  entry->send("decode-1",
              reserve_request{header, prompt_tokens, max_tokens, 5000});
  run_loop_until(
      [&] { return entry->reserve_replies.size() > replies_before_reserve; });
  const std::size_t replies_before_prefill = entry->prefill_replies.size();
  entry->send("prefill-1",
              prefill_request{header, "model", prompt, prompt_tokens});
  run_loop_until(
      [&] { return entry->prefill_replies.size() > replies_before_prefill; });
  const prefill_reply& reply = entry->prefill_replies.back();
  if (entry->reserve_replies.back().reason != failure_reason::none ||
      reply.reason != failure_reason::none) {
    return false;
  }
  entry->send(
      "decode-1",
      decode_request{header, "model", reply.export_id, reply.engine_address,
                     reply.expires_in_us, prompt_tokens, max_tokens, 0});
  return true;
}

const decode_finished* endpoint_fixture::find_decode_finished(
    const attempt_key& key) const {
  const auto found = std::find_if(
      entry->finished_messages.begin(), entry->finished_messages.end(),
      [&](const decode_finished& one) { return one.key == key; });
  return found == entry->finished_messages.end() ? nullptr : &*found;
}

bool endpoint_fixture::memory_is_free() const {
  return prefill_engine.held() == 0 && decode_engine.held() == 0;
}

}  // namespace citronwharf::test
