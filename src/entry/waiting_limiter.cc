#include "entry/waiting_limiter.h"

namespace citronwharf {

bool waiting_limiter::enter(const std::string& organisation) {
  const auto found = waiting_per_organisation_.find(organisation);
  const std::size_t organisation_waiting =
      found == waiting_per_organisation_.end() ? 0 : found->second;
  if (waiting_ >= max_waiting_ ||
      organisation_waiting >= max_waiting_per_organisation_) {
    return false;
  }
  ++waiting_;
  ++waiting_per_organisation_[organisation];
  return true;
}

void waiting_limiter::leave(const std::string& organisation) {
  --waiting_;
  const auto found = waiting_per_organisation_.find(organisation);
  if (--found->second == 0) {
    waiting_per_organisation_.erase(found);
  }
}

}  // namespace citronwharf
