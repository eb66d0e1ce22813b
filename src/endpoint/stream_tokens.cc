#include "endpoint/stream_tokens.h"

#include <iterator>

namespace citronwharf {

void stream_tokens::add(std::vector<std::string> tokens) {
  tokens_.insert(tokens_.end(), std::make_move_iterator(tokens.begin()),
                 std::make_move_iterator(tokens.end()));
}

std::vector<std::string> stream_tokens::unsent() const {
  if (paused_) {
    return {};
  }
  return {tokens_.begin() + (sent_ - first_offset_), tokens_.end()};
}

bool stream_tokens::resume(std::int32_t offset) {
  if (offset < first_offset_ || offset > end()) {
    return false;
  }
  sent_ = offset;
  paused_ = false;
  return true;
}

std::int32_t stream_tokens::end() const {
  return first_offset_ + static_cast<std::int32_t>(tokens_.size());
}

}  // namespace citronwharf
