/// Temporary ejection of a failing server, which then gets no requests, and its
/// return after a successful trial request.
#ifndef CITRONWHARF_GATEWAY_EJECTION_H_
#define CITRONWHARF_GATEWAY_EJECTION_H_

#include <algorithm>
#include <optional>

#include "base/clock.h"

namespace citronwharf {

struct ejection_options {
  /// Length of the first ejection. It doubles with each ejection that follows,
  /// up to `max`.
  duration initial = milliseconds(600);
  duration max = seconds(4);
  /// After an ejection one trial request goes to the server. Others avoid the
  /// server until it ends, for this long at most.
  duration trial = milliseconds(500);
  /// Number of failures at which a server is ejected. It is more than one,
  /// since the request itself may have caused a failure.
  double failures = 2;
  /// Failures that one success cancels. With 0.5, a server that fails more than
  /// a third of its requests is ejected sooner or later.
  double success_credit = 0.5;
};

/// Ejection state of one server. Reads no clock; the caller passes `now`. Not
/// thread-safe.
class ejection {
 public:
  /// Returns whether requests should avoid the server.
  bool holds(time_point now) const { return now < ejected_until_; }

  /// Returns whether it has reached the number of failures for an ejection and
  /// not served a request since.
  bool failing(const ejection_options& options) const {
    return failures_ >= options.failures;
  }

  /// Records the start of a request, which becomes the trial request after an
  /// ejection.
  void tried(const ejection_options& options, time_point now) {
    if (failures_ >= options.failures && !holds(now)) {
      trial_in_progress_ = true;
      ejected_until_ = now + options.trial;
    }
  }

  /// Records a failed request; `server_at_fault` if the server itself is at
  /// fault. Returns the length of the ejection if this starts one.
  std::optional<duration> failed(bool server_at_fault,
                                 const ejection_options& options,
                                 time_point now) {
    silent_ = false;
    failures_ =
        server_at_fault ? std::max(failures_, options.failures) : failures_ + 1;
    // Requests that were in progress at the first failure fail together and
    // don't lengthen the ejection.
    if (failures_ < options.failures || (holds(now) && !trial_in_progress_)) {
      return std::nullopt;
    }
    return eject(options, now);
  }

  /// Records a request that was not answered in time, for servers that get
  /// nothing while they are ejected, even if all are. A sound server may be
  /// silent and go on, so these ejections don't get longer, and end with the
  /// first answer. Returns the length of the ejection if this starts one.
  std::optional<duration> silent(const ejection_options& options,
                                 time_point now) {
    ejection_options constant = options;
    constant.max = options.initial;
    const auto span = failed(true, constant, now);
    silent_ = true;
    return span;
  }

  /// Ejects the server at once. Returns the length of the ejection.
  duration eject(const ejection_options& options, time_point now) {
    silent_ = false;
    span_ = span_ == duration{} ? options.initial
                                : std::min(options.max, span_ * 2);
    ejected_until_ = now + span_;
    trial_in_progress_ = false;
    return span_;
  }

  /// Records a request that the server served.
  void served(const ejection_options& options) {
    if (silent_) {
      *this = {};
      return;
    }
    failures_ = std::max(
        0.0, std::min(failures_, options.failures) - options.success_credit);
    if (trial_in_progress_) {
      trial_in_progress_ = false;
      ejected_until_ = time_point{};
    }
    if (failures_ == 0) {
      span_ = duration{};
    }
  }

 private:
  double failures_ = 0;  // less those cancelled by successes
  bool trial_in_progress_ = false;
  bool silent_ = false;  // at the last failure
  duration span_{};
  time_point ejected_until_{};
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_EJECTION_H_
