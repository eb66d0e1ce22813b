/// Division of the tokens of one account between urgencies.
#ifndef CITRONWHARF_GATEWAY_URGENCY_SHARES_H_
#define CITRONWHARF_GATEWAY_URGENCY_SHARES_H_

#include <cstddef>
#include <vector>

#include "base/clock.h"
#include "policy/token_bucket.h"

namespace citronwharf {

/// Divides the content of a token bucket between urgencies. Designed for this
/// load: an organisation asks for one to four times its allowance, at several
/// urgencies, for some seconds; its more urgent requests are large, the others
/// small. The more urgent ones get what they ask for, as far as possible. A
/// less urgent one gets what lies in the bucket beyond a reserve for the more
/// urgent, and a guaranteed rate that is saved as its credit, part of the
/// bucket's content. Performs no I/O and reads no clock; the caller passes
/// `now`. Not thread-safe.
class urgency_shares {
 public:
  /// Larger urgencies count as the last one.
  static constexpr std::size_t max_urgencies = 8;

  /// Records that tokens were asked for, whether they are granted or not.
  void record_ask(std::size_t urgency, double tokens, time_point now);
  /// Adds what the credits gained since the last call.
  void update(const allowance& limit, time_point now);
  /// Returns what requests of an urgency may take now, of `content` tokens in
  /// the bucket. `urgent_waits` states whether more urgent requests wait; then
  /// it is the credit only. May be negative. Precondition: update(now).
  double available(std::size_t urgency, double content,
                   bool urgent_waits) const;
  /// Returns the rate at which an urgency is likely to get tokens.
  /// Precondition: update(now).
  double rate(std::size_t urgency) const;
  /// Records that a request was granted tokens of the bucket.
  void take(std::size_t urgency, double tokens);

 private:
  struct level {
    double asked = 0;  // tokens, decayed by age
    double rate = 0;   // tokens a second that are asked for
    // Tokens and requests, decayed by age more slowly.
    double sized_tokens = 0;
    double sized_count = 0;
    double guaranteed = 0;  // tokens a second
    double credit = 0;

    double mean_size() const {
      return sized_count > 0 ? sized_tokens / sized_count : 0;
    }
  };
  double credits() const;
  bool short_of_tokens(std::size_t urgency) const;
  double large_size(std::size_t urgency) const;
  double max_credit(const level& of) const;

  std::vector<level> levels_ = std::vector<level>(1);
  allowance limit_;
  time_point started_at_{};
  time_point updated_at_{};
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_URGENCY_SHARES_H_
