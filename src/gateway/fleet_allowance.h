/// Allowances of organisations over all gateways: the leader counts, gateways
/// ask it, and fall back to their part when it can't be reached.
#ifndef CITRONWHARF_GATEWAY_FLEET_ALLOWANCE_H_
#define CITRONWHARF_GATEWAY_FLEET_ALLOWANCE_H_

#include <map>
#include <string>

#include "base/clock.h"
#include "policy/token_bucket.h"
#include "wire/document_messages.h"

namespace citronwharf {

/// Rate and burst as token_bucket takes them.
allowance to_allowance(double tokens_per_second, double burst_tokens);

/// The leader's count. No I/O, no clock of its own. One thread.
class fleet_allowance_home {
 public:
  /// A process that starts to lead gives what accrues from now on and a part
  /// of the burst: the one that led before may have just given the rest.
  void start_leading() { buckets_.clear(); }

  /// Gives the tokens, or says when they will have accrued. While over half of
  /// the burst is there, a gateway gets a surplus for requests to come.
  fleet_tokens_reply ask(const fleet_tokens_ask& in, const allowance& limit,
                         time_point now);

 private:
  std::map<std::string, token_bucket> buckets_;  // by organisation
};

/// One gateway's view. No I/O, no clock of its own. One thread.
class fleet_allowance_share {
 public:
  /// Takes tokens from the surplus at hand.
  bool take_surplus(const std::string& organisation, double tokens,
                    time_point now);
  void add_surplus(const std::string& organisation, double tokens,
                   time_point now);
  /// Takes tokens of this gateway's own part of the allowance, for when the
  /// leader can't be asked. Returns the wait until they are there, zero when
  /// they were taken.
  duration take_own_part(const std::string& organisation,
                         const allowance& limit, double tokens,
                         std::size_t processes, time_point now);

 private:
  struct surplus {
    double tokens = 0;
    time_point until{};
  };
  std::map<std::string, surplus> surplus_;        // by organisation
  std::map<std::string, token_bucket> own_part_;  // by organisation
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_FLEET_ALLOWANCE_H_
