/// Settings of one process: a JSON file checked against a published schema.
#ifndef CITRONWHARF_BASE_SETTINGS_H_
#define CITRONWHARF_BASE_SETTINGS_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/value.h"

namespace citronwharf {

/// Addresses are "ip:port"; port 0 takes a free one, see port_file.
struct listen_settings {
  std::string callers = "127.0.0.1:0";  ///< role entry
  std::string peers = "127.0.0.1:0";
  std::string admin = "127.0.0.1:0";  ///< health, metrics, administration
};
CITRONWHARF_VALUE(listen_settings, callers, peers, admin)

struct control_settings {
  std::vector<std::string> seeds;  ///< peer addresses of control replicas
  std::int64_t snapshot_entries = 1000;
  std::int64_t keep_entries = 256;  ///< before a snapshot, for laggards
};
CITRONWHARF_VALUE(control_settings, seeds, snapshot_entries, keep_entries)

/// The back end beside an endpoint process.
struct engine_settings {
  std::string address;
  std::string platform_list;  ///< file with the platform's list of VMs, or ""
};
CITRONWHARF_VALUE(engine_settings, address, platform_list)

struct limit_settings {
  std::int64_t max_connections = 4096;
  std::int64_t max_header_bytes = 16384;
  std::int64_t max_body_bytes = 1048576;
  std::int64_t max_waiting = 1024;  ///< requests in one queue
  std::int64_t max_waiting_per_organisation = 256;
  std::int64_t read_timeout_ms = 10000;
  std::int64_t idle_timeout_ms = 60000;
  std::int64_t write_timeout_ms = 10000;
  std::int64_t drain_timeout_ms = 60000;
};
CITRONWHARF_VALUE(limit_settings, max_connections, max_header_bytes,
                  max_body_bytes, max_waiting, max_waiting_per_organisation,
                  read_timeout_ms, idle_timeout_ms, write_timeout_ms,
                  drain_timeout_ms)

struct trace_settings {
  std::string file;       ///< OTLP/JSON lines are appended here, or ""
  std::string collector;  ///< "ip:port" of an OTLP/HTTP collector, or ""
  double sample = 1.0;    ///< share of requests without a traceparent
};
CITRONWHARF_VALUE(trace_settings, file, collector, sample)

/// Role gateway: forwards callers' requests to listed servers.
struct gateway_settings {
  std::string readiness;  ///< listens for the balancer's question
  std::string operators;  ///< listens for operators
  std::string directory;  ///< "ip:port" of the list of servers
  std::int64_t directory_interval_ms = 1200;
  std::vector<std::string> seeds;  ///< hosts of first contacts
  bool first_start = false;        ///< of the whole system, with empty disks
  std::int64_t tolerated_losses = 1;
  double retry_ratio = 0.2;
  double retry_slack = 60;
  std::int64_t retry_window_s = 10;
  std::int64_t drain_announce_ms = 2500;
};
CITRONWHARF_VALUE(gateway_settings, readiness, operators, directory,
                  directory_interval_ms, seeds, first_start, tolerated_losses,
                  retry_ratio, retry_slack, retry_window_s, drain_announce_ms)

struct settings {
  std::string process;
  std::string deployment;
  std::string region;
  std::string failure_domain;
  std::vector<std::string> roles;  ///< entry, endpoint, control, gateway
  std::string secret;              ///< the deployment's, or in secret_file
  std::string secret_file;
  std::string operator_token_file;  ///< role control
  std::string data_folder;          ///< role control
  std::string port_file;            ///< bound ports are written here, or ""
  listen_settings listen;
  control_settings control;
  engine_settings engine;
  gateway_settings gateway;
  limit_settings limits;
  trace_settings trace;
};
CITRONWHARF_VALUE(settings, process, deployment, region, failure_domain, roles,
                  secret, secret_file, operator_token_file, data_folder,
                  port_file, listen, control, engine, gateway, limits, trace)

/// Returns whether `role` is among the roles. Thread-safe.
bool has_role(const settings& in, const std::string& role);

/// One fault of a settings document.
struct settings_fault {
  std::string pointer;  ///< JSON pointer
  std::string message;
};
CITRONWHARF_VALUE(settings_fault, pointer, message)

/// Returns every fault of the document, none when it is good. Unknown names
/// are faults. Thread-safe.
std::vector<settings_fault> check_settings(const nlohmann::json& document);

/// Reads a checked document; members left out take their defaults.
/// Precondition: check_settings found nothing. Thread-safe.
settings read_settings(const nlohmann::json& document);

/// Reads a file; the error lists every fault, a line each.
absl::StatusOr<settings> load_settings(const std::string& path);

/// Returns docs/settings.schema.json and docs/SETTINGS.md. Thread-safe.
nlohmann::json settings_schema();
std::string settings_page();

}  // namespace citronwharf

#endif  // CITRONWHARF_BASE_SETTINGS_H_
