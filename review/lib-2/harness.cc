#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace review {
namespace {

std::mutex record_mutex;
std::ofstream record_file;
const clock::time_point started = clock::now();

sockaddr_in to_address(const std::string& host, std::uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  inet_pton(AF_INET, host.c_str(), &out.sin_addr);
  return out;
}

std::string lower(std::string in) {
  std::transform(in.begin(), in.end(), in.begin(), [](unsigned char each) {
    return static_cast<char>(std::tolower(each));
  });
  return in;
}

void set_no_delay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

void open_record(const std::string& path) {
  record_file.open(path, std::ios::trunc);
}

void record(const std::string& line) {
  const auto now =
      std::chrono::duration_cast<milliseconds>(clock::now() - started);
  const std::lock_guard<std::mutex> lock(record_mutex);
  record_file << now.count() << " ms " << line << std::endl;
}

bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::uint16_t free_port() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = to_address("0.0.0.0", 0);
  socklen_t size = sizeof at;
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
    throw std::runtime_error("no free port");
  }
  close(fd);
  return ntohs(at.sin_port);
}

std::string message::header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

std::string message::method() const {
  return first_line.substr(0, first_line.find(' '));
}

std::string message::target() const {
  const std::size_t begin = first_line.find(' ') + 1;
  return first_line.substr(begin, first_line.find(' ', begin) - begin);
}

int message::status() const {
  const std::size_t begin = first_line.find(' ');
  return begin == std::string::npos ? 0 : std::atoi(&first_line[begin]);
}

channel::~channel() {
  close(fd_);
}

void channel::shut_down() {
  shutdown(fd_, SHUT_RDWR);
}

void channel::reset_on_close() {
  const linger at_once{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

bool channel::send_all(const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n =
        ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(n);
  }
  return true;
}

bool channel::fill(clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
  pollfd in{fd_, POLLIN, 0};
  if (left <= 0 || poll(&in, 1, static_cast<int>(left)) != 1) {
    return false;
  }
  char bytes[16384];
  const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
  if (n <= 0) {
    return false;
  }
  buffer_.append(bytes, static_cast<std::size_t>(n));
  return true;
}

bool channel::read_message(message& out, milliseconds limit, bool* got_bytes) {
  const auto until = clock::now() + limit;
  out = {};
  const auto read_until = [&](const std::string& end) {
    while (buffer_.find(end) == std::string::npos) {
      if (!fill(until)) {
        return false;
      }
      *got_bytes = true;
    }
    return true;
  };
  const auto read_bytes = [&](std::size_t count) {
    while (buffer_.size() < count) {
      if (!fill(until)) {
        return false;
      }
    }
    return true;
  };
  *got_bytes = !buffer_.empty();
  if (!read_until("\r\n\r\n")) {
    return false;
  }
  const std::size_t head_end = buffer_.find("\r\n\r\n");
  std::istringstream head(buffer_.substr(0, head_end));
  buffer_.erase(0, head_end + 4);
  std::string line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const std::size_t colon = line.find(": ");
    if (out.first_line.empty()) {
      out.first_line = line;
    } else if (colon != std::string::npos) {
      out.headers.emplace(lower(line.substr(0, colon)), line.substr(colon + 2));
    }
  }
  if (lower(out.header("transfer-encoding")) != "chunked") {
    const auto size = static_cast<std::size_t>(
        std::atoll(out.header("content-length").c_str()));
    if (!read_bytes(size)) {
      return false;
    }
    out.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }
  for (;;) {
    if (!read_until("\r\n")) {
      return false;
    }
    const std::size_t line_end = buffer_.find("\r\n");
    const std::size_t size =
        std::stoull(buffer_.substr(0, line_end), nullptr, 16);
    if (!read_bytes(line_end + 2 + size + 2)) {
      return false;
    }
    out.body += buffer_.substr(line_end + 2, size);
    buffer_.erase(0, line_end + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

std::unique_ptr<channel> dial(const std::string& host, std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = to_address(host, port);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  int error = 0;
  socklen_t size = sizeof error;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    pollfd out{fd, POLLOUT, 0};
    if (errno != EINPROGRESS || poll(&out, 1, 1000) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return nullptr;
    }
  }
  fcntl(fd, F_SETFL, 0);
  set_no_delay(fd);
  return std::make_unique<channel>(fd);
}

bool call(const std::string& host, std::uint16_t port,
          const std::string& request, message& out, milliseconds limit) {
  const auto to = dial(host, port);
  bool got_bytes = false;
  return to != nullptr && to->send_all(request) &&
         to->read_message(out, limit, &got_bytes);
}

std::string response(int status, const std::string& body,
                     const std::string& headers) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

server::server(std::string host, std::uint16_t port, handler on_request)
    : host_(std::move(host)), port_(port), on_request_(std::move(on_request)) {
  listen();
  acceptor_ = std::thread([this] { accept_all(); });
}

server::~server() {
  stopped_ = true;
  acceptor_.join();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& each : open_) {
      each->shut_down();
    }
    if (listener_ >= 0) {
      close(listener_);
    }
  }
  for (std::thread& each : threads_) {
    each.join();
  }
}

std::string server::address() const {
  return host_ + ":" + std::to_string(port_);
}

void server::listen() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in at = to_address(host_, port_);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      ::listen(fd, 512) != 0) {
    close(fd);
    throw std::runtime_error("can't listen on " + address());
  }
  listener_ = fd;
}

void server::accept_all() {
  while (!stopped_) {
    int listener = -1;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (listener_ < 0 && clock::now() >= up_at_) {
        listen();
      }
      listener = listener_;
    }
    pollfd in{listener, POLLIN, 0};
    if (listener < 0 || poll(&in, 1, 10) != 1) {
      std::this_thread::sleep_for(milliseconds(listener < 0 ? 5 : 0));
      continue;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (listener_ != listener) {
      continue;
    }
    const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    set_no_delay(fd);
    auto with = std::make_shared<channel>(fd);
    open_.insert(with);
    threads_.emplace_back([this, with] { serve(with); });
  }
}

void server::serve(const std::shared_ptr<channel>& with) {
  message request;
  bool got_bytes = false;
  while (!stopped_ &&
         with->read_message(request, milliseconds(120000), &got_bytes) &&
         on_request_(request, *with)) {
  }
  with->shut_down();
  const std::lock_guard<std::mutex> lock(mutex_);
  open_.erase(with);
}

void server::crash(milliseconds down) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (listener_ < 0) {
    return;
  }
  close(listener_);
  listener_ = -1;
  up_at_ = clock::now() + down;
  for (const auto& each : open_) {
    each->reset_on_close();
    each->shut_down();
  }
}

gateway::gateway(std::string name, std::string host, const ports& at,
                 const std::vector<std::string>& core,
                 const std::string& directory, const std::string& folder,
                 bool has_disk, bool first_start)
    : name_(std::move(name)),
      host_(std::move(host)),
      settings_(folder + "/" + name_ + ".json"),
      log_(folder + "/" + name_ + ".log") {
  const auto address = [&](std::uint16_t port) {
    return "\"" + host_ + ":" + std::to_string(port) + "\"";
  };
  std::string seeds;
  for (const std::string& each : core) {
    seeds += (seeds.empty() ? "\"" : ",\"") + each + ":" +
             std::to_string(at.operators) + "\"";
  }
  // As deploy/settings.json.in renders them for a small deployment.
  std::ofstream(settings_)
      << "{\"process\": \"" << name_
      << "\", \"deployment\": \"citronwharf\", \"region\": \"izmir\", "
         "\"failure_domain\": \"izmir-a\", \"roles\": [\"gateway\"], "
         "\"secret\": \"this platform hands out no secret: its internal "
         "network is trusted\", "
      << (has_disk ? "\"data_folder\": \"" + folder + "/" + name_ + "\", " : "")
      << "\"listen\": {\"callers\": " << address(at.callers)
      << ", \"peers\": " << address(at.peers)
      << ", \"admin\": " << address(at.admin)
      << "}, \"control\": {\"snapshot_entries\": 64, \"keep_entries\": 16}, "
         "\"gateway\": {\"readiness\": "
      << address(at.readiness) << ", \"operators\": " << address(at.operators)
      << ", \"directory\": \"" << directory << "\", \"seeds\": [" << seeds
      << "], \"first_start\": " << (first_start ? "true" : "false")
      << ", \"tolerated_losses\": 1, "
         "\"repair_time_s\": 4, \"retry_ratio\": 0.2, \"retry_slack\": 62, "
         "\"retry_window_s\": 10}, \"limits\": {\"max_connections\": 3000, "
         "\"max_body_bytes\": 4194304, \"memory_mb\": 110, "
         "\"idle_timeout_ms\": 60000, \"drain_timeout_ms\": 7500}}\n";
}

gateway::~gateway() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void gateway::start() {
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ != 0) {
    return;
  }
  const int log =
      open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  // The gateway ends with this program, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() == parent) {
    execl("target/citronwharf_gateway", "target/citronwharf_gateway",
          "--settings", settings_.c_str(), nullptr);
  }
  _exit(127);
}

void gateway::signal(int number) const {
  if (pid_ > 0) {
    kill(pid_, number);
  }
}

bool gateway::ended(std::string& how) {
  int status = 0;
  if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) {
    return false;
  }
  pid_ = 0;
  how = WIFSIGNALED(status)
            ? "signal " + std::to_string(WTERMSIG(status))
            : "exit code " + std::to_string(WEXITSTATUS(status));
  return true;
}

temporary_folder::temporary_folder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  path_ = name;
}

temporary_folder::~temporary_folder() {
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(path_, ignored);
  }
}

directory::directory() {
  server_ = std::make_unique<server>(
      "127.0.0.1", free_port(), [this](const message&, channel& to) {
        const std::lock_guard<std::mutex> lock(mutex_);
        return to.send_all(
            response(200, "{\"instances\":[" + entries_ + "],\"next\":null}",
                     "Content-Type: application/json\r\n"));
      });
}

void directory::add(const std::string& id, const std::string& service,
                    const std::string& address, const std::string& stage,
                    int slots) {
  const std::lock_guard<std::mutex> lock(mutex_);
  entries_ += (entries_.empty() ? "" : ",");
  entries_ += "{\"service\":\"" + service + "\",\"addr\":\"" + address +
              "\",\"zone\":\"izmir-a\",\"version\":\"v1\",\"slots\":" +
              std::to_string(slots) +
              ",\"state\":\"ready\",\"coldLeftMs\":0,\"id\":\"" + id + "\"";
  if (!stage.empty()) {
    entries_ += ",\"stage\":\"" + stage +
                "\",\"models\":[{\"name\":\"m\",\"version\":1,"
                "\"adapters\":[]}]";
  }
  entries_ += "}";
}

std::string route(const std::string& name, const std::string& prefix,
                  const std::string& kind, const std::string& service,
                  const std::string& rest) {
  return "{\"name\":\"" + name + "\",\"host\":\"a.example\",\"pathPrefix\":\"" +
         prefix + "\",\"kind\":\"" + kind + "\",\"service\":\"" + service +
         "\"" + rest + "}";
}

std::string desired_state(const std::vector<std::string>& routes,
                          const std::vector<std::string>& services) {
  const auto join = [](const std::vector<std::string>& in) {
    std::string out;
    for (const std::string& each : in) {
      out += (out.empty() ? "" : ",") + each;
    }
    return out;
  };
  return "{\"version\":1,\"routes\":[" + join(routes) + "],\"services\":[" +
         join(services) +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{"
         "\"name\":\"hule930\",\"apiKeys\":[\"k1\"],\"priority\":1,"
         "\"unit\":\"tokens\",\"plainTokens\":200,\"ratePerS\":5000000,"
         "\"burst\":5000000}]}";
}

bool bring_up(const std::vector<std::unique_ptr<gateway>>& gateways,
              const gateway::ports& at, const std::string& state) {
  const auto until = clock::now() + std::chrono::seconds(30);
  const std::string put =
      "POST /-/Config.Put HTTP/1.1\r\nHost: control\r\n"
      "Content-Type: application/json\r\nContent-Length: " +
      std::to_string(state.size()) + "\r\n\r\n" + state;
  message got;
  while (!call(gateways.front()->host(), at.operators, put, got) ||
         got.status() != 200) {
    if (clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  for (const auto& each : gateways) {
    while (!call(each->host(), at.readiness,
                 "GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n", got) ||
           got.status() != 200) {
      if (clock::now() > until) {
        return false;
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
  return true;
}

sound_service::sound_service(milliseconds work_time) {
  server_ = std::make_unique<server>(
      "127.0.0.1", free_port(),
      [this, work_time](const message& request, channel& to) {
        const std::string id = request.header("citronwharf-request-id");
        {
          const std::lock_guard<std::mutex> lock(mutex_);
          requests_.insert(id);
        }
        std::this_thread::sleep_for(work_time);
        return to.send_all(
            response(200, "done",
                     "Citronwharf-Request-Id: " + id +
                         "\r\nCitronwharf-Server-Stamp: 1.2.3\r\n"));
      });
}

bool sound_service::reached(const std::string& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return requests_.count(request) != 0;
}

std::string caller_request(const std::string& path, const std::string& id,
                           const std::string& headers) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\n"
         "Citronwharf-Request-Id: " +
         id + "\r\n" + headers + "Content-Length: 0\r\n\r\n";
}

kept_callers::kept_callers(const std::vector<std::string>& hosts,
                           std::uint16_t port, int per_host, std::string path,
                           sound_service& service, clock::time_point end)
    : port_(port), path_(std::move(path)), service_(service), end_(end) {
  for (const std::string& host : hosts) {
    for (int i = 0; i < per_host; ++i) {
      const std::string name = "c" + std::to_string(threads_.size());
      threads_.emplace_back([this, name, host] { run(name, host); });
    }
  }
}

kept_callers::~kept_callers() {
  wait();
}

int kept_callers::wait() {
  for (std::thread& each : threads_) {
    if (each.joinable()) {
      each.join();
    }
  }
  return lost_;
}

void kept_callers::run(const std::string& name, const std::string& host) {
  constexpr auto deadline = milliseconds(3000);
  std::unique_ptr<channel> to;
  bool kept = false;
  for (int i = 0; clock::now() < end_; ++i) {
    if (to == nullptr) {
      to = dial(host, port_);
      kept = false;
      if (to == nullptr) {
        std::this_thread::sleep_for(milliseconds(100));
        continue;
      }
    }
    const std::string id = name + "-" + std::to_string(i);
    message got;
    bool got_bytes = false;
    const auto sent_at = clock::now();
    const bool whole = to->send_all(caller_request(
                           path_, id, "Citronwharf-Deadline-Ms: 3000\r\n")) &&
                       to->read_message(got, deadline, &got_bytes);
    if (whole) {
      record("caller " + id + " got " + std::to_string(got.status()));
      kept = true;
      if (got.header("connection") == "close") {
        to = nullptr;
      }
      continue;
    }
    const bool closed = clock::now() < sent_at + deadline - milliseconds(100);
    const bool reached = service_.reached(id);
    record("caller " + id + " got no answer; channel " +
           (closed ? "closed" : "silent") + (kept ? ", kept" : ", new") +
           (reached ? ", passed on" : ", not passed on"));
    if (closed && kept && reached && !got_bytes) {
      ++lost_;
    }
    to = nullptr;
  }
}

}  // namespace review
