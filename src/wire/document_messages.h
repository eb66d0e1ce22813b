/// Messages about the document that operators publish to all gateways: polls
/// and updates, publication through the leader, joining the replica group that
/// stores it, and the fleet-wide allowances counted by the leader.
#ifndef CITRONWHARF_WIRE_DOCUMENT_MESSAGES_H_
#define CITRONWHARF_WIRE_DOCUMENT_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/value.h"
#include "wire/control_messages.h"
#include "wire/evacuation_messages.h"

namespace citronwharf {

/// Any process to the group members it knows, a few times a second.
struct document_poll {
  static constexpr const char* type_name = "document_poll";
  std::uint64_t id = 0;        ///< counter of the sender
  std::uint64_t revision = 0;  ///< held by the sender
  /// Revision of the evacuation_set held by the sender. Not written while it is
  /// 0, so that deployments without evacuations send the same bytes as before.
  std::uint64_t evacuations_revision = 0;
};

inline void to_json(nlohmann::json& out, const document_poll& value) {
  out = {{"id", value.id}, {"revision", value.revision}};
  if (value.evacuations_revision != 0) {
    out["evacuations_revision"] = value.evacuations_revision;
  }
}
inline void from_json(const nlohmann::json& in, document_poll& value) {
  in.at("id").get_to(value.id);
  in.at("revision").get_to(value.revision);
  value.evacuations_revision =
      in.value("evacuations_revision", std::uint64_t{0});
}

/// Reply of any process. `replica` is set only by members of the group.
struct document_poll_reply {
  static constexpr const char* type_name = "document_poll_reply";
  std::uint64_t id = 0;
  std::string replica;  ///< replica id; "" outside the group
  /// Upper bound of the revision that results from the replica's synced log,
  /// including uncommitted entries.
  std::uint64_t newest_revision = 0;
  std::uint64_t applied_revision = 0;
  std::uint64_t term = 0;
  std::string leader;  ///< process name, "" when unknown
  std::vector<control_member> members;
  /// Number of processes that polled this member within the last seconds; 0
  /// while not yet known.
  std::uint64_t processes = 0;
  /// Like newest_revision, of the evacuation_set. Not written while it is 0.
  std::uint64_t newest_evacuations = 0;
  /// The set that the replica has applied, if it is newer than the sender's.
  std::optional<evacuation_set> evacuations;
};

inline void to_json(nlohmann::json& out, const document_poll_reply& value) {
  out = {{"id", value.id},
         {"replica", value.replica},
         {"newest_revision", value.newest_revision},
         {"applied_revision", value.applied_revision},
         {"term", value.term},
         {"leader", value.leader},
         {"members", value.members},
         {"processes", value.processes}};
  if (value.newest_evacuations != 0) {
    out["newest_evacuations"] = value.newest_evacuations;
  }
  if (value.evacuations) {
    out["evacuations"] = *value.evacuations;
  }
}
inline void from_json(const nlohmann::json& in, document_poll_reply& value) {
  in.at("id").get_to(value.id);
  in.at("replica").get_to(value.replica);
  in.at("newest_revision").get_to(value.newest_revision);
  in.at("applied_revision").get_to(value.applied_revision);
  in.at("term").get_to(value.term);
  in.at("leader").get_to(value.leader);
  in.at("members").get_to(value.members);
  in.at("processes").get_to(value.processes);
  value.newest_evacuations = in.value("newest_evacuations", std::uint64_t{0});
  value.evacuations.reset();
  if (const auto found = in.find("evacuations"); found != in.end()) {
    value.evacuations = found->get<evacuation_set>();
  }
}

/// Asks a replica for the document that it has applied.
struct document_fetch {
  static constexpr const char* type_name = "document_fetch";
  std::uint64_t revision = 0;  ///< held by the sender
};
CITRONWHARF_VALUE(document_fetch, revision)

/// A published document. `revision` counts the publications in the log;
/// `version` is the number assigned by the operators.
struct published_document {
  static constexpr const char* type_name = "document_update";
  std::uint64_t revision = 0;
  std::uint64_t version = 0;
  std::string text;
};
CITRONWHARF_VALUE(published_document, revision, version, text)

/// Any process to the leader: publishes an operator's document that the sender
/// has validated.
struct publish_request {
  static constexpr const char* type_name = "document_publish";
  std::uint64_t id = 0;
  std::uint64_t version = 0;
  std::string text;
};
CITRONWHARF_VALUE(publish_request, id, version, text)

struct publish_reply {
  static constexpr const char* type_name = "document_published";
  std::uint64_t id = 0;
  bool accepted = false;  ///< if false, the outcome is not known
  std::string reason;     ///< why it was not accepted
};
CITRONWHARF_VALUE(publish_reply, id, accepted, reason)

/// A process with a disk asks the leader to admit it as a member.
struct group_join {
  static constexpr const char* type_name = "group_join";
  std::string replica;  ///< replica id of the sender's data folder
  std::string address;  ///< "ip:port" for peers
};
CITRONWHARF_VALUE(group_join, replica, address)

/// A member that is being stopped lets the leader hand its seat over to a
/// process that has asked to join. Repeated until the member ends.
struct group_leave {
  static constexpr const char* type_name = "group_leave";
  std::string replica;  ///< replica id of the sender's data folder
};
CITRONWHARF_VALUE(group_leave, replica)

/// Gateway to leader: requests tokens of an account.
struct fleet_tokens_ask {
  static constexpr const char* type_name = "fleet_tokens_ask";
  std::uint64_t id = 0;
  std::string account;
  double tokens = 0;
  std::int64_t max_wait_us = 0;  ///< limit of waiting for the tokens
  std::int64_t urgency = 0;      ///< 0 is the most urgent
};
CITRONWHARF_VALUE_ADDING(fleet_tokens_ask, urgency, id, account, tokens,
                         max_wait_us)

/// Gateway to leader: returns the tokens granted to a request that never ran.
struct fleet_tokens_refund {
  static constexpr const char* type_name = "fleet_tokens_refund";
  std::string account;
  double tokens = 0;
  std::int64_t age_us = 0;  ///< since the grant
};
CITRONWHARF_VALUE(fleet_tokens_refund, account, tokens, age_us)

/// Gateway to leader: reports the tokens that the gateway granted on its own
/// while it could not reach the leader.
struct fleet_tokens_spent {
  static constexpr const char* type_name = "fleet_tokens_spent";
  std::string account;
  double tokens = 0;
  std::int64_t age_us = 0;  ///< since the last of these grants
};
CITRONWHARF_VALUE(fleet_tokens_spent, account, tokens, age_us)

struct fleet_tokens_reply {
  static constexpr const char* type_name = "fleet_tokens_reply";
  std::uint64_t id = 0;
  bool granted = false;
  bool queued = false;        ///< another reply follows within wait_us
  bool leads = false;         ///< sent by the leader; if false, ask the leader
  bool scarce = false;        ///< the account is near its limit
  double surplus_tokens = 0;  ///< granted in addition to the tokens asked for
  /// If queued: time until the grant. If refused: time until the caller may
  /// retry.
  std::int64_t wait_us = 0;
};
CITRONWHARF_VALUE(fleet_tokens_reply, id, granted, queued, leads, scarce,
                  surplus_tokens, wait_us)

/// Leader to gateways: an engine is switching its stage and accepts no requests
/// for `span_ms`.
struct stage_notice {
  static constexpr const char* type_name = "stage_notice";
  std::string server;
  std::int64_t span_ms = 0;
  bool to_prefill = false;  ///< if false, to decode
};
CITRONWHARF_VALUE(stage_notice, server, span_ms, to_prefill)

}  // namespace citronwharf

#endif  // CITRONWHARF_WIRE_DOCUMENT_MESSAGES_H_
