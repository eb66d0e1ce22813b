#include "control/log_check.h"

#include "base/decode.h"

namespace citronwharf {
namespace {

bool well_formed(const log_entry& in) {
  if (in.kind == log_entry_kind::noop) {
    return true;
  }
  const nlohmann::json data = nlohmann::json::from_cbor(
      in.data.bytes, /*strict=*/true, /*allow_exceptions=*/false);
  return in.kind == log_entry_kind::command
             ? data.is_object()
             : decode_value<std::vector<replica_member>>(data).ok();
}

}  // namespace

bool well_formed(const append_request& in) {
  std::uint64_t expected = in.previous_index;
  for (const log_entry& entry : in.entries) {
    ++expected;
    if (entry.index != expected || !well_formed(entry)) {
      return false;
    }
  }
  return true;
}

}  // namespace citronwharf
