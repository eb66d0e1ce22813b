// What the entry costs: processor time and latency it adds to a request and to
// 1,000 tokens, against a bare relay in the same run, and memory for each
// waiting and each running request.
//
// The entry's loop has a thread of its own, whose processor time is measured;
// callers and endpoints share another one. Endpoints answer at once.
#include <malloc.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <ctime>
#include <future>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/process_context.h"
#include "entry/answer.h"
#include "entry/authenticate.h"
#include "entry/entry_role.h"
#include "net/http_client.h"

namespace citronwharf {
namespace {

constexpr std::uint64_t incarnation = 5;
constexpr int rounds = 300;  // requests of one measurement
constexpr int warm_up = 30;  // requests before it
constexpr int held_requests = 400;
constexpr int many_tokens = 1001;
constexpr std::size_t prompt_bytes = 1000;
constexpr duration hold_time = milliseconds(1500);

enum class endpoint_mode { answer, hold_reserve, hold_decode };

std::unique_ptr<peer_hub> make_hub(boost::asio::io_context& loop,
                                   const std::string& name) {
  peer_hub_options options;
  options.self = {name, incarnation};
  options.deployment = "bench";
  options.secret = std::string(32, 's');
  return std::make_unique<peer_hub>(loop, options);
}

// A loop with its thread.
class loop_thread {
 public:
  loop_thread()
      : guard_(boost::asio::make_work_guard(loop)),
        thread_([this] { loop.run(); }) {}
  ~loop_thread() {
    loop.stop();
    thread_.join();
  }
  loop_thread(const loop_thread&) = delete;
  loop_thread& operator=(const loop_thread&) = delete;

  // Runs `what` on the thread and returns its result.
  template <typename What>
  auto run(What what) {
    std::packaged_task<decltype(what())()> task(std::move(what));
    auto result = task.get_future();
    boost::asio::post(loop, [&task] { task(); });
    return result.get();
  }

  boost::asio::io_context loop;

 private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_;
  std::thread thread_;
};

double thread_seconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         1e-9 * static_cast<double>(now.tv_nsec);
}

// Prefill and decode endpoint in one peer.
class answering_endpoint {
 public:
  answering_endpoint(boost::asio::io_context& loop, const std::string& name)
      : hub_(make_hub(loop, name)) {
    port = hub_->listen().value();
    hub_->on<reserve_request>([this](const peer_id& from, const auto& in) {
      if (mode != endpoint_mode::hold_reserve) {
        reserve_reply out;
        out.key = in.header.key;
        send(from, out);
      }
    });
    hub_->on<prefill_request>([this](const peer_id& from, const auto& in) {
      prefill_reply out;
      out.key = in.header.key;
      out.ran = true;
      out.expires_in_us = 900000;
      send(from, out);
    });
    hub_->on<decode_request>([this](const peer_id& from, const auto& in) {
      if (mode == endpoint_mode::hold_decode) {
        send(from, tokens_message{in.header.key, 0, {"one "}});
        return;
      }
      for (std::int32_t index = 0; index < in.max_tokens; ++index) {
        send(from, tokens_message{in.header.key, index, {"token "}});
      }
      decode_finished out;
      out.key = in.header.key;
      out.ran = true;
      out.total_tokens = in.max_tokens;
      send(from, out);
    });
    hub_->on<cancel_request>([](const peer_id&, const auto&) {});
    hub_->on<resume_request>([](const peer_id&, const auto&) {});
    hub_->on<wanted_attempts>([](const peer_id&, const auto&) {});
  }

  endpoint_mode mode = endpoint_mode::answer;
  std::uint16_t port = 0;

 private:
  template <typename Message>
  void send(const peer_id& to, const Message& out) {
    hub_->send(to.name, make_frame(out)).IgnoreError();
  }
  std::unique_ptr<peer_hub> hub_;
};

// Hands each call straight to the decode endpoint and its tokens back.
class bare_relay {
 public:
  bare_relay(boost::asio::io_context& loop, peer_hub& peers)
      : peers_(peers),
        server_(loop, {}, [this](const http_request& in, auto exchange) {
          take(in, std::move(exchange));
        }) {
    peers.on<tokens_message>([this](const peer_id&, const auto& in) {
      exchanges_.at(in.key.request)->write(tokens_event(in.offset, in.tokens));
    });
    peers.on<decode_finished>([this](const peer_id&, const auto& in) {
      exchanges_.at(in.key.request)->finish();
      exchanges_.erase(in.key.request);
    });
    port = server_.listen().value();
  }
  std::uint16_t port = 0;

 private:
  void take(const http_request& in, std::unique_ptr<http_exchange> exchange) {
    const auto body = nlohmann::json::parse(in.body);
    const std::uint64_t number = ++last_;
    exchange->start_stream(stream_response_head("bare"));
    exchanges_[number] = std::move(exchange);
    decode_request out;
    out.header.key = {"bare", incarnation, number, 1};
    out.max_tokens = body.at("max_tokens").get<std::int32_t>();
    peers_.send("decode", make_frame(out)).IgnoreError();
  }
  peer_hub& peers_;
  std::uint64_t last_ = 0;
  std::map<std::uint64_t, std::unique_ptr<http_exchange>> exchanges_;
  http_server server_;
};

configuration make_configuration(std::uint16_t prefill, std::uint16_t decode) {
  configuration out;
  out.version = 1;
  out.organisations = {{"o", 1.0, {1e12, 1e12}}};
  out.keys = {{"k", "o", key_digest("key"), false}};
  route to;
  to.name = "summary";
  to.model = "m";
  to.prefill_pool = "prefill";
  to.decode_pool = "decode";
  to.methods = {"POST"};
  out.routes = {to};
  out.entries = {{"entry-1", "127.0.0.1:1", ""}};
  for (const auto& [name, port] :
       {std::pair("prefill", prefill), std::pair("decode", decode)}) {
    endpoint one;
    one.name = name;
    one.pool = name;
    one.address = "127.0.0.1:" + std::to_string(port);
    one.role =
        one.name == "prefill" ? endpoint_role::prefill : endpoint_role::decode;
    out.endpoints.push_back(one);
  }
  return out;
}

// Everything of the entry's thread.
struct entry_side {
  entry_side(boost::asio::io_context& loop, std::uint16_t prefill,
             std::uint16_t decode)
      : traces(loop, {}),
        hub(make_hub(loop, "entry-1")),
        bare_hub(make_hub(loop, "bare")) {
    options.process = "entry-1";
    options.trace.sample = 0;
    options.limits.max_waiting = 10000;
    options.limits.max_waiting_per_organisation = 10000;
    hub->listen().value();
    process = std::make_unique<process_context>(process_context{
        loop, options, incarnation, *hub, view, metrics, traces});
    role = make_entry_role(*process);
    view.replace(make_configuration(prefill, decode));
    view.confirm(1, runtime_clock::now() + seconds(3600));
    role->start().IgnoreError();
    bare_hub->listen().value();
    bare = std::make_unique<bare_relay>(loop, *bare_hub);
    bare_hub->connect("decode", "127.0.0.1:" + std::to_string(decode));
  }
  bool connected() const {
    return hub->session_incarnation("prefill") != 0 &&
           hub->session_incarnation("decode") != 0 &&
           bare_hub->session_incarnation("decode") != 0;
  }

  settings options;
  configuration_view view;
  metric_registry metrics;
  tracer traces;
  std::unique_ptr<peer_hub> hub, bare_hub;
  std::unique_ptr<process_context> process;
  std::unique_ptr<process_role> role;
  std::unique_ptr<bare_relay> bare;
};

struct cost {
  double processor_us = 0;  // of the entry's thread, a request
  double latency_us = 0;    // median of whole answers
};

class bench {
 public:
  bench() {
    prefill_ = callers_.run([this] { return make_endpoint("prefill"); });
    decode_ = callers_.run([this] { return make_endpoint("decode"); });
    side_ = entry_.run([this] {
      return std::make_unique<entry_side>(entry_.loop, prefill_->port,
                                          decode_->port);
    });
    while (!entry_.run([this] { return side_->connected(); })) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    bare_port_ = side_->bare->port;
    entry_port_ = side_->role->ports().at("callers");
  }
  ~bench() {
    entry_.run([this] { side_.reset(); });
    callers_.run([this] {
      prefill_.reset();
      decode_.reset();
    });
  }
  bench(const bench&) = delete;
  bench& operator=(const bench&) = delete;

  cost measure(bool bare, int tokens) {
    for (int round = 0; round < warm_up; ++round) {
      call(bare, tokens);
    }
    std::vector<double> took;
    took.reserve(rounds);
    const double before = entry_.run(thread_seconds);
    for (int round = 0; round < rounds; ++round) {
      took.push_back(call(bare, tokens));
    }
    const double used = entry_.run(thread_seconds) - before;
    std::sort(took.begin(), took.end());
    return {used / rounds * 1e6, took[took.size() / 2]};
  }

  // Returns whether a call failed, so that no figure counts.
  bool failed() const { return failed_; }

  // Bytes of the heap for each request that the endpoints hold.
  double memory(endpoint_mode mode) {
    callers_.run([&] { decode_->mode = mode; });
    std::vector<std::unique_ptr<http_call>> calls;
    calls.reserve(held_requests);
    const auto before = mallinfo2().uordblks;
    for (int number = 0; number < held_requests; ++number) {
      calls.push_back(callers_.run([&] { return start(false, 100, {}); }));
    }
    std::this_thread::sleep_for(hold_time);
    const auto after = mallinfo2().uordblks;
    callers_.run([&] { calls.clear(); });
    std::this_thread::sleep_for(hold_time);
    callers_.run([&] { decode_->mode = endpoint_mode::answer; });
    return static_cast<double>(after - before) / held_requests;
  }

 private:
  std::unique_ptr<answering_endpoint> make_endpoint(const std::string& name) {
    return std::make_unique<answering_endpoint>(callers_.loop, name);
  }

  std::unique_ptr<http_call> start(bool bare, int tokens,
                                   const std::function<void()>& done) {
    http_call_options options;
    options.address =
        "127.0.0.1:" + std::to_string(bare ? bare_port_ : entry_port_);
    http_call_handlers handlers;
    handlers.on_head = [](const http_response&) {};
    handlers.on_body = [](const std::string&) {};
    handlers.on_done = done;
    handlers.on_failure = [this, done](const http_failure& failure) {
      std::cerr << failure.status << '\n';
      failed_ = true;
      if (done) {
        done();
      }
    };
    const nlohmann::json body{{"prompt", std::string(prompt_bytes, 'x')},
                              {"max_tokens", tokens},
                              {"stream", true}};
    return start_http_call(callers_.loop, options,
                           {"POST",
                            "/v1/routes/summary",
                            {{"Authorization", "Bearer key"}},
                            body.dump(),
                            ""},
                           handlers);
  }

  // Returns the microseconds to the whole answer.
  double call(bool bare, int tokens) {
    std::promise<void> done;
    const auto begin = std::chrono::steady_clock::now();
    auto running = callers_.run(
        [&] { return start(bare, tokens, [&done] { done.set_value(); }); });
    done.get_future().wait();
    const auto took = std::chrono::steady_clock::now() - begin;
    callers_.run([&] { running.reset(); });
    return std::chrono::duration<double, std::micro>(took).count();
  }

  loop_thread callers_;
  loop_thread entry_;
  std::unique_ptr<answering_endpoint> prefill_, decode_;
  std::unique_ptr<entry_side> side_;
  std::atomic<bool> failed_{false};
  std::uint16_t bare_port_ = 0;
  std::uint16_t entry_port_ = 0;
};

void print(const char* name, double entry, double bare, const char* unit) {
  std::cout << name << ": entry " << entry << ' ' << unit << ", bare relay "
            << bare << ' ' << unit << ", ratio " << entry / bare << '\n';
}

}  // namespace
}  // namespace citronwharf

int main() {
  using namespace citronwharf;  // NOLINT(google-build-using-namespace)
  mallopt(M_ARENA_MAX, 1);      // so that mallinfo2 sees every thread
  bench run;
  const cost short_entry = run.measure(false, 1);
  const cost short_bare = run.measure(true, 1);
  const cost long_entry = run.measure(false, many_tokens);
  const cost long_bare = run.measure(true, many_tokens);
  print("processor time a request of 1 token", short_entry.processor_us,
        short_bare.processor_us, "us");
  print("processor time of 1,000 more tokens",
        long_entry.processor_us - short_entry.processor_us,
        long_bare.processor_us - short_bare.processor_us, "us");
  print("median latency of a request of 1 token", short_entry.latency_us,
        short_bare.latency_us, "us");
  print("median latency of 1,000 more tokens",
        long_entry.latency_us - short_entry.latency_us,
        long_bare.latency_us - short_bare.latency_us, "us");
  std::cout << "heap for a waiting request, both ends of its connection and "
               "both sessions' frames included: "
            << run.memory(endpoint_mode::hold_reserve) << " bytes\n"
            << "heap for a running request, likewise: "
            << run.memory(endpoint_mode::hold_decode) << " bytes\n";
  return run.failed() ? 1 : 0;
}
