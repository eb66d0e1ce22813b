#include "control/data_folder.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <unistd.h>

#include <random>
#include <utility>

#include "base/decode.h"

namespace citronwharf {
namespace {

constexpr const char* identity_name = "identity.json";
constexpr const char* lock_name = "LOCK";
constexpr mode_t lock_mode = 0600;
constexpr int id_words = 4;

using folder_lock = std::unique_ptr<void, std::function<void(void*)>>;

// The lock is released when its process ends, so a killed process leaves no
// stale lock.
absl::StatusOr<folder_lock> lock_folder(const std::string& path) {
  const std::string file = path + "/" + lock_name;
  const int fd = ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, lock_mode);
  if (fd < 0) {
    return absl::InternalError(fmt::format("{} can't be opened", file));
  }
  if (::flock(fd, LOCK_EX | LOCK_NB) != 0) {
    ::close(fd);
    return absl::FailedPreconditionError(
        fmt::format("{} is locked by another process", path));
  }
  return folder_lock(new int(fd), [](void* held) {
    const std::unique_ptr<int> fd_held(static_cast<int*>(held));
    ::close(*fd_held);
  });
}

absl::StatusOr<folder_identity> read_identity(const std::string& path,
                                              const std::string& text) {
  auto json = parse_json(text);
  auto identity = json.ok() ? decode_value<folder_identity>(*json)
                            : absl::StatusOr<folder_identity>(json.status());
  if (!identity.ok()) {
    return absl::DataLossError(fmt::format("{}/{}: {}", path, identity_name,
                                           identity.status().ToString()));
  }
  return identity;
}

// The identity is written last, so a folder with an identity also has a log.
absl::StatusOr<folder_identity> make_identity(
    const disk_operations& disk, const std::string& path,
    const std::string& deployment,
    const std::function<std::string()>& draw_id) {
  absl::Status made = log_storage::create(disk, path);
  if (!made.ok()) {
    return made;
  }
  folder_identity identity{data_folder_format, deployment, draw_id()};
  made =
      replace_file(disk, path, identity_name, nlohmann::json(identity).dump());
  if (!made.ok()) {
    return made;
  }
  return identity;
}

absl::Status check_identity(const std::string& path,
                            const folder_identity& identity,
                            const std::string& deployment) {
  if (identity.format != data_folder_format) {
    return absl::FailedPreconditionError(
        fmt::format("{} has format {}, this program reads {}", path,
                    identity.format, data_folder_format));
  }
  if (identity.deployment != deployment) {
    return absl::FailedPreconditionError(
        fmt::format("{} belongs to deployment {}, not {}", path,
                    identity.deployment, deployment));
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<data_folder> open_data_folder(
    const disk_operations& disk, const std::string& path,
    const std::string& deployment,
    const std::function<std::string()>& draw_id) {
  absl::Status made = disk.make_folder(path);
  if (!made.ok()) {
    return made;
  }
  absl::StatusOr<folder_lock> lock = lock_folder(path);
  if (!lock.ok()) {
    return lock.status();
  }
  absl::StatusOr<std::string> text = disk.read(path + "/" + identity_name);
  if (!text.ok() && !absl::IsNotFound(text.status())) {
    return text.status();
  }
  absl::StatusOr<folder_identity> identity =
      text.ok() ? read_identity(path, *text)
                : make_identity(disk, path, deployment, draw_id);
  if (!identity.ok()) {
    return identity.status();
  }
  absl::Status ours = check_identity(path, *identity, deployment);
  if (!ours.ok()) {
    return ours;
  }
  auto log = log_storage::open(disk, path);
  if (!log.ok()) {
    return log.status();
  }
  return data_folder{*std::move(identity), *std::move(log), *std::move(lock)};
}

std::string draw_replica_id() {
  std::random_device source;
  std::string id;
  for (int i = 0; i < id_words; ++i) {
    id += fmt::format("{:08x}", source());
  }
  return id;
}

}  // namespace citronwharf
