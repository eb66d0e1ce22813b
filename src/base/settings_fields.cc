#include "base/settings_fields.h"

namespace citronwharf::detail {

const std::vector<settings_field>& settings_fields() {
  using type = field_type;
  static const std::vector<settings_field> fields{
      {"/process", type::name, true, "",
       "Name of this process, unique in the deployment. An endpoint process "
       "has the name of its endpoint."},
      {"/deployment", type::name, true, "",
       "Name of the deployment. Connections from processes of other "
       "deployments are refused."},
      {"/region", type::name, true, "", "Region of the VM."},
      {"/failure_domain", type::name, true, "", "Failure domain of the VM."},
      {"/roles", type::roles, true, "",
       "Roles of the process: entry, endpoint, control, gateway."},
      {"/secret", type::text, false, "",
       "Secret of the deployment, at least 32 bytes. Alternative to "
       "/secret_file."},
      {"/secret_file", type::text, false, "path",
       "File with the secret of the deployment, at least 32 bytes, readable "
       "only by the daemon's user. Required unless /secret is set."},
      {"/operator_token_file", type::text, false, "path",
       "File with the operators' bearer token. Required by role control."},
      {"/data_folder", type::text, false, "path",
       "Folder for durable state. Required by role control."},
      {"/port_file", type::text, false, "path",
       "File to which the bound ports are written as JSON once all are bound."},
      {"/listen/callers", type::address, false, "ip:port",
       "Address on which an entry accepts callers' HTTP requests."},
      {"/listen/peers", type::address, false, "ip:port",
       "Address on which other processes of the system connect."},
      {"/listen/admin", type::address, false, "ip:port",
       "Address for health, metrics and, with role control, the "
       "administration API."},
      {"/control/seeds", type::addresses, false, "ip:port",
       "Peer addresses of control replicas to connect to first."},
      {"/control/snapshot_entries", type::positive_integer, false, "entries",
       "Number of log entries after which a replica takes a snapshot."},
      {"/control/keep_entries", type::non_negative_integer, false, "entries",
       "Log entries before a snapshot that are kept for replicas that lag "
       "slightly."},
      {"/engine/address", type::text, false, "ip:port",
       "Address of the back end served by this endpoint process. Required by "
       "role endpoint."},
      {"/engine/platform_list", type::text, false, "path",
       "File with the platform's list of live and leaving VMs."},
      {"/gateway/readiness", type::address, false, "ip:port",
       "Address on which the load balancer checks whether to send new "
       "connections. Required by role gateway."},
      {"/gateway/operators", type::address, false, "ip:port",
       "Address on which operators publish and read the configuration of the "
       "gateways. Required by role gateway."},
      {"/gateway/directory", type::address, false, "ip:port",
       "Address of the platform's server directory. Required by role gateway."},
      {"/gateway/directory_interval_ms", type::positive_integer, false, "ms",
       "Interval between two reads of the server directory."},
      {"/gateway/seeds", type::addresses, false, "ip:port",
       "Processes to connect to first. Only their hosts are used, with the "
       "port of /listen/peers."},
      {"/gateway/first_start", type::boolean, false, "",
       "Whether the whole system starts for the first time, with empty disks."},
      {"/gateway/tolerated_losses", type::non_negative_integer, false,
       "processes",
       "Number of simultaneous process losses that the replica group "
       "survives. The group has twice as many members plus one."},
      {"/gateway/repair_time_s", type::non_negative_number, false, "s",
       "Time after its start within which a process replaces a member of the "
       "replica group that was lost before. Another member may be lost then."},
      {"/gateway/retry_ratio", type::non_negative_number, false, "",
       "Retries (sends after the first send of a request) allowed for a "
       "service, as a fraction of its requests."},
      {"/gateway/retry_slack", type::non_negative_number, false, "requests",
       "Retries allowed beyond the ratio, over all processes within one "
       "window."},
      {"/gateway/retry_window_s", type::positive_integer, false, "s",
       "Window over which retries are counted."},
      {"/gateway/drain_announce_ms", type::positive_integer, false, "ms",
       "Time for which a draining process still accepts connections, so that "
       "load balancers can notice the drain."},
      {"/limits/max_connections", type::positive_integer, false, "connections",
       "Maximum number of open connections from callers. Beyond it, idle and "
       "stalled ones give way to new ones; if there is none, new ones get "
       "503."},
      {"/limits/max_descriptors", type::non_negative_integer, false,
       "descriptors",
       "Descriptors that the process may open. A gateway keeps a quarter of "
       "them, 300 at most, for its own use. Connections from callers get half "
       "of the rest, so that one is left for each connection to a server. 0: "
       "the limit of the operating system (RLIMIT_NOFILE)."},
      {"/limits/max_header_bytes", type::positive_integer, false, "bytes",
       "Maximum size of the headers of one request, of its trailers, and of "
       "all "
       "its chunk extensions together."},
      {"/limits/max_body_bytes", type::positive_integer, false, "bytes",
       "Maximum size of the body of one request. A route may allow less."},
      {"/limits/max_buffered_bytes", type::non_negative_integer, false, "bytes",
       "Maximum memory for connections from callers, for the requests that a "
       "gateway receives or has not answered and for responses that callers "
       "have not read, so that clients outside the limits can't exhaust the "
       "VM. Beyond it, clients without progress for 1 s are refused or "
       "closed, then idle connections are closed, then new requests get 503. "
       "The port for operators has a budget of the same size. 0: three "
       "eighths of /limits/memory_mb, or 32 MiB without it. At least two "
       "bodies of the maximum size."},
      {"/limits/memory_mb", type::non_negative_number, false, "MB",
       "Memory of the VM that a gateway runs on. 0: not known."},
      {"/limits/max_waiting", type::positive_integer, false, "requests",
       "Maximum number of requests waiting in one process."},
      {"/limits/max_waiting_per_organisation", type::positive_integer, false,
       "requests",
       "Maximum number of requests of one organisation waiting in one "
       "process."},
      {"/limits/read_timeout_ms", type::positive_integer, false, "ms",
       "Timeout for receiving a whole request after its first byte."},
      {"/limits/idle_timeout_ms", type::positive_integer, false, "ms",
       "Timeout between two requests on one connection."},
      {"/limits/write_timeout_ms", type::positive_integer, false, "ms",
       "Timeout without progress while writing to a caller."},
      {"/limits/drain_timeout_ms", type::positive_integer, false, "ms",
       "Time after which a drain is abandoned and the process exits."},
      {"/trace/file", type::text, false, "path",
       "File to which spans are appended, one line of OTLP/JSON each."},
      {"/trace/collector", type::text, false, "ip:port",
       "OTLP/HTTP collector to which spans are sent."},
      {"/trace/sample", type::fraction, false, "0 to 1",
       "Fraction of requests without traceparent that are traced."},
  };
  return fields;
}

}  // namespace citronwharf::detail
