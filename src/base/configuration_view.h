/// The configuration as one process knows it, and whether it is fresh.
#ifndef CITRONWHARF_BASE_CONFIGURATION_VIEW_H_
#define CITRONWHARF_BASE_CONFIGURATION_VIEW_H_

#include <functional>
#include <memory>
#include <vector>

#include "base/clock.h"
#include "citronwharf/configuration.h"

namespace citronwharf {

/// The lease behind confirm(): a process that a newer version has passed by is
/// fresh for at most this long after that version was committed.
constexpr duration longest_freshness = seconds(3);

/// Holds the newest accepted configuration of this process. Versions never go
/// back. Used on the runtime's thread only.
class configuration_view {
 public:
  using listener = std::function<void(const configuration&)>;

  /// Returns the present configuration; version 0 before the first one.
  /// Requests in flight share it, so it is never changed in place.
  std::shared_ptr<const configuration> current() const { return current_; }

  /// Takes a newer configuration and tells the listeners; an older or equal
  /// version is ignored. Returns whether it was taken.
  bool replace(configuration next);

  /// Extends freshness: a majority of replicas confirmed the present version
  /// for a lease that ends at `until`. Source: control/distribution.
  void confirm(std::uint64_t version, time_point until);

  /// Returns whether keyed routes may be served at `now`.
  bool fresh(time_point now) const;
  /// Returns when freshness ends or ended.
  time_point fresh_until() const { return fresh_until_; }

  /// Calls `on_change` after each replacement, for the life of the view.
  void subscribe(listener on_change);

 private:
  std::shared_ptr<const configuration> current_ =
      std::make_shared<const configuration>();
  time_point fresh_until_{};
  std::vector<listener> listeners_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_BASE_CONFIGURATION_VIEW_H_
