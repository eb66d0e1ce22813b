/// Messages between control replicas and the other processes: distribution of
/// the configuration, forwarded administration, turns to load models.
#ifndef CITRONWHARF_WIRE_CONTROL_MESSAGES_H_
#define CITRONWHARF_WIRE_CONTROL_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/value.h"

namespace citronwharf {

/// A member of the control group, as other processes reach it.
struct control_member {
  std::string id;       ///< drawn with the data folder
  std::string process;  ///< process name, for the peer session
  std::string address;  ///< "ip:port" for peers
  bool voter = false;
};
CITRONWHARF_VALUE(control_member, id, process, address, voter)

/// Control replica to any process, on a new session and when members change.
struct control_hello {
  static constexpr const char* type_name = "control_hello";
  std::vector<control_member> members;
};
CITRONWHARF_VALUE(control_hello, members)

/// Any process to each control replica, about once a second.
struct config_poll {
  static constexpr const char* type_name = "config_poll";
  std::uint64_t id = 0;       ///< counted by the sender
  std::uint64_t version = 0;  ///< that the sender holds
};
CITRONWHARF_VALUE(config_poll, id, version)

/// Control replica's answer. `newest_version` is an upper bound of the version
/// that its synced log leads to, committed or not.
struct config_poll_reply {
  static constexpr const char* type_name = "config_poll_reply";
  std::uint64_t id = 0;
  std::string replica;  ///< replica id; "" outside of a group
  std::uint64_t newest_version = 0;
  std::uint64_t applied_version = 0;
  std::vector<control_member> members;
};
CITRONWHARF_VALUE(config_poll_reply, id, replica, newest_version,
                  applied_version, members)

/// Asks a replica for all that came after `version`. Answered by
/// config_changes or by the parts of a snapshot.
struct config_fetch {
  static constexpr const char* type_name = "config_fetch";
  std::uint64_t version = 0;
};
CITRONWHARF_VALUE(config_fetch, version)

/// Partial documents that lead from version `base` to the next ones in turn.
struct config_changes {
  static constexpr const char* type_name = "config_changes";
  std::uint64_t base = 0;
  std::vector<nlohmann::json> changes;
};
CITRONWHARF_VALUE(config_changes, base, changes)

/// A part of the JSON text of a whole configuration, so that a large one fits
/// into frames. Parts come in order on one session.
struct config_snapshot_part {
  static constexpr const char* type_name = "config_snapshot_part";
  std::uint64_t version = 0;
  std::uint32_t part = 0;
  std::uint32_t parts = 0;
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

/// What an engine shall be. The fencing token is the log index of the change
/// of configuration that ordered it; a smaller one is refused.
struct engine_order {
  std::uint64_t fencing_token = 0;
  std::string role;  ///< endpoint_role by name
  std::string model;
  std::string adapter;
  std::string model_version;
};
CITRONWHARF_VALUE(engine_order, fencing_token, role, model, adapter,
                  model_version)

/// Endpoint to a control replica: may I carry out my order now? Sent again
/// while the load runs, it renews the lease.
struct load_turn_request {
  static constexpr const char* type_name = "load_turn";
  std::uint64_t id = 0;
  std::string endpoint;
  bool serving = false;  ///< whether the engine serves requests at present
};
CITRONWHARF_VALUE(load_turn_request, id, endpoint, serving)

/// Why a turn is or is not granted.
enum class turn_outcome {
  granted,
  wait,          ///< the weight store is busy: ask again
  last_serving,  ///< a route would lose its last serving endpoint
  in_order,      ///< nothing to do: the order was carried out
  unknown        ///< no such endpoint, or no leader now
};
NLOHMANN_JSON_SERIALIZE_ENUM(turn_outcome,
                             {{turn_outcome::granted, "granted"},
                              {turn_outcome::wait, "wait"},
                              {turn_outcome::last_serving, "last_serving"},
                              {turn_outcome::in_order, "in_order"},
                              {turn_outcome::unknown, "unknown"}})

struct load_turn_reply {
  static constexpr const char* type_name = "load_turn_reply";
  std::uint64_t id = 0;
  turn_outcome outcome = turn_outcome::unknown;
  engine_order order;               ///< when granted or in order
  std::int64_t lease_us = 0;        ///< when granted
  std::int64_t retry_after_us = 0;  ///< when not
};
CITRONWHARF_VALUE(load_turn_reply, id, outcome, order, lease_us, retry_after_us)

/// Endpoint to a control replica: the order is carried out, or failed.
struct load_turn_done {
  static constexpr const char* type_name = "load_turn_done";
  std::string endpoint;
  std::uint64_t fencing_token = 0;
  bool carried_out = false;
};
CITRONWHARF_VALUE(load_turn_done, endpoint, fencing_token, carried_out)

}  // namespace citronwharf

#endif  // CITRONWHARF_WIRE_CONTROL_MESSAGES_H_
