#include "entry/retry_budget.h"

#include <algorithm>

namespace citronwharf {

void retry_budget::fresh() {
  saved_ = std::min(saved_ + options_.share, options_.most_saved);
}

bool retry_budget::take() {
  if (saved_ < 1) {
    return false;
  }
  saved_ -= 1;
  return true;
}

}  // namespace citronwharf
