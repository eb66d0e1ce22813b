// Real processes for tests: started, signalled and always cleaned up.
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

/// Returns whether `holds` came true; looks every few milliseconds. The limit
/// only ends a test that hangs.
bool wait_until(const std::function<bool()>& holds,
                std::chrono::seconds limit = std::chrono::seconds(30));

/// A folder that is removed with the object.
class run_folder {
 public:
  run_folder();
  ~run_folder();
  run_folder(const run_folder&) = delete;
  run_folder& operator=(const run_folder&) = delete;
  const std::string& path() const { return path_; }
  /// Writes a file and returns its path.
  std::string write(const std::string& name, const std::string& text) const;
  /// Returns a file's text, "" when it isn't there.
  std::string read(const std::string& name) const;

 private:
  std::string path_;
};

/// A program of the build folder under way. Destroyed, it is killed.
class child_process {
 public:
  /// Starts `program` with output to the file `log`.
  child_process(const std::string& program,
                const std::vector<std::string>& arguments,
                const std::string& log);
  ~child_process();
  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&& other) noexcept;
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  void send_signal(int number) const;
  /// Kills and reaps it.
  void kill();
  /// Waits for its end; returns the exit code, 128 + signal, or -1 when it
  /// still runs after `limit`.
  int wait(std::chrono::seconds limit = std::chrono::seconds(30));
  bool running();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = 0;  ///< 0 once reaped
  int exit_code_ = -1;
};

/// Returns a port that is free on every loopback address.
std::uint16_t free_port();

/// Waits for a port file and returns the port of that name, 0 when it does
/// not come.
std::uint16_t wait_port(const std::string& port_file, const std::string& name);

/// Runs a program to its end; returns its exit code and output.
struct command_result {
  int code = -1;
  std::string output;
};
command_result run_command(const run_folder& folder, const std::string& program,
                           const std::vector<std::string>& arguments);

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_PROCESSES_H_
