/// The state of the servers of all services as known to a gateway: what the
/// directory lists, what responses report, and what this process itself has
/// sent. Chooses the server of a request.
#ifndef CITRONWHARF_GATEWAY_SERVER_LIST_H_
#define CITRONWHARF_GATEWAY_SERVER_LIST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/codec.h"
#include "gateway/ejection.h"

namespace citronwharf {

struct server_list_options {
  std::string failure_domain;  ///< of this process
  /// How long a load reported by a server is used.
  duration load_report_lifetime = milliseconds(500);
  ejection_options eject;
  /// How long a server that refused for lack of memory or slots is treated as
  /// full; about the time in which one of its requests ends.
  duration full_lifetime = milliseconds(50);
  /// How long a server that announced its shutdown is treated as leaving unless
  /// the directory lists it as ready again. Servers stop within seconds of the
  /// announcement.
  duration leaving_lifetime = seconds(60);
  /// How long a leaving server takes streams that must go on at its software
  /// version. Below the time for which servers serve after they announced their
  /// shutdown, less the lag of the directory.
  duration resume_at_leaving = milliseconds(1000);
  /// Requests already on their way may still reach a server this long after it
  /// asked for a back-off; none is sent later.
  duration backoff_grace = milliseconds(350);
  /// Limit for requests sent during a back-off because they already hold memory
  /// at the server.
  std::int64_t max_sends_in_backoff = 2;
  /// Returns whether a server is cold. No server is when empty.
  std::function<bool(const std::string& id, time_point now)> is_cold;
};

/// Requirements for the server of a request.
struct server_criteria {
  std::string service;
  engine_stage stage = engine_stage::none;  ///< none: any
  std::int64_t tokens = 0;                  ///< engine memory needed
  std::int64_t kv_tokens = 0;      ///< engine memory in tokens; 0: not limited
  std::string preferred_domain;    ///< preferred failure domain, or ""
  std::set<std::string> excluded;  ///< ids
  std::string software_version;    ///< "": any
};

/// A chosen server and the data behind the choice.
struct chosen_server {
  listed_server server;
  std::int64_t in_flight = 0;       ///< requests of this process
  std::int64_t reported_load = -1;  ///< running and waiting; -1: unknown
  bool full = false;                ///< no free slot or memory known
  /// Time until the server takes another request, as its limit goes.
  duration limit_wait{};
};

/// How a request ended at a server.
enum class server_result {
  served,       ///< complete response, not a server error
  error,        ///< complete response, a server error
  refused,      ///< the server stated that it ran nothing
  failed,       ///< connection reset or response incomplete
  unreachable,  ///< no connection established
  timed_out,    ///< no answer in time
  abandoned     ///< cancelled by the gateway or the caller
};

/// Performs no I/O and reads no clock; the caller passes `now`. Not
/// thread-safe; use from the event loop thread only.
class server_list {
 public:
  server_list(server_list_options options, std::uint64_t seed);

  /// Replaces the list by what the directory lists now. Returns whether it
  /// differs.
  bool replace(const std::vector<listed_server>& listed, time_point now);
  bool empty() const { return servers_.empty(); }
  std::size_t leaving() const;
  std::size_t size() const { return servers_.size(); }

  /// Chooses a server for a request; returns nothing when none is eligible.
  /// Servers that failed recently come last. Designed for this load: many small
  /// gateways that share few servers; the own counts of a gateway are current,
  /// the loads reported by servers lag.
  std::optional<chosen_server> choose(const server_criteria& criteria,
                                      time_point now);

  /// Records that a request of so many tokens is sent to the server.
  void started(const std::string& id, std::int64_t tokens, time_point now);
  /// Records that the request ended. Returns the span of an ejection if this
  /// starts one.
  std::optional<duration> ended(const std::string& id, std::int64_t tokens,
                                server_result result, time_point now);
  /// Records that a request has not been answered in time and goes on. Returns
  /// the span of an ejection if this starts one.
  std::optional<duration> silent(const std::string& id, time_point now);
  /// Records that the server responds; earlier failures no longer count.
  void answers(const std::string& id);
  /// Records that the server was full.
  void refused(const std::string& id, time_point now);
  /// Records an announced stage switch; the engine takes no requests until it
  /// ends.
  void switching(const std::string& id, const announced_switch& announced);
  bool is_switching(const std::string& id, time_point now) const;
  /// Returns the software version that the directory lists for a server.
  std::optional<std::string> software_version(const std::string& id) const;
  /// Returns whether the directory lists a server of this software version that
  /// is not leaving, or only since its failure domain is evacuated.
  bool has_version(const std::string& service,
                   const std::string& version) const;
  /// Avoids, for a span, a server that fleet-wide outlier detection found to
  /// fail requests.
  void mark_outlier(const std::string& id, duration span, time_point now);
  std::vector<listed_server> all() const;
  std::vector<listed_server> servers_of_service(
      const std::string& service) const;
  /// Records that the server announced its shutdown, to this process or to
  /// another one. Returns whether that was not known yet.
  bool leaves(const std::string& id, time_point now);
  /// Records that the server asked this process to send nothing for a span.
  void start_backoff(const std::string& id, duration span, time_point now);
  /// Records that the limit that the server named is used up for a span. It is
  /// chosen only if there is no other server.
  void limit_reached(const std::string& id, duration span, time_point now);
  /// Returns whether a request that already holds memory at the server may be
  /// sent: it is not evacuated, and not in a back-off with too many of these.
  bool may_send(const std::string& id, time_point now) const;
  /// Returns whether the failure domain of the server is evacuated.
  bool is_evacuated(const std::string& id) const;
  /// Returns the servers of a service that are in a back-off they asked for.
  std::set<std::string> servers_in_backoff(const std::string& service,
                                           time_point now) const;
  /// Returns the time until the first server of the service ends its back-off
  /// or takes another request, as its limit goes; nothing when no server is in
  /// a back-off or at its limit.
  std::optional<duration> min_wait(const std::string& service,
                                   time_point now) const;
  /// Records the load reported in a response.
  void update_load(const std::string& id, const server_load& load,
                   time_point now);
  /// Ejects a server at once: it could not be reached, or it stated that it is
  /// not the listed instance.
  void eject_server(const std::string& id, time_point now);

 private:
  struct server_state {
    listed_server listed;  // `leaving` is also set by its own announcement
    bool listed_leaving = false;
    time_point leaving_since{};
    time_point leaving_until{};  // after its own announcement
    time_point backoff_started{};
    time_point backoff_until{};
    std::int64_t sends_in_backoff = 0;
    std::int64_t in_flight = 0;
    std::int64_t tokens = 0;  // of the requests in flight
    std::optional<server_load> load;
    time_point load_received_at{};
    time_point full_until{};
    announced_switch stage_switch;
    ejection ejection_state;
    time_point outlier_until{};
    time_point limited_until{};
  };

  double cost(const server_state& state, const server_criteria& criteria,
              time_point now);
  static bool is_full(const server_state& state,
                      const server_criteria& criteria, time_point now);
  bool in_backoff(const server_state& state, time_point now) const {
    return now < state.backoff_until &&
           now >= state.backoff_started + options_.backoff_grace;
  }

  server_list_options options_;
  std::mt19937_64 random_;
  std::map<std::string, server_state> servers_;  // by id
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_SERVER_LIST_H_
