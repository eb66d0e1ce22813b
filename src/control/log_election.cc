// Elections of the replicated log: pre-votes, votes, and stepping down when a
// leader can't reach a majority.
#include <utility>

#include <algorithm>

#include "control/log_members.h"
#include "control/replicated_log.h"

namespace citronwharf {

bool replicated_log::is_voter(const std::string& id) const {
  const replica_member* member = find_member(id);
  return member != nullptr && member->voter;
}

// A voter whose removal is not known to be committed may campaign too: the
// other members may be unable to elect a leader without its longer log.
bool replicated_log::may_campaign() const {
  for (auto list = member_lists_.rbegin(); list != member_lists_.rend();
       ++list) {
    for (const replica_member& member : list->members) {
      if (member.id == options_.id && member.voter) {
        return true;
      }
    }
    if (list->index <= commit_index_) {
      return false;
    }
  }
  return false;
}

bool replicated_log::majority(const std::set<std::string>& ids) const {
  return is_majority(members(), ids);
}

// A replica that is in contact with a leader grants no votes, so that a
// partitioned replica can't depose that leader.
bool replicated_log::hears_leader(time_point now) const {
  if (role_ == log_role::leader) {
    return true;
  }
  return heard_leader_ && now - *heard_leader_ < options_.election_min;
}

void replicated_log::reset_election_deadline(time_point now) {
  std::uniform_int_distribution<duration::rep> draw(
      options_.election_min.count(), options_.election_max.count());
  election_deadline_ = now + duration(draw(random_));
}

void replicated_log::peer_reachable(time_point now,
                                    const std::string& process) {
  const bool waits = role_ == log_role::follower ||
                     (role_ == log_role::candidate && pre_vote_);
  const bool member = std::any_of(
      members().begin(), members().end(), [&](const replica_member& each) {
        return each.voter && each.process == process;
      });
  if (heard_leader_ || !waits || !member || !may_campaign()) {
    return;
  }
  std::uniform_int_distribution<duration::rep> draw(
      0, options_.first_election_max.count());
  election_deadline_ =
      std::min(election_deadline_, now + duration(draw(random_)));
}

void replicated_log::start_election(time_point now, bool pre_vote) {
  if (!pre_vote) {
    become_follower(now, state_.term + 1);
    state_.vote = options_.id;
  }
  reset_election_deadline(now);
  role_ = log_role::candidate;
  pre_vote_ = pre_vote;
  votes_.clear();
  for (const replica_member& member : members()) {
    if (!member.voter || member.id == options_.id) {
      continue;
    }
    vote_request out{header_to(member.id), pre_vote, log_.last_index(),
                     log_.last_term()};
    if (pre_vote) {
      ++out.header.term;
      send(member.process, out);
    } else {
      reply_after_sync(member.process, out);
    }
  }
  if (pre_vote) {
    count_vote(now, options_.id);
  } else {
    self_vote_sequence_ = covering_sequence();
  }
}

void replicated_log::count_vote(time_point now, const std::string& id) {
  if (role_ != log_role::candidate) {
    return;
  }
  votes_.insert(id);
  // The replica's own vote is required, since only then is its term synced.
  if (!majority(votes_) || votes_.count(options_.id) == 0) {
    return;
  }
  if (pre_vote_) {
    start_election(now, false);
  } else {
    become_leader(now);
  }
}

void replicated_log::become_leader(time_point now) {
  role_ = log_role::leader;
  leader_id_ = options_.id;
  leader_process_ = options_.process;
  quorum_since_ = now;
  progress_.clear();
  members_changed();
  append_own(log_entry_kind::noop, "");
  term_start_ = log_.last_index();
}

void replicated_log::step_down_without_majority(time_point now) {
  if (now - quorum_since_ < options_.election_max) {
    return;
  }
  std::set<std::string> heard{options_.id};
  for (const auto& [id, progress] : progress_) {
    if (now - progress.heard < options_.election_max) {
      heard.insert(id);
    }
  }
  if (!majority(heard)) {
    become_follower(now, state_.term);
  }
}

void replicated_log::handle(time_point now, const std::string& from,
                            const vote_request& in) {
  const bool up_to_date =
      in.last_term > log_.last_term() ||
      (in.last_term == log_.last_term() && in.last_index >= log_.last_index());
  vote_reply out{header_to(in.header.from), in.pre_vote, false};
  if (in.pre_vote) {
    out.granted =
        up_to_date && in.header.term > state_.term && !hears_leader(now);
    if (out.granted) {
      out.header.term = in.header.term;
    }
    send(from, out);
    return;
  }
  const bool free = state_.vote.empty() || state_.vote == in.header.from;
  out.granted = up_to_date && free && leader_id_.empty();
  if (out.granted) {
    if (state_.vote != in.header.from) {
      state_.vote = in.header.from;
      state_dirty_ = true;
    }
    reset_election_deadline(now);
  }
  reply_after_sync(from, out);
}

void replicated_log::handle(time_point now, const std::string& /*from*/,
                            const vote_reply& in) {
  if (!in.granted || role_ != log_role::candidate || in.pre_vote != pre_vote_) {
    return;
  }
  const std::uint64_t asked = state_.term + (in.pre_vote ? 1 : 0);
  if (in.header.term == asked) {
    count_vote(now, in.header.from);
  }
}

}  // namespace citronwharf
