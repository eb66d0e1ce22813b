/// The machine of kind "config": the configuration, its history and the
/// answers to operations, driven by the replicated log.
#ifndef CITRONWHARF_CONTROL_CONFIGURATION_MACHINE_H_
#define CITRONWHARF_CONTROL_CONFIGURATION_MACHINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Before any == of a value with a JSON member, which asks for conversions.
#include "base/configuration_json.h"
#include "citronwharf/configuration.h"
#include "control/state_machine.h"
#include "control/validate.h"

namespace citronwharf {

/// A change of configuration, as commanded. Without a base version it applies
/// to whatever version is newest: for orders that must not lose a race, such
/// as the withdrawal of a key.
struct configuration_command {
  static constexpr const char* kind = "config";
  std::string operation;   ///< identifier; a resend has the same one
  std::string author;      ///< process or operator, for the history
  std::int64_t at_ms = 0;  ///< wall time at the proposer, for the history
  std::optional<std::uint64_t> base;
  bool partial = false;
  bool create = false;  ///< named items must be new
  bool update = false;  ///< named items must be there
  nlohmann::json document;
};
CITRONWHARF_VALUE(configuration_command, operation, author, at_ms, base,
                  partial, create, update, document)

/// How a change ended.
enum class change_outcome {
  changed,
  unchanged,         ///< a no-op; the version stays
  conflict,          ///< another change was first
  invalid,           ///< see faults
  exists,            ///< create: an item has this name already
  missing,           ///< update: no item has this name
  operation_reused,  ///< the identifier belongs to another command
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

/// The answer to a change. `version` is the version it made, or the present
/// one when it made none. On a conflict the winner is the change that followed
/// the base version ("" when forgotten).
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

/// What a command would do.
struct change_preview {
  change_result result;
  nlohmann::json changes;
};
CITRONWHARF_VALUE(change_preview, result, changes)

/// One accepted change.
struct change_record {
  std::uint64_t version = 0;
  std::uint64_t index = 0;  ///< in the log
  std::string operation;
  std::string author;
  std::int64_t at_ms = 0;
  std::vector<std::string> touched;  ///< "list/name", at most 20
};
CITRONWHARF_VALUE(change_record, version, index, operation, author, at_ms,
                  touched)

/// Loop's thread only.
class configuration_machine final : public state_machine {
 public:
  /// How many answers and changes are remembered.
  static constexpr std::size_t remembered_operations = 4096;
  static constexpr std::size_t remembered_changes = 1000;
  /// How many deltas are kept for processes that were away.
  static constexpr std::size_t kept_deltas = 256;

  nlohmann::json apply(std::uint64_t index,
                       const nlohmann::json& command) override;
  nlohmann::json snapshot() const override;
  void restore(const nlohmann::json& state) override;

  /// Returns the newest applied configuration.
  const configuration& current() const { return current_; }
  /// Returns the accepted changes, oldest first.
  const std::deque<change_record>& history() const { return history_; }
  /// Returns the log index of the change that last ordered what the engine of
  /// this endpoint shall be; 0 for an unknown endpoint.
  std::uint64_t order_index(const std::string& endpoint) const;
  /// Returns the pool that the endpoint was in before that change; "" when it
  /// was not there.
  std::string pool_before_order(const std::string& endpoint) const;

  /// Returns the documents that lead from `version` to the present one in
  /// turn; nothing when they are not all kept.
  std::optional<std::vector<nlohmann::json>> changes_since(
      std::uint64_t version) const;

  /// Returns what the command would answer now and the partial document of
  /// its changes, without doing it.
  change_preview preview(const configuration_command& command) const;

 private:
  struct outcome_of_plan {
    change_result result;
    configuration next;
    nlohmann::json delta;
  };
  struct remembered_operation {
    std::string operation;
    std::string digest;
    change_result result;
  };

  outcome_of_plan make_plan(const configuration_command& command) const;
  change_result conflict_with(std::uint64_t base) const;
  void accept(std::uint64_t index, const configuration_command& command,
              outcome_of_plan plan);
  void note_orders(std::uint64_t index, const nlohmann::json& delta);
  void remember(remembered_operation operation);

  configuration current_;
  std::deque<change_record> history_;
  std::deque<nlohmann::json> deltas_;  // the last one leads to current_
  std::deque<remembered_operation> operations_;
  std::map<std::string, std::size_t> operation_places_;  // counted from start
  std::size_t forgotten_operations_ = 0;
  std::map<std::string, std::uint64_t> order_indexes_;  // by endpoint
  std::map<std::string, std::string> pools_before_;     // by endpoint
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_CONFIGURATION_MACHINE_H_
