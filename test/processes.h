// Child processes for tests: they are started, signalled and always cleaned up.
#ifndef CITRONWHARF_TEST_PROCESSES_H_
#define CITRONWHARF_TEST_PROCESSES_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace citronwharf::test {

/// Waits until `condition` is true, polling every few milliseconds; returns
/// false if it is still false after `limit`, which only ends a hanging test.
bool wait_until(const std::function<bool()>& condition,
                std::chrono::seconds limit = std::chrono::seconds(30));

/// A temporary folder that is removed when the object is destroyed.
class test_folder {
 public:
  test_folder();
  ~test_folder();
  test_folder(const test_folder&) = delete;
  test_folder& operator=(const test_folder&) = delete;
  const std::string& path() const { return path_; }
  /// Writes a file and returns its path.
  std::string write(const std::string& name, const std::string& text) const;
  /// Returns the content of a file, "" if it does not exist.
  std::string read(const std::string& name) const;

 private:
  std::string path_;
};

/// A running program from the build folder. The destructor kills it.
class child_process {
 public:
  /// Starts `program` with its output appended to the file `log`.
  child_process(const std::string& program,
                const std::vector<std::string>& arguments,
                const std::string& log);
  ~child_process();
  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&& other) noexcept;
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void send_signal(int number) const;
  /// Sends SIGKILL and reaps the process.
  void kill();
  /// Waits until the process ends. Returns its exit code, 128 + signal number
  /// if a signal ended it, or -1 if it still runs after `limit`.
  int wait(std::chrono::seconds limit = std::chrono::seconds(30));
  bool running();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = 0;  ///< 0 once reaped
  int exit_code_ = -1;
};

/// Returns a port that is free on all local addresses at the time of the call.
std::uint16_t free_port();

/// Waits for a port file and returns the port named `name`, 0 if the file does
/// not appear or has no such port.
std::uint16_t wait_for_port(const std::string& port_file,
                            const std::string& name);

/// The exit code of a program and what it printed.
struct command_result {
  int code = -1;
  std::string output;
};
/// Runs a program until it ends, for up to 60 s.
command_result run_command(const test_folder& folder,
                           const std::string& program,
                           const std::vector<std::string>& arguments);

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_PROCESSES_H_
