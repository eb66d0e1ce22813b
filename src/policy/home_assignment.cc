#include "policy/home_assignment.h"

#include <algorithm>
#include <utility>

#include "policy/rendezvous.h"

namespace citronwharf {
namespace {

constexpr std::size_t max_past_lists = 64;

std::string select_home(const std::vector<std::string>& members,
                        const std::string& organisation) {
  const std::uint64_t key = stable_hash(organisation);
  const auto best =
      std::max_element(members.begin(), members.end(),
                       [key](const std::string& lhs, const std::string& rhs) {
                         const std::uint64_t left = rendezvous_score(key, lhs);
                         const std::uint64_t right = rendezvous_score(key, rhs);
                         return left != right ? left < right : lhs < rhs;
                       });
  return best == members.end() ? "" : *best;
}

std::vector<std::string> sorted_names(
    const std::vector<entry_member>& entries) {
  std::vector<std::string> member_names;
  member_names.reserve(entries.size());
  for (const entry_member& each : entries) member_names.push_back(each.name);
  std::sort(member_names.begin(), member_names.end());
  return member_names;
}

}  // namespace

home_assignment::home_assignment(std::string self, home_timing timing)
    : self_(std::move(self)), timing_(timing) {}

void home_assignment::configure(const configuration& next, time_point now) {
  std::vector<std::string> members = sorted_names(next.entries);
  const bool consecutive = version_ != 0 && next.version == version_ + 1;
  if (!consecutive) {
    past_lists_.clear();
    history_since_ = now;
  } else if (members != members_) {
    past_lists_.push_back({std::move(members_), now});
    discard_oldest();
  }
  version_ = next.version;
  members_ = std::move(members);
}

std::string home_assignment::home_of(const std::string& organisation) const {
  return select_home(members_, organisation);
}

bool home_assignment::is_home_of(const std::string& organisation) const {
  return home_of(organisation) == self_;
}

time_point home_assignment::starts_at(const std::string& organisation) const {
  time_point former_home_until = history_since_;
  for (const past_member_list& each : past_lists_) {
    if (select_home(each.members, organisation) != self_) {
      former_home_until = each.ended_at;
    }
  }
  return former_home_until + timing_.freshness + timing_.lease + timing_.margin;
}

void home_assignment::discard_oldest() {
  if (past_lists_.size() <= max_past_lists) return;
  history_since_ = past_lists_.front().ended_at;
  past_lists_.erase(past_lists_.begin());
}

}  // namespace citronwharf
