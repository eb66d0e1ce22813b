#include "gateway/evacuated_servers.h"

namespace citronwharf {

std::vector<listed_server> evacuated_servers::marked() const {
  std::vector<listed_server> out = listed_;
  for (listed_server& each : out) {
    each.evacuated = domains_.count(each.failure_domain) != 0;
    each.leaving = each.leaving || each.evacuated;
  }
  return out;
}

}  // namespace citronwharf
