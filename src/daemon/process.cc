#include "daemon/process.h"

#include <absl/strings/strip.h>
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include "base/process_context.h"
#include "control/control_role.h"
#include "daemon/health.h"
#include "endpoint/endpoint_role.h"
#include "entry/entry_role.h"
#include "net/address.h"
#include "net/handshake.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

constexpr std::size_t shortest_secret = 32;
constexpr int hex_base = 16;

// Differs after each restart, whatever the VM's clock says.
std::uint64_t draw_incarnation() {
  constexpr std::size_t digits = 13;  // below 2^53, exact in JSON tools too
  return std::stoull(make_nonce().substr(0, digits), nullptr, hex_base) + 1;
}

absl::StatusOr<std::string> read_secret(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  const std::string secret(absl::StripTrailingAsciiWhitespace(text.str()));
  if (!file || secret.size() < shortest_secret) {
    return absl::InvalidArgumentError(fmt::format(
        "/secret_file: {} needs at least {} bytes", path, shortest_secret));
  }
  return secret;
}

// Written aside and renamed, so that a reader never sees half of it.
absl::Status write_ports(const std::string& path,
                         const std::map<std::string, std::uint16_t>& ports) {
  const std::string aside = path + ".new";
  {
    std::ofstream file(aside);
    file << nlohmann::json(ports).dump() << '\n';
  }
  if (std::rename(aside.c_str(), path.c_str()) != 0) {
    return absl::UnavailableError(fmt::format("cannot write {}", path));
  }
  return absl::OkStatus();
}

}  // namespace

class daemon_process::impl {
 public:
  explicit impl(settings options)
      : options_(std::move(options)),
        incarnation_(draw_incarnation()),
        signals_(loop_, SIGTERM, SIGINT) {}

  absl::Status run() {
    absl::Status started = start();
    if (!started.ok()) {
      return started;
    }
    log_event(events::process_started, options_.process, incarnation_,
              CITRONWHARF_VERSION);
    signals_.async_wait([this](boost::system::error_code error, int) {
      if (!error) {
        drain();
      }
    });
    loop_.run();
    log_event(events::process_stopped, options_.process);
    return absl::OkStatus();
  }

 private:
  absl::Status start() {
    const auto secret = read_secret(options_.secret_file);
    if (!secret.ok()) {
      return secret.status();
    }
    make_shared_parts(*secret);
    std::map<std::string, std::uint16_t> ports;
    auto port = peers_->listen();
    if (!port.ok()) {
      return port.status();
    }
    ports["peers"] = *port;
    // Other VMs learn this address from the roles: it names the bound port.
    const auto asked = parse_address(options_.listen.peers);
    options_.listen.peers =
        fmt::format("{}:{}", asked->address().to_string(), *port);
    for (const std::string& seed : options_.control.seeds) {
      peers_->connect_address(seed);
    }
    make_roles();
    for (const auto& role : roles_) {
      absl::Status started = role->start();
      if (!started.ok()) {
        return started;
      }
      ports.merge(role->ports());
    }
    follower_ = make_configuration_follower(*context_);
    port = start_health();
    if (!port.ok()) {
      return port.status();
    }
    ports["admin"] = *port;
    return options_.port_file.empty() ? absl::OkStatus()
                                      : write_ports(options_.port_file, ports);
  }

  void make_shared_parts(const std::string& secret) {
    peer_hub_options hub;
    hub.self = {options_.process, incarnation_};
    hub.deployment = options_.deployment;
    hub.secret = secret;
    hub.listen = options_.listen.peers;
    peers_ = std::make_unique<peer_hub>(loop_, hub);
    tracer_options tracing;
    tracing.process = options_.process;
    tracing.file = options_.trace.file;
    tracing.collector = options_.trace.collector;
    tracing.sample = options_.trace.sample;
    traces_ = std::make_unique<tracer>(loop_, tracing);
    context_.emplace(process_context{loop_, options_, incarnation_, *peers_,
                                     view_, metrics_, *traces_});
  }

  void make_roles() {
    if (has_role(options_, "control")) {
      roles_.push_back(make_control_role(*context_));
    }
    if (has_role(options_, "endpoint")) {
      roles_.push_back(make_endpoint_role(*context_));
    }
    if (has_role(options_, "entry")) {
      roles_.push_back(make_entry_role(*context_));
    }
  }

  absl::StatusOr<std::uint16_t> start_health() {
    std::vector<process_role*> roles;
    roles.reserve(roles_.size());
    for (const auto& role : roles_) {
      roles.push_back(role.get());
    }
    http_server_options options;
    options.listen = options_.listen.admin;
    // A whole configuration may be applied in one body.
    constexpr std::size_t largest_document = 64U << 20U;
    options.max_body_bytes = largest_document;
    health_ = std::make_unique<http_server>(
        loop_, options, make_health_handler(*context_, roles, draining_));
    return health_->listen();
  }

  void drain() {
    log_event(events::process_draining, options_.process);
    draining_ = true;
    waiting_ = roles_.size();
    for (const auto& role : roles_) {
      role->drain([this] {
        if (--waiting_ == 0) {
          finish();
        }
      });
    }
    limit_.expires_after(milliseconds(options_.limits.drain_timeout_ms));
    limit_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        finish();
      }
    });
  }

  // Ends the loop's work in a fresh turn, outside the roles' own calls.
  void finish() {
    boost::asio::post(loop_, [this] { loop_.stop(); });
  }

  settings options_;
  boost::asio::io_context loop_;
  std::uint64_t incarnation_;
  boost::asio::signal_set signals_;
  runtime_timer limit_{loop_};
  configuration_view view_;
  metric_registry metrics_;
  std::unique_ptr<peer_hub> peers_;
  std::unique_ptr<tracer> traces_;
  std::optional<process_context> context_;
  std::vector<std::unique_ptr<process_role>> roles_;
  std::unique_ptr<configuration_follower> follower_;
  std::unique_ptr<http_server> health_;
  bool draining_ = false;
  std::size_t waiting_ = 0;
};

daemon_process::daemon_process(settings options)
    : impl_(std::make_unique<impl>(std::move(options))) {}
daemon_process::~daemon_process() = default;
absl::Status daemon_process::run() {
  return impl_->run();
}

}  // namespace citronwharf
