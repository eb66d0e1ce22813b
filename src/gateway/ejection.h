/// How a server that fails is left alone for a while and let back.
#ifndef CITRONWHARF_GATEWAY_EJECTION_H_
#define CITRONWHARF_GATEWAY_EJECTION_H_

#include <algorithm>
#include <optional>

#include "base/clock.h"

namespace citronwharf {

struct ejection_options {
  /// How long a server that failed gets no requests; doubles with each further
  /// failure.
  duration initial = milliseconds(600);
  duration max = seconds(4);
  /// After an ejection one request tries the server; others wait this long for
  /// its result.
  duration trial = milliseconds(500);
  /// Failures from which on a server is ejected. One may be the request's own.
  double failures = 2;
  /// Part of a failure that a success makes good: a server that fails more than
  /// a third of its requests is ejected before long.
  double success_credit = 0.5;
};

/// The state of one server. No clock of its own. One thread.
class ejection {
 public:
  /// Returns whether requests had better go elsewhere.
  bool holds(time_point now) const { return now < until_; }

  /// Returns whether it has failed and not served a request since.
  bool failing(const ejection_options& options) const {
    return failures_ >= options.failures;
  }

  /// A request begins there: after an ejection, the others wait for its result.
  void tried(const ejection_options& options, time_point now) {
    if (failures_ >= options.failures && !holds(now)) {
      trial_ = true;
      until_ = now + options.trial;
    }
  }

  /// A request failed there; `surely` when the server itself is at fault.
  /// Returns the span of an ejection that this starts.
  std::optional<duration> failed(bool surely, const ejection_options& options,
                                 time_point now) {
    failures_ = surely ? std::max(failures_, options.failures) : failures_ + 1;
    // Requests that were under way at the first failure fail together.
    if (failures_ < options.failures || (holds(now) && !trial_)) {
      return std::nullopt;
    }
    return eject(options, now);
  }

  /// Leaves the server alone at once.
  duration eject(const ejection_options& options, time_point now) {
    span_ = span_ == duration{} ? options.initial
                                : std::min(options.max, span_ * 2);
    until_ = now + span_;
    trial_ = false;
    return span_;
  }

  /// A request was served there.
  void served(const ejection_options& options) {
    failures_ = std::max(
        0.0, std::min(failures_, options.failures) - options.success_credit);
    if (trial_) {
      trial_ = false;
      until_ = time_point{};
    }
    if (failures_ == 0) {
      span_ = duration{};
    }
  }

 private:
  double failures_ = 0;  // less what successes made good
  bool trial_ = false;   // one request tries the server
  duration span_{};
  time_point until_{};
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_EJECTION_H_
