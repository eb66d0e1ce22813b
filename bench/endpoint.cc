// Cost of the endpoint process: latency and processor time that it adds to the
// bare engine, memory of a waiting request, time from a cancel and from an
// entry's death to free memory. The stand-in engine and the endpoint process
// run in threads of their own, so that their processor time is told apart.
#include <fmt/format.h>
#include <malloc.h>
#include <pthread.h>

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <ctime>
#include <functional>
#include <future>
#include <iostream>
#include <memory>
#include <optional>
#include <thread>

#include "base/process_context.h"
#include "endpoint/endpoint_role.h"
#include "endpoint/engine_client.h"
#include "fake/engine.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int requests = 150;
constexpr std::int32_t tokens = 100;
constexpr std::int32_t prompt_tokens = 64;
constexpr int waiting_requests = 200;
constexpr int cancels = 50;
constexpr int deaths = 2;
constexpr double us_per_second = 1e6;
constexpr double ns_per_us = 1e3;

/// A loop in a thread of its own, with its processor time.
class loop_thread {
 public:
  loop_thread() : work_(boost::asio::make_work_guard(loop)) {
    thread_ = std::thread([this] { loop.run(); });
  }
  ~loop_thread() {
    loop.stop();
    thread_.join();
  }
  loop_thread(const loop_thread&) = delete;
  loop_thread& operator=(const loop_thread&) = delete;

  /// Runs `what` on the loop and waits for it.
  void run(const std::function<void()>& what) {
    std::promise<void> done;
    boost::asio::post(loop, [&] {
      what();
      done.set_value();
    });
    done.get_future().wait();
  }
  double processor_us() {
    clockid_t clock{};
    timespec time{};
    pthread_getcpuclockid(thread_.native_handle(), &clock);
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) * us_per_second +
           static_cast<double>(time.tv_nsec) / ns_per_us;
  }

  boost::asio::io_context loop;

 private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::thread thread_;
};

peer_hub_options hub_options(const std::string& name) {
  peer_hub_options options;
  options.self = {name, 1};
  options.deployment = "bench";
  options.secret = std::string(32, 's');
  return options;
}

/// An endpoint process beside a decode engine.
struct endpoint_node {
  endpoint_node(boost::asio::io_context& loop, const std::string& engine)
      : hub(loop, hub_options("decode-1")),
        traces(loop, {}),
        context{loop, options, 1, hub, view, metrics, traces} {
    options.process = "decode-1";
    options.engine.address = engine;
    role = make_endpoint_role(context);
    port = hub.listen().value();
    static_cast<void>(role->start());
    configuration made;
    made.version = 1;
    endpoint own;
    own.name = "decode-1";
    own.role = endpoint_role::decode;
    own.model = "model";
    made.endpoints.push_back(own);
    made.entries.push_back({"entry-1", "", ""});
    view.replace(made);
  }
  settings options;
  peer_hub hub;
  configuration_view view;
  metric_registry metrics;
  tracer traces;
  process_context context;
  std::unique_ptr<process_role> role;
  std::uint16_t port = 0;
};

struct timing {
  std::vector<double> first_us;
  std::vector<double> whole_us;
};

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() / 2];
}

/// The load: it talks to the engine itself, or through the endpoint process.
class load {
 public:
  explicit load(std::string engine)
      : engine_address_(std::move(engine)), engine_(loop_, engine_address_) {}

  void connect(std::uint16_t port) {
    hub_ = std::make_unique<peer_hub>(loop_, hub_options("entry-1"));
    hub_->on<endpoint_hello>([this](const peer_id&, const endpoint_hello& m) {
      known_ = known_ || m.load.pieces_total > 0;
    });
    hub_->on<reserve_reply>(
        [this](const peer_id&, const reserve_reply&) { ++reserved_; });
    hub_->on<tokens_message>([this](const peer_id&, const tokens_message& m) {
      if (m.key.request == number_) {
        saw_token();
      }
    });
    hub_->on<decode_finished>([this](const peer_id&, const decode_finished& m) {
      finished_ = true;
      whole_ = m.reason == failure_reason::none;
    });
    known_ = false;
    hub_->connect("decode-1", fmt::format("127.0.0.1:{}", port));
    until([&] { return known_; });
  }
  void die() { hub_.reset(); }

  engine_export prefill(const std::string& id) {
    std::optional<engine_export> got;
    const auto call = engine_.prefill(
        {id, "model", "prompt", prompt_tokens, 0}, seconds(5),
        [&](const engine_error&, const engine_export& out) { got = out; });
    until([&] { return got.has_value(); });
    return *got;
  }

  /// One request at the engine itself.
  void bare(std::uint64_t number, timing& out) {
    const engine_export exported = prefill(fmt::format("p/1/{}/1", number));
    const std::string id = fmt::format("b/1/{}/1", number);
    start();
    engine_client::call stream;
    const auto import = engine_.import(
        {id, exported.export_id, exported.address, prompt_tokens, tokens, 0, 0},
        seconds(5), [&](const engine_error&, const engine_imported&) {
          stream = engine_.decode(
              id, 0, seconds(5),
              [this](const std::vector<std::string>&) { saw_token(); },
              [this](const engine_error& error) {
                finished_ = true;
                whole_ = error.reason == failure_reason::none;
              });
        });
    until([&] { return finished_; });
    record(out);
  }

  /// One request through the endpoint process.
  void through(std::uint64_t number, timing& out) {
    begin(number, tokens);
    until([&] { return finished_; });
    record(out);
  }
  void begin(std::uint64_t number, std::int32_t most) {
    const engine_export exported = prefill(fmt::format("q/1/{}/1", number));
    start();
    number_ = number;
    send(decode_request{header(number), "model", exported.export_id,
                        exported.address, exported.expires_in_us, prompt_tokens,
                        most, 0});
  }
  void until_token() {
    until([&] { return first_.has_value(); });
  }
  void reserve(std::uint64_t number, std::int32_t most) {
    send(reserve_request{header(number), prompt_tokens, most, 0});
  }
  void cancel(std::uint64_t number) {
    send(cancel_request{header(number).key});
  }
  /// Waits until the engine holds nothing that isn't done.
  void until_free() {
    bool free = false;
    while (!free) {
      bool answered = false;
      const auto call = engine_.held(
          [&](const engine_error&, const std::vector<engine_held>& held) {
            answered = true;
            free = std::all_of(held.begin(), held.end(),
                               [](const auto& one) { return one.pieces == 0; });
          });
      until([&] { return answered; });
    }
  }
  void run_for(duration span) {
    loop_.restart();
    loop_.run_for(span);
  }
  bool failed() const { return failed_; }

 private:
  template <typename Message>
  void send(const Message& message) {
    hub_->send("decode-1", make_frame(message)).IgnoreError();
  }
  static work_header header(std::uint64_t number) {
    work_header made;
    made.key = {"entry-1", 1, number, 1};
    made.organisation = "importers";
    made.service = "summary";
    made.deadline_us = 3'600'000'000;
    return made;
  }
  void start() {
    started_ = runtime_clock::now();
    first_.reset();
    finished_ = false;
  }
  void saw_token() {
    if (!first_) {
      first_ = runtime_clock::now();
    }
  }
  void record(timing& out) {
    failed_ = failed_ || !whole_;
    const time_point now = runtime_clock::now();
    out.first_us.push_back(
        static_cast<double>((first_.value_or(now) - started_).count()));
    out.whole_us.push_back(static_cast<double>((now - started_).count()));
  }
  void until(const std::function<bool()>& holds) {
    while (!holds()) {
      loop_.restart();
      loop_.run_one_for(milliseconds(10));
    }
  }

  boost::asio::io_context loop_;
  std::string engine_address_;
  engine_client engine_;
  std::unique_ptr<peer_hub> hub_;
  bool known_ = false;
  int reserved_ = 0;
  std::uint64_t number_ = 0;  ///< of the request under way
  bool finished_ = false;
  bool whole_ = false;
  bool failed_ = false;
  time_point started_{};
  std::optional<time_point> first_;
};

struct cost {
  timing times;
  double engine_us = 0;
  double endpoint_us = 0;
};

void print(const char* what, const cost& one) {
  const double per_request = one.endpoint_us / requests;
  fmt::print(
      "{}: first token {:.0f} us, whole {:.0f} us (medians); processor: "
      "engine {:.0f} us/request, endpoint process {:.0f} us/request, {:.0f} "
      "us/1000 tokens\n",
      what, median(one.times.first_us), median(one.times.whole_us),
      one.engine_us / requests, per_request, per_request * 1000 / tokens);
}

void measure_cancels(load& caller) {
  std::vector<double> spans;
  for (std::uint64_t at = 0; at < cancels; ++at) {
    const std::uint64_t number = 100000 + at;
    caller.begin(number, 4000);
    caller.until_token();
    const time_point asked = runtime_clock::now();
    caller.cancel(number);
    caller.until_free();
    spans.push_back(
        static_cast<double>((runtime_clock::now() - asked).count()));
  }
  fmt::print("cancel to free memory: median {:.0f} us, longest {:.0f} us\n",
             median(spans), *std::max_element(spans.begin(), spans.end()));
}

void measure_deaths(load& caller, std::uint16_t port) {
  for (std::uint64_t at = 0; at < deaths; ++at) {
    caller.begin(200000 + at, 80000);
    caller.until_token();
    const time_point died = runtime_clock::now();
    caller.die();
    caller.until_free();
    const auto span = (runtime_clock::now() - died).count();
    fmt::print("entry's death to free memory: {:.2f} s\n",
               static_cast<double>(span) / us_per_second);
    caller.connect(port);
  }
}

void measure_waiting(load& caller) {
  caller.begin(300000, 80000);
  caller.until_token();
  caller.run_for(milliseconds(200));
  const auto before = static_cast<double>(mallinfo2().uordblks);
  for (std::uint64_t at = 0; at < waiting_requests; ++at) {
    caller.reserve(300001 + at, 4000);
  }
  caller.run_for(milliseconds(500));
  const auto after = static_cast<double>(mallinfo2().uordblks);
  fmt::print("memory of a waiting request: {:.0f} bytes\n",
             (after - before) / waiting_requests);
}

int run() {
  loop_thread engine_thread;
  loop_thread endpoint_thread;
  fake::engine_options options;
  options.prefill_base = microseconds(100);
  options.token_interval = microseconds(200);
  options.load_lag = milliseconds(0);
  std::unique_ptr<fake::engine> engine;
  std::string engine_address;
  engine_thread.run([&] {
    engine = std::make_unique<fake::engine>(engine_thread.loop, options);
    engine_address = fmt::format("127.0.0.1:{}", engine->listen().value());
  });
  std::unique_ptr<endpoint_node> node;
  endpoint_thread.run([&] {
    node =
        std::make_unique<endpoint_node>(endpoint_thread.loop, engine_address);
  });
  load caller(engine_address);
  caller.connect(node->port);
  cost bare;
  cost through;
  for (std::uint64_t number = 1; number <= requests; ++number) {
    const double engine_0 = engine_thread.processor_us();
    caller.bare(number, bare.times);
    const double engine_1 = engine_thread.processor_us();
    const double endpoint_1 = endpoint_thread.processor_us();
    caller.through(number, through.times);
    bare.engine_us += engine_1 - engine_0;
    through.engine_us += engine_thread.processor_us() - engine_1;
    through.endpoint_us += endpoint_thread.processor_us() - endpoint_1;
  }
  fmt::print("{} requests of {} tokens, alternating\n", requests, tokens);
  print("bare engine", bare);
  print("through the endpoint process", through);
  measure_cancels(caller);
  measure_deaths(caller, node->port);
  measure_waiting(caller);
  endpoint_thread.run([&] { node.reset(); });
  engine_thread.run([&] { engine.reset(); });
  return caller.failed() ? 1 : 0;
}

}  // namespace

int main() {
  return run();
}
