#include "entry/claims.h"

#include <algorithm>
#include <utility>

#include "base/decode.h"

namespace citronwharf {
namespace {

std::size_t bytes_of(const claimed_answer& in) {
  std::size_t bytes = in.body.size();
  for (const header_field& field : in.headers) {
    bytes += field.name.size() + field.value.size();
  }
  return bytes;
}

claim_reply make_reply(claim_state state) {
  claim_reply out;
  out.state = state;
  return out;
}

}  // namespace

nlohmann::json to_command(const claim_command& in) {
  return {{"kind", claim_command::kind},
          {"op", "claim"},
          {"at_us", in.at_us},
          {"claim", in.claim}};
}

nlohmann::json to_command(const finish_command& in) {
  return {{"kind", claim_command::kind},
          {"op", "finish"},
          {"at_us", in.at_us},
          {"finish", in.finish}};
}

nlohmann::json claims::apply(std::uint64_t index,
                             const nlohmann::json& command) {
  try {
    now_us_ = std::max(now_us_, command.at("at_us").get<std::int64_t>());
    expire();
    if (command.at("op") == "claim") {
      return take(command.at("claim").get<claim_request>());
    }
    return finish(command.at("finish").get<claim_finish>(), index);
  } catch (const nlohmann::json::exception&) {
    return make_reply(claim_state::conflict);
  }
}

claim_reply claims::take(const claim_request& in) {
  const auto found = entries_.find(in.name);
  if (found != entries_.end()) {
    if (found->second.request_digest != in.request_digest) {
      return make_reply(claim_state::conflict);
    }
    const bool again = found->second.owner == in.owner &&
                       found->second.state == phase::running;
    return again ? make_reply(claim_state::granted) : describe(found->second);
  }
  const auto own = per_organisation_.find(in.name.organisation);
  const std::size_t used = own == per_organisation_.end() ? 0 : own->second;
  if (entries_.size() >= options_.most_claims ||
      used >= options_.most_per_organisation) {
    return make_reply(claim_state::full);
  }
  entry added;
  added.request_digest = in.request_digest;
  added.owner = in.owner;
  added.until_us = now_us_ + std::max<std::int64_t>(in.life_us, 0);
  add(in.name, std::move(added));
  return make_reply(claim_state::granted);
}

claim_reply claims::describe(const entry& in) const {
  if (in.state == phase::running) {
    return make_reply(claim_state::in_progress);
  }
  if (in.state == phase::unknown) {
    return make_reply(claim_state::unknown);
  }
  claim_reply out = make_reply(claim_state::done);
  out.answer = in.answer;
  return out;
}

// Only its owner ends a claim; a late or second end changes nothing that was
// told to anyone.
claim_reply claims::finish(const claim_finish& in, std::uint64_t index) {
  const auto found = entries_.find(in.name);
  if (found == entries_.end() || found->second.owner != in.owner ||
      found->second.state == phase::done) {
    return make_reply(claim_state::granted);
  }
  if (in.end == claim_end::not_run && found->second.state == phase::running) {
    remove(found);
    return make_reply(claim_state::granted);
  }
  entry ended = found->second;
  remove(found);
  const bool fits = bytes_of(in.answer) <= options_.most_answer_bytes;
  const bool stored = in.end == claim_end::done && fits;
  ended.state = stored ? phase::done : phase::unknown;
  ended.answer = stored ? in.answer : claimed_answer{};
  ended.until_us = now_us_ + options_.retention_us;
  ended.index = index;
  add(in.name, std::move(ended));
  make_room();
  return make_reply(claim_state::granted);
}

// A running claim past its owner's life is unknown from then on; an ended one
// is dropped after its retention.
void claims::expire() {
  while (!ends_.empty() && ends_.begin()->first <= now_us_) {
    const claim_name name = ends_.begin()->second;
    const auto found = entries_.find(name);
    entry old = found->second;
    remove(found);
    if (old.state == phase::running) {
      old.state = phase::unknown;
      old.until_us += options_.retention_us;
      add(name, std::move(old));
    }
  }
}

void claims::add(const claim_name& name, entry added) {
  ends_.emplace(added.until_us, name);
  ++per_organisation_[name.organisation];
  if (added.state == phase::done) {
    stored_[added.index] = name;
    stored_bytes_ += bytes_of(added.answer);
  }
  entries_[name] = std::move(added);
}

std::map<claim_name, claims::entry>::iterator claims::remove(
    std::map<claim_name, entry>::iterator at) {
  forget_answer(at->second);
  const auto [first, last] = ends_.equal_range(at->second.until_us);
  const auto end = std::find_if(
      first, last, [&](const auto& one) { return one.second == at->first; });
  ends_.erase(end);
  const auto own = per_organisation_.find(at->first.organisation);
  if (--own->second == 0) {
    per_organisation_.erase(own);
  }
  return entries_.erase(at);
}

void claims::forget_answer(entry& of) {
  if (of.state == phase::done) {
    stored_bytes_ -= bytes_of(of.answer);
    stored_.erase(of.index);
    of.state = phase::unknown;
    of.answer = {};
  }
}

void claims::make_room() {
  while (stored_bytes_ > options_.most_stored_bytes) {
    forget_answer(entries_.at(stored_.begin()->second));
  }
}

nlohmann::json claims::snapshot() const {
  nlohmann::json all = nlohmann::json::array();
  for (const auto& [name, one] : entries_) {
    all.push_back({{"name", name},
                   {"digest", one.request_digest},
                   {"owner", one.owner},
                   {"phase", static_cast<int>(one.state)},
                   {"until_us", one.until_us},
                   {"answer", one.answer},
                   {"index", one.index}});
  }
  return {{"now_us", now_us_}, {"claims", all}};
}

void claims::restore(const nlohmann::json& state) {
  entries_.clear();
  per_organisation_.clear();
  stored_.clear();
  ends_.clear();
  stored_bytes_ = 0;
  now_us_ = state.at("now_us").get<std::int64_t>();
  for (const nlohmann::json& one : state.at("claims")) {
    entry added;
    added.request_digest = one.at("digest").get<std::string>();
    added.owner = one.at("owner").get<std::string>();
    added.state = static_cast<phase>(one.at("phase").get<int>());
    added.until_us = one.at("until_us").get<std::int64_t>();
    added.answer = one.at("answer").get<claimed_answer>();
    added.index = one.at("index").get<std::uint64_t>();
    add(one.at("name").get<claim_name>(), std::move(added));
  }
}

}  // namespace citronwharf
