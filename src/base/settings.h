/// Settings of one process, read from a JSON file and checked against a
/// published schema.
#ifndef CITRONWHARF_BASE_SETTINGS_H_
#define CITRONWHARF_BASE_SETTINGS_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

#include "base/value.h"

namespace citronwharf {

/// Addresses are "ip:port". Port 0 selects a free port, see port_file.
struct listen_settings {
  std::string callers = "127.0.0.1:0";  ///< HTTP requests; role entry
  std::string peers = "127.0.0.1:0";    ///< sessions of other processes
  std::string admin = "127.0.0.1:0";    ///< health, metrics, administration
};
CITRONWHARF_VALUE(listen_settings, callers, peers, admin)

struct control_settings {
  std::vector<std::string> seeds;        ///< peer addresses of control replicas
  std::int64_t snapshot_entries = 1000;  ///< log entries between snapshots
  /// Log entries before a snapshot that are kept for replicas that lag behind.
  std::int64_t keep_entries = 256;
};
CITRONWHARF_VALUE(control_settings, seeds, snapshot_entries, keep_entries)

/// The back end served by an endpoint process.
struct engine_settings {
  std::string address;
  std::string platform_list;  ///< file listing the platform's VMs, or ""
};
CITRONWHARF_VALUE(engine_settings, address, platform_list)

struct limit_settings {
  std::int64_t max_connections = 4096;
  /// Of the process; 0: the limit of the operating system.
  std::int64_t max_descriptors = 0;
  std::int64_t max_header_bytes = 16384;
  std::int64_t max_body_bytes = 1048576;
  /// Of all connections, requests and responses that a gateway holds for
  /// callers; 0: derived, see
  /// max_buffered_bytes().
  std::int64_t max_buffered_bytes = 0;
  double memory_mb = 0;             ///< of the VM; 0: not known
  std::int64_t max_waiting = 1024;  ///< requests in one queue
  std::int64_t max_waiting_per_organisation = 256;
  std::int64_t read_timeout_ms = 10000;
  std::int64_t idle_timeout_ms = 60000;
  std::int64_t write_timeout_ms = 10000;
  std::int64_t drain_timeout_ms = 60000;
};
CITRONWHARF_VALUE(limit_settings, max_connections, max_descriptors,
                  max_header_bytes, max_body_bytes, max_buffered_bytes,
                  memory_mb, max_waiting, max_waiting_per_organisation,
                  read_timeout_ms, idle_timeout_ms, write_timeout_ms,
                  drain_timeout_ms)

/// Returns how many callers may be connected to a gateway: as set, but no more
/// than leave descriptors for a connection to a server for each of them and for
/// the process itself. At least 1. Thread-safe.
std::size_t max_caller_connections(const limit_settings& in);

/// Returns the memory that a gateway may use for requests that are not answered
/// and responses that are not read: as set, or three eighths of the VM's
/// memory, or 32 MiB if that is not known. At least two of the largest bodies.
std::size_t max_buffered_bytes(const limit_settings& in);

struct trace_settings {
  std::string file;       ///< OTLP/JSON lines are appended here, or ""
  std::string collector;  ///< "ip:port" of an OTLP/HTTP collector, or ""
  /// Fraction of requests without traceparent that are traced.
  double sample = 1.0;
};
CITRONWHARF_VALUE(trace_settings, file, collector, sample)

/// Role gateway, which forwards callers' requests to the servers listed by the
/// directory.
struct gateway_settings {
  std::string readiness;  ///< readiness checks of the load balancer
  std::string operators;  ///< operators' API
  std::string directory;  ///< "ip:port" of the server directory
  std::int64_t directory_interval_ms = 1200;
  std::vector<std::string> seeds;     ///< hosts to connect to first
  bool first_start = false;           ///< of the whole system, with empty disks
  std::int64_t tolerated_losses = 1;  ///< of members of the replica group
  /// Time after the start of a process within which it has taken the place of
  /// a member that was lost before.
  double repair_time_s = 4;
  double retry_ratio = 0.2;  ///< retries per request of a service
  double retry_slack = 60;   ///< retries beyond the ratio, per window
  std::int64_t retry_window_s = 10;
  std::int64_t drain_announce_ms = 2500;
};
CITRONWHARF_VALUE(gateway_settings, readiness, operators, directory,
                  directory_interval_ms, seeds, first_start, tolerated_losses,
                  repair_time_s, retry_ratio, retry_slack, retry_window_s,
                  drain_announce_ms)

struct settings {
  std::string process;
  std::string deployment;
  std::string region;
  std::string failure_domain;
  std::vector<std::string> roles;  ///< entry, endpoint, control, gateway
  std::string secret;              ///< of the deployment; or use secret_file
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

/// Returns whether the process has `role`. Thread-safe.
bool has_role(const settings& in, const std::string& role);

/// An error in a settings document.
struct settings_fault {
  std::string pointer;  ///< JSON pointer to the faulty setting or group
  std::string message;
};
CITRONWHARF_VALUE(settings_fault, pointer, message)

/// Returns all errors of the document; empty if it is valid. Unknown names are
/// errors. Settings that a role requires are checked only once the document
/// matches the schema. Thread-safe.
std::vector<settings_fault> check_settings(const nlohmann::json& document);

/// Converts a valid document to settings. Absent members get their defaults.
/// Precondition: check_settings returned no errors. Thread-safe.
settings read_settings(const nlohmann::json& document);

/// Reads and checks a settings file. The error lists all errors found, one per
/// line.
absl::StatusOr<settings> load_settings(const std::string& path);

/// Returns the content of docs/settings.schema.json. Thread-safe.
nlohmann::json settings_schema();
/// Returns the content of docs/SETTINGS.md. Thread-safe.
std::string settings_page();

}  // namespace citronwharf

#endif  // CITRONWHARF_BASE_SETTINGS_H_
