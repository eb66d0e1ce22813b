/// Replicated state machine for log entries of kind "config". Holds the
/// configuration, its history and the results of operations.
#ifndef CITRONWHARF_CONTROL_CONFIGURATION_MACHINE_H_
#define CITRONWHARF_CONTROL_CONFIGURATION_MACHINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Must precede any == on a value with a JSON member, which instantiates the
// JSON conversions.
#include "base/configuration_json.h"
#include "citronwharf/configuration.h"
#include "control/state_machine.h"
#include "control/validate.h"

namespace citronwharf {

/// A requested configuration change. Without a base version it applies to the
/// newest version; this is for changes that must not fail with a conflict,
/// such as the withdrawal of a key.
struct configuration_command {
  static constexpr const char* kind = "config";
  std::string operation;   ///< identifier; a retry uses the same one
  std::string author;      ///< process or operator, for the history
  std::int64_t at_ms = 0;  ///< wall-clock time at the proposer, for the history
  std::optional<std::uint64_t> base;
  bool partial = false;
  bool create = false;  ///< the named items must not exist
  bool update = false;  ///< the named items must exist
  nlohmann::json document;
};
CITRONWHARF_VALUE(configuration_command, operation, author, at_ms, base,
                  partial, create, update, document)

/// Outcome of a change.
enum class change_outcome {
  changed,
  unchanged,         ///< a no-op; the version stays
  conflict,          ///< the base version is not the current one
  invalid,           ///< see faults
  exists,            ///< create: an item with this name exists
  missing,           ///< update: no item has this name
  operation_reused,  ///< another command has this identifier
  malformed          ///< not a configuration_command
};
NLOHMANN_JSON_SERIALIZE_ENUM(change_outcome,
                             {{change_outcome::changed, "changed"},
                              {change_outcome::unchanged, "unchanged"},
                              {change_outcome::conflict, "conflict"},
                              {change_outcome::invalid, "invalid"},
                              {change_outcome::exists, "exists"},
                              {change_outcome::missing, "missing"},
                              {change_outcome::operation_reused,
                               "operation_reused"},
                              {change_outcome::malformed, "malformed"}})

/// Result of a change. `version` is the version that it created, or the current
/// version if it created none. On a conflict the winner is the change that
/// followed the base version ("" if it is no longer in the history).
struct change_result {
  change_outcome outcome = change_outcome::malformed;
  std::uint64_t version = 0;
  std::uint64_t winner_version = 0;
  std::string winner_operation;
  std::string winner_author;
  std::vector<configuration_fault> faults;
};
CITRONWHARF_VALUE(change_result, outcome, version, winner_version,
                  winner_operation, winner_author, faults)

/// Result of a dry run of a command.
struct change_preview {
  change_result result;
  nlohmann::json changes;
};
CITRONWHARF_VALUE(change_preview, result, changes)

/// One accepted change.
struct change_record {
  std::uint64_t version = 0;
  std::uint64_t index = 0;  ///< log index
  std::string operation;
  std::string author;
  std::int64_t at_ms = 0;
  std::vector<std::string> touched;  ///< "list/name", at most 20
};
CITRONWHARF_VALUE(change_record, version, index, operation, author, at_ms,
                  touched)

/// Not thread-safe; use from the event loop thread only.
class configuration_machine final : public state_machine {
 public:
  /// Limits on the stored results of operations and the change history.
  static constexpr std::size_t max_stored_operations = 4096;
  static constexpr std::size_t max_history_changes = 1000;
  /// Limit on the deltas kept for processes that reconnect.
  static constexpr std::size_t max_kept_deltas = 256;

  nlohmann::json apply(std::uint64_t index,
                       const nlohmann::json& command) override;
  nlohmann::json snapshot() const override;
  void restore(const nlohmann::json& state) override;

  /// Returns the newest applied configuration.
  const configuration& current() const { return current_; }
  /// Returns the accepted changes, oldest first.
  const std::deque<change_record>& history() const { return history_; }
  /// Returns the log index of the last change to the role, model, adapter or
  /// model version of this endpoint; 0 for an unknown endpoint.
  std::uint64_t order_index(const std::string& endpoint) const;
  /// Returns the pool that the endpoint belonged to before that change; "" if
  /// the endpoint did not exist.
  std::string pool_before_order(const std::string& endpoint) const;

  /// Returns the partial documents that lead from `version` to the current
  /// version, in order; nullopt if some of them are no longer kept.
  std::optional<std::vector<nlohmann::json>> changes_since(
      std::uint64_t version) const;

  /// Returns the result that the command would have now and its changes as a
  /// partial document, without applying it.
  change_preview preview(const configuration_command& command) const;

 private:
  struct planned_change {
    change_result result;
    configuration next;
    nlohmann::json delta;
  };
  struct stored_operation {
    std::string operation;
    std::string digest;
    change_result result;
  };

  planned_change plan_change(const configuration_command& command) const;
  change_result conflict_with(std::uint64_t base) const;
  void accept(std::uint64_t index, const configuration_command& command,
              planned_change plan);
  void update_order_indexes(std::uint64_t index, const nlohmann::json& delta);
  void store_operation(stored_operation operation);

  configuration current_;
  std::deque<change_record> history_;
  std::deque<nlohmann::json> deltas_;  // the last one produced current_
  std::deque<stored_operation> operations_;
  std::map<std::string, std::size_t>
      operation_positions_;  // since the start, including evicted ones
  std::size_t evicted_operations_ = 0;
  std::map<std::string, std::uint64_t> order_indexes_;  // by endpoint
  std::map<std::string, std::string> previous_pools_;   // by endpoint
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_CONFIGURATION_MACHINE_H_
