// Slopes for docs/CAPACITY.md: what one more session, organisation, token or
// endpoint costs a process. At least four points a slope, residuals shown.
#include <fmt/format.h>
#include <malloc.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cmath>
#include <ctime>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/configuration_json.h"
#include "base/configuration_view.h"
#include "net/handshake.h"
#include "net/peer_hub.h"
#include "policy/placement.h"
#include "wire/request_messages.h"

namespace citronwharf {
namespace {

struct point {
  double x = 0;
  double y = 0;
};

// A least-squares line with the largest residual, in the unit of y.
struct line {
  double slope = 0;
  double base = 0;
  double largest_residual = 0;
};

line fit(const std::vector<point>& points) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const point& each : points) {
    sum_x += each.x;
    sum_y += each.y;
    sum_xx += each.x * each.x;
    sum_xy += each.x * each.y;
  }
  const auto count = static_cast<double>(points.size());
  line made;
  made.slope =
      (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
  made.base = (sum_y - made.slope * sum_x) / count;
  for (const point& each : points) {
    const double residual = std::abs(each.y - made.base - made.slope * each.x);
    made.largest_residual = std::max(made.largest_residual, residual);
  }
  return made;
}

void report(const std::string& name, const std::string& unit,
            const std::vector<point>& points) {
  const line made = fit(points);
  nlohmann::json list = nlohmann::json::array();
  for (const point& each : points) {
    list.push_back({each.x, each.y});
  }
  fmt::print("{}\n", nlohmann::json{{"slope", name},
                                    {"unit", unit},
                                    {"value", made.slope},
                                    {"base", made.base},
                                    {"largest_residual", made.largest_residual},
                                    {"points", list}}
                         .dump());
  fmt::print("# {:<44} {:>12.4g} {} (base {:.4g}, residual {:.3g})\n", name,
             made.slope, unit, made.base, made.largest_residual);
}

double processor_seconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  constexpr double nanosecond = 1e-9;
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * nanosecond;
}

double allocated_bytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

// Processor microseconds of one call, over enough calls to be steady.
double microseconds_each(int calls, const std::function<void()>& call) {
  const double before = processor_seconds();
  for (int done = 0; done < calls; ++done) {
    call();
  }
  constexpr double microseconds_per_second = 1e6;
  return (processor_seconds() - before) * microseconds_per_second / calls;
}

std::unique_ptr<peer_hub> make_hub(boost::asio::io_context& loop,
                                   const std::string& name) {
  peer_hub_options options;
  options.self = {name, 1};
  options.deployment = "bench";
  options.secret = std::string(32, 's');
  return std::make_unique<peer_hub>(loop, options);
}

// Idle sessions of one hub; both ends live in this process, so a session's
// cost counts both ends and is halved.
void measure_sessions() {
  std::vector<point> memory;
  std::vector<point> processor;
  for (const int sessions : {10, 50, 100, 200}) {
    boost::asio::io_context loop;
    const double before = allocated_bytes();
    const auto centre = make_hub(loop, "centre");
    const auto port = centre->listen();
    std::vector<std::unique_ptr<peer_hub>> others;
    int up = 0;
    centre->on_session(
        [&](const peer_id&, bool is_up) { up += is_up ? 1 : 0; });
    for (int number = 0; number < sessions; ++number) {
      others.push_back(make_hub(loop, fmt::format("p{}", number)));
      others.back()->connect("centre", fmt::format("127.0.0.1:{}", *port));
    }
    while (up < sessions) {
      loop.run_one();
    }
    loop.run_for(std::chrono::seconds(1));
    memory.push_back(
        {static_cast<double>(sessions), (allocated_bytes() - before) / 2});
    const double start = processor_seconds();
    constexpr int seconds_idle = 4;
    loop.run_for(std::chrono::seconds(seconds_idle));
    constexpr double microseconds_per_second = 1e6;
    processor.push_back({static_cast<double>(sessions),
                         (processor_seconds() - start) *
                             microseconds_per_second / seconds_idle / 2});
  }
  report("memory of a session", "bytes/session", memory);
  report("processor time of an idle session", "us/s/session", processor);
}

configuration configuration_of(int organisations) {
  configuration made;
  made.version = 1;
  for (int number = 0; number < organisations; ++number) {
    const std::string name = fmt::format("organisation-{:06}", number);
    made.organisations.push_back({name, 1.0, {1000, 20000}});
    made.keys.push_back(
        {fmt::format("key-{:06}", number), name, std::string(64, 'a'), false});
  }
  return made;
}

void measure_configuration() {
  std::vector<point> memory;
  std::vector<point> snapshot;
  std::vector<point> decoding;
  for (const int organisations : {1000, 4000, 8000, 14000}) {
    const double before = allocated_bytes();
    configuration_view view;
    view.replace(configuration_of(organisations));
    const auto x = static_cast<double>(organisations);
    memory.push_back({x, allocated_bytes() - before});
    const frame whole{"snapshot", nlohmann::json(*view.current())};
    const std::string bytes = encode_frame(whole);
    snapshot.push_back({x, static_cast<double>(bytes.size())});
    decoding.push_back({x, microseconds_each(3, [&] {
                          const auto in = decode_frame(bytes);
                          (void)decode_value<configuration>(in->body);
                        })});
  }
  report("memory of an organisation with a key", "bytes", memory);
  report("snapshot bytes of an organisation with a key", "bytes", snapshot);
  report("reading a snapshot, an organisation with a key", "us", decoding);
}

void measure_frames() {
  std::vector<point> bytes;
  std::vector<point> processor;
  for (const int tokens : {1, 4, 16, 64}) {
    tokens_message message{{"entry-1", 123456789, 4242, 1}, 100, {}};
    message.tokens.assign(static_cast<std::size_t>(tokens), "token ");
    const auto x = static_cast<double>(tokens);
    bytes.push_back(
        {x, static_cast<double>(encode_frame(make_frame(message)).size())});
    constexpr int calls = 20000;
    processor.push_back({x, microseconds_each(calls, [&] {
                           const std::string out =
                               encode_frame(make_frame(message));
                           const auto in = decode_frame(out);
                           (void)decode_value<tokens_message>(in->body);
                         })});
  }
  fmt::print("# heartbeat frame: {} bytes\n",
             encode_frame(make_frame(session_heartbeat{})).size());
  report("bytes of a token in a frame", "bytes/token", bytes);
  report("writing and reading a token in a frame", "us/token", processor);
}

void measure_placement() {
  std::vector<point> processor;
  for (const int endpoints : {8, 32, 128, 512}) {
    configuration next;
    next.version = 1;
    for (int number = 0; number < endpoints; ++number) {
      endpoint made;
      made.name = fmt::format("decode-{}", number);
      made.pool = "pool";
      made.role = endpoint_role::decode;
      made.failure_domain = fmt::format("domain-{}", number % 8);
      next.endpoints.push_back(made);
    }
    placement_options options;
    options.entry = "entry-1";
    placement choice(options);
    choice.configure(next);
    const time_point now = runtime_clock::now();
    for (const endpoint& each : next.endpoints) {
      choice.reachable(each.name, true, now);
      choice.observe(each.name, endpoint_load{}, now);
    }
    placement_query query;
    query.pool = "pool";
    query.prompt_tokens = 1000;
    constexpr int calls = 5000;
    processor.push_back(
        {static_cast<double>(endpoints), microseconds_each(calls, [&] {
           (void)choice.choose(query, 3, now);
         })});
  }
  report("choosing among endpoints of a pool", "us/endpoint", processor);
}

}  // namespace
}  // namespace citronwharf

int main() {
  citronwharf::measure_sessions();
  citronwharf::measure_configuration();
  citronwharf::measure_frames();
  citronwharf::measure_placement();
  return 0;
}
