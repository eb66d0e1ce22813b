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
       "What the process does: entry, endpoint, control."},
      {"/secret_file", type::text, true, "path",
       "File with the deployment's secret, at least 32 bytes, readable by the "
       "daemon's user alone."},
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
      {"/engine/address", type::text, false, "ip:port",
       "The back end beside this endpoint process."},
      {"/engine/platform_list", type::text, false, "path",
       "File with the platform's list of live and leaving VMs."},
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
