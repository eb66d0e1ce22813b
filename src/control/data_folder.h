/// The data folder of a control replica: identity of its owner and its lock.
#ifndef CITRONWHARF_CONTROL_DATA_FOLDER_H_
#define CITRONWHARF_CONTROL_DATA_FOLDER_H_

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

#include "base/value.h"
#include "control/disk.h"
#include "control/log_storage.h"

namespace citronwharf {

/// Version of the files below the data folder.
constexpr int data_folder_format = 1;

/// Content of `identity.json`, written when the folder is created.
struct folder_identity {
  int format = data_folder_format;
  std::string deployment;
  std::string replica;  ///< replica id
};
CITRONWHARF_VALUE(folder_identity, format, deployment, replica)

/// An open data folder, locked until it is destroyed.
struct data_folder {
  folder_identity identity;
  std::unique_ptr<log_storage> log;
  std::unique_ptr<void, std::function<void(void*)>> lock;
};

/// Opens `path`; creates it if it does not exist, with an id from `draw_id`.
/// FailedPrecondition when it belongs to another deployment, has another
/// format or is locked by another process; DataLoss when files are damaged.
absl::StatusOr<data_folder> open_data_folder(
    const disk_operations& disk, const std::string& path,
    const std::string& deployment, const std::function<std::string()>& draw_id);

/// Returns 32 hexadecimal digits from the system's random source.
std::string draw_replica_id();

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_DATA_FOLDER_H_
