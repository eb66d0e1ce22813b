/// The platform's list of live and leaving VMs, which lags behind their state.
#ifndef CITRONWHARF_ENDPOINT_PLATFORM_LIST_H_
#define CITRONWHARF_ENDPOINT_PLATFORM_LIST_H_

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

#include "base/value.h"

namespace citronwharf {

/// One VM of the list, identified by the name of the process that runs on it.
struct platform_vm {
  std::string name;
  bool leaving = false;
};
CITRONWHARF_VALUE(platform_vm, name, leaving)

/// Returns the current list. On an error the caller keeps what it knew before.
using platform_source =
    std::function<absl::StatusOr<std::vector<platform_vm>>()>;

/// Returns a source that reads a JSON array of platform_vm from a file.
/// Example file: [{"name": "decode-1", "leaving": true}]
platform_source make_platform_file_source(std::string path);

/// Returns whether the list marks `name` as leaving. Thread-safe.
bool lists_as_leaving(const std::vector<platform_vm>& list,
                      const std::string& name);

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_PLATFORM_LIST_H_
