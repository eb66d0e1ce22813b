#include "entry/waiting_limiter.h"

namespace citronwharf {

bool waiting_limiter::enter(const std::string& organisation) {
  const auto own = per_organisation_.find(organisation);
  const std::size_t waiting = own == per_organisation_.end() ? 0 : own->second;
  if (size_ >= most_ || waiting >= most_per_organisation_) {
    return false;
  }
  ++size_;
  ++per_organisation_[organisation];
  return true;
}

void waiting_limiter::leave(const std::string& organisation) {
  --size_;
  const auto own = per_organisation_.find(organisation);
  if (--own->second == 0) {
    per_organisation_.erase(own);
  }
}

}  // namespace citronwharf
