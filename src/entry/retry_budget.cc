#include "entry/retry_budget.h"

#include <algorithm>

namespace citronwharf {

void retry_budget::record_request() {
  available_ = std::min(available_ + options_.ratio, options_.max_available);
}

bool retry_budget::try_spend() {
  if (available_ < 1) {
    return false;
  }
  available_ -= 1;
  return true;
}

}  // namespace citronwharf
