#include "base/settings_fields.h"

namespace citronwharf::detail {

const std::vector<settings_field>& settings_fields() {
  using type = field_type;
  static const std::vector<settings_field> fields{
      {"/process", type::name, true, "",
       "Name of this process, unique in the deployment. An endpoint process "
       "has the name of its endpoint."},
      {"/deployment", type::name, true, "",
       "Name of the deployment; processes of another one are refused."},
      {"/region", type::name, true, "", "Region of the VM."},
      {"/failure_domain", type::name, true, "", "Failure domain of the VM."},
      {"/roles", type::roles, true, "",
       "What the process does: entry, endpoint, control, gateway."},
      {"/secret", type::text, false, "",
       "The deployment's secret, at least 32 bytes, where no file holds it."},
      {"/secret_file", type::text, false, "path",
       "File with the deployment's secret, at least 32 bytes, readable by the "
       "daemon's user alone. Needed without /secret."},
      {"/operator_token_file", type::text, false, "path",
       "File with the operators' bearer token. Needed by role control."},
      {"/data_folder", type::text, false, "path",
       "Folder for the durable state. Needed by role control."},
      {"/port_file", type::text, false, "path",
       "The bound ports are written here as JSON once all are bound."},
      {"/listen/callers", type::address, false, "ip:port",
       "Where an entry takes callers' HTTP requests."},
      {"/listen/peers", type::address, false, "ip:port",
       "Where other processes of the system connect."},
      {"/listen/admin", type::address, false, "ip:port",
       "Health, metrics and, with role control, the administration API."},
      {"/control/seeds", type::addresses, false, "ip:port",
       "Peer addresses of control replicas, for the first contact."},
      {"/control/snapshot_entries", type::integer, false, "entries",
       "Log entries after which a replica takes a snapshot."},
      {"/control/keep_entries", type::count, false, "entries",
       "Log entries kept before a snapshot, for replicas that lag a little."},
      {"/engine/address", type::text, false, "ip:port",
       "The back end beside this endpoint process."},
      {"/engine/platform_list", type::text, false, "path",
       "File with the platform's list of live and leaving VMs."},
      {"/gateway/readiness", type::address, false, "ip:port",
       "Where the balancer asks whether to send new connections. Needed by "
       "role gateway."},
      {"/gateway/operators", type::address, false, "ip:port",
       "Where operators publish and read the configuration of the gateways. "
       "Needed by role gateway."},
      {"/gateway/directory", type::address, false, "ip:port",
       "The platform's list of servers. Needed by role gateway."},
      {"/gateway/directory_interval_ms", type::integer, false, "ms",
       "Between two reads of the list."},
      {"/gateway/seeds", type::addresses, false, "ip:port",
       "First contacts; their hosts are dialled at the port of "
       "/listen/peers."},
      {"/gateway/first_start", type::flag, false, "",
       "Whether the whole system starts for the first time, with empty "
       "disks."},
      {"/gateway/tolerated_losses", type::count, false, "processes",
       "Losses at once that the group of replicas survives; it has twice as "
       "many members and one."},
      {"/gateway/retry_ratio", type::number, false, "",
       "Sends beyond the first of each request that a service may get, as a "
       "share of its requests."},
      {"/gateway/retry_slack", type::number, false, "requests",
       "Sends beyond the share, over all processes in one window."},
      {"/gateway/retry_window_s", type::integer, false, "s",
       "Window over which such sends are counted."},
      {"/gateway/drain_announce_ms", type::integer, false, "ms",
       "A process that drains goes on accepting connections for this long, "
       "until balancers have noticed."},
      {"/limits/max_connections", type::integer, false, "connections",
       "Callers' connections open at once."},
      {"/limits/max_header_bytes", type::integer, false, "bytes",
       "Headers of one request."},
      {"/limits/max_body_bytes", type::integer, false, "bytes",
       "Body of one request; a route may allow less."},
      {"/limits/max_waiting", type::integer, false, "requests",
       "Requests waiting in one process."},
      {"/limits/max_waiting_per_organisation", type::integer, false, "requests",
       "Requests of one organisation waiting in one process."},
      {"/limits/read_timeout_ms", type::integer, false, "ms",
       "For a whole request, once its first byte came."},
      {"/limits/idle_timeout_ms", type::integer, false, "ms",
       "Between two requests of one connection."},
      {"/limits/write_timeout_ms", type::integer, false, "ms",
       "Without progress while writing to a caller."},
      {"/limits/drain_timeout_ms", type::integer, false, "ms",
       "After this a drain gives up waiting and the process ends."},
      {"/trace/file", type::text, false, "path",
       "Spans are appended here, a line of OTLP/JSON each."},
      {"/trace/collector", type::text, false, "ip:port",
       "OTLP/HTTP collector that spans are sent to."},
      {"/trace/sample", type::share, false, "0 to 1",
       "Share of the requests without traceparent that are traced."},
  };
  return fields;
}

}  // namespace citronwharf::detail
