/// Messages of the published document: polls and updates, publication through
/// the leader, joining the group that keeps it, and the fleet-wide allowances
/// that the leader counts.
#ifndef CITRONWHARF_WIRE_DOCUMENT_MESSAGES_H_
#define CITRONWHARF_WIRE_DOCUMENT_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/value.h"
#include "wire/control_messages.h"

namespace citronwharf {

/// Any process to the members it knows, a few times a second.
struct document_poll {
  static constexpr const char* type_name = "document_poll";
  std::uint64_t id = 0;        ///< counted by the sender
  std::uint64_t revision = 0;  ///< that the sender holds
};
CITRONWHARF_VALUE(document_poll, id, revision)

/// Answer of any process; only a member's has a replica.
struct document_poll_reply {
  static constexpr const char* type_name = "document_poll_reply";
  std::uint64_t id = 0;
  std::string replica;  ///< replica id; "" outside of the group
  /// Upper bound of what the replica's synced log leads to, committed or not.
  std::uint64_t newest_revision = 0;
  std::uint64_t applied_revision = 0;
  std::uint64_t term = 0;
  std::string leader;  ///< process name, "" when unknown
  std::vector<control_member> members;
  /// That polled this member within seconds; 0 where it can't know yet.
  std::uint64_t processes = 0;
};
CITRONWHARF_VALUE(document_poll_reply, id, replica, newest_revision,
                  applied_revision, term, leader, members, processes)

/// Asks a replica for the document it has applied.
struct document_fetch {
  static constexpr const char* type_name = "document_fetch";
  std::uint64_t revision = 0;  ///< that the sender holds
};
CITRONWHARF_VALUE(document_fetch, revision)

/// A published document. `revision` counts publications in the log, `version`
/// is the number that operators gave it.
struct published_document {
  static constexpr const char* type_name = "document_update";
  std::uint64_t revision = 0;
  std::uint64_t version = 0;
  std::string text;
};
CITRONWHARF_VALUE(published_document, revision, version, text)

/// Any process to the leader: an operator's document, already checked.
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
  bool accepted = false;  ///< else the outcome is not known
  std::string reason;     ///< why not
};
CITRONWHARF_VALUE(publish_reply, id, accepted, reason)

/// A process with a disk asks the leader to become a member.
struct group_join {
  static constexpr const char* type_name = "group_join";
  std::string replica;  ///< replica id of the sender's data folder
  std::string address;  ///< "ip:port" for peers
};
CITRONWHARF_VALUE(group_join, replica, address)

/// A gateway asks the leader for tokens of an organisation's allowance.
struct fleet_tokens_ask {
  static constexpr const char* type_name = "fleet_tokens_ask";
  std::uint64_t id = 0;
  std::string organisation;
  double tokens = 0;
  std::int64_t max_wait_us = 0;  ///< that the request may wait for them
};
CITRONWHARF_VALUE(fleet_tokens_ask, id, organisation, tokens, max_wait_us)

/// A gateway gives back what the leader granted a request that never ran.
struct fleet_tokens_refund {
  static constexpr const char* type_name = "fleet_tokens_refund";
  std::string organisation;
  double tokens = 0;
  std::int64_t age_us = 0;  ///< since the grant
};
CITRONWHARF_VALUE(fleet_tokens_refund, organisation, tokens, age_us)

/// A gateway tells the leader what it granted by itself while the leader was
/// out of its reach.
struct fleet_tokens_spent {
  static constexpr const char* type_name = "fleet_tokens_spent";
  std::string organisation;
  double tokens = 0;
  std::int64_t age_us = 0;  ///< since the last of these grants
};
CITRONWHARF_VALUE(fleet_tokens_spent, organisation, tokens, age_us)

struct fleet_tokens_reply {
  static constexpr const char* type_name = "fleet_tokens_reply";
  std::uint64_t id = 0;
  bool granted = false;
  bool queued = false;        ///< a further reply follows within wait_us
  bool leads = false;         ///< false: ask the leader instead
  bool scarce = false;        ///< the organisation is near its limit
  double surplus_tokens = 0;  ///< granted beside what was asked for
  /// When queued: until the grant. When refused: until a caller may return.
  std::int64_t wait_us = 0;
};
CITRONWHARF_VALUE(fleet_tokens_reply, id, granted, queued, leads, scarce,
                  surplus_tokens, wait_us)

/// The leader tells gateways that an engine is about to switch its stage and
/// takes nothing until then.
struct stage_notice {
  static constexpr const char* type_name = "stage_notice";
  std::string server;
  std::int64_t span_ms = 0;
  bool to_prefill = false;  ///< else to decode
};
CITRONWHARF_VALUE(stage_notice, server, span_ms, to_prefill)

}  // namespace citronwharf

#endif  // CITRONWHARF_WIRE_DOCUMENT_MESSAGES_H_
