/// Thins what organisations offer to endpoints whose queues can't hold long.
#ifndef CITRONWHARF_POLICY_FAIR_SHARE_H_
#define CITRONWHARF_POLICY_FAIR_SHARE_H_

#include <map>
#include <string>

#include "base/clock.h"

namespace citronwharf {

struct fair_share_options {
  duration memory = seconds(8);  ///< over which offered rates are averaged
  /// The level moves by these shares of itself with each outcome, so that
  /// rise / (rise + fall) of what is admitted meets a full endpoint.
  double rise = 0.01;
  double fall = 0.01;
};

/// The answer to an offer.
struct share_decision {
  bool admitted = true;
  duration retry_after{};  ///< when refused: until the share allows the next
};

/// A fair queue shares only among those that wait in it, and memory that an
/// organisation took while no other waited stays taken for seconds. So each
/// entry admits organisations up to one rate for each weight, the level. It
/// falls with each outcome that met a full endpoint and rises with every
/// other; only organisations above it are thinned, which makes their rates
/// max-min fair, and nothing is thinned while endpoints have room.
/// Organisations that send nothing are forgotten. No I/O, no clock of its own.
/// One thread.
class fair_share {
 public:
  explicit fair_share(fair_share_options options) : options_(options) {}

  /// Decides on an item. Precondition: `now` does not go back.
  share_decision offer(const std::string& organisation, double weight,
                       double cost, time_point now);
  /// An admitted item found room in time, or did not.
  void outcome(bool found_room, time_point now);
  /// Returns whether the level is below what some organisation offers, that
  /// is, more is offered than fits.
  bool limiting() const { return level_ > 0 && level_ < highest_; }
  /// Returns organisations that are remembered.
  std::size_t size() const { return offers_.size(); }

 private:
  struct offered {
    double weight = 1;
    double rate = 0;    // cost a second
    double credit = 0;  // of one item
    time_point at;
  };

  double highest_demand(time_point now);
  double rate_at(const offered& of, time_point now) const;

  fair_share_options options_;
  std::map<std::string, offered> offers_;
  double highest_ = 0;  // demand for a weight of 1, as of the last outcome
  double level_ = 0;    // cost a second for a weight of 1; 0: no limit
};

}  // namespace citronwharf

#endif  // CITRONWHARF_POLICY_FAIR_SHARE_H_
