#include "endpoint/leaving.h"

namespace citronwharf {

const char* to_string(leaving_source source) {
  switch (source) {
    case leaving_source::configuration:
      return "configuration";
    case leaving_source::platform_list:
      return "platform list";
    case leaving_source::signal:
      return "signal";
  }
  return "";
}

bool leaving_state::set(leaving_source source, bool requested) {
  const bool was_leaving = leaving();
  if (requested) {
    sources_.insert(source);
  } else if (source != leaving_source::signal) {
    sources_.erase(source);
  }
  return was_leaving != leaving();
}

}  // namespace citronwharf
