#include "entry/outcome.h"

#include <tuple>

namespace citronwharf {
namespace {

auto members(const problem& in) {
  return std::tie(in.status, in.outcome, in.reason, in.detail, in.retry_after,
                  in.within_rate);
}

}  // namespace

const char* to_string(request_outcome outcome) {
  switch (outcome) {
    case request_outcome::done:
      return "done";
    case request_outcome::not_run:
      return "not-run";
    default:
      return "unknown";
  }
}

bool operator==(const problem& lhs, const problem& rhs) {
  return members(lhs) == members(rhs);
}

bool operator!=(const problem& lhs, const problem& rhs) {
  return !(lhs == rhs);
}

}  // namespace citronwharf
