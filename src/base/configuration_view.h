/// The configuration known to this process and how long it counts as fresh.
#ifndef CITRONWHARF_BASE_CONFIGURATION_VIEW_H_
#define CITRONWHARF_BASE_CONFIGURATION_VIEW_H_

#include <functional>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "citronwharf/configuration.h"

namespace citronwharf {

/// Lease of a confirmation, see confirm(). A process that missed a newer
/// version counts as fresh for at most this long after that version was
/// committed.
constexpr duration max_freshness_lease = seconds(3);

/// Holds the newest configuration that this process has accepted. The version
/// never decreases.
/// Not thread-safe; use from the event loop thread only.
class configuration_view {
 public:
  using listener = std::function<void(const configuration&)>;

  /// Returns the current configuration, version 0 before the first one. It is
  /// shared with requests in progress and therefore never modified in place.
  std::shared_ptr<const configuration> current() const { return current_; }

  /// Adopts `next` and notifies the listeners if its version is newer;
  /// otherwise ignores it. Returns whether it was adopted.
  bool replace(configuration next);

  /// Extends freshness to `until`, the end of the lease for which a majority of
  /// replicas confirmed `version`. Ignored unless `version` is the current one.
  /// Called by the configuration distribution of src/control.
  void confirm(std::uint64_t version, time_point until);

  /// Returns whether the configuration is fresh at `now`, so that keyed routes
  /// may be served.
  bool fresh(time_point now) const;
  /// Returns the end of freshness, which may be in the past.
  time_point fresh_until() const { return fresh_until_; }

  /// Calls `on_change` after each replacement, for the lifetime of the view.
  void subscribe(listener on_change);

 private:
  std::shared_ptr<const configuration> current_ =
      std::make_shared<const configuration>();
  time_point fresh_until_{};
  std::vector<listener> listeners_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_BASE_CONFIGURATION_VIEW_H_
