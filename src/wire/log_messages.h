/// Messages between the replicas of the control log, and the values in them.
/// The replicas use a Raft-style protocol with pre-votes.
#ifndef CITRONWHARF_WIRE_LOG_MESSAGES_H_
#define CITRONWHARF_WIRE_LOG_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/value.h"

namespace citronwharf {

/// A member of the replica group. The random id is generated with the data
/// folder, so that a VM that lost its disk returns as a different replica.
struct replica_member {
  std::string id;
  std::string process;  ///< process name, for the peer session
  std::string address;  ///< "ip:port" for peers
  bool voter = false;   ///< false: a learner, which does not vote
  /// Replica id of the voter whose seat this member takes over, or "". While
  /// both vote, every decision needs a majority with and without either.
  std::string replaces = {};
};
CITRONWHARF_VALUE_ADDING(replica_member, replaces, id, process, address, voter)

/// Opaque bytes, encoded as a CBOR byte string on the wire and on disk.
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

/// Type of a log entry.
enum class log_entry_kind {
  noop,     ///< first entry of a new leader
  command,  ///< for the state machines
  members   ///< members of the group in CBOR, effective once appended
};
NLOHMANN_JSON_SERIALIZE_ENUM(log_entry_kind,
                             {{log_entry_kind::noop, "noop"},
                              {log_entry_kind::command, "command"},
                              {log_entry_kind::members, "members"}})

struct log_entry {
  std::uint64_t index = 0;  ///< from 1
  std::uint64_t term = 0;
  log_entry_kind kind = log_entry_kind::noop;
  byte_block data;
};
CITRONWHARF_VALUE(log_entry, index, term, kind, data)

/// State that a replica must keep durably in addition to its entries (Raft's
/// persistent state).
struct hard_state {
  std::string group;  ///< "" outside any group
  std::uint64_t term = 0;
  std::string vote;  ///< replica id voted for in `term`, or ""
};
CITRONWHARF_VALUE(hard_state, group, term, vote)

/// State of the state machines after applying entry `index`.
struct log_snapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::vector<replica_member> members;
  byte_block data;
};
CITRONWHARF_VALUE(log_snapshot, index, term, members, data)

/// Common header of the messages between replicas. A message for another group
/// or receiver is dropped.
struct log_header {
  std::string group;
  std::string from;  ///< replica id
  std::string to;    ///< replica id
  std::uint64_t term = 0;
};
CITRONWHARF_VALUE(log_header, group, from, to, term)

/// Requests a vote. With pre_vote, header.term is the term that the sender
/// would start, and the reply is not binding.
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

/// Entries after `previous_index`; a heartbeat if there are none.
struct append_request {
  static constexpr const char* type_name = "log_append_request";
  log_header header;
  std::uint64_t sequence = 0;  ///< counter of the leader
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
  /// If ok: the log of the replica is synced up to this index. Otherwise: the
  /// index to try next.
  std::uint64_t match_index = 0;
};
CITRONWHARF_VALUE(append_reply, header, sequence, ok, match_index)

/// A part of a snapshot. The last part is answered by an append_reply once the
/// snapshot is synced.
struct snapshot_request {
  static constexpr const char* type_name = "log_snapshot_request";
  log_header header;
  std::uint64_t sequence = 0;
  log_snapshot part;         ///< `data` holds the bytes from `offset` on
  std::uint64_t offset = 0;  ///< in bytes
  std::uint64_t size = 0;    ///< size of the whole snapshot in bytes
};
CITRONWHARF_VALUE(snapshot_request, header, sequence, part, offset, size)

struct snapshot_reply {
  static constexpr const char* type_name = "log_snapshot_reply";
  log_header header;
  std::uint64_t sequence = 0;
  std::uint64_t index = 0;   ///< of the snapshot
  std::uint64_t offset = 0;  ///< bytes received; start of the next part
};
CITRONWHARF_VALUE(snapshot_reply, header, sequence, index, offset)

/// Any message of the replicated log.
using log_message =
    std::variant<vote_request, vote_reply, append_request, append_reply,
                 snapshot_request, snapshot_reply>;

/// Leader to a process: asks for the identity of its replica, in order to add
/// it to the group.
struct member_probe {
  static constexpr const char* type_name = "log_member_probe";
  std::string group;
};
CITRONWHARF_VALUE(member_probe, group)

struct member_identity {
  static constexpr const char* type_name = "log_member_identity";
  std::string id;
  std::string group;  ///< "" outside any group
};
CITRONWHARF_VALUE(member_identity, id, group)

}  // namespace citronwharf

#endif  // CITRONWHARF_WIRE_LOG_MESSAGES_H_
