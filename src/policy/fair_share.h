/// Limits the load of organisations on endpoints that can't queue for long.
#ifndef CITRONWHARF_POLICY_FAIR_SHARE_H_
#define CITRONWHARF_POLICY_FAIR_SHARE_H_

#include <map>
#include <string>

#include "base/clock.h"

namespace citronwharf {

struct fair_share_options {
  duration averaging_window = seconds(8);  ///< of offered rates
  /// Relative changes of the level with each recorded item. In the steady
  /// state, increase / (increase + decrease) of the admitted items meet a full
  /// endpoint.
  double increase = 0.01;
  double decrease = 0.01;
};

/// The result of an offer.
struct share_decision {
  bool admitted = true;
  duration retry_after{};  ///< if refused: until the next is admitted
};

/// A fair queue is fair only among the organisations that wait in it, and
/// memory that an organisation took while no other waited stays occupied for
/// seconds. Each entry therefore limits all organisations to one rate per
/// weight, the admission level. The level decreases when an admitted item meets
/// a full endpoint and increases otherwise. Only organisations above the level
/// are limited, which makes their rates max-min fair; nothing is limited while
/// endpoints have capacity. Organisations that send nothing are discarded.
/// Performs no I/O and reads no clock; the caller passes `now`. Not
/// thread-safe.
class fair_share {
 public:
  explicit fair_share(fair_share_options options) : options_(options) {}

  /// Decides whether to admit an item. Precondition: `now` does not go back.
  share_decision offer(const std::string& organisation, double weight,
                       double cost, time_point now);
  /// Records whether an admitted item found an endpoint with capacity in time.
  void record_outcome(bool had_capacity, time_point now);
  /// Returns whether the level is below the load of some organisation, that is,
  /// whether more is offered than the endpoints can take.
  bool is_limiting() const {
    return admission_level_ > 0 && admission_level_ < highest_demand_;
  }
  /// Returns the number of tracked organisations.
  std::size_t size() const { return loads_.size(); }

 private:
  struct offered_load {
    double weight = 1;
    double rate = 0;    // cost per second
    double credit = 0;  // fraction of an item
    time_point updated_at;
  };

  double highest_demand(time_point now);
  double rate_at(const offered_load& load, time_point now) const;

  fair_share_options options_;
  std::map<std::string, offered_load> loads_;
  double highest_demand_ = 0;   // for a weight of 1, at the last record
  double admission_level_ = 0;  // cost per second and weight; 0: no limit
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_FAIR_SHARE_H_
