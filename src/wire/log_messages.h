/// Messages between the replicas of the control log, and the values they
/// carry.
#ifndef CITRONWHARF_WIRE_LOG_MESSAGES_H_
#define CITRONWHARF_WIRE_LOG_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/value.h"

namespace citronwharf {

/// A member of the log's group. The id is drawn when the data folder is made,
/// so that a VM that lost its disk comes back as another replica.
struct replica_member {
  std::string id;
  std::string process;  ///< process name, for the peer session
  std::string address;  ///< "ip:port" for peers
  bool voter = false;   ///< learners do not vote
};
CITRONWHARF_VALUE(replica_member, id, process, address, voter)

/// Opaque bytes; a CBOR byte string on the wire and on disk.
struct byte_block {
  std::string bytes;
};
inline void to_json(nlohmann::json& out, const byte_block& value) {
  out = nlohmann::json::binary(
      std::vector<std::uint8_t>(value.bytes.begin(), value.bytes.end()));
}
inline void from_json(const nlohmann::json& in, byte_block& value) {
  const auto& binary = in.get_binary();
  value.bytes.assign(binary.begin(), binary.end());
}
inline bool operator==(const byte_block& lhs, const byte_block& rhs) {
  return lhs.bytes == rhs.bytes;
}
inline bool operator!=(const byte_block& lhs, const byte_block& rhs) {
  return !(lhs == rhs);
}

/// What an entry of the log holds.
enum class entry_kind {
  noop,     ///< a new leader's first entry
  command,  ///< for the state machines
  members   ///< CBOR of the group's members, in force once appended
};
NLOHMANN_JSON_SERIALIZE_ENUM(entry_kind, {{entry_kind::noop, "noop"},
                                          {entry_kind::command, "command"},
                                          {entry_kind::members, "members"}})

struct log_entry {
  std::uint64_t index = 0;  ///< from 1
  std::uint64_t term = 0;
  entry_kind kind = entry_kind::noop;
  byte_block data;
};
CITRONWHARF_VALUE(log_entry, index, term, kind, data)

/// What a replica must never forget, beside its entries.
struct hard_state {
  std::string group;  ///< "" outside any group
  std::uint64_t term = 0;
  std::string vote;  ///< replica id voted for in `term`, or ""
};
CITRONWHARF_VALUE(hard_state, group, term, vote)

/// The state machines' state after applying entry `index`.
struct log_snapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::vector<replica_member> members;
  byte_block data;
};
CITRONWHARF_VALUE(log_snapshot, index, term, members, data)

/// Common head of the messages between replicas. A message whose group or
/// receiver doesn't match is dropped.
struct log_header {
  std::string group;
  std::string from;  ///< replica id
  std::string to;    ///< replica id
  std::uint64_t term = 0;
};
CITRONWHARF_VALUE(log_header, group, from, to, term)

/// Asks for a vote. With pre_vote, header.term is the term that the sender
/// would start, and the answer binds nobody.
struct vote_request {
  static constexpr const char* type_name = "log_vote_request";
  log_header header;
  bool pre_vote = false;
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
};
CITRONWHARF_VALUE(vote_request, header, pre_vote, last_index, last_term)

struct vote_reply {
  static constexpr const char* type_name = "log_vote_reply";
  log_header header;
  bool pre_vote = false;
  bool granted = false;
};
CITRONWHARF_VALUE(vote_reply, header, pre_vote, granted)

/// Entries after `previous_index`, or a heartbeat without any.
struct append_request {
  static constexpr const char* type_name = "log_append_request";
  log_header header;
  std::uint64_t sequence = 0;  ///< counted by the leader
  std::uint64_t previous_index = 0;
  std::uint64_t previous_term = 0;
  std::uint64_t commit_index = 0;
  std::vector<log_entry> entries;
};
CITRONWHARF_VALUE(append_request, header, sequence, previous_index,
                  previous_term, commit_index, entries)

struct append_reply {
  static constexpr const char* type_name = "log_append_reply";
  log_header header;
  std::uint64_t sequence = 0;  ///< of the request
  bool ok = false;
  /// With ok: synced here up to this index. Else: where to try next.
  std::uint64_t match_index = 0;
};
CITRONWHARF_VALUE(append_reply, header, sequence, ok, match_index)

/// A part of a snapshot. The last part is answered by an append_reply once
/// the snapshot is synced.
struct snapshot_request {
  static constexpr const char* type_name = "log_snapshot_request";
  log_header header;
  std::uint64_t sequence = 0;
  log_snapshot part;         ///< data: the bytes from `offset` on
  std::uint64_t offset = 0;  ///< bytes
  std::uint64_t size = 0;    ///< bytes of the whole snapshot
};
CITRONWHARF_VALUE(snapshot_request, header, sequence, part, offset, size)

struct snapshot_reply {
  static constexpr const char* type_name = "log_snapshot_reply";
  log_header header;
  std::uint64_t sequence = 0;
  std::uint64_t index = 0;   ///< of the snapshot
  std::uint64_t offset = 0;  ///< bytes held, the next part starts here
};
CITRONWHARF_VALUE(snapshot_reply, header, sequence, index, offset)

/// A message of the replicated log.
using log_message =
    std::variant<vote_request, vote_reply, append_request, append_reply,
                 snapshot_request, snapshot_reply>;

/// A leader asks a process for its replica's identity, to add it.
struct member_probe {
  static constexpr const char* type_name = "log_member_probe";
  std::string group;
};
CITRONWHARF_VALUE(member_probe, group)

struct member_identity {
  static constexpr const char* type_name = "log_member_identity";
  std::string id;
  std::string group;  ///< "" when outside any group
};
CITRONWHARF_VALUE(member_identity, id, group)

}  // namespace citronwharf

#endif  // CITRONWHARF_WIRE_LOG_MESSAGES_H_
