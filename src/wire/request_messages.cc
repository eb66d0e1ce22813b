#include "wire/request_messages.h"

#include <fmt/format.h>

namespace citronwharf {

std::string to_string(const attempt_key& key) {
  return fmt::format("{}/{}/{}/{}", key.entry, key.incarnation, key.request,
                     key.attempt);
}

}  // namespace citronwharf
