#include "entry/request_actions.h"

namespace citronwharf {
namespace {

struct key_visitor {
  template <typename Work>
  const attempt_key& operator()(const Work& work) const {
    return work.header.key;
  }
  const attempt_key& operator()(const resume_request& in) const {
    return in.key;
  }
  const attempt_key& operator()(const cancel_request& in) const {
    return in.key;
  }
};

}  // namespace

const attempt_key& key_of(const endpoint_message& message) {
  return std::visit(key_visitor{}, message);
}

}  // namespace citronwharf
