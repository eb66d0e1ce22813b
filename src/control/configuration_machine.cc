#include "control/configuration_machine.h"

#include <algorithm>
#include <utility>

#include "base/decode.h"
#include "control/key.h"

namespace citronwharf {
namespace {

using nlohmann::json;

constexpr std::size_t max_touched_items = 20;

document_mode mode_of(const configuration_command& command) {
  return command.partial ? document_mode::partial : document_mode::whole;
}

// Digest of the command without the members that may differ in a retry.
std::string digest_of_command(configuration_command command) {
  command.at_ms = 0;
  command.author.clear();
  return digest_of(write_json(command));
}

// Returns whether any item of the document exists in the configuration, and
// whether all do.
std::pair<bool, bool> items_present(const configuration& in,
                                    const json& document) {
  bool any = false;
  bool all = true;
  for_each_list([&](const char* list, auto member) {
    for (const json& item : document.value(list, json::array())) {
      const auto name = item.at(name_member(list)).get<std::string>();
      const auto& items = in.*member;
      const auto position =
          std::lower_bound(items.begin(), items.end(), name,
                           [](const auto& known, const std::string& wanted) {
                             return name_of_item(known) < wanted;
                           });
      const bool present =
          position != items.end() && name_of_item(*position) == name;
      any = any || present;
      all = all && present;
    }
  });
  return {any, all};
}

std::vector<std::string> touched_items(const json& delta) {
  std::vector<std::string> touched;
  const json removed = delta.value("remove", json::object());
  for_each_list([&](const char* list, auto /*member*/) {
    const std::string prefix = std::string(list) + "/";
    for (const json& item : delta.value(list, json::array())) {
      touched.push_back(prefix + item.at(name_member(list)).get<std::string>());
    }
    for (const json& name : removed.value(list, json::array())) {
      touched.push_back("-" + prefix + name.get<std::string>());
    }
  });
  if (touched.size() > max_touched_items) {
    touched.resize(max_touched_items);
  }
  return touched;
}

bool same_engine_settings(const endpoint& lhs, const endpoint& rhs) {
  return lhs.role == rhs.role && lhs.model == rhs.model &&
         lhs.adapter == rhs.adapter && lhs.model_version == rhs.model_version;
}

}  // namespace

json configuration_machine::apply(std::uint64_t index, const json& command) {
  auto decoded = decode_value<configuration_command>(command);
  if (!decoded.ok() || decoded->operation.empty()) {
    return change_result{
        change_outcome::malformed, current_.version, 0, "", "", {}};
  }
  const std::string digest = digest_of_command(*decoded);
  const auto known = operation_positions_.find(decoded->operation);
  if (known != operation_positions_.end()) {
    const auto& first = operations_[known->second - evicted_operations_];
    if (first.digest == digest) {
      return first.result;
    }
    return change_result{
        change_outcome::operation_reused, current_.version, 0, "", "", {}};
  }
  planned_change plan = plan_change(*decoded);
  change_result result = plan.result;
  if (result.outcome == change_outcome::changed) {
    accept(index, *decoded, std::move(plan));
  }
  store_operation({decoded->operation, digest, result});
  return result;
}

change_preview configuration_machine::preview(
    const configuration_command& command) const {
  planned_change plan = plan_change(command);
  return {std::move(plan.result), std::move(plan.delta)};
}

change_result configuration_machine::conflict_with(std::uint64_t base) const {
  change_result result;
  result.outcome = change_outcome::conflict;
  result.version = current_.version;
  const auto winner = std::find_if(
      history_.begin(), history_.end(),
      [&](const change_record& record) { return record.version == base + 1; });
  if (winner != history_.end()) {
    result.winner_version = winner->version;
    result.winner_operation = winner->operation;
    result.winner_author = winner->author;
  }
  return result;
}

configuration_machine::planned_change configuration_machine::plan_change(
    const configuration_command& command) const {
  planned_change plan;
  plan.result.version = current_.version;
  plan.result.faults = check_document(command.document, mode_of(command));
  if (!plan.result.faults.empty()) {
    plan.result.outcome = change_outcome::invalid;
    return plan;
  }
  if (command.base && *command.base != current_.version) {
    plan.result = conflict_with(*command.base);
    return plan;
  }
  const auto [any, all] = items_present(current_, command.document);
  if ((command.create && any) || (command.update && !all)) {
    plan.result.outcome =
        command.create ? change_outcome::exists : change_outcome::missing;
    return plan;
  }
  plan.next = merge_document(current_, command.document, mode_of(command));
  plan.result.faults = check_references(current_, plan.next, command.document);
  if (!plan.result.faults.empty()) {
    plan.result.outcome = change_outcome::invalid;
    return plan;
  }
  plan.delta = difference(current_, plan.next);
  plan.result.outcome =
      plan.delta.empty() ? change_outcome::unchanged : change_outcome::changed;
  plan.result.version += plan.delta.empty() ? 0 : 1;
  return plan;
}

void configuration_machine::accept(std::uint64_t index,
                                   const configuration_command& command,
                                   planned_change plan) {
  update_order_indexes(index, plan.delta);
  current_ = std::move(plan.next);
  current_.version = plan.result.version;
  history_.push_back({current_.version, index, command.operation,
                      command.author, command.at_ms,
                      touched_items(plan.delta)});
  if (history_.size() > max_history_changes) {
    history_.pop_front();
  }
  deltas_.push_back(std::move(plan.delta));
  if (deltas_.size() > max_kept_deltas) {
    deltas_.pop_front();
  }
}

void configuration_machine::update_order_indexes(std::uint64_t index,
                                                 const json& delta) {
  for (const json& item : delta.value("endpoints", json::array())) {
    const auto changed = item.get<endpoint>();
    const auto before = std::find_if(
        current_.endpoints.begin(), current_.endpoints.end(),
        [&](const endpoint& known) { return known.name == changed.name; });
    if (before == current_.endpoints.end() ||
        !same_engine_settings(*before, changed)) {
      order_indexes_[changed.name] = index;
      previous_pools_[changed.name] =
          before == current_.endpoints.end() ? "" : before->pool;
    }
  }
}

void configuration_machine::store_operation(stored_operation operation) {
  operation_positions_[operation.operation] =
      evicted_operations_ + operations_.size();
  operations_.push_back(std::move(operation));
  if (operations_.size() > max_stored_operations) {
    operation_positions_.erase(operations_.front().operation);
    operations_.pop_front();
    ++evicted_operations_;
  }
}

std::uint64_t configuration_machine::order_index(
    const std::string& endpoint) const {
  const auto found = order_indexes_.find(endpoint);
  return found == order_indexes_.end() ? 0 : found->second;
}

std::string configuration_machine::pool_before_order(
    const std::string& endpoint) const {
  const auto found = previous_pools_.find(endpoint);
  return found == previous_pools_.end() ? "" : found->second;
}

std::optional<std::vector<json>> configuration_machine::changes_since(
    std::uint64_t version) const {
  if (version > current_.version ||
      current_.version - version > deltas_.size()) {
    return std::nullopt;
  }
  const auto missed = static_cast<std::ptrdiff_t>(current_.version - version);
  return std::vector<json>(deltas_.end() - missed, deltas_.end());
}

json configuration_machine::snapshot() const {
  json operations = json::array();
  for (const stored_operation& in : operations_) {
    operations.push_back({in.operation, in.digest, in.result});
  }
  return {{"configuration", current_},
          {"history", history_},
          {"operations", std::move(operations)},
          {"order_indexes", order_indexes_},
          {"pools_before", previous_pools_}};
}

void configuration_machine::restore(const json& state) {
  current_ = state.at("configuration").get<configuration>();
  history_ = state.at("history").get<std::deque<change_record>>();
  order_indexes_ =
      state.at("order_indexes").get<std::map<std::string, std::uint64_t>>();
  previous_pools_ =
      state.at("pools_before").get<std::map<std::string, std::string>>();
  deltas_.clear();
  operations_.clear();
  operation_positions_.clear();
  evicted_operations_ = 0;
  for (const json& in : state.at("operations")) {
    store_operation({in.at(0), in.at(1), in.at(2).get<change_result>()});
  }
}

}  // namespace citronwharf
