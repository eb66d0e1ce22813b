#include "control/log_storage.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/decode.h"
#include "control/log_record.h"

namespace citronwharf {
namespace {

constexpr const char* journal_prefix = "journal-";
constexpr const char* snapshot_prefix = "snapshot-";

// Content of a journal record; the first record is the header of the journal.
struct journal_record {
  std::uint64_t snapshot_generation = 0;  // in the first record
  std::optional<hard_state> state;
  std::vector<log_entry> entries;
};
CITRONWHARF_VALUE(journal_record, snapshot_generation, state, entries)

std::string journal_name(std::uint64_t generation) {
  return fmt::format("{}{:020}", journal_prefix, generation);
}

std::string snapshot_name(std::uint64_t generation) {
  return fmt::format("{}{:020}", snapshot_prefix, generation);
}

template <typename Value>
std::string encode_value_record(const Value& value) {
  std::string payload;
  nlohmann::json::to_cbor(nlohmann::json(value), payload);
  return encode_record(payload);
}

template <typename Value>
absl::StatusOr<Value> decode_payload(const std::string& file,
                                     const std::string& payload) {
  const nlohmann::json json =
      nlohmann::json::from_cbor(payload, true, /*allow_exceptions=*/false);
  absl::StatusOr<Value> value = decode_value<Value>(json);
  if (!value.ok()) {
    return absl::DataLossError(
        fmt::format("{}: {}", file, value.status().ToString()));
  }
  return value;
}

// Appends entries. One at or below the last index replaces the log from there.
absl::Status join_entries(const std::string& file, std::uint64_t base,
                          std::vector<log_entry> entries,
                          std::vector<log_entry>& held) {
  for (log_entry& entry : entries) {
    while (!held.empty() && held.back().index >= entry.index) {
      held.pop_back();
    }
    const bool first = held.empty() && entry.index <= base + 1;
    if (!first && (held.empty() || held.back().index + 1 != entry.index)) {
      return absl::DataLossError(
          fmt::format("{}: entry {} does not follow", file, entry.index));
    }
    held.push_back(std::move(entry));
  }
  return absl::OkStatus();
}

}  // namespace

log_storage::log_storage(disk_operations disk, std::string folder)
    : disk_(std::move(disk)), folder_(std::move(folder)) {}

std::string log_storage::path(const std::string& name) const {
  return folder_ + "/" + name;
}

absl::Status log_storage::create(const disk_operations& disk,
                                 const std::string& folder) {
  log_storage probe(disk, folder);
  absl::Status found = probe.choose_generation();
  if (absl::IsNotFound(found)) {
    const journal_record first{0, hard_state{}, {}};
    return replace_file(disk, folder, journal_name(1),
                        encode_value_record(first));
  }
  if (found.ok()) {
    found = probe.replay();
  }
  if (found.ok() && (!probe.state_.group.empty() || probe.state_.term != 0)) {
    return absl::DataLossError(
        fmt::format("{} holds a log but no identity", folder));
  }
  // An earlier attempt may have renamed the journal without syncing its name.
  return found.ok() ? disk.sync_folder(folder) : found;
}

absl::StatusOr<std::unique_ptr<log_storage>> log_storage::open(
    disk_operations disk, std::string folder) {
  std::unique_ptr<log_storage> out(
      new log_storage(std::move(disk), std::move(folder)));
  absl::Status done = out->choose_generation();
  if (done.ok()) {
    done = out->replay();
  }
  if (done.ok()) {
    done = out->start_journal(out->restored_.entries);
  }
  if (!done.ok()) {
    return done;
  }
  return out;
}

// Journals are complete when renamed into place, so the newest one is valid.
absl::Status log_storage::choose_generation() {
  absl::StatusOr<std::vector<std::string>> names = disk_.list(folder_);
  if (!names.ok()) {
    return names.status();
  }
  for (const std::string& name : *names) {
    std::uint64_t generation = 0;
    if (absl::SimpleAtoi(absl::StripPrefix(name, journal_prefix),
                         &generation)) {
      generation_ = std::max(generation_, generation);
    }
  }
  return generation_ != 0
             ? absl::OkStatus()
             : absl::NotFoundError(fmt::format("{} holds no journal", folder_));
}

absl::Status log_storage::replay() {
  const std::string file = path(journal_name(generation_));
  absl::StatusOr<std::string> bytes = disk_.read(file);
  if (!bytes.ok()) {
    return bytes.status();
  }
  absl::StatusOr<record_scan> scan = scan_records(file, *bytes);
  if (!scan.ok()) {
    return scan.status();
  }
  if (scan->payloads.empty()) {
    return absl::DataLossError(
        fmt::format("{}: damaged record at offset 0", file));
  }
  bool first = true;
  std::uint64_t base = 0;
  for (const std::string& payload : scan->payloads) {
    auto record = decode_payload<journal_record>(file, payload);
    if (!record.ok()) {
      return record.status();
    }
    if (first && record->snapshot_generation != 0) {
      absl::Status read = read_snapshot(record->snapshot_generation);
      if (!read.ok()) {
        return read;
      }
      base = restored_.snapshot->index;
    }
    first = false;
    state_ = record->state.value_or(state_);
    absl::Status joined =
        join_entries(file, base, std::move(record->entries), restored_.entries);
    if (!joined.ok()) {
      return joined;
    }
  }
  restored_.state = state_;
  figures_.journal_bytes = scan->size;
  figures_.cut_bytes = bytes->size() - scan->size;
  return absl::OkStatus();
}

absl::Status log_storage::read_snapshot(std::uint64_t generation) {
  const std::string file = path(snapshot_name(generation));
  absl::StatusOr<std::string> bytes = disk_.read(file);
  if (!bytes.ok()) {
    return absl::DataLossError(bytes.status().message());
  }
  absl::StatusOr<record_scan> scan = scan_records(file, *bytes);
  if (!scan.ok()) {
    return scan.status();
  }
  // A snapshot is synced before its journal, so it can't have a torn tail.
  if (scan->payloads.size() != 1 || scan->size != bytes->size()) {
    return absl::DataLossError(
        fmt::format("{}: damaged record at offset 0", file));
  }
  auto snapshot = decode_payload<log_snapshot>(file, scan->payloads[0]);
  if (!snapshot.ok()) {
    return snapshot.status();
  }
  restored_.snapshot = *std::move(snapshot);
  snapshot_generation_ = generation;
  figures_.snapshot_bytes = bytes->size();
  return absl::OkStatus();
}

absl::Status log_storage::remove_leftovers() {
  absl::StatusOr<std::vector<std::string>> names = disk_.list(folder_);
  if (!names.ok()) {
    return names.status();
  }
  for (const std::string& name : *names) {
    const bool ours = absl::StartsWith(name, journal_prefix) ||
                      absl::StartsWith(name, snapshot_prefix);
    const bool wanted = name == journal_name(generation_) ||
                        (snapshot_generation_ != 0 &&
                         name == snapshot_name(snapshot_generation_));
    if (!ours || wanted) {
      continue;
    }
    absl::Status removed = disk_.remove(path(name));
    if (!removed.ok()) {
      return removed;
    }
  }
  return absl::OkStatus();
}

restored_log log_storage::take_restored() {
  return std::exchange(restored_, {});
}

absl::Status log_storage::write(const log_batch& batch) {
  if (!failure_.ok()) {
    return failure_;
  }
  failure_ = batch.snapshot ? compact(batch) : append(batch);
  return failure_;
}

absl::Status log_storage::append(const log_batch& batch) {
  state_ = batch.state.value_or(state_);
  const std::string record =
      encode_value_record(journal_record{0, batch.state, batch.entries});
  absl::Status done = journal_.write(record);
  if (!done.ok()) {
    return done;
  }
  figures_.journal_bytes += record.size();
  return journal_.sync();
}

absl::Status log_storage::compact(const log_batch& batch) {
  const std::uint64_t next = generation_ + 1;
  state_ = batch.state.value_or(state_);
  const std::string snapshot = encode_value_record(*batch.snapshot);
  absl::Status done =
      replace_file(disk_, folder_, snapshot_name(next), snapshot);
  if (!done.ok()) {
    return done;
  }
  snapshot_generation_ = next;
  figures_.snapshot_bytes = snapshot.size();
  return start_journal(batch.entries);
}

// Writes the next journal, which replaces the old one.
absl::Status log_storage::start_journal(const std::vector<log_entry>& entries) {
  const std::uint64_t next = generation_ + 1;
  const std::string bytes = encode_value_record(
      journal_record{snapshot_generation_, state_, entries});
  absl::Status done = replace_file(disk_, folder_, journal_name(next), bytes);
  if (!done.ok()) {
    return done;
  }
  absl::StatusOr<disk_file> file = disk_.open(path(journal_name(next)));
  if (!file.ok()) {
    return file.status();
  }
  journal_ = *std::move(file);
  generation_ = next;
  figures_.journal_bytes = bytes.size();
  return remove_leftovers();
}

}  // namespace citronwharf
