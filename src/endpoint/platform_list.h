/// The platform's lagging list of live and leaving VMs.
#ifndef CITRONWHARF_ENDPOINT_PLATFORM_LIST_H_
#define CITRONWHARF_ENDPOINT_PLATFORM_LIST_H_

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

#include "base/value.h"

namespace citronwharf {

/// One VM of the list, by the name of the process on it.
struct platform_vm {
  std::string name;
  bool leaving = false;
};
CITRONWHARF_VALUE(platform_vm, name, leaving)

/// Returns the list as it is known now. An error leaves what was known.
using platform_source =
    std::function<absl::StatusOr<std::vector<platform_vm>>()>;

/// Returns a source that reads a file with a JSON array of platform_vm.
/// Example file: [{"name": "decode-1", "leaving": true}]
platform_source platform_file(std::string path);

/// Returns whether `name` leaves by this list. Thread-safe.
bool leaves(const std::vector<platform_vm>& list, const std::string& name);

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_PLATFORM_LIST_H_
