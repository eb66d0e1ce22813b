/// The limits on requests a second that servers have named, as known to a
/// gateway.
#ifndef CITRONWHARF_GATEWAY_SERVER_LIMITS_H_
#define CITRONWHARF_GATEWAY_SERVER_LIMITS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/value.h"
#include "citronwharf/configuration.h"

namespace citronwharf {

/// What a response answers. A server may name its limit in responses of some
/// kinds only.
enum class response_kind {
  request,  ///< a caller's request
  prompt,   ///< a prefill
  memory    ///< a request for engine memory
};
NLOHMANN_JSON_SERIALIZE_ENUM(response_kind,
                             {{response_kind::request, "request"},
                              {response_kind::prompt, "prompt"},
                              {response_kind::memory, "memory"}})

/// A server named its limit or ceased to, as gateways exchange it. Carries an
/// age, since the clocks of machines differ.
struct server_limit_state {
  std::string server;
  bool lifted = false;
  double requests_per_second = 0;  ///< 0 if lifted
  /// Kind of the response that named the limit.
  response_kind kind = response_kind::request;
  /// Since the limit was named, or since the request was sent whose response
  /// showed that it is lifted.
  std::int64_t age_ms = 0;
};
CITRONWHARF_VALUE(server_limit_state, server, lifted, requests_per_second, kind,
                  age_ms)

struct server_limits_options {
  /// A limit that a server goes on naming is shared again after this time, so
  /// that gateways that have just started learn it.
  duration share_interval = milliseconds(500);
  /// A limit that no response has named for this long is forgotten.
  duration lifetime = seconds(60);
};

/// Requests that a server without a limit takes, in effect.
constexpr double unlimited_rate = 1e6;

/// Returns the requests that the fleet sends to a server that named this rate.
/// A server that names none or next to none still gets a request now and then,
/// which shows whether it still names a limit.
allowance to_server_allowance(double requests_per_second);

/// A limit holds until a response of a kind that has named it names none, if
/// its request was sent after the limit was last named: responses may overtake
/// each other. Performs no I/O and reads no clock; the caller passes `now`. Not
/// thread-safe.
class server_limits {
 public:
  /// Returns another limit of a server, such as the rate of a cold one.
  using rate_lookup = std::function<std::optional<double>(
      const std::string& server, time_point now)>;

  explicit server_limits(server_limits_options options = {},
                         rate_lookup other_limit = {})
      : options_(options), other_limit_(std::move(other_limit)) {}

  /// Records what a response named; `rate` is empty if it named no limit.
  /// Returns what other gateways are to be told, if anything.
  std::optional<server_limit_state> heard(const std::string& server,
                                          response_kind kind,
                                          std::optional<double> rate,
                                          time_point sent_at, time_point now);
  /// Adds what another gateway knows. Returns whether the limit was set, was
  /// changed or was lifted by this.
  bool merge(const server_limit_state& in, time_point now);
  /// Returns the requests per second that the server takes from all gateways
  /// together, the lower of the rate that it named and its other limit; nothing
  /// if it is not limited.
  std::optional<double> rate(const std::string& server, time_point now) const;
  /// Returns the rate that the server named; nothing if it named none.
  std::optional<double> named_rate(const std::string& server,
                                   time_point now) const;
  /// Returns the number of servers that named a limit.
  std::size_t limited(time_point now) const;
  /// Forgets servers that are not among these.
  void keep(const std::set<std::string>& servers);
  /// Returns the named limits in force, each once for each kind of response
  /// that has named it.
  std::vector<server_limit_state> state(time_point now) const;

 private:
  struct limit {
    std::optional<double> rate;  // empty: lifted
    std::set<response_kind> kinds;
    time_point named_at{};
    time_point lifted_at{};
    time_point shared_at{};
  };

  bool holds(const limit& of, time_point now) const {
    return of.rate && now - of.named_at < options_.lifetime;
  }

  server_limits_options options_;
  rate_lookup other_limit_;
  std::map<std::string, limit> limits_;  // by server
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_SERVER_LIMITS_H_
