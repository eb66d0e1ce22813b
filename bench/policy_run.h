/// One run of bench_policy: takes requests through the decision modules, over
/// the modelled endpoints, under virtual time. A seed fixes everything.
#ifndef CITRONWHARF_BENCH_POLICY_RUN_H_
#define CITRONWHARF_BENCH_POLICY_RUN_H_

#include "policy_simulation.h"

namespace citronwharf::bench {

class policy_run final : public policy_simulation {
 public:
  using policy_simulation::policy_simulation;

  result run() {
    plan_arrivals();
    if (what_.faults) plan_faults();
    at(now_, [this] { sample(); });
    const time_point end = now_ + what_.length + drain;
    while (!events_.empty() && events_.top().at <= end) {
      const auto todo = events_.top().todo;
      now_ = events_.top().at;
      events_.pop();
      todo();
    }
    result_.seconds = to_seconds(what_.length - warm_up);
    return result_;
  }

 private:
  void plan_faults() {
    at(now_ + what_.length / 4, [this] { lose_prefill(0); });
    at(now_ + what_.length / 2, [this] { lose_decode(0); });
    at(now_ + what_.length * 3 / 4, [this] { decode_[1].leaving = true; });
  }

  void arrive(id_type id) override {
    request& r = of(id);
    if (counted(r)) {
      ++result_.offered;
      ++result_.organisations[std::size_t(r.organisation)].offered;
    }
    const double weight = organisation_weights()[std::size_t(r.organisation)];
    const auto share = shares_of(r).offer(fmt::format("o{}", r.organisation),
                                          weight, r.pieces(), now_);
    if (way_.fair && !share.admitted) return refuse(id);
    r.latest = r.target();
    if (!shares_of(r).is_limiting()) r.latest += patience;
    reserve(id);
  }

  fair_share& shares_of(const request& r) {
    return shares_[way_.oracle ? 0 : std::size_t(r.entry)];
  }

  // Entry: asks a decode endpoint for memory by the end of the prefill.
  void reserve(id_type id) {
    request& r = of(id);
    placement& by = entry_of(r);
    look_everywhere(by);
    placement_query prefill = query_of(r, "prefill");
    prefill.prefix_hash = r.prefix;
    const auto first = by.choose(prefill, 1, now_);
    const auto chosen = by.choose(query_of(r, "decode"), 1, now_);
    if (first.empty() || chosen.empty()) return refuse(id);
    r.ready_in = first.front().predicted_wait + first.front().predicted_run +
                 transfer_time(r, true) + 4 * what_.size.hop +
                 step_time(max_running);
    r.decode = std::stoi(chosen.front().endpoint.substr(1));
    by.sent(chosen.front().endpoint, r.max_tokens, now_);
    hop([this, id] { desk_take(id); });
  }

  void desk_take(id_type id) {
    request& r = of(id);
    decode_endpoint& d = decode_of(r);
    if (!d.up) return unanswered(id);
    const time_point latest = r.target() - r.ready_in;
    const queue_item item = item_of(id, r.pieces(), latest);
    r.late = latest <= now_;
    if (r.late && !d.leaving && wait_overdue(d, id)) return;
    const auto decided = d.admits.decide(d.desk, item, latest - now_);
    if (d.leaving || r.late || !decided.admitted || !d.desk.push(item).ok()) {
      hop([this, id] { elsewhere(id); });
      return;
    }
    desk_serve(r.decode);
  }

  // Without overload callers rather wait than be refused.
  bool wait_overdue(decode_endpoint& d, id_type id) {
    request& r = of(id);
    const time_point latest = r.latest - r.ready_in;
    if (latest <= now_) return false;
    const bool waits = d.overdue.push(item_of(id, r.pieces(), latest)).ok();
    if (waits) desk_serve(r.decode);
    return waits;
  }

  // Entry: the decode endpoint refused; another may have room.
  void elsewhere(id_type id) {
    request& r = of(id);
    decode_endpoint& d = decode_of(r);
    reply(r, d);
    entry_of(r).ended(d.name, r.max_tokens, now_);
    r.excluded.push_back(d.name);
    r.decode = -1;
    if (!r.late) shares_of(r).record_outcome(false, now_);
    if (++r.tries >= most_tries) return refuse(id);
    reserve(id);
  }

  // Entry: a lost endpoint does not answer, which is noticed in time.
  void unanswered(id_type id) {
    after(loss_noticed, [this, id] {
      if (!of(id).over) elsewhere(id);
    });
  }

  void desk_serve(int index) {
    decode_endpoint& d = decode_[std::size_t(index)];
    if (!d.up) return;
    for (const queue_item& late : d.overdue.expire(now_)) {
      hop([this, id = late.id] { elsewhere(id); });
    }
    for (const queue_item& late : d.desk.expire(now_)) {
      request& r = of(late.id);
      r.late = true;
      const time_point latest = r.latest - r.ready_in;
      const bool waits =
          latest > now_ &&
          d.overdue.push(item_of(late.id, r.pieces(), latest)).ok();
      if (!waits) hop([this, id = late.id] { elsewhere(id); });
    }
    d.reservations->expire(now_);
    if (desk_grant(index, d.desk)) desk_grant(index, d.overdue);
  }

  // Grants what fits; returns whether nothing is left waiting.
  bool desk_grant(int index, fair_queue& from) {
    decode_endpoint& d = decode_[std::size_t(index)];
    while (const auto next = from.peek()) {
      request& r = of(next->id);
      const auto answer =
          d.reservations->reserve(r.key, r.pieces(), r.ready_in, now_);
      if (!answer.granted) {
        const duration wait =
            std::max<duration>(answer.retry_after, milliseconds(1));
        at(now_ + std::min<duration>(wait, milliseconds(50)),
           [this, index] { desk_serve(index); });
        return false;
      }
      from.pop();
      d.admits.record_service(next->cost, from.size() > 0, now_);
      r.promised = way_.promise != reservation_policy::none;
      hop([this, id = next->id] { granted(id); });
    }
    return true;
  }

  // Entry: memory is promised; the prefill may start.
  void granted(id_type id) {
    request& r = of(id);
    placement& by = entry_of(r);
    shares_of(r).record_outcome(has_room(decode_of(r)), now_);
    reply(r, decode_of(r));
    look_everywhere(by);
    placement_query asked = query_of(r, "prefill");
    asked.prefix_hash = r.prefix;
    asked.preferred_domain = std::string(1, char('a' + r.decode % 3));
    const auto chosen = by.choose(asked, 1, now_);
    if (chosen.empty()) return refuse(id);
    r.prefill = std::stoi(chosen.front().endpoint.substr(1));
    by.sent(chosen.front().endpoint, r.prompt, now_);
    hop([this, id] { prefill_take(id); });
  }

  void prefill_take(id_type id) {
    request& r = of(id);
    prefill_endpoint& p = prefill_[std::size_t(r.prefill)];
    const duration rest = from_seconds(r.prompt / prefill_speed) +
                          transfer_time(r, true) + 2 * what_.size.hop;
    const queue_item item =
        item_of(id, r.prompt, std::max(r.latest, r.target()) - rest);
    if (!p.up) {
      after(loss_noticed, [this, id] { refuse(id); });
    } else if (!p.queue.push(item).ok()) {
      hop([this, id] { refuse(id); });
    } else {
      prefill_serve(r.prefill);
    }
  }

  void prefill_serve(int index) {
    prefill_endpoint& p = prefill_[std::size_t(index)];
    if (!p.up || p.current) return;
    for (const queue_item& late : p.queue.expire(now_)) {
      hop([this, id = late.id] { refuse(id); });
    }
    const auto next = p.queue.pop();
    if (!next) return;
    const id_type id = next->id;
    const duration span = run_prefill(p, of(id));
    p.current = id;
    p.current_ends = now_ + span;
    result_.prefilled += of(id).prompt;
    after(span, [this, id, index, span] {
      prefill_endpoint& on = prefill_[std::size_t(index)];
      if (!on.up || on.current != id) return;
      on.current.reset();
      of(id).exported_until = now_ + export_life;
      hop([this, id, span] { exported(id, span); });
      prefill_serve(index);
    });
  }

  // Entry: the prefill is done; the decode endpoint imports it.
  void exported(id_type id, duration span) {
    request& r = of(id);
    prefill_endpoint& p = prefill_[std::size_t(r.prefill)];
    reply(r, p);
    entry_of(r).ended(p.name, r.prompt, now_);
    entry_of(r).measured(p.name, r.prompt, span);
    hop([this, id] { import_take(id); });
  }

  void import_take(id_type id) {
    request& r = of(id);
    decode_endpoint& d = decode_of(r);
    if (!d.up) return move_import(id);
    d.importing.push_back(id);
    at(r.exported_until, [this, id] { import_late(id); });
    import_all(r.decode);
  }

  // Entry: the decode endpoint is lost; another may take the export.
  void move_import(id_type id) {
    request& r = of(id);
    r.promised = false;
    r.excluded.push_back(decode_of(r).name);
    after(lost_noticed_ ? duration::zero() : loss_noticed, [this, id] {
      request& again = of(id);
      const auto chosen =
          entry_of(again).choose(query_of(again, "decode"), 1, now_);
      if (chosen.empty() || now_ >= again.exported_until) return waste(id);
      again.decode = std::stoi(chosen.front().endpoint.substr(1));
      hop([this, id] { import_take(id); });
    });
  }

  void import_all(int index) {
    decode_endpoint& d = decode_[std::size_t(index)];
    while (!d.importing.empty()) {
      const id_type id = d.importing.front();
      request& r = of(id);
      if (!d.reservations->start(r.key, r.pieces(), predicted_release(r), now_))
        return;
      d.importing.pop_front();
      r.promised = false;
      const bool near = r.prefill % 3 == r.decode % 3;
      d.link_free = std::max(d.link_free, now_) + transfer_time(r, near);
      at(d.link_free, [this, id] { joined(id); });
    }
  }

  void import_late(id_type id) {
    request& r = of(id);
    decode_endpoint& d = decode_of(r);
    const auto found = std::find(d.importing.begin(), d.importing.end(), id);
    if (r.over || found == d.importing.end()) return;
    d.importing.erase(found);
    waste(id);
  }

  time_point predicted_release(const request& r) const {
    const double tokens = way_.oracle ? r.output : r.max_tokens;
    return now_ + from_seconds(tokens * to_seconds(step_time(max_running)));
  }

  void joined(id_type id) {
    request& r = of(id);
    decode_endpoint& d = decode_of(r);
    if (!d.up || r.over) return;
    d.running.push_back(id);
    if (!d.stepping) step(r.decode);
  }

  void step(int index) {
    decode_endpoint& d = decode_[std::size_t(index)];
    d.stepping = d.up && !d.running.empty();
    if (!d.stepping) return;
    const duration span = step_time(d.running.size());
    const std::vector<id_type> batch = d.running;
    after(span, [this, index, span, batch] {
      decode_endpoint& on = decode_[std::size_t(index)];
      if (!on.up) return;
      for (const id_type id : batch) token(on, id, span);
      import_all(index);
      desk_serve(index);
      step(index);
    });
  }

  void token(decode_endpoint& d, id_type id, duration gap) {
    request& r = of(id);
    if (r.tokens++ == 0) r.first_token = now_;
    if (gap > between_tokens_target) ++r.slow_gaps;
    if (r.tokens < r.output) return;
    d.running.erase(std::find(d.running.begin(), d.running.end(), id));
    d.reservations->release(r.key);
    hop([this, id] { finish(id); });
  }

  void finish(id_type id) {
    request& r = of(id);
    r.over = true;
    reply(r, decode_of(r));
    entry_of(r).ended(decode_of(r).name, r.max_tokens, now_);
    if (!counted(r)) return;
    const bool good = r.first_token + what_.size.hop <= r.target() &&
                      r.slow_gaps <= r.tokens * slow_gaps_allowed;
    ++(good ? result_.good : result_.late);
    if (good) ++result_.organisations[std::size_t(r.organisation)].good;
  }

  // Ends a request of which nothing ran.
  void refuse(id_type id) {
    request& r = of(id);
    if (r.over) return;
    r.over = true;
    leave(r);
    if (!counted(r)) return;
    ++result_.refused;
    ++result_.organisations[std::size_t(r.organisation)].refused;
  }

  // The prefill ran for nothing.
  void waste(id_type id) {
    request& r = of(id);
    if (r.over) return;
    result_.wasted += r.prompt;
    fail(id);
  }

  void fail(id_type id) {
    request& r = of(id);
    if (r.over) return;
    r.over = true;
    leave(r);
    if (counted(r)) ++result_.failed;
  }

  void leave(request& r) {
    if (r.prefill >= 0 && r.exported_until == time_point{}) {
      entry_of(r).ended(prefill_[std::size_t(r.prefill)].name, r.prompt, now_);
    }
    if (r.decode < 0) return;
    decode_endpoint& d = decode_of(r);
    entry_of(r).ended(d.name, r.max_tokens, now_);
    const bool held = d.reservations->release(r.key);
    if (held) hop([this, index = r.decode] { desk_serve(index); });
  }

  void lose_prefill(int index) {
    prefill_endpoint& p = prefill_[std::size_t(index)];
    p.up = false;
    std::vector<id_type> lost;
    while (const auto each = p.queue.pop()) lost.push_back(each->id);
    if (p.current) {
      result_.wasted += of(*p.current).prompt;
      lost.push_back(*p.current);
    }
    after(loss_noticed, [this, index, lost] {
      for (auto& each : entries_) {
        each.reachable(prefill_[std::size_t(index)].name, false, now_);
      }
      for (const id_type id : lost) refuse(id);
    });
  }

  void lose_decode(int index) {
    decode_endpoint& d = decode_[std::size_t(index)];
    d.up = false;
    while (const auto each = d.overdue.pop()) unanswered(each->id);
    while (const auto each = d.desk.pop()) unanswered(each->id);
    for (const id_type id : d.importing) move_import(id);
    d.importing.clear();
    for (const id_type id : d.running) fail(id);
    d.running.clear();
    after(loss_noticed, [this, index] {
      lost_noticed_ = true;
      for (auto& each : entries_) {
        each.reachable(decode_[std::size_t(index)].name, false, now_);
      }
    });
  }
};

}  // namespace citronwharf::bench

#endif  // CITRONWHARF_BENCH_POLICY_RUN_H_
