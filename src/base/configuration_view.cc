#include "base/configuration_view.h"

#include <algorithm>
#include <utility>

namespace citronwharf {

bool configuration_view::replace(configuration next) {
  if (next.version <= current_->version) {
    return false;
  }
  current_ = std::make_shared<const configuration>(std::move(next));
  const auto adopted = current_;
  for (const listener& on_change : listeners_) {
    on_change(*adopted);
  }
  return true;
}

void configuration_view::confirm(std::uint64_t version, time_point until) {
  if (version == current_->version) {
    fresh_until_ = std::max(fresh_until_, until);
  }
}

bool configuration_view::fresh(time_point now) const {
  return current_->version > 0 && now < fresh_until_;
}

void configuration_view::subscribe(listener on_change) {
  listeners_.push_back(std::move(on_change));
}

}  // namespace citronwharf
