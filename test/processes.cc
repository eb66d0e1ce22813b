#include "processes.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>
#include <utility>

extern char** environ;  // NOLINT(readability-redundant-declaration)

namespace citronwharf::test {
namespace {

constexpr auto poll_interval = std::chrono::milliseconds(5);
constexpr int signal_exit_code_base = 128;
constexpr int log_file_mode = 0600;

std::string program_path(const std::string& program) {
  const char* build = std::getenv("CITRONWHARF_BUILD");
  return std::string(build == nullptr ? "build" : build) + "/" + program;
}

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

bool wait_until(const std::function<bool()>& condition,
                std::chrono::seconds limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(poll_interval);
  }
  return true;
}

test_folder::test_folder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "citronwharf-XXXXXX").string();
  path_ = mkdtemp(name.data());
}

test_folder::~test_folder() {
  std::error_code ignored;
  if (std::getenv("CITRONWHARF_KEEP") == nullptr) {
    std::filesystem::remove_all(path_, ignored);
  }
}

std::string test_folder::write(const std::string& name,
                               const std::string& text) const {
  std::string path = path_ + "/" + name;
  std::ofstream(path) << text;
  return path;
}

std::string test_folder::read(const std::string& name) const {
  return read_file(path_ + "/" + name);
}

child_process::child_process(const std::string& program,
                             const std::vector<std::string>& arguments,
                             const std::string& log) {
  const std::string path = program_path(program);
  std::vector<std::string> command_line{path};
  command_line.insert(command_line.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  argv.reserve(command_line.size() + 1);
  for (std::string& argument : command_line) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   log_file_mode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A socket that the child inherits stays open when the test closes it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  if (posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(),
                  environ) != 0) {
    pid_ = 0;
  }
  posix_spawn_file_actions_destroy(&actions);
}

child_process::~child_process() {
  kill();
}

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, 0)), exit_code_(other.exit_code_) {}

child_process& child_process::operator=(child_process&& other) noexcept {
  if (this != &other) {
    kill();
    pid_ = std::exchange(other.pid_, 0);
    exit_code_ = other.exit_code_;
  }
  return *this;
}

void child_process::send_signal(int number) const {
  if (pid_ != 0) {
    ::kill(pid_, number);
  }
}

void child_process::kill() {
  send_signal(SIGKILL);
  wait();
}

bool child_process::running() {
  if (pid_ == 0) {
    return false;
  }
  int wait_status = 0;
  if (waitpid(pid_, &wait_status, WNOHANG) != pid_) {
    return true;
  }
  pid_ = 0;
  exit_code_ = WIFEXITED(wait_status)
                   ? WEXITSTATUS(wait_status)
                   : signal_exit_code_base + WTERMSIG(wait_status);
  return false;
}

int child_process::wait(std::chrono::seconds limit) {
  wait_until([this] { return !running(); }, limit);
  return pid_ == 0 ? exit_code_ : -1;
}

std::uint16_t free_port() {
  // Below the ephemeral ports, so that no outgoing connection takes the port
  // before the caller does.
  static std::mt19937 random{std::random_device{}()};
  std::uniform_int_distribution<std::uint16_t> draw(10000, 32000);
  boost::asio::io_context loop;
  boost::system::error_code error;
  std::uint16_t port = 0;
  do {
    port = draw(random);
    boost::asio::ip::tcp::acceptor probe(loop, boost::asio::ip::tcp::v4());
    probe.bind({boost::asio::ip::address_v4::any(), port}, error);
  } while (error);
  return port;
}

std::uint16_t wait_for_port(const std::string& port_file,
                            const std::string& name) {
  wait_until([&] { return std::filesystem::exists(port_file); });
  const auto ports =
      nlohmann::json::parse(read_file(port_file), nullptr, false);
  return ports.is_object() ? ports.value(name, std::uint16_t{0})
                           : std::uint16_t{0};
}

command_result run_command(const test_folder& folder,
                           const std::string& program,
                           const std::vector<std::string>& arguments) {
  static int command_count = 0;
  const std::string log = "command-" + std::to_string(++command_count) + ".out";
  child_process process(program, arguments, folder.path() + "/" + log);
  command_result result;
  result.code = process.wait(std::chrono::seconds(60));
  result.output = folder.read(log);
  return result;
}

}  // namespace citronwharf::test
