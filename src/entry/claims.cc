#include "entry/claims.h"

#include <algorithm>
#include <utility>

#include "base/decode.h"

namespace citronwharf {
namespace {

std::size_t answer_size(const claimed_answer& in) {
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
      return handle_claim(command.at("claim").get<claim_request>());
    }
    return handle_finish(command.at("finish").get<claim_finish>(), index);
  } catch (const nlohmann::json::exception&) {
    return make_reply(claim_state::conflict);
  }
}

claim_reply claims::handle_claim(const claim_request& in) {
  const auto found = records_.find(in.name);
  if (found != records_.end()) {
    if (found->second.request_digest != in.request_digest) {
      return make_reply(claim_state::conflict);
    }
    const bool is_repeat = found->second.owner == in.owner &&
                           found->second.state == phase::running;
    return is_repeat ? make_reply(claim_state::granted)
                     : make_state_reply(found->second);
  }
  const auto organisation_claims =
      claims_per_organisation_.find(in.name.organisation);
  const std::size_t claimed =
      organisation_claims == claims_per_organisation_.end()
          ? 0
          : organisation_claims->second;
  if (records_.size() >= options_.max_claims ||
      claimed >= options_.max_claims_per_organisation) {
    return make_reply(claim_state::full);
  }
  claim_record added;
  added.request_digest = in.request_digest;
  added.owner = in.owner;
  added.expires_at_us = now_us_ + std::max<std::int64_t>(in.life_us, 0);
  add(in.name, std::move(added));
  return make_reply(claim_state::granted);
}

claim_reply claims::make_state_reply(const claim_record& in) const {
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

// Only the owner can finish a claim. A late or repeated finish never changes a
// result that was already returned to a caller.
claim_reply claims::handle_finish(const claim_finish& in, std::uint64_t index) {
  const auto found = records_.find(in.name);
  if (found == records_.end() || found->second.owner != in.owner ||
      found->second.state == phase::done) {
    return make_reply(claim_state::granted);
  }
  if (in.end == claim_end::not_run && found->second.state == phase::running) {
    remove(found);
    return make_reply(claim_state::granted);
  }
  claim_record finished = found->second;
  remove(found);
  const bool fits = answer_size(in.answer) <= options_.max_answer_bytes;
  const bool stored = in.end == claim_end::done && fits;
  finished.state = stored ? phase::done : phase::unknown;
  finished.answer = stored ? in.answer : claimed_answer{};
  finished.expires_at_us = now_us_ + options_.retention_us;
  finished.index = index;
  add(in.name, std::move(finished));
  evict_answers();
  return make_reply(claim_state::granted);
}

void claims::expire() {
  while (!expiries_.empty() && expiries_.begin()->first <= now_us_) {
    const claim_name name = expiries_.begin()->second;
    const auto found = records_.find(name);
    claim_record expired = found->second;
    remove(found);
    if (expired.state == phase::running) {
      expired.state = phase::unknown;
      expired.expires_at_us += options_.retention_us;
      add(name, std::move(expired));
    }
  }
}

void claims::add(const claim_name& name, claim_record added) {
  expiries_.emplace(added.expires_at_us, name);
  ++claims_per_organisation_[name.organisation];
  if (added.state == phase::done) {
    stored_answers_[added.index] = name;
    stored_bytes_ += answer_size(added.answer);
  }
  records_[name] = std::move(added);
}

std::map<claim_name, claims::claim_record>::iterator claims::remove(
    std::map<claim_name, claim_record>::iterator position) {
  discard_answer(position->second);
  const auto [first, last] =
      expiries_.equal_range(position->second.expires_at_us);
  const auto expiry = std::find_if(first, last, [&](const auto& each) {
    return each.second == position->first;
  });
  expiries_.erase(expiry);
  const auto organisation_claims =
      claims_per_organisation_.find(position->first.organisation);
  if (--organisation_claims->second == 0) {
    claims_per_organisation_.erase(organisation_claims);
  }
  return records_.erase(position);
}

void claims::discard_answer(claim_record& record) {
  if (record.state == phase::done) {
    stored_bytes_ -= answer_size(record.answer);
    stored_answers_.erase(record.index);
    record.state = phase::unknown;
    record.answer = {};
  }
}

void claims::evict_answers() {
  while (stored_bytes_ > options_.max_stored_bytes) {
    discard_answer(records_.at(stored_answers_.begin()->second));
  }
}

nlohmann::json claims::snapshot() const {
  nlohmann::json encoded_claims = nlohmann::json::array();
  for (const auto& [name, saved] : records_) {
    encoded_claims.push_back({{"name", name},
                              {"digest", saved.request_digest},
                              {"owner", saved.owner},
                              {"phase", static_cast<int>(saved.state)},
                              {"until_us", saved.expires_at_us},
                              {"answer", saved.answer},
                              {"index", saved.index}});
  }
  return {{"now_us", now_us_}, {"claims", encoded_claims}};
}

void claims::restore(const nlohmann::json& state) {
  records_.clear();
  claims_per_organisation_.clear();
  stored_answers_.clear();
  expiries_.clear();
  stored_bytes_ = 0;
  now_us_ = state.at("now_us").get<std::int64_t>();
  for (const nlohmann::json& encoded_claim : state.at("claims")) {
    claim_record added;
    added.request_digest = encoded_claim.at("digest").get<std::string>();
    added.owner = encoded_claim.at("owner").get<std::string>();
    added.state = static_cast<phase>(encoded_claim.at("phase").get<int>());
    added.expires_at_us = encoded_claim.at("until_us").get<std::int64_t>();
    added.answer = encoded_claim.at("answer").get<claimed_answer>();
    added.index = encoded_claim.at("index").get<std::uint64_t>();
    add(encoded_claim.at("name").get<claim_name>(), std::move(added));
  }
}

}  // namespace citronwharf
