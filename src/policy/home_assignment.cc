#include "policy/home_assignment.h"

#include <algorithm>
#include <utility>

#include "policy/rendezvous.h"

namespace citronwharf {
namespace {

constexpr std::size_t most_past_lists = 64;

std::string home_among(const std::vector<std::string>& members,
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

std::vector<std::string> names(const std::vector<entry_member>& entries) {
  std::vector<std::string> found;
  found.reserve(entries.size());
  for (const entry_member& each : entries) found.push_back(each.name);
  std::sort(found.begin(), found.end());
  return found;
}

}  // namespace

home_assignment::home_assignment(std::string self, home_timing timing)
    : self_(std::move(self)), timing_(timing) {}

void home_assignment::configure(const configuration& next, time_point now) {
  std::vector<std::string> members = names(next.entries);
  const bool unbroken = version_ != 0 && next.version == version_ + 1;
  if (!unbroken) {
    past_.clear();
    known_since_ = now;
  } else if (members != members_) {
    past_.push_back({std::move(members_), now});
    forget_old();
  }
  version_ = next.version;
  members_ = std::move(members);
}

std::string home_assignment::home_of(const std::string& organisation) const {
  return home_among(members_, organisation);
}

bool home_assignment::mine(const std::string& organisation) const {
  return home_of(organisation) == self_;
}

time_point home_assignment::starts_at(const std::string& organisation) const {
  time_point others_until = known_since_;
  for (const past_members& each : past_) {
    if (home_among(each.members, organisation) != self_) {
      others_until = each.ended;
    }
  }
  return others_until + timing_.freshness + timing_.lease + timing_.margin;
}

void home_assignment::forget_old() {
  if (past_.size() <= most_past_lists) return;
  known_since_ = past_.front().ended;
  past_.erase(past_.begin());
}

}  // namespace citronwharf
