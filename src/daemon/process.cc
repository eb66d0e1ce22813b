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

constexpr std::size_t min_secret_bytes = 32;
constexpr int hex_base = 16;

// Differs after each restart, whatever the VM's clock says.
std::uint64_t draw_incarnation() {
  constexpr std::size_t digits = 13;  // below 2^53, exact in JSON tools too
  return std::stoull(make_nonce().substr(0, digits), nullptr, hex_base) + 1;
}

absl::StatusOr<std::string> read_secret(const settings& options) {
  if (!options.secret.empty()) {
    return options.secret.size() >= min_secret_bytes
               ? absl::StatusOr<std::string>(options.secret)
               : absl::InvalidArgumentError(fmt::format(
                     "/secret: needs at least {} bytes", min_secret_bytes));
  }
  const std::string& path = options.secret_file;
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  const std::string secret(absl::StripTrailingAsciiWhitespace(text.str()));
  if (!file || secret.size() < min_secret_bytes) {
    return absl::InvalidArgumentError(fmt::format(
        "/secret_file: {} needs at least {} bytes", path, min_secret_bytes));
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
  impl(settings options, std::string settings_path, gateway_maker make_gateway)
      : options_(std::move(options)),
        settings_path_(std::move(settings_path)),
        make_gateway_(std::move(make_gateway)),
        incarnation_(draw_incarnation()),
        signals_(loop_, SIGTERM, SIGINT),
        hangups_(loop_, SIGHUP) {}

  absl::Status run() {
    set_log_process(options_.process);
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
    await_hangup();
    loop_.run();
    log_event(events::process_stopped, options_.process);
    return absl::OkStatus();
  }

 private:
  void await_hangup() {
    hangups_.async_wait([this](boost::system::error_code error, int) {
      if (!error) {
        reload();
        await_hangup();
      }
    });
  }

  // A faulty file changes nothing.
  void reload() {
    const auto read = load_settings(settings_path_);
    log_event(events::settings_reloaded, options_.process,
              read.ok() ? "ok" : std::string(read.status().message()));
    process_metrics_reload(read.ok());
    if (!read.ok()) {
      return;
    }
    for (const auto& role : roles_) {
      role->reload(*read);
    }
  }

  void process_metrics_reload(bool ok) {
    metrics_.add("citronwharf_settings_reloads_total",
                 {{"outcome", ok ? "ok" : "invalid"}});
  }

  absl::Status start() {
    const auto secret = read_secret(options_);
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
    absl::Status made = make_roles();
    if (!made.ok()) {
      return made;
    }
    for (const auto& role : roles_) {
      absl::Status started = role->start();
      if (!started.ok()) {
        return started;
      }
      ports.merge(role->ports());
    }
    if (follows_configuration()) {
      follower_ = make_configuration_follower(*context_);
    }
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

  // A gateway follows the published document instead.
  bool follows_configuration() const {
    return has_role(options_, "control") || has_role(options_, "endpoint") ||
           has_role(options_, "entry");
  }

  absl::Status make_roles() {
    if (has_role(options_, "control")) {
      roles_.push_back(make_control_role(*context_));
    }
    if (has_role(options_, "endpoint")) {
      roles_.push_back(make_endpoint_role(*context_));
    }
    if (has_role(options_, "entry")) {
      roles_.push_back(make_entry_role(*context_));
    }
    if (has_role(options_, "gateway")) {
      if (!make_gateway_) {
        return absl::InvalidArgumentError(
            "/roles: this program has no adapter for role gateway");
      }
      roles_.push_back(make_gateway_(*context_));
    }
    return absl::OkStatus();
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
    const time_point end =
        runtime_clock::now() + milliseconds(options_.limits.drain_timeout_ms);
    for (const auto& role : roles_) {
      role->drain(end, [this] {
        if (--waiting_ == 0) {
          finish();
        }
      });
    }
    limit_.expires_at(end);
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
  std::string settings_path_;
  gateway_maker make_gateway_;
  boost::asio::io_context loop_;
  std::uint64_t incarnation_;
  boost::asio::signal_set signals_;
  boost::asio::signal_set hangups_;
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

daemon_process::daemon_process(settings options, std::string settings_path,
                               gateway_maker make_gateway)
    : impl_(std::make_unique<impl>(std::move(options), std::move(settings_path),
                                   std::move(make_gateway))) {}
daemon_process::~daemon_process() = default;
absl::Status daemon_process::run() {
  return impl_->run();
}

}  // namespace citronwharf
