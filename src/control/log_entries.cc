#include "control/log_entries.h"

#include <glog/logging.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace citronwharf {

log_entries::log_entries(std::uint64_t snapshot_index,
                         std::uint64_t snapshot_term,
                         const std::vector<log_entry>& entries)
    : snapshot_index_(snapshot_index),
      snapshot_term_(snapshot_term),
      entries_(entries.begin(), entries.end()) {
  CHECK(entries_.empty() || first_index() <= snapshot_index_ + 1);
}

std::uint64_t log_entries::first_index() const {
  return entries_.empty() ? snapshot_index_ + 1 : entries_.front().index;
}

std::uint64_t log_entries::last_index() const {
  return entries_.empty() ? snapshot_index_ : entries_.back().index;
}

std::uint64_t log_entries::last_term() const {
  return entries_.empty() ? snapshot_term_ : entries_.back().term;
}

std::optional<std::uint64_t> log_entries::term_at(std::uint64_t index) const {
  if (index == 0) {
    return 0;
  }
  if (index == snapshot_index_) {
    return snapshot_term_;
  }
  if (index < first_index() || index > last_index()) {
    return std::nullopt;
  }
  return at(index).term;
}

const log_entry& log_entries::at(std::uint64_t index) const {
  CHECK(index >= first_index() && index <= last_index());
  return entries_[index - first_index()];
}

void log_entries::append(log_entry entry) {
  CHECK_EQ(entry.index, last_index() + 1);
  entries_.push_back(std::move(entry));
}

void log_entries::truncate_from(std::uint64_t index) {
  CHECK_GT(index, snapshot_index_);
  while (!entries_.empty() && entries_.back().index >= index) {
    entries_.pop_back();
  }
}

void log_entries::compact(std::uint64_t index, std::uint64_t term,
                          std::uint64_t keep, std::size_t keep_bytes) {
  CHECK_GE(index, snapshot_index_);
  if (term_at(index) != term) {
    entries_.clear();
  }
  snapshot_index_ = index;
  snapshot_term_ = term;
  std::uint64_t first = index + 1;
  std::size_t bytes = 0;
  while (first > first_index() && index + 1 - first < keep) {
    bytes += at(first - 1).data.bytes.size();
    if (bytes > keep_bytes) {
      break;
    }
    --first;
  }
  while (!entries_.empty() && entries_.front().index < first) {
    entries_.pop_front();
  }
}

std::vector<log_entry> log_entries::slice(std::uint64_t first,
                                          std::size_t max_entries,
                                          std::size_t max_bytes) const {
  std::vector<log_entry> out;
  std::size_t bytes = 0;
  for (std::uint64_t index = first; index <= last_index(); ++index) {
    const log_entry& entry = at(index);
    bytes += entry.data.bytes.size();
    if (!out.empty() && (out.size() >= max_entries || bytes > max_bytes)) {
      break;
    }
    out.push_back(entry);
  }
  return out;
}

std::vector<log_entry> log_entries::from(std::uint64_t first) const {
  constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
  return slice(std::max(first, first_index()), unlimited, unlimited);
}

}  // namespace citronwharf
