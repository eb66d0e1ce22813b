// A randomized soak: four gateways as real processes on loopback addresses,
// killed, paused, drained and robbed of disks while operators publish, callers
// send, and servers leave, refuse and lose answers. CITRONWHARF_SOAK_SEEDS="1 2
// 3" plays other seeds, CITRONWHARF_SOAK_SECONDS sets the length of one.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <random>
#include <sstream>

#include "gateway_fakes.h"
#include "net/http_client.h"
#include "processes.h"
#include "run-until.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

namespace {

constexpr int gateways = 4;
constexpr int with_disk = 3;
constexpr int desks = 3;
// A server that says that it leaves gets nothing sent later than this.
constexpr std::chrono::milliseconds drain_bound(1500);
// A server that asks to be spared, and how soon that is heeded.
constexpr std::chrono::milliseconds spare_span(1000);
constexpr std::chrono::milliseconds spare_grace(500);
constexpr int max_sends_while_spared = 2;
constexpr const char* withdrawn_id = "withdrawn";
constexpr std::size_t max_withdrawn_calls = 200;

using steady = std::chrono::steady_clock;

std::string id_of(const http_request& request) {
  return find_header(request.headers, "Citronwharf-Request-Id");
}

class soak {
 public:
  explicit soak(std::uint64_t seed) : random_(seed) {
    list_.answers = [this](const http_request&,
                           std::unique_ptr<http_exchange> exchange) {
      json entries = json::array();
      for (const auto& each : desks_) {
        entries.push_back(listed(each->id, "desk", each->server));
      }
      exchange->respond(directory_response(entries));
    };
    for (int at = 0; at < desks; ++at) {
      desks_.push_back(std::make_unique<desk>(loop_, at));
      desks_.back()->server.answers =
          [this, at](const http_request& request,
                     std::unique_ptr<http_exchange> exchange) {
            serve(*desks_[at], request, std::move(exchange));
          };
    }
    for (int at = 0; at < gateways; ++at) {
      start(at, true);
    }
  }

  void play(std::chrono::seconds length) {
    BOOST_REQUIRE(run_until(loop_, [&] {
      publish();
      return acknowledged_ > 0;
    }));
    const auto end = std::chrono::steady_clock::now() + length;
    while (std::chrono::steady_clock::now() < end) {
      disturb();
      const auto pause =
          std::chrono::steady_clock::now() + std::chrono::milliseconds(400);
      while (std::chrono::steady_clock::now() < pause) {
        publish();
        for (int sent = 0; sent < 4; ++sent) {
          send(sent % 2 == 0 ? "/c/" : "/l/");
        }
        for (int sent = 0; sent < 4; ++sent) {
          send_with_withdrawn_key();
        }
        loop_.restart();
        loop_.run_for(std::chrono::milliseconds(20));
      }
    }
    recover();
    check();
  }

 private:
  struct sent_request {
    bool once = false;
    int runs = 0;
    int status = -1;  // -1: no response yet
    int gateway = 0;
    steady::time_point sent;
    std::unique_ptr<http_call> call;
  };

  // What a gateway was told by a server, until it restarts or is paused.
  struct told {
    std::optional<steady::time_point> leaving;
    std::vector<steady::time_point> refused;
    std::vector<steady::time_point> reached;
  };

  struct desk {
    desk(boost::asio::io_context& loop, int at)
        : server(loop), id(fmt::format("s{}", at)) {}
    fake_server server;
    std::string id;
    bool leaving = false;
    bool full = false;
    std::map<int, told> by_gateway;
  };

  static std::string host(int at) { return fmt::format("127.0.0.{}", at + 1); }
  static std::string name(int at) { return fmt::format("g{}", at + 1); }
  std::string address(int at, std::uint16_t port) const {
    return fmt::format("{}:{}", host(at), port);
  }

  void start(int at, bool first_start) {
    json settings{{"process", name(at)},
                  {"deployment", "soak"},
                  {"region", "r1"},
                  {"failure_domain", "z1"},
                  {"roles", {"gateway"}},
                  {"secret", "a secret of the soak, long enough for it"},
                  {"listen",
                   {{"callers", address(at, callers_)},
                    {"peers", address(at, peers_)},
                    {"admin", host(at) + ":0"}}},
                  {"limits", {{"drain_timeout_ms", 3000}}},
                  {"control", {{"snapshot_entries", 8}, {"keep_entries", 2}}},
                  {"gateway",
                   {{"readiness", host(at) + ":0"},
                    {"operators", address(at, operators_)},
                    {"directory", list_.address()},
                    {"directory_interval_ms", 200},
                    {"drain_announce_ms", 200},
                    {"seeds", {"127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1"}},
                    {"first_start", first_start},
                    {"tolerated_losses", 1}}}};
    if (at < with_disk) {
      settings["data_folder"] = data(at);
    }
    const std::string path = folder_.write(name(at) + ".json", settings.dump());
    children_[at].emplace("citronwharf_gateway",
                          std::vector<std::string>{"--settings=" + path},
                          fmt::format("{}/{}.log", folder_.path(), name(at)));
  }

  std::string data(int at) const {
    return folder_.path() + "/" + name(at) + "-data";
  }

  int draw(int bound) {
    return std::uniform_int_distribution<int>(0, bound - 1)(random_);
  }

  // One machine is disturbed at a time, so that a majority stays.
  void disturb() {
    for (auto& [at, child] : children_) {
      BOOST_TEST(child->running(), name(at) << " ended by itself");
    }
    if (paused_) {
      children_[*paused_]->send_signal(SIGCONT);
      paused_.reset();
    }
    const int at = draw(gateways);
    const int fault = draw(7);
    if (fault < 4) {
      forget_told(at);
    }
    switch (fault) {
      case 0:
        children_[at]->kill();
        start(at, false);
        return;
      case 1:
        children_[at]->send_signal(SIGSTOP);
        paused_ = at;
        return;
      case 2:
        children_[at]->send_signal(SIGTERM);
        children_[at]->wait(std::chrono::seconds(5));
        start(at, false);
        return;
      case 3:
        wipe(at);
        return;
      case 4:
        leave(*desks_[draw(desks)]);
        return;
      case 5:
        desks_[draw(desks)]->full ^= true;
        return;
      default:
        loses_answers_ = !loses_answers_;
    }
  }

  // At most one desk leaves at a time; it comes back under another id.
  void leave(desk& in) {
    for (const auto& each : desks_) {
      if (each->leaving) {
        check_told(*each);
        each->leaving = false;
        each->id += "+";
        return;
      }
    }
    in.leaving = true;
  }

  // A process that stood still or is new knows nothing of before.
  void forget_told(int gateway) {
    for (const auto& each : desks_) {
      check_told(*each);
      each->by_gateway.erase(gateway);
    }
  }

  // Checks and forgets what the desk's refusals asked for.
  static void check_told(desk& in) {
    for (auto& [gateway, each] : in.by_gateway) {
      for (const auto refused : each.refused) {
        const auto late = std::count_if(
            each.reached.begin(), each.reached.end(), [refused](auto reached) {
              return reached > refused + spare_grace &&
                     reached < refused + spare_span;
            });
        BOOST_TEST(late <= max_sends_while_spared);
      }
    }
    in.by_gateway.clear();
  }

  // A second disk may only be lost once the first replica is replaced.
  void wipe(int at) {
    if (at >= with_disk || wiped_) {
      return;
    }
    wiped_ = true;
    children_[at]->kill();
    std::filesystem::remove_all(data(at));
    start(at, false);
  }

  void serve(desk& at, const http_request& request,
             std::unique_ptr<http_exchange> exchange) {
    if (id_of(request) == withdrawn_id) {
      exchange->respond(reply(200, "done",
                              {{"Citronwharf-Server-Stamp", "s"},
                               {"Citronwharf-Request-Id", withdrawn_id}}));
      return;
    }
    sent_request& of = requests_[id_of(request)];
    if (find_header(request.headers, "Citronwharf-Expect-Instance") != at.id) {
      exchange->respond(reply(421, "", {{"Citronwharf-Not-Run", "1"}}));
      return;
    }
    told& known = at.by_gateway[of.gateway];
    known.reached.push_back(steady::now());
    BOOST_TEST((!known.leaving || of.sent < *known.leaving + drain_bound));
    if (at.full) {
      known.refused.push_back(steady::now());
      exchange->respond(reply(
          503, "",
          {{"Citronwharf-Not-Run", "1"},
           {"Retry-After", fmt::format("{}", spare_span.count() / 1000)}}));
      return;
    }
    ++of.runs;
    BOOST_TEST(find_header(request.headers, "Citronwharf-Tenant") == "t1");
    BOOST_TEST(find_header(request.headers, "Authorization").empty());
    if (loses_answers_ && draw(4) == 0) {
      return;  // the exchange closes the connection
    }
    std::vector<header_field> headers{
        {"Citronwharf-Server-Stamp", "s"},
        {"Citronwharf-Request-Id", id_of(request)}};
    if (at.leaving) {
      headers.push_back({"Server-Leaving", "1"});
      if (!known.leaving) {
        known.leaving = steady::now();
      }
    }
    exchange->respond(reply(200, id_of(request), std::move(headers)));
  }

  // Every other version withdraws the key of the second organisation, whose
  // requests wait for their allowance.
  static json tenants(int version) {
    json out{{{"name", "t1"}, {"apiKeys", {"k1"}}}};
    if (version % 2 == 0) {
      out.push_back({{"name", "t2"},
                     {"apiKeys", {"k2"}},
                     {"unit", "tokens"},
                     {"plainTokens", 200},
                     {"ratePerS", 20000},
                     {"burst", 400}});
    }
    return out;
  }

  // Whatever the answer: the process has to live.
  void send_with_withdrawn_key() {
    http_call_options options{address(draw(gateways), callers_)};
    options.connect_timeout = milliseconds(300);
    options.idle_timeout = milliseconds(1200);
    withdrawn_.push_back(fetch(loop_, options,
                               {"POST",
                                "/c/1",
                                {{"Host", "a.example"},
                                 {"Authorization", "Token k2"},
                                 {"Citronwharf-Request-Id", withdrawn_id},
                                 {"Citronwharf-Deadline-Ms", "1500"}},
                                "body",
                                ""},
                               [](const auto& /*response*/, bool) {}));
    if (withdrawn_.size() > max_withdrawn_calls) {
      withdrawn_.pop_front();
    }
  }

  void publish() {
    if (publishing_ && !published_) {
      return;
    }
    published_ = false;
    const int version = ++version_;
    const auto route = [](const char* prefix, const char* kind) {
      return json{{"name", prefix},       {"host", "a.example"},
                  {"pathPrefix", prefix}, {"kind", kind},
                  {"timeoutMs", 1500},    {"goalMs", 150},
                  {"service", "desk"},    {"attempts", 2}};
    };
    const json state{{"version", version},
                     {"routes", {route("/c/", "unsafe"), route("/l/", "safe")}},
                     {"services", {{{"name", "desk"}}}},
                     {"tenants", tenants(version)}};
    http_call_options options{address(draw(gateways), operators_)};
    options.connect_timeout = milliseconds(300);
    options.idle_timeout = milliseconds(1200);
    publishing_ =
        fetch(loop_, options, {"POST", "/-/Config.Put", {}, state.dump(), ""},
              [this, version](absl::StatusOr<http_response> response, bool) {
                published_ = true;
                if (response.ok() && response->status == 200) {
                  acknowledged_ = std::max(acknowledged_, version);
                }
              });
  }

  void send(const std::string& path) {
    const std::string id = fmt::format("q{}", ++last_id_);
    sent_request& of = requests_[id];
    of.once = path == "/c/";
    of.gateway = draw(gateways);
    of.sent = steady::now();
    http_call_options options{address(of.gateway, callers_)};
    options.connect_timeout = milliseconds(300);
    options.idle_timeout = milliseconds(2000);
    of.call = fetch(loop_, options,
                    {"POST",
                     path + "1",
                     {{"Host", "a.example"},
                      {"Authorization", "Token k1"},
                      {"Citronwharf-Request-Id", id},
                      {"Citronwharf-Deadline-Ms", "1500"}},
                     "body",
                     ""},
                    [this, id](absl::StatusOr<http_response> response, bool) {
                      sent_request& ended = requests_[id];
                      ended.status = response.ok() ? response->status : 0;
                      if (ended.status == 200) {
                        BOOST_TEST(response->body == id);
                      }
                    });
  }

  void recover() {
    if (paused_) {
      children_[*paused_]->send_signal(SIGCONT);
      paused_.reset();
    }
    loses_answers_ = false;
    for (const auto& each : desks_) {
      check_told(*each);
      each->full = false;
      each->id += each->leaving ? "+" : "";
      each->leaving = false;
    }
    BOOST_TEST(run_until(
        loop_,
        [&] {
          for (const auto& [id, request] : requests_) {
            if (request.call && request.status == -1) {
              return false;
            }
          }
          return true;
        },
        std::chrono::seconds(10)));
    // Each process serves again.
    for (int at = 0; at < gateways; ++at) {
      BOOST_TEST(run_until(loop_, [&] { return read_version(at) > 0; }));
    }
  }

  int read_version(int at) {
    int version = -1;
    http_call_options options{address(at, operators_)};
    options.connect_timeout = milliseconds(300);
    options.idle_timeout = milliseconds(1500);
    const auto call = fetch(
        loop_, options, {"GET", "/-/Config.Get", {}, "", ""},
        [&](absl::StatusOr<http_response> response, bool) {
          version = response.ok() && response->status == 200
                        ? json::parse(response->body).at("version").get<int>()
                        : 0;
        });
    run_until(loop_, [&] { return version != -1; });
    return version;
  }

  void check() {
    for (int at = 0; at < gateways; ++at) {
      BOOST_TEST(read_version(at) >= acknowledged_);
    }
    int served = 0;
    for (const auto& [id, request] : requests_) {
      served += request.status == 200 ? 1 : 0;
      BOOST_TEST_CONTEXT("request " << id << " status " << request.status) {
        BOOST_TEST((!request.once || request.runs <= 1));
        const bool promised = request.status == 503 || request.status == 429;
        BOOST_TEST((!promised || request.runs == 0));
        BOOST_TEST((request.status != 401 && request.status != 404));
      }
    }
    BOOST_TEST(served * 4 >= static_cast<int>(requests_.size()));
    BOOST_TEST_MESSAGE(served << " of " << requests_.size() << " served");
  }

  std::mt19937_64 random_;
  boost::asio::io_context loop_;
  test_folder folder_;
  fake_server list_{loop_};
  std::vector<std::unique_ptr<desk>> desks_;
  const std::uint16_t callers_ = free_port();
  const std::uint16_t peers_ = free_port();
  const std::uint16_t operators_ = free_port();
  std::map<int, std::optional<child_process>> children_;
  std::optional<int> paused_;
  bool wiped_ = false;
  bool loses_answers_ = false;
  int version_ = 0;
  int acknowledged_ = 0;
  bool published_ = true;
  std::unique_ptr<http_call> publishing_;
  std::deque<std::unique_ptr<http_call>> withdrawn_;
  int last_id_ = 0;
  std::map<std::string, sent_request> requests_;
};

std::string environment_or(const char* name, const char* otherwise) {
  const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe)
  return value == nullptr ? otherwise : value;
}

}  // namespace

BOOST_AUTO_TEST_CASE(promises_hold_under_faults_from_outside) {
  std::istringstream seeds(environment_or("CITRONWHARF_SOAK_SEEDS", "1 2"));
  const std::chrono::seconds length(
      std::stoi(environment_or("CITRONWHARF_SOAK_SECONDS", "8")));
  for (std::uint64_t seed = 0; seeds >> seed;) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      soak(seed).play(length);
    }
  }
}
