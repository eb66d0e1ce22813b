// The generations of a soak run: callers send them to gateways over persistent
// connections; what callers and engines see of each is checked.
#ifndef CITRONWHARF_TEST_SOAK_GENERATIONS_H_
#define CITRONWHARF_TEST_SOAK_GENERATIONS_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "gateway_fakes.h"
#include "net/http_pool.h"
#include "soak_log.h"
#include "soak_routes.h"

namespace citronwharf::test {

// Events of each stream.
constexpr int stream_events = 4;
constexpr std::chrono::milliseconds generation_deadline(2000);
// How long after its deadline a request may end: the target allows half a
// second.
constexpr std::chrono::milliseconds end_margin(500);

/// An event of a stream, with the request and the run that it belongs to.
inline std::string soak_event(int event, const std::string& request, int run) {
  return fmt::format("id: {}\ndata: {} {}\n\n", event, request, run);
}

/// What a soak knows of the state of a gateway.
struct gateway_times {
  std::vector<std::pair<steady::time_point, steady::time_point>> suspended;
  std::optional<steady::time_point> killed;  // most recently
};

inline steady::duration suspended_between(const gateway_times& in,
                                          steady::time_point from,
                                          steady::time_point to) {
  steady::duration out{};
  for (const auto& [start, end] : in.suspended) {
    out +=
        std::max(steady::duration{}, std::min(end, to) - std::max(start, from));
  }
  return out;
}

/// All generations of a run. Checks that each begins to run in one engine at
/// most unless it may be resumed, that none runs that was refused, that events
/// come once, in order, from one run and one software version, and that each
/// ends in time.
class generation_book {
 public:
  struct generation {
    std::string id;
    bool once = false;
    bool moves = false;  // its route, between services and away
    int gateway = 0;
    steady::time_point sent;
    int runs = 0;
    int status = -1;  // -1: no response yet; 0: none came
    std::string body;
    std::optional<steady::time_point> ended;
    bool served = false;
    bool overdue = false;
    std::vector<std::string> trail;
    std::unique_ptr<http_call> call;
  };

  generation_book(boost::asio::io_context& loop, soak_log& log,
                  const std::vector<gateway_times>& gateways)
      : pool_(loop, {}), log_(log), gateways_(gateways) {}

  /// Sends a generation by the route with this prefix.
  const generation& send(int gateway, const std::string& address,
                         const std::string& prefix) {
    const std::string id = fmt::format("gen{}", ++last_id_);
    generation& added = generations_[id];
    added.id = id;
    added.once = prefix != resumable_prefix;
    added.moves = prefix == moved_stream_prefix;
    added.gateway = gateway;
    added.sent = steady::now();
    note(id, fmt::format("sent to g{}{}, {}", gateway + 1, prefix,
                         added.once ? "may run once" : "may be resumed"));
    http_call_handlers handlers;
    handlers.on_head = [&added](const http_response& head) {
      added.status = head.status;
    };
    handlers.on_body = [&added](const std::string& part) {
      added.body += part;
    };
    handlers.on_done = [this, &added] { end(added, true, ""); };
    handlers.on_failure = [this, &added](const http_failure& failure) {
      end(added, false,
          fmt::format("{}, sent={}", std::string(failure.status.message()),
                      failure.sent));
    };
    pooled_call call;
    call.address = address;
    added.call =
        pool_.start(call,
                    {"POST",
                     prefix + "1",
                     {{"Host", "a.example"},
                      {"Authorization", added.moves ? moved_key : "Token k1"},
                      {"Citronwharf-Request-Id", id},
                      {"Citronwharf-Token-Count", "1000,80"},
                      {"Citronwharf-Deadline-Ms",
                       fmt::format("{}", generation_deadline.count())}},
                     "body",
                     ""},
                    std::move(handlers));
    return added;
  }

  /// A request reaches an engine. Checks that its route may lead there.
  void reach(const std::string& id, bool moved_service) {
    generation& of = generations_[id];
    check(of, of.id == id && of.moves == moved_service,
          "MISROUTED: reaches a service that its route never had");
  }

  /// An engine begins to run a request. Returns the number of the run.
  int begin_run(const std::string& id, const std::string& engine,
                const std::string& version, int first_event) {
    generation& of = generations_[id];
    ++of.runs;
    note(id, fmt::format("runs at {} ({}) as run {} from event {}", engine,
                         version, ++last_run_, first_event));
    version_of_run_[last_run_] = version;
    check(of, !of.once || of.runs == 1, "TWICE: runs again");
    check(of, !promised_not_run(of), "REFUSED: runs after it was refused");
    return last_run_;
  }

  void note(const std::string& id, const std::string& what) {
    generations_[id].trail.push_back(log_.at_present(what));
  }

  /// Checks that no request has outlasted its deadline.
  void check_deadlines() {
    const auto now = steady::now();
    for (auto& [id, each] : generations_) {
      if (each.ended || each.overdue) {
        continue;
      }
      const auto limit =
          generation_deadline + end_margin +
          suspended_between(gateways_[each.gateway], each.sent, now);
      each.overdue = now - each.sent > limit;
      check(each, !each.overdue, "no end long after its deadline");
    }
  }

  bool all_ended() const {
    return std::all_of(
        generations_.begin(), generations_.end(),
        [](const auto& each) { return each.second.ended.has_value(); });
  }

  /// Checks that the generations from number `first` on were served.
  void check_served(int first) {
    for (int number = first; number <= last_id_; ++number) {
      const generation& each = generations_[fmt::format("gen{}", number)];
      check(each, each.served, "RECOVER: is not served");
    }
  }

  int served() const {
    return static_cast<int>(
        std::count_if(generations_.begin(), generations_.end(),
                      [](const auto& each) { return each.second.served; }));
  }
  int served_moved() const {
    return static_cast<int>(std::count_if(
        generations_.begin(), generations_.end(), [](const auto& each) {
          return each.second.moves && each.second.served;
        }));
  }
  int sent() const { return static_cast<int>(generations_.size()); }

  /// Returns the trails of the requests of failed checks, each with what its
  /// gateway logged.
  std::vector<std::string> failed_trails(
      const std::function<std::vector<std::string>(
          int gateway, const std::string& id)>& gateway_log) {
    std::vector<std::string> out;
    for (const std::string& id : failed_) {
      const generation& of = generations_[id];
      for (const std::string& line : of.trail) {
        out.push_back(fmt::format("{} {}", id, line));
      }
      for (const std::string& line : gateway_log(of.gateway, id)) {
        out.push_back(fmt::format("{} gateway: {}", id, line));
      }
    }
    return out;
  }

 private:
  static bool promised_not_run(const generation& in) {
    return in.status == 404 || in.status == 408 || in.status == 421 ||
           in.status == 429 || in.status == 503;
  }

  void check(const generation& of, bool holds, const std::string& what) {
    log_.check(holds, of.id + ": " + what);
    if (!holds) {
      note(of.id, "FAILED: " + what);
      failed_.insert(of.id);
    }
  }

  void end(generation& in, bool complete, const std::string& error) {
    constexpr int status_ok = 200;
    in.ended = steady::now();
    in.status = std::max(in.status, 0);
    note(in.id, fmt::format("ended, status {}, {}", in.status,
                            complete ? "complete" : "cut: " + error));
    check(in, !promised_not_run(in) || in.runs == 0,
          "REFUSED: had run when it was refused");
    check(in, in.status != 401 && (in.moves || in.status != 404),
          "refused for good");
    if (in.status == status_ok) {
      check_events(in, complete);
      in.served = complete;
    }
    const auto& killed = gateways_[in.gateway].killed;
    check(in, in.status != 0 || in.runs == 0 || (killed && *killed >= in.sent),
          "runs, and its connection is closed without an answer");
  }

  // A broken stream may end anywhere, but holds nothing twice, joined or out of
  // order.
  void check_events(const generation& in, bool complete) {
    std::istringstream body(in.body);
    std::set<int> runs;
    std::set<std::string> versions;
    int events = 0;
    std::string id_line;
    std::string data_line;
    std::string empty_line;
    while (std::getline(body, id_line) && std::getline(body, data_line) &&
           std::getline(body, empty_line) && !body.eof()) {
      ++events;
      int run = 0;
      std::string prefix;
      std::string request;
      std::istringstream(data_line) >> prefix >> request >> run;
      runs.insert(run);
      versions.insert(version_of_run_[run]);
      check(in, id_line == fmt::format("id: {}", events),
            fmt::format("ORDER: '{}' as event {}", id_line, events));
      check(in, request == in.id, "MIXED: has an event of " + request);
    }
    check(in, !in.once || runs.size() <= 1, "ORDER: has events of two runs");
    check(in, versions.size() <= 1,
          "ORDER: has events of two software versions");
    check(in, !complete || events == stream_events,
          fmt::format("ORDER: complete after {} events", events));
  }

  http_pool pool_;
  soak_log& log_;
  const std::vector<gateway_times>& gateways_;
  std::map<std::string, generation> generations_;
  std::set<std::string> failed_;  // ids
  int last_id_ = 0;
  int last_run_ = 0;
  std::map<int, std::string> version_of_run_;
};

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_SOAK_GENERATIONS_H_
