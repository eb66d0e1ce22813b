#include "gateway/prompt_quarantine.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "gateway/request_identity.h"
#include "policy/rendezvous.h"

namespace citronwharf {
namespace {

constexpr std::size_t max_id_bytes = 64;

// Separates the parts in the key of a quarantine of several parts. No id of a
// part has one, see bounded_id().
constexpr char part_separator = ' ';

std::string hashed_id(const std::string& id) {
  return fmt::format("#{:016x}", stable_hash(id));
}

// Returns whether an id can be a text in messages, files and log lines.
bool is_text(const std::string& id) {
  return std::all_of(id.begin(), id.end(), [](char each) {
    return absl::ascii_isgraph(static_cast<unsigned char>(each));
  });
}

}  // namespace

std::string bounded_id(const std::string& id) {
  return id.size() <= max_id_bytes && is_text(id) ? id : hashed_id(id);
}

namespace {

// Returns the parts that a key names, in order and each once.
std::vector<std::string> parts_of(const std::string& key) {
  std::set<std::string> parts;
  for (const absl::string_view each : absl::StrSplit(key, part_separator)) {
    parts.insert(bounded_id(std::string(each)));
  }
  return {parts.begin(), parts.end()};
}

std::string key_of(const std::vector<std::string>& parts) {
  return absl::StrJoin(parts, std::string(1, part_separator));
}

// Precondition: `all` is sorted.
bool contains(const std::vector<std::string>& all, const std::string& value) {
  return std::binary_search(all.begin(), all.end(), value);
}

// Precondition: `all` is sorted.
bool includes(const std::vector<std::string>& all,
              const std::vector<std::string>& some) {
  return std::all_of(some.begin(), some.end(),
                     [&](const auto& each) { return contains(all, each); });
}

std::vector<std::string> sorted(std::vector<std::string> in) {
  std::sort(in.begin(), in.end());
  return in;
}

std::int64_t to_ms(duration span) {
  return std::chrono::duration_cast<milliseconds>(span).count();
}

bool contains(const std::set<std::string>& set, const std::string& value) {
  return set.count(value) != 0;
}

std::vector<std::string> to_vector(const std::set<std::string>& set) {
  return {set.begin(), set.end()};
}

}  // namespace

std::vector<std::string> shared_parts(const std::vector<prompt_part>& prompt) {
  std::vector<std::string> out;
  std::set<std::string> known;
  for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
    std::string id = bounded_id(prompt[i].id);
    if (is_request_identity(id)) {
      id = hashed_id(id);
    }
    if (known.insert(id).second) {
      out.push_back(std::move(id));
    }
  }
  return out;
}

duration prompt_quarantine::span(const quarantine& of) const {
  duration out =
      of.of_request ? options_.initial_request_span : options_.initial_span;
  for (std::int64_t i = 1; i < of.count && out < options_.max_span; ++i) {
    out *= 2;
  }
  return std::min(out, options_.max_span);
}

bool prompt_quarantine::holds(const quarantine& of, time_point now) const {
  return !of.released && now < of.started_at + span(of);
}

bool prompt_quarantine::on_probation(const quarantine& of,
                                     time_point now) const {
  return !of.released && !holds(of, now) && now < of.started_at + 2 * span(of);
}

void prompt_quarantine::expire(time_point now) {
  ends_.erase(std::remove_if(ends_.begin(), ends_.end(),
                             [&](const server_end& each) {
                               return now - each.at >= options_.end_lifetime;
                             }),
              ends_.end());
  for (auto each = quarantines_.begin(); each != quarantines_.end();) {
    const bool over = now >= each->second.started_at + 2 * span(each->second);
    each = over ? quarantines_.erase(each) : std::next(each);
  }
}

// Returns the end of the server at about this time. The earliest time that was
// reported is kept, so that it does not drift when states are merged again.
prompt_quarantine::server_end& prompt_quarantine::find_end(
    const std::string& server, time_point at, bool& changed) {
  auto found =
      std::find_if(ends_.begin(), ends_.end(), [&](const server_end& each) {
        return each.server == server && each.at < at + options_.same_end &&
               at < each.at + options_.same_end;
      });
  server_end end;
  if (found != ends_.end()) {
    if (found->at <= at) {
      return *found;
    }
    end = std::move(*found);
    ends_.erase(found);
  } else {
    changed = true;
    end.server = server;
    if (ends_.size() >= options_.max_ends) {
      ends_.erase(ends_.begin());
    }
  }
  end.at = at;
  const auto place = std::upper_bound(
      ends_.begin(), ends_.end(), at,
      [](time_point time, const server_end& each) { return time < each.at; });
  return *ends_.insert(place, std::move(end));
}

// Adds suspects of an end. If there are too many, parts that are suspects of
// other ends, too, come first. Returns whether any was added.
bool prompt_quarantine::add_suspects(server_end& end,
                                     const std::vector<std::string>& parts) {
  if (end.explained) {
    return false;
  }
  std::vector<std::string> added;
  for (const std::string& part : parts) {
    if (!contains(end.suspects, part)) {
      added.push_back(part);
    }
  }
  std::size_t all = 0;
  for (const server_end& each : ends_) {
    all += each.suspects.size();
  }
  std::size_t room =
      options_.max_suspects - std::min(all, options_.max_suspects);
  if (added.size() > room) {
    part_counts counts = count_suspects();
    for (const std::string& part : added) {
      ++counts[part];
    }
    room += make_room(added.size() - room, counts);
    std::stable_partition(added.begin(), added.end(),
                          [&](const auto& part) { return counts[part] > 1; });
  }
  if (added.size() > room) {
    dropped_suspects_ += added.size() - room;
    added.resize(room);
  }
  end.suspects.insert(added.begin(), added.end());
  return !added.empty();
}

// Returns of how many ends each part is a suspect.
prompt_quarantine::part_counts prompt_quarantine::count_suspects() const {
  part_counts out;
  for (const server_end& end : ends_) {
    for (const std::string& part : end.suspects) {
      ++out[part];
    }
  }
  return out;
}

// Drops suspects, one end after the other, until there is room for `missing`
// more. The least likely causes go first: parts that were answered since, then
// parts that were answered before, then parts that are suspects of no other
// end. A part that ends servers again and again is none of these. Returns the
// number of dropped suspects.
std::size_t prompt_quarantine::make_room(std::size_t missing,
                                         const part_counts& counts) {
  using set_member = std::set<std::string> server_end::*;
  std::size_t dropped = 0;
  for (const set_member known : {&server_end::cleared, &server_end::sound}) {
    for (server_end& end : ends_) {
      if (dropped >= missing) {
        break;
      }
      for (const std::string& part : std::exchange(end.*known, {})) {
        dropped += end.suspects.erase(part);
        end.sound.erase(part);
        end.cleared.erase(part);
      }
    }
  }
  for (server_end& end : ends_) {
    if (dropped >= missing) {
      break;
    }
    for (auto part = end.suspects.begin(); part != end.suspects.end();) {
      const bool elsewhere = counts.at(*part) > 1;
      dropped += elsewhere ? 0 : 1;
      part = elsewhere ? std::next(part) : end.suspects.erase(part);
    }
  }
  dropped_suspects_ += dropped;
  return dropped;
}

// Adds what this process knows about the suspects of an end.
bool prompt_quarantine::annotate(server_end& end) {
  bool changed = false;
  for (const std::string& part : end.suspects) {
    const auto known = sound_parts_.find(part);
    if (known == sound_parts_.end()) {
      continue;
    }
    if (known->second.last > end.at) {
      changed = end.cleared.insert(part).second || changed;
    } else if (end.at - known->second.last < options_.sound_lifetime) {
      changed = end.sound.insert(part).second || changed;
    }
  }
  return changed;
}

void prompt_quarantine::record_end(const std::string& server,
                                   const std::vector<std::string>& parts,
                                   time_point now) {
  expire(now);
  bool changed = false;
  server_end& end = find_end(server, now, changed);
  changed = add_suspects(end, parts) || changed;
  annotate(end);
  evaluate(now);
  if (changed) {
    notify();
  }
}

void prompt_quarantine::record_request_end(const std::string& server,
                                           const std::string& request,
                                           time_point now) {
  expire(now);
  bool changed = false;
  server_end& end = find_end(server, now, changed);
  if (end.requests.size() < options_.max_requests) {
    changed = end.requests.insert(request).second || changed;
  }
  changed = evaluate(now) || changed;
  if (changed) {
    notify();
  }
}

void prompt_quarantine::record_answer(const std::string& request,
                                      time_point sent_at, time_point now) {
  bool changed = false;
  for (server_end& each : ends_) {
    if (each.at < sent_at && contains(each.requests, request)) {
      changed = each.settled.insert(request).second || changed;
    }
  }
  changed = release_answered({request}, sent_at, now) || changed;
  if (changed) {
    notify();
  }
}

bool prompt_quarantine::knows_requests() const {
  return std::any_of(quarantines_.begin(), quarantines_.end(),
                     [](const auto& each) { return each.second.of_request; }) ||
         std::any_of(ends_.begin(), ends_.end(), [](const server_end& each) {
           return !each.requests.empty();
         });
}

bool prompt_quarantine::knows_request(const std::string& prefix) const {
  const auto begins = [&prefix](const std::string& id) {
    return id.compare(0, prefix.size(), prefix) == 0;
  };
  const auto held = quarantines_.lower_bound(prefix);
  return (held != quarantines_.end() && begins(held->first)) ||
         std::any_of(ends_.begin(), ends_.end(), [&](const server_end& each) {
           const auto found = each.requests.lower_bound(prefix);
           return found != each.requests.end() && begins(*found);
         });
}

// Releases each quarantine of which all parts, or whose request, were answered.
// One of which some were answered is narrowed to the others. Returns whether
// any changed.
bool prompt_quarantine::release_answered(const std::vector<std::string>& parts,
                                         time_point began_at, time_point now) {
  if (quarantines_.empty()) {
    return false;
  }
  const std::vector<std::string> answered = sorted(parts);
  std::vector<quarantine> narrowed;
  bool changed = false;
  for (auto& [key, each] : quarantines_) {
    if (each.released || each.started_at >= began_at) {
      continue;
    }
    std::vector<std::string> left;
    for (const std::string& part : each.parts) {
      if (!contains(answered, part)) {
        left.push_back(part);
      }
    }
    if (left.size() == each.parts.size()) {
      continue;
    }
    each.released = true;
    changed = true;
    changes_.push_back({quarantine_change::kind::released, key, "", 0,
                        to_ms(now - each.started_at)});
    if (!left.empty()) {
      narrowed.push_back(each);
      narrowed.back().parts = std::move(left);
      narrowed.back().released = false;
    }
  }
  for (quarantine& each : narrowed) {
    const std::string key = key_of(each.parts);
    if (quarantines_.emplace(key, each).second) {
      report_merged(key, each, now);
    }
  }
  return changed;
}

// Counts the ends of servers that speak against a request.
std::size_t prompt_quarantine::count_ends(const std::string& request) const {
  return static_cast<std::size_t>(
      std::count_if(ends_.begin(), ends_.end(), [&](const server_end& each) {
        return contains(each.requests, request) &&
               !contains(each.settled, request);
      }));
}

// A request whose quarantine has ended is quarantined again at the first end.
bool prompt_quarantine::quarantine_requests(time_point now) {
  std::map<std::string, std::size_t> ends_of;
  for (const server_end& each : ends_) {
    for (const std::string& request : each.requests) {
      ends_of[request] += contains(each.settled, request) ? 0 : 1;
    }
  }
  bool changed = false;
  for (const auto& [request, ends] : ends_of) {
    const auto found = quarantines_.find(request);
    const bool known = found != quarantines_.end();
    if (ends == 0 || (known && holds(found->second, now))) {
      continue;
    }
    const bool again = known && on_probation(found->second, now);
    if (again || ends >= options_.min_request_ends) {
      suspicion which;
      which.part = request;
      which.ends = ends;
      changed = start_quarantine(which, now);
      settle(request);
    }
  }
  return changed;
}

void prompt_quarantine::settle(const std::string& request) {
  for (server_end& each : ends_) {
    if (contains(each.requests, request)) {
      each.settled.insert(request);
    }
  }
}

void prompt_quarantine::remember_sound(const std::string& part,
                                       time_point began_at) {
  if (sound_parts_.size() >= options_.max_sound_parts &&
      sound_parts_.count(part) == 0) {
    // Removes the older half, so that this is done rarely.
    std::vector<time_point> times;
    times.reserve(sound_parts_.size());
    for (const auto& [id, known] : sound_parts_) {
      times.push_back(known.last);
    }
    const auto middle =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    const time_point oldest = *middle;
    for (auto each = sound_parts_.begin(); each != sound_parts_.end();) {
      each = each->second.last <= oldest ? sound_parts_.erase(each)
                                         : std::next(each);
    }
  }
  sound_part& known = sound_parts_[part];
  known.last = std::max(known.last, began_at);
  ++known.answers;
}

// Clears the suspects of an end that were answered. Searches the larger of both
// sets for each part of the smaller one. Precondition: `answered` is sorted.
bool prompt_quarantine::clear_answered(
    server_end& end, const std::vector<std::string>& answered) {
  bool changed = false;
  if (end.suspects.size() < answered.size()) {
    for (const std::string& part : end.suspects) {
      if (contains(answered, part)) {
        changed = end.cleared.insert(part).second || changed;
      }
    }
    return changed;
  }
  for (const std::string& part : answered) {
    if (contains(end.suspects, part)) {
      changed = end.cleared.insert(part).second || changed;
    }
  }
  return changed;
}

void prompt_quarantine::record_progress(const std::vector<std::string>& parts,
                                        time_point began_at, time_point now) {
  ++answers_;
  bool changed = false;
  for (const std::string& part : parts) {
    remember_sound(part, began_at);
  }
  const std::vector<std::string> answered =
      ends_.empty() ? std::vector<std::string>() : sorted(parts);
  for (server_end& each : ends_) {
    if (each.at < began_at) {
      changed = clear_answered(each, answered) || changed;
    }
  }
  changed = release_answered(parts, began_at, now) || changed;
  if (changed) {
    notify();
  }
}

std::vector<prompt_quarantine::burst> prompt_quarantine::find_bursts(
    time_point until, time_point now) const {
  std::vector<burst> out;
  for (const server_end& end : ends_) {
    if (end.at > until) {
      break;
    }
    if (end.suspects.empty()) {
      continue;
    }
    if (out.empty() ||
        end.at - out.back().ends.back()->at >= options_.min_end_distance) {
      out.emplace_back();
    }
    out.back().ends.push_back(&end);
  }
  const auto is_unknown = [](const server_end& end, const std::string& part) {
    return contains(end.suspects, part) && !contains(end.cleared, part) &&
           !contains(end.sound, part);
  };
  for (burst& each : out) {
    if (each.ends.size() < 2 ||
        now - each.ends.back()->at < options_.settling_time) {
      continue;
    }
    for (const std::string& part : each.ends.front()->suspects) {
      if (std::all_of(
              each.ends.begin(), each.ends.end(),
              [&](const server_end* end) { return is_unknown(*end, part); })) {
        each.common.insert(part);
      }
    }
  }
  return out;
}

std::vector<prompt_quarantine::suspicion> prompt_quarantine::suspicions(
    time_point until, time_point now) const {
  std::map<std::string, suspicion> found;
  for (const burst& each : find_bursts(until, now)) {
    for (const server_end* end : each.ends) {
      for (const std::string& part : end->suspects) {
        if (contains(end->cleared, part)) {
          continue;
        }
        suspicion& of = found[part];
        of.known_sound = of.known_sound || contains(end->sound, part);
        if (of.ends > 0 && end->at - of.last < options_.min_end_distance &&
            !contains(each.common, part)) {
          continue;
        }
        if (of.ends++ == 0) {
          of.part = part;
          of.first = end->at;
        }
        of.last = end->at;
        of.server = end->server;
      }
    }
  }
  std::vector<suspicion> out;
  for (auto& [part, of] : found) {
    const auto known = sound_parts_.find(part);
    if (known != sound_parts_.end()) {
      of.answers = known->second.answers;
    }
    out.push_back(std::move(of));
  }
  return out;
}

// Returns whether enough ends speak against the part.
bool prompt_quarantine::is_candidate(const suspicion& of) const {
  if (of.ends < options_.min_ends) {
    return false;
  }
  std::size_t all = 0;
  time_point last{};
  for (const server_end& end : ends_) {
    if (!end.explained && !end.suspects.empty() && end.at >= of.first &&
        (all == 0 || end.at - last >= options_.min_end_distance)) {
      ++all;
      last = end.at;
    }
  }
  return of.ends * options_.min_share_divisor >= all;
}

// Returns whether a quarantined request ran at the server and also at another
// one that ended. All processes that know both ends choose the same one to
// speak against the parts, whichever they heard of first.
bool prompt_quarantine::is_explained_by_request(const server_end& end,
                                                time_point now) const {
  return std::any_of(
      end.requests.begin(), end.requests.end(), [&](const auto& request) {
        const auto found = quarantines_.find(request);
        return found != quarantines_.end() && holds(found->second, now) &&
               std::any_of(ends_.begin(), ends_.end(),
                           [&](const server_end& each) {
                             return each.server < end.server &&
                                    contains(each.requests, request);
                           });
      });
}

// Marks the ends that a quarantined part explains, and those that speak against
// no part any more.
bool prompt_quarantine::explain_ends(time_point now) {
  bool changed = false;
  for (server_end& end : ends_) {
    const auto held = [&](const std::string& part) {
      const auto found = quarantines_.find(part);
      return found != quarantines_.end() && holds(found->second, now) &&
             !contains(end.cleared, part);
    };
    const bool explained =
        std::any_of(end.suspects.begin(), end.suspects.end(), held) ||
        (!end.explained && is_explained_by_request(end, now));
    const bool settled = now - end.at >= options_.settled_after &&
                         !end.explained &&
                         end.cleared.size() == end.suspects.size();
    if (explained || settled) {
      end.explained = true;
      end.suspects.clear();
      end.sound.clear();
      end.cleared.clear();
      changed = true;
    }
  }
  return changed;
}

// Returns whether a server ended under all parts after their quarantine.
bool prompt_quarantine::has_ended_again(const quarantine& of) const {
  return std::any_of(ends_.begin(), ends_.end(), [&](const server_end& end) {
    return end.at >= of.started_at + span(of) &&
           std::all_of(of.parts.begin(), of.parts.end(), [&](const auto& part) {
             return contains(end.suspects, part) &&
                    !contains(end.cleared, part);
           });
  });
}

// Parts whose quarantine has ended are quarantined again at the first end.
bool prompt_quarantine::quarantine_again(time_point now) {
  for (const auto& [key, each] : quarantines_) {
    if (!each.of_request && on_probation(each, now) && has_ended_again(each)) {
      suspicion which;
      which.part = key;
      which.ends = 1;
      return start_quarantine(which, now);
    }
  }
  return false;
}

bool prompt_quarantine::start_quarantine(const suspicion& which,
                                         time_point now) {
  if (quarantines_.size() >= options_.max_parts &&
      quarantines_.count(which.part) == 0) {
    const auto oldest =
        std::min_element(quarantines_.begin(), quarantines_.end(),
                         [](const auto& lhs, const auto& rhs) {
                           return lhs.second.started_at < rhs.second.started_at;
                         });
    changes_.push_back(
        {quarantine_change::kind::dropped, oldest->first, "", 0, 0});
    quarantines_.erase(oldest);
  }
  quarantine& of = quarantines_[which.part];
  of.parts = parts_of(which.part);
  of.of_request = is_request_identity(which.part);
  ++of.count;
  of.started_at = now;
  of.released = false;
  changes_.push_back({quarantine_change::kind::quarantined, which.part,
                      which.server, which.ends, to_ms(span(of))});
  return true;
}

// Returns whether a prompt with all parts of this key is refused.
bool prompt_quarantine::refuses_all_of(const std::string& key,
                                       time_point now) const {
  const std::vector<std::string> parts = parts_of(key);
  return std::any_of(
      quarantines_.begin(), quarantines_.end(), [&](const auto& each) {
        return holds(each.second, now) && includes(parts, each.second.parts);
      });
}

// Returns the parts that explain the ends best. Parts that were never answered
// come first; parts that can't be told apart are returned together, as one,
// once others had time to tell them apart.
std::vector<prompt_quarantine::suspicion> prompt_quarantine::choose_candidates(
    time_point now) {
  const bool knows_sound_parts = answers_ >= options_.min_answers;
  const std::vector<suspicion> all = suspicions(now, now);
  std::vector<suspicion> unknown;
  for (const suspicion& each : all) {
    if (is_candidate(each) && !each.known_sound && knows_sound_parts) {
      unknown.push_back(each);
    }
  }
  std::size_t max_ends = 0;
  for (const suspicion& each : unknown) {
    max_ends = std::max(max_ends, each.ends);
  }
  // Other gateways may still report another suspect of the newest ends.
  const auto newest = static_cast<std::size_t>(
      std::count_if(ends_.begin(), ends_.end(), [&](const server_end& each) {
        return now - each.at < options_.settling_time;
      }));
  const bool has_rival =
      std::any_of(all.begin(), all.end(), [&](const suspicion& each) {
        return !each.known_sound && each.ends < max_ends &&
               each.ends + newest >= max_ends;
      });
  if (has_rival) {
    return {};
  }
  unknown.erase(std::remove_if(unknown.begin(), unknown.end(),
                               [&](const suspicion& each) {
                                 return each.ends < max_ends;
                               }),
                unknown.end());
  if (unknown.size() == 1) {
    return unknown;
  }
  if (!unknown.empty()) {
    const time_point decide_at = unknown.front().first + options_.min_span;
    if (now < decide_at) {
      evaluate_later(decide_at);
      return {};
    }
    suspicion together = unknown.front();
    std::vector<std::string> parts;
    parts.reserve(unknown.size());
    for (const suspicion& each : unknown) {
      parts.push_back(each.part);
    }
    together.part = key_of(sorted(parts));
    return refuses_all_of(together.part, now)
               ? std::vector<suspicion>{}
               : std::vector<suspicion>{together};
  }
  return choose_sound_candidate(now);
}

// Returns the part that explains the ends best, whether it was answered before
// or not. Others are cleared of some ends, so it is a suspect of most.
std::vector<prompt_quarantine::suspicion>
prompt_quarantine::choose_sound_candidate(time_point now) {
  const time_point until = now - options_.settling_time;
  std::vector<suspicion> found = suspicions(until, now);
  found.erase(std::remove_if(
                  found.begin(), found.end(),
                  [&](const suspicion& each) { return !is_candidate(each); }),
              found.end());
  if (found.empty()) {
    return {};
  }
  const auto is_better = [](const suspicion& lhs, const suspicion& rhs) {
    return lhs.ends != rhs.ends ? lhs.ends > rhs.ends
                                : lhs.answers < rhs.answers;
  };
  const suspicion best =
      *std::min_element(found.begin(), found.end(), is_better);
  const bool unique =
      std::none_of(found.begin(), found.end(), [&](const suspicion& each) {
        return each.part != best.part && !is_better(best, each);
      });
  // If there is no best one, a process that saw more answers decides.
  if (!unique || best.last - best.first < options_.min_span) {
    return {};
  }
  return {best};
}

bool prompt_quarantine::evaluate(time_point now) {
  evaluate_at_ = time_point::max();
  if (!ends_.empty() && now < ends_.back().at + options_.settling_time) {
    evaluate_later(ends_.back().at + options_.settling_time);
  }
  bool changed = quarantine_requests(now);
  changed = explain_ends(now) || changed;
  for (;;) {
    bool quarantined_any = quarantine_again(now);
    if (!quarantined_any) {
      for (const suspicion& each : choose_candidates(now)) {
        quarantined_any = start_quarantine(each, now);
      }
    }
    if (!quarantined_any) {
      break;
    }
    changed = true;
    explain_ends(now);
  }
  report_suspects(now);
  return changed;
}

void prompt_quarantine::report_suspects(time_point now) {
  if (dropped_suspects_ > 0) {
    changes_.push_back({quarantine_change::kind::suspects_dropped, "", "",
                        std::exchange(dropped_suspects_, 0), 0});
  }
  std::set<std::string> suspects;
  for (const suspicion& each : suspicions(time_point::max(), now)) {
    if (each.known_sound || each.ends < options_.doubtful_ends) {
      continue;
    }
    suspects.insert(each.part);
    if (!contains(reported_suspects_, each.part)) {
      changes_.push_back({quarantine_change::kind::suspected, each.part,
                          each.server, each.ends, 0});
    }
  }
  reported_suspects_ = std::move(suspects);
}

std::optional<prompt_quarantine::found_part>
prompt_quarantine::find_quarantined(const std::vector<std::string>& parts,
                                    time_point now) {
  if (now >= evaluate_at_ && evaluate(now)) {
    notify();
  }
  if (quarantines_.empty()) {
    return std::nullopt;
  }
  const std::vector<std::string> all = sorted(parts);
  for (const auto& [key, each] : quarantines_) {
    if (holds(each, now) && includes(all, each.parts)) {
      return found_part{key, each.started_at + span(each) - now};
    }
  }
  return std::nullopt;
}

bool prompt_quarantine::in_doubt(const std::vector<std::string>& parts) const {
  return std::any_of(parts.begin(), parts.end(), [this](const auto& part) {
    return is_request_identity(part) ? count_ends(part) > 0
                                     : contains(reported_suspects_, part);
  });
}

std::size_t prompt_quarantine::quarantined(time_point now) const {
  return static_cast<std::size_t>(
      std::count_if(quarantines_.begin(), quarantines_.end(),
                    [&](const auto& each) { return holds(each.second, now); }));
}

quarantine_state prompt_quarantine::state(time_point now) {
  expire(now);
  quarantine_state out;
  for (const server_end& each : ends_) {
    out.ends.push_back({each.server, to_ms(now - each.at), each.explained,
                        to_vector(each.suspects), to_vector(each.sound),
                        to_vector(each.cleared), to_vector(each.requests),
                        to_vector(each.settled)});
  }
  for (const auto& [part, each] : quarantines_) {
    out.parts.push_back(
        {part, each.count, to_ms(now - each.started_at), each.released});
  }
  return out;
}

void prompt_quarantine::report_merged(const std::string& part,
                                      const quarantine& of, time_point now) {
  if (holds(of, now)) {
    changes_.push_back({quarantine_change::kind::quarantined, part, "", 0,
                        to_ms(of.started_at + span(of) - now)});
  }
}

bool prompt_quarantine::merge(const quarantine_state& in, time_point now) {
  expire(now);
  bool changed = false;
  for (const part_quarantine_state& each : in.parts) {
    // No part is quarantined so often; the longest span is reached before.
    constexpr std::int64_t max_count = 1000;
    quarantine added;
    added.of_request = is_request_identity(each.part);
    added.count = std::clamp<std::int64_t>(each.count, 1, max_count);
    added.started_at =
        now - milliseconds(std::max<std::int64_t>(
                  0, std::min(each.age_ms, to_ms(2 * options_.max_span))));
    added.released = each.released;
    if (now >= added.started_at + 2 * span(added)) {
      continue;
    }
    added.parts = parts_of(each.part);
    const std::string part = key_of(added.parts);
    const auto known = quarantines_.find(part);
    if (known == quarantines_.end()) {
      if (quarantines_.size() >= options_.max_parts) {
        continue;
      }
      quarantines_.emplace(part, added);
      report_merged(part, added, now);
      changed = true;
    } else if (known->second.count < added.count) {
      known->second = added;
      report_merged(part, added, now);
      changed = true;
    } else if (known->second.count == added.count) {
      quarantine& of = known->second;
      if (added.released && !of.released) {
        changes_.push_back({quarantine_change::kind::released, part, "", 0, 0});
        changed = true;
      }
      of.released = of.released || added.released;
      of.started_at = std::min(of.started_at, added.started_at);
    }
  }
  for (const server_end_state& each : in.ends) {
    if (each.age_ms < 0 || each.age_ms >= to_ms(options_.end_lifetime)) {
      continue;
    }
    server_end& end = find_end(bounded_id(each.server),
                               now - milliseconds(each.age_ms), changed);
    for (const std::string& request : each.requests) {
      if (is_request_identity(request) &&
          end.requests.size() < options_.max_requests) {
        changed = end.requests.insert(bounded_id(request)).second || changed;
      }
    }
    for (const std::string& request : each.settled) {
      if (contains(end.requests, request)) {
        changed = end.settled.insert(request).second || changed;
      }
    }
    if (end.explained) {
      continue;
    }
    if (each.explained) {
      end.explained = true;
      end.suspects.clear();
      end.sound.clear();
      end.cleared.clear();
      changed = true;
      continue;
    }
    std::vector<std::string> suspects;
    for (const std::string& part : each.suspects) {
      suspects.push_back(bounded_id(part));
    }
    changed = add_suspects(end, suspects) || changed;
    const auto add_known = [&](const std::vector<std::string>& parts,
                               std::set<std::string>& to) {
      for (const std::string& part : parts) {
        if (contains(end.suspects, part)) {
          changed = to.insert(part).second || changed;
        }
      }
    };
    add_known(each.sound, end.sound);
    add_known(each.cleared, end.cleared);
    changed = annotate(end) || changed;
  }
  changed = evaluate(now) || changed;
  return changed;
}

std::vector<quarantine_change> prompt_quarantine::take_changes() {
  return std::exchange(changes_, {});
}

}  // namespace citronwharf
