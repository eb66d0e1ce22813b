/// Messages between control replicas and the other processes: distribution of
/// the configuration, forwarded administration requests, and turns to load
/// models.
#ifndef CITRONWHARF_WIRE_CONTROL_MESSAGES_H_
#define CITRONWHARF_WIRE_CONTROL_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/value.h"

namespace citronwharf {

/// A member of the control group, with what other processes need to reach it.
struct control_member {
  std::string id;       ///< random, generated with the data folder
  std::string process;  ///< process name, for the peer session
  std::string address;  ///< "ip:port" for peers
  bool voter = false;
};
CITRONWHARF_VALUE(control_member, id, process, address, voter)

/// Control replica to any process, on a new session and when the members of the
/// group change.
struct control_hello {
  static constexpr const char* type_name = "control_hello";
  std::vector<control_member> members;
};
CITRONWHARF_VALUE(control_hello, members)

/// Any process to each control replica, about once a second: asks for the
/// newest version.
struct config_poll {
  static constexpr const char* type_name = "config_poll";
  std::uint64_t id = 0;       ///< counter of the sender
  std::uint64_t version = 0;  ///< held by the sender
};
CITRONWHARF_VALUE(config_poll, id, version)

/// Control replica's reply. `newest_version` is an upper bound of the version
/// that results from its synced log, including uncommitted entries.
struct config_poll_reply {
  static constexpr const char* type_name = "config_poll_reply";
  std::uint64_t id = 0;
  std::string replica;  ///< replica id; "" outside a group
  std::uint64_t newest_version = 0;
  std::uint64_t applied_version = 0;
  std::vector<control_member> members;
};
CITRONWHARF_VALUE(config_poll_reply, id, replica, newest_version,
                  applied_version, members)

/// Asks a replica for all changes after `version`. Answered by config_changes
/// or by a sequence of config_snapshot_part.
struct config_fetch {
  static constexpr const char* type_name = "config_fetch";
  std::uint64_t version = 0;
};
CITRONWHARF_VALUE(config_fetch, version)

/// Partial documents, each of which changes the configuration to the next
/// version, starting from version `base`.
struct config_changes {
  static constexpr const char* type_name = "config_changes";
  std::uint64_t base = 0;
  std::vector<nlohmann::json> changes;
};
CITRONWHARF_VALUE(config_changes, base, changes)

/// A part of the JSON text of a whole configuration. The text is split so that
/// a large configuration fits into frames. Parts arrive in order on one
/// session.
struct config_snapshot_part {
  static constexpr const char* type_name = "config_snapshot_part";
  std::uint64_t version = 0;
  std::uint32_t part = 0;   ///< number of this part
  std::uint32_t parts = 0;  ///< total number of parts
  std::string text;
};
CITRONWHARF_VALUE(config_snapshot_part, version, part, parts, text)

/// Replica to the leader: an authorised administration request.
struct admin_forward {
  static constexpr const char* type_name = "admin_forward";
  std::uint64_t id = 0;
  std::string method;
  std::string target;
  std::string body;
};
CITRONWHARF_VALUE(admin_forward, id, method, target, body)

struct admin_forward_reply {
  static constexpr const char* type_name = "admin_forward_reply";
  std::uint64_t id = 0;
  std::int32_t status = 0;
  std::string body;
};
CITRONWHARF_VALUE(admin_forward_reply, id, status, body)

/// Desired role and model of an engine. The fencing token is the log index of
/// the configuration change that ordered it; orders with a smaller token are
/// refused.
struct engine_order {
  std::uint64_t fencing_token = 0;
  std::string role;  ///< name of an endpoint_role
  std::string model;
  std::string adapter;
  std::string model_version;
};
CITRONWHARF_VALUE(engine_order, fencing_token, role, model, adapter,
                  model_version)

/// Endpoint to a control replica: asks whether the endpoint may carry out its
/// order now. Resending it while the model loads renews the lease.
struct load_turn_request {
  static constexpr const char* type_name = "load_turn";
  std::uint64_t id = 0;
  std::string endpoint;
  bool serving = false;  ///< whether the engine currently serves requests
};
CITRONWHARF_VALUE(load_turn_request, id, endpoint, serving)

/// Whether a turn is granted, or why not.
enum class load_turn_outcome {
  granted,
  wait,          ///< the weight store is busy: ask again
  last_serving,  ///< a route would lose its last serving endpoint
  in_order,      ///< nothing to do: the order has been carried out
  unknown        ///< no such endpoint, or currently no leader
};
NLOHMANN_JSON_SERIALIZE_ENUM(load_turn_outcome,
                             {{load_turn_outcome::granted, "granted"},
                              {load_turn_outcome::wait, "wait"},
                              {load_turn_outcome::last_serving, "last_serving"},
                              {load_turn_outcome::in_order, "in_order"},
                              {load_turn_outcome::unknown, "unknown"}})

struct load_turn_reply {
  static constexpr const char* type_name = "load_turn_reply";
  std::uint64_t id = 0;
  load_turn_outcome outcome = load_turn_outcome::unknown;
  engine_order order;               ///< if granted or in_order
  std::int64_t lease_us = 0;        ///< if granted
  std::int64_t retry_after_us = 0;  ///< if not granted
};
CITRONWHARF_VALUE(load_turn_reply, id, outcome, order, lease_us, retry_after_us)

/// Endpoint to a control replica: the order was carried out or has failed.
struct load_turn_done {
  static constexpr const char* type_name = "load_turn_done";
  std::string endpoint;
  std::uint64_t fencing_token = 0;
  bool carried_out = false;
};
CITRONWHARF_VALUE(load_turn_done, endpoint, fencing_token, carried_out)

}  // namespace citronwharf

#endif  // CITRONWHARF_WIRE_CONTROL_MESSAGES_H_
