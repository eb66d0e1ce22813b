#include "control/disk.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <memory>
#include <system_error>
#include <utility>

namespace citronwharf {
namespace {

constexpr mode_t file_mode = 0600;
constexpr std::size_t read_block_bytes = 1U << 20U;

absl::Status system_error(const char* what, const std::string& path,
                          int error) {
  const std::string text =
      fmt::format("{} {}: {}", what, path,
                  std::error_code(error, std::generic_category()).message());
  if (error == ENOENT) {
    return absl::NotFoundError(text);
  }
  return error == ENOSPC ? absl::ResourceExhaustedError(text)
                         : absl::InternalError(text);
}

class descriptor {
 public:
  explicit descriptor(int fd) : fd_(fd) {}
  ~descriptor() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
  }
  descriptor(const descriptor&) = delete;
  descriptor& operator=(const descriptor&) = delete;
  int get() const { return fd_; }

 private:
  int fd_;
};

absl::Status sync_descriptor(int fd, const std::string& path) {
  if (::fsync(fd) != 0) {
    return system_error("sync", path, errno);
  }
  return absl::OkStatus();
}

absl::Status write_all(int fd, const std::string& path,
                       const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n = ::write(fd, bytes.data() + done, bytes.size() - done);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      return system_error("write", path, n < 0 ? errno : ENOSPC);
    }
    done += static_cast<std::size_t>(n);
  }
  return absl::OkStatus();
}

absl::StatusOr<std::vector<std::string>> list_folder(
    const std::string& folder) {
  std::error_code error;
  std::vector<std::string> names;
  std::filesystem::directory_iterator at(folder, error);
  for (; !error && at != std::filesystem::directory_iterator();
       at.increment(error)) {
    names.push_back(at->path().filename().string());
  }
  if (error) {
    return system_error("list", folder, error.value());
  }
  return names;
}

absl::Status make_folder(const std::string& folder) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  return error ? system_error("make", folder, error.value()) : absl::OkStatus();
}

absl::StatusOr<std::string> read_file(const std::string& path) {
  const descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (file.get() < 0) {
    return system_error("open", path, errno);
  }
  std::string bytes;
  for (;;) {
    const std::size_t held = bytes.size();
    bytes.resize(held + read_block_bytes);
    const ssize_t n = ::read(file.get(), &bytes[held], read_block_bytes);
    bytes.resize(held + static_cast<std::size_t>(n > 0 ? n : 0));
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0) {
      return system_error("read", path, errno);
    }
    if (n == 0) {
      return bytes;
    }
  }
}

absl::StatusOr<disk_file> open_file(const std::string& path) {
  const int fd = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
                        file_mode);
  if (fd < 0) {
    return system_error("open", path, errno);
  }
  // Shared, since both callbacks use the same descriptor and std::function
  // copies its captures.
  auto file = std::make_shared<descriptor>(fd);
  return disk_file{[file, path](const std::string& bytes) {
                     return write_all(file->get(), path, bytes);
                   },
                   [file, path] { return sync_descriptor(file->get(), path); }};
}

absl::Status rename_file(const std::string& from, const std::string& to) {
  if (::rename(from.c_str(), to.c_str()) != 0) {
    return system_error("rename", from, errno);
  }
  return absl::OkStatus();
}

absl::Status remove_file(const std::string& path) {
  if (::unlink(path.c_str()) != 0) {
    return system_error("remove", path, errno);
  }
  return absl::OkStatus();
}

absl::Status sync_folder(const std::string& folder) {
  const descriptor file(
      ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (file.get() < 0) {
    return system_error("open", folder, errno);
  }
  return sync_descriptor(file.get(), folder);
}

}  // namespace

disk_operations real_disk() {
  return disk_operations{list_folder, make_folder, read_file,  open_file,
                         rename_file, remove_file, sync_folder};
}

absl::Status replace_file(const disk_operations& disk,
                          const std::string& folder, const std::string& name,
                          const std::string& bytes) {
  const std::string path = folder + "/" + name;
  const std::string temporary = path + temporary_suffix;
  absl::Status done = disk.remove(temporary);
  if (!done.ok() && !absl::IsNotFound(done)) {
    return done;
  }
  absl::StatusOr<disk_file> file = disk.open(temporary);
  if (!file.ok()) {
    return file.status();
  }
  done = file->write(bytes);
  if (done.ok()) {
    done = file->sync();
  }
  if (done.ok()) {
    done = disk.rename(temporary, path);
  }
  return done.ok() ? disk.sync_folder(folder) : done;
}

}  // namespace citronwharf
