/// Which servers are cold, that is, have started so recently that they handle
/// few requests, and how many requests a second they take meanwhile.
#ifndef CITRONWHARF_GATEWAY_WARM_UP_H_
#define CITRONWHARF_GATEWAY_WARM_UP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/value.h"
#include "gateway/codec.h"
#include "gateway/gateway_configuration.h"

namespace citronwharf {

/// What a gateway learned about a server otherwise than from the directory, as
/// gateways exchange it. Carries a span, since the clocks of machines differ.
struct cold_state {
  std::string server;
  /// It refused a connection and has not answered since.
  bool unreachable = false;
  std::int64_t left_ms = 0;  ///< for which the server stays cold
};
CITRONWHARF_VALUE(cold_state, server, unreachable, left_ms)

/// Designed for this load: a failure domain with many servers returns at once,
/// while 28 gateways with or without a leader have requests for all of them. A
/// cold server takes a few requests a second and crashes well above that, so
/// each one has its own rate from the moment at which it is listed or answers.
/// The rate applies until the server is warm, without further events.
///
/// Services without a rate for cold servers are not affected. Performs no I/O
/// and reads no clock; the caller passes `now`. Not thread-safe.
class warm_up {
 public:
  /// Replaces the services.
  void set_services(const std::vector<gateway_service>& services);
  /// Replaces the servers by those that the directory lists now. Servers that
  /// were not listed before and servers that leave no longer have started. Of
  /// the first list of a process only those are cold that the list says are.
  void set_servers(const std::vector<listed_server>& listed, time_point now);
  /// Records that a server refused a connection. It counts as cold until it
  /// answers, and from then on for the time that its service needs. Returns
  /// what other gateways are to be told, if anything.
  std::optional<cold_state> refused_connection(const std::string& server,
                                               time_point now);
  /// Records a response to a request that was sent at `sent_at`. `left` is the
  /// time for which the server said that it stays cold. Returns what other
  /// gateways are to be told, if anything.
  std::optional<cold_state> answered(const std::string& server,
                                     std::optional<duration> left,
                                     time_point sent_at, time_point now);
  /// Adds what another gateway knows. Returns whether that is news.
  bool merge(const cold_state& in, time_point now);
  /// Records that the evacuation of a failure domain has ended: its servers
  /// have been idle and count as just started.
  void on_domain_restored(const std::string& domain, time_point now);

  /// Returns the requests per second that a cold server takes from all gateways
  /// together; nothing if the server is warm. A server that is not listed is of
  /// an unknown service, and counts as a cold one of the lowest rate: the
  /// leader may get its list later than the gateways that ask it.
  std::optional<double> rate(const std::string& server, time_point now) const;
  /// Returns the number of cold servers.
  std::size_t cold_servers(time_point now) const;
  /// Returns what was learned otherwise than from the directory.
  std::vector<cold_state> learned(time_point now) const;

 private:
  struct terms {
    duration cold_time{};
    double requests_per_second = 0;
  };
  struct server_state {
    std::string service;
    std::string failure_domain;
    bool leaving = false;
    std::int64_t listed_left_ms = 0;
    std::optional<time_point> started_at;  // if observed by this process
    std::optional<time_point> refused_at;  // and has not answered since
    time_point listed_until{};             // cold by the list
    time_point learned_until{};            // cold by responses or gateways
  };

  const terms* find_terms(const server_state& of) const;
  static time_point known_end(const server_state& of, const terms& with);
  bool is_cold(const server_state& of, time_point now) const;

  std::map<std::string, terms> services_;        // by name; with a rate only
  std::optional<double> lowest_rate_;            // of all services
  bool was_listed_ = false;                      // a server, to this process
  std::map<std::string, server_state> servers_;  // by id
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_WARM_UP_H_
