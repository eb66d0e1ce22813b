/// The servers of all services as a gateway believes them to be: what the
/// directory lists, what their responses tell, and what this process itself
/// has sent. Chooses the server of a request.
#ifndef CITRONWHARF_GATEWAY_SERVER_LIST_H_
#define CITRONWHARF_GATEWAY_SERVER_LIST_H_

#include <cstdint>
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
  /// A load that a server reported is believed for so long.
  duration load_lifetime = milliseconds(500);
  ejection_options eject;
  /// A server that had no memory or place is taken for full for so long; about
  /// the time in which one of its requests ends.
  duration full_lifetime = milliseconds(50);
  /// A server that said that it leaves is believed for so long unless the
  /// directory lists it anew. Servers end within seconds of saying so.
  duration leaving_lifetime = seconds(60);
  /// Requests that are on their way may still reach a server that asked to be
  /// spared; nothing is sent later than this.
  duration spare_grace = milliseconds(350);
  /// Requests that already hold memory at a server which asked to be spared.
  std::int64_t max_sends_while_spared = 2;
};

/// What is asked of a server.
struct server_need {
  std::string service;
  engine_stage stage = engine_stage::none;  ///< none: any
  std::int64_t tokens = 0;                  ///< of engine memory
  std::int64_t kv_tokens = 0;      ///< that an engine has, 0: not counted
  std::string near;                ///< failure domain that is preferred, or ""
  std::set<std::string> excluded;  ///< ids
};

/// A server that was chosen, with what spoke for it.
struct chosen_server {
  listed_server server;
  std::int64_t in_flight = 0;  ///< of this process
  std::int64_t reported = -1;  ///< running and waiting there; -1: unknown
  bool full = false;           ///< as far as is known, no place is free
};

/// How a request at a server ended.
enum class server_result {
  served,       ///< any whole response that is no failure of the server
  error,        ///< a whole response that is one
  refused,      ///< stated that it ran nothing
  failed,       ///< reset or broke off
  unreachable,  ///< no connection
  timed_out,    ///< silent for too long
  abandoned     ///< the gateway or the caller lost interest
};

/// No I/O, no clock of its own. One thread.
class server_list {
 public:
  server_list(server_list_options options, std::uint64_t seed);

  /// Takes what the directory lists now. Returns whether it differs.
  bool replace(const std::vector<listed_server>& listed, time_point now);
  bool empty() const { return servers_.empty(); }
  std::size_t leaving() const;
  std::size_t size() const { return servers_.size(); }

  /// Chooses a server for a request; nothing when none is listed. Servers that
  /// failed lately come last. Load it answers: many small gateways that share
  /// few servers, whose own counts are fresh and whose reports are late.
  std::optional<chosen_server> choose(const server_need& need, time_point now);

  /// A request of so many tokens is sent to the server.
  void started(const std::string& id, std::int64_t tokens, time_point now);
  /// It ended. Returns the span of an ejection that this starts.
  std::optional<duration> ended(const std::string& id, std::int64_t tokens,
                                server_result result, time_point now);
  /// The server answers: what it failed before no longer counts.
  void answers(const std::string& id);
  /// The server had no place for a request.
  void refused(const std::string& id, time_point now);
  /// The engine switches its stage and takes nothing for a while.
  void switching(const std::string& id, const announced_switch& in);
  bool is_switching(const std::string& id, time_point now) const;
  /// The fleet found that the server fails requests.
  void leave_alone(const std::string& id, duration span, time_point now);
  std::vector<listed_server> all() const;
  /// Returns the servers of a service.
  std::vector<listed_server> of_service(const std::string& service) const;
  /// The server itself, or another process that heard it, said that it leaves.
  /// Returns whether that is news.
  bool leaves(const std::string& id, time_point now);
  /// The server asked this process to send nothing for a span.
  void spare(const std::string& id, duration span, time_point now);
  /// Returns whether a request that holds memory at the server may be sent.
  bool may_send(const std::string& id, time_point now) const;
  /// Returns the servers of a service that asked to be spared.
  std::set<std::string> spared(const std::string& service,
                               time_point now) const;
  /// Returns how long it takes until one of the service's servers that asked to
  /// be spared may be used again; nothing when no server did.
  std::optional<duration> spared_for(const std::string& service,
                                     time_point now) const;
  /// A response told the load.
  void reported(const std::string& id, const server_load& load, time_point now);
  /// The server said that it isn't the one that is listed.
  void distrust(const std::string& id, time_point now);

 private:
  struct server_state {
    listed_server listed;  // as listed, or leaving by its own word
    bool listed_leaving = false;
    time_point leaving_until{};  // by its own word
    time_point spared_at{};      // when it asked for that
    time_point spared_until{};
    std::int64_t sent_while_spared = 0;
    std::int64_t in_flight = 0;
    std::int64_t tokens = 0;  // of the requests in flight
    std::optional<server_load> load;
    time_point load_at{};
    time_point full_until{};
    announced_switch switched;
    ejection ejected;
    time_point outlier_until{};
  };

  double cost(const server_state& state, const server_need& need,
              time_point now);
  static bool is_full(const server_state& state, const server_need& need,
                      time_point now);
  bool is_spared(const server_state& state, time_point now) const {
    return now < state.spared_until &&
           now >= state.spared_at + options_.spare_grace;
  }

  server_list_options options_;
  std::mt19937_64 random_;
  std::map<std::string, server_state> servers_;  // by id
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_SERVER_LIST_H_
