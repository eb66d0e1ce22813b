// Stand-ins for the scripts of the second review: an HTTP/1.1 server, a client
// with kept connections, and gateways as child processes. Blocking sockets and
// threads; uses the C++ and POSIX libraries only.
#ifndef CITRONWHARF_REVIEW_LIB_2_HARNESS_H_
#define CITRONWHARF_REVIEW_LIB_2_HARNESS_H_

#include <sys/types.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Appends lines with the time since the start to record.txt. Thread-safe.
void open_record(const std::string& path);
void record(const std::string& line);

/// Returns whether the disruption is on: TROUBLE is not 0.
bool trouble();

std::uint16_t free_port();

struct message {
  std::string first_line;
  std::multimap<std::string, std::string> headers;  // names in lower case
  std::string body;

  /// Returns the first value, or "".
  std::string header(const std::string& name) const;
  /// Of a request.
  std::string method() const;
  std::string target() const;
  /// Of a response.
  int status() const;
};

/// A socket that is closed on destruction.
class channel {
 public:
  explicit channel(int fd) : fd_(fd) {}
  ~channel();
  channel(const channel&) = delete;
  channel& operator=(const channel&) = delete;

  bool send_all(const std::string& bytes);
  /// Reads one message with a length, or in chunks. Returns false if the
  /// channel ended or `limit` passed before it was complete; `got_bytes` tells
  /// whether anything was read.
  bool read_message(message& out, milliseconds limit, bool* got_bytes);
  /// Ends all reads and writes, from any thread.
  void shut_down();
  /// Makes the close a reset.
  void reset_on_close();

 private:
  bool fill(clock::time_point until);

  int fd_;
  std::string buffer_;
};

/// Returns null if there is no connection within a second.
std::unique_ptr<channel> dial(const std::string& host, std::uint16_t port);

/// Sends one request on a channel of its own. Returns whether a whole response
/// came.
bool call(const std::string& host, std::uint16_t port,
          const std::string& request, message& out,
          milliseconds limit = milliseconds(2000));

std::string response(int status, const std::string& body,
                     const std::string& headers = "");

/// A server with a thread for each channel.
class server {
 public:
  /// Returns false to close the channel.
  using handler = std::function<bool(const message&, channel&)>;

  server(std::string host, std::uint16_t port, handler on_request);
  ~server();
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  std::string address() const;
  /// Ends as a process that crashes does: new channels are refused and the open
  /// ones reset. Starts again after `down`.
  void crash(milliseconds down);

 private:
  void listen();
  void accept_all();
  void serve(const std::shared_ptr<channel>& with);

  std::string host_;
  std::uint16_t port_;
  handler on_request_;
  std::mutex mutex_;
  int listener_ = -1;
  clock::time_point up_at_{};
  std::set<std::shared_ptr<channel>> open_;
  std::vector<std::thread> threads_;
  std::atomic<bool> stopped_{false};
  std::thread acceptor_;
};

/// A gateway started by the command of the deploy file. Killed on destruction.
class gateway {
 public:
  struct ports {
    std::uint16_t callers = free_port();
    std::uint16_t peers = free_port();
    std::uint16_t admin = free_port();
    std::uint16_t readiness = free_port();
    std::uint16_t operators = free_port();
  };

  gateway(std::string name, std::string host, const ports& at,
          const std::vector<std::string>& core, const std::string& directory,
          const std::string& folder, bool has_disk, bool first_start = true);
  ~gateway();
  gateway(const gateway&) = delete;
  gateway& operator=(const gateway&) = delete;

  void start();
  void signal(int number) const;
  /// Returns whether the process has ended by itself, and how in `how`.
  bool ended(std::string& how);
  bool running() { return pid_ > 0; }
  const std::string& host() const { return host_; }
  const std::string& name() const { return name_; }
  pid_t pid() const { return pid_; }

 private:
  std::string name_;
  std::string host_;
  std::string settings_;
  std::string log_;
  pid_t pid_ = 0;
};

/// A folder below the system's folder for temporary files; removed at the end.
class temporary_folder {
 public:
  temporary_folder();
  ~temporary_folder();
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// The platform's list of servers.
class directory {
 public:
  directory();
  void add(const std::string& id, const std::string& service,
           const std::string& address, const std::string& stage, int slots);
  std::string address() const { return server_->address(); }

 private:
  std::mutex mutex_;
  std::string entries_;
  std::unique_ptr<server> server_;
};

/// A route of a desired state.
std::string route(const std::string& name, const std::string& prefix,
                  const std::string& kind, const std::string& service,
                  const std::string& rest = "");
/// A desired state with one tenant, whose key is k1.
std::string desired_state(const std::vector<std::string>& routes,
                          const std::vector<std::string>& services);

/// Sends the desired state until it is acknowledged, and waits until all are
/// ready. Returns false if that takes too long.
bool bring_up(const std::vector<std::unique_ptr<gateway>>& gateways,
              const gateway::ports& at, const std::string& state);

/// A sound service that takes some time for each request.
class sound_service {
 public:
  explicit sound_service(milliseconds work_time);
  std::string address() const { return server_->address(); }
  bool reached(const std::string& request);

 private:
  std::mutex mutex_;
  std::set<std::string> requests_;
  std::unique_ptr<server> server_;
};

/// Returns a request of the tenant's key without a body.
std::string caller_request(const std::string& path, const std::string& id,
                           const std::string& headers);

/// Callers that send requests to a path one after the other, each over a kept
/// channel. Counts those that reached the service on a channel that had carried
/// an answer, and that the gateway closed without an answer.
class kept_callers {
 public:
  kept_callers(const std::vector<std::string>& hosts, std::uint16_t port,
               int per_host, std::string path, sound_service& service,
               clock::time_point end);
  ~kept_callers();
  kept_callers(const kept_callers&) = delete;
  kept_callers& operator=(const kept_callers&) = delete;

  /// Waits until all have ended. Returns the number of lost requests.
  int wait();

 private:
  void run(const std::string& name, const std::string& host);

  std::uint16_t port_;
  std::string path_;
  sound_service& service_;
  clock::time_point end_;
  std::atomic<int> lost_{0};
  std::vector<std::thread> threads_;
};

}  // namespace review

#endif  // CITRONWHARF_REVIEW_LIB_2_HARNESS_H_
