#include "request_simulation.h"

#include <fmt/format.h>

#include "fake/tokens.h"

namespace citronwharf::test {
namespace {

constexpr duration network_delay = milliseconds(1);
constexpr duration late_delivery_delay = milliseconds(70);
constexpr duration prefill_time = milliseconds(40);
constexpr duration cleanup_time = milliseconds(300);
constexpr duration lease_duration = seconds(3);
constexpr duration short_outage = milliseconds(300);
constexpr duration long_outage = seconds(4);
const std::vector<std::string> kind_names{"drop",
                                          "deliver_twice",
                                          "deliver_late",
                                          "wrong_attempt",
                                          "session_loss",
                                          "long_session_loss",
                                          "restart",
                                          "refuse",
                                          "fail",
                                          "freeze",
                                          "caller_disconnect",
                                          "withdraw_key",
                                          "wrong_count"};

// Alters a reply so that it looks like that of another attempt.
void corrupt(reserve_reply& in) {
  in.reason = failure_reason::too_large;
}
void corrupt(prefill_reply& in) {
  in.export_id = "another";
}
void corrupt(tokens_message& in) {
  in.tokens = {"another's"};
}
void corrupt(decode_finished& in) {
  in.total_tokens = 0;
}
void corrupt(plain_reply& in) {
  in.body = "another's";
}

const char* type_of(const endpoint_message& in) {
  return std::visit(
      [](const auto& one) { return std::decay_t<decltype(one)>::type_name; },
      in);
}

}  // namespace

const std::vector<fault_kind> all_faults{fault_kind::drop,
                                         fault_kind::deliver_twice,
                                         fault_kind::deliver_late,
                                         fault_kind::wrong_attempt,
                                         fault_kind::session_loss,
                                         fault_kind::long_session_loss,
                                         fault_kind::restart,
                                         fault_kind::refuse,
                                         fault_kind::fail,
                                         fault_kind::freeze,
                                         fault_kind::caller_disconnect,
                                         fault_kind::withdraw_key,
                                         fault_kind::wrong_count};

const std::string request_simulation::prompt = "Norwegian salmon, whole, fresh";

std::string describe(const std::vector<fault>& faults) {
  std::string out;
  for (const fault& one : faults) {
    out += fmt::format("{}#{}:{} ", one.type, one.nth,
                       kind_names[static_cast<std::size_t>(one.kind)]);
  }
  return out;
}

request_simulation::request_simulation(std::vector<fault> faults,
                                       bool idempotent, std::uint64_t seed)
    : faults_(std::move(faults)),
      idempotent_(idempotent),
      random_(seed),
      deadline_(now_ + seconds(30)) {}

void request_simulation::schedule(duration delay, step callback) {
  steps_.emplace(std::make_pair(now_ + delay, ++step_count_),
                 std::move(callback));
}

request_hooks request_simulation::hooks() {
  request_hooks out;
  out.choose = [this](const placement_query& query, std::size_t, time_point) {
    std::vector<placement_choice> all;
    for (const auto& [name, one] : endpoints_) {
      const bool excluded =
          std::count(query.excluded.begin(), query.excluded.end(), name) > 0;
      if (one.up && !excluded && name.rfind(query.pool, 0) == 0) {
        all.push_back({name, {}, prefill_time});
      }
    }
    std::shuffle(all.begin(), all.end(), random_);
    return all;
  };
  out.retry_after = [](const std::string&, time_point) { return seconds(1); };
  out.incarnation = [this](const std::string& name) {
    return endpoints_[name].up ? endpoints_[name].incarnation : 0;
  };
  out.permitted = [this](time_point) -> std::optional<problem> {
    if (!withdrawn_) {
      return std::nullopt;
    }
    return problem{
        401, request_outcome::not_run, reasons::key_withdrawn, "", {}, false};
  };
  out.take_retry = [] { return true; };
  return out;
}

bool request_simulation::finished() const {
  return pools_ ? pools_->finished() : plain_->finished();
}

std::vector<held_attempt> request_simulation::held() const {
  return pools_ ? pools_->held() : plain_->held();
}

run_report request_simulation::run_pools() {
  pools_work work;
  work.key = {"entry-1", 7, 1, 0};
  work.prefill_pool = "prefill";
  work.decode_pool = "decode";
  work.prompt = prompt;
  work.prompt_tokens = 8;
  work.max_tokens = max_tokens;
  work.deadline = deadline_;
  work.idempotent = idempotent_;
  for (const char* name : {"prefill-1", "prefill-2", "decode-1", "decode-2"}) {
    endpoints_[name] = fake_endpoint{};
  }
  pools_.emplace(work, pools_state_machine_options{}, hooks());
  return run([this] { return pools_->start(now_); });
}

run_report request_simulation::run_plain() {
  plain_work work;
  work.key = {"entry-1", 7, 1, 0};
  work.pool = "plain";
  work.method = "POST";
  work.deadline = deadline_;
  work.idempotent = idempotent_;
  endpoints_["plain-1"] = fake_endpoint{};
  endpoints_["plain-2"] = fake_endpoint{};
  plain_.emplace(work, plain_state_machine_options{}, hooks());
  return run([this] { return plain_->start(now_); });
}

run_report request_simulation::run(
    const std::function<request_actions()>& start) {
  for (int second = 1; second < 40; ++second) {
    schedule(seconds(second), [this] { renew_and_expire_leases(); });
  }
  perform(start());
  while (!steps_.empty()) {
    const time_point wake_time =
        pools_ ? pools_->wake_time() : plain_->wake_time();
    if (wake_time < steps_.begin()->first.first) {
      now_ = std::max(now_, wake_time);
      perform(pools_ ? pools_->on_timer(now_) : plain_->on_timer(now_));
      continue;
    }
    const auto next = steps_.begin();
    now_ = next->first.first;
    const step callback = next->second;
    steps_.erase(next);
    callback();
  }
  report_.leaked = count_held();
  return report_;
}

int request_simulation::count_held() const {
  std::size_t count = 0;
  for (const auto& [name, one] : endpoints_) {
    count += one.frozen ? 0 : one.held.size();
  }
  return static_cast<int>(count);
}

void request_simulation::perform(const request_actions& actions) {
  for (const request_action& action : actions) {
    if (const auto* out = std::get_if<send_action>(&action)) {
      send(*out);
    } else if (const auto* next = std::get_if<relay_action>(&action)) {
      report_.answered_after_finish |= report_.finishes > 0;
      report_.relayed_tokens.insert(report_.relayed_tokens.end(),
                                    next->tokens.begin(), next->tokens.end());
    } else if (const auto* plain = std::get_if<plain_answer_action>(&action)) {
      report_.answered_after_finish |= report_.finishes > 0 || report_.answer;
      report_.answer = *plain;
    } else if (const auto* last = std::get_if<finish_action>(&action)) {
      ++report_.finishes;
      report_.failure = last->failure;
      report_.total = last->total_tokens;
      report_.ended_at = now_;
      schedule(cleanup_time, [this] { report_.held_after_end = count_held(); });
    }
  }
}

bool request_simulation::apply_fault(const std::string& type,
                                     const std::string& name, fault_kind& out) {
  const int nth = frame_counts_[type]++;
  for (const fault& one : faults_) {
    if (one.type != type || one.nth != nth) {
      continue;
    }
    report_.trace += describe({one}) + "at " + name + "; ";
    out = one.kind;
    if (one.kind == fault_kind::caller_disconnect) {
      disconnect_caller();
    } else if (one.kind == fault_kind::withdraw_key) {
      schedule({}, [this] {
        withdrawn_ = true;
        if (pools_) {
          perform(pools_->on_configuration(now_));
        }
      });
    } else if (one.kind == fault_kind::freeze) {
      endpoints_[name].frozen = true;
      schedule(seconds(2),
               [this, name] { lose_session(name, seconds(60), false); });
    } else if (one.kind == fault_kind::session_loss ||
               one.kind == fault_kind::long_session_loss ||
               one.kind == fault_kind::restart) {
      const bool is_short = one.kind != fault_kind::long_session_loss;
      lose_session(name, is_short ? short_outage : long_outage,
                   one.kind == fault_kind::restart);
    }
    return true;
  }
  return false;
}

void request_simulation::disconnect_caller() {
  schedule({}, [this] {
    perform(pools_ ? pools_->on_cancel(now_) : plain_->on_cancel(now_));
  });
}

request_actions request_simulation::session_event(const std::string& name,
                                                  std::uint64_t up) {
  return pools_ ? pools_->on_session(name, up, now_)
                : plain_->on_session(name, up, now_);
}

void request_simulation::lose_session(const std::string& name, duration outage,
                                      bool restart) {
  fake_endpoint& one = endpoints_[name];
  if (!one.up) {
    return;
  }
  one.up = false;
  ++one.epoch;
  if (restart) {
    one = fake_endpoint{
        one.incarnation + 1, false, false, one.epoch, {}, {}, {}, {}, {}};
  }
  schedule({}, [this, name] { perform(session_event(name, 0)); });
  schedule(outage, [this, name] {
    endpoints_[name].up = true;
    perform(session_event(name, endpoints_[name].incarnation));
  });
}

void request_simulation::send(const send_action& out) {
  const std::string type = type_of(out.message);
  if (!endpoints_[out.endpoint].up) {
    if (type != "cancel") {
      const attempt_key key = key_of(out.message);
      schedule({}, [this, to = out.endpoint, key] {
        perform(pools_ ? pools_->on_send_failed(to, key, now_)
                       : plain_->on_send_failed(to, key, now_));
      });
    }
    return;
  }
  const bool runnable = type == "prefill" || type == "plain";
  report_.sent_after_withdrawal += withdrawn_ && runnable ? 1 : 0;
  const int epoch = endpoints_[out.endpoint].epoch;
  fault_kind kind{};
  const bool injected = apply_fault(type, out.endpoint, kind);
  const bool lost =
      injected && (kind == fault_kind::drop || kind == fault_kind::restart);
  const bool twice = injected && kind == fault_kind::deliver_twice;
  const auto deliver = [this, to = out.endpoint, message = out.message, epoch,
                        injected, kind] {
    if (endpoints_[to].epoch == epoch && !endpoints_[to].frozen) {
      serve(to, message, injected ? std::optional(kind) : std::nullopt);
    }
  };
  if (!lost) {
    schedule(network_delay + (injected && kind == fault_kind::deliver_late
                                  ? late_delivery_delay
                                  : duration{}),
             deliver);
  }
  if (twice) {
    schedule(network_delay + late_delivery_delay, deliver);
  }
}

template <typename Message>
void request_simulation::deliver(const std::string& from,
                                 const Message& message) {
  if constexpr (std::is_same_v<Message, plain_reply>) {
    perform(plain_->on_reply(from, message, now_));
  } else {
    perform(pools_->on_reply(from, message, now_));
  }
}

template <typename Message>
void request_simulation::send_to_entry(const std::string& from, Message message,
                                       duration delay) {
  const int epoch = endpoints_[from].epoch;
  schedule(delay, [this, from, message, epoch]() mutable {
    fake_endpoint& one = endpoints_[from];
    if (one.epoch != epoch || !one.up || one.frozen) {
      return;
    }
    fault_kind kind{};
    const bool injected = apply_fault(Message::type_name, from, kind);
    if (injected && (kind == fault_kind::drop || one.epoch != epoch)) {
      return;
    }
    if (injected && kind == fault_kind::wrong_attempt) {
      Message other = message;
      other.key.attempt += 10;
      corrupt(other);
      deliver(from, other);
    }
    if constexpr (std::is_same_v<Message, decode_finished>) {
      message.total_tokens +=
          injected && kind == fault_kind::wrong_count ? 3 : 0;
    }
    const bool late = injected && kind == fault_kind::deliver_late;
    if (!late) {
      deliver(from, message);
    }
    if (late || (injected && kind == fault_kind::deliver_twice)) {
      schedule(late_delivery_delay,
               [this, from, message] { deliver(from, message); });
    }
  });
}

template void request_simulation::send_to_entry(const std::string&,
                                                reserve_reply, duration);
template void request_simulation::send_to_entry(const std::string&,
                                                prefill_reply, duration);
template void request_simulation::send_to_entry(const std::string&,
                                                tokens_message, duration);
template void request_simulation::send_to_entry(const std::string&,
                                                decode_finished, duration);
template void request_simulation::send_to_entry(const std::string&, plain_reply,
                                                duration);

// Renews the leases that the entry claims, once per second, and expires others.
void request_simulation::renew_and_expire_leases() {
  const std::vector<held_attempt> wanted = held();
  for (auto& [name, one] : endpoints_) {
    for (auto it = one.held.begin(); it != one.held.end();) {
      const bool claimed =
          one.up && std::any_of(wanted.begin(), wanted.end(),
                                [&, key = it->first](const held_attempt& work) {
                                  return work.key == key;
                                });
      if (claimed) {
        it->second = now_;
      }
      if (now_ - it->second < lease_duration) {
        ++it;
        continue;
      }
      const bool in_use = !finished() && one.up && one.streams.count(it->first);
      report_.expired_in_use += in_use ? 1 : 0;
      one.streams.erase(it->first);
      it = one.held.erase(it);
    }
  }
}

}  // namespace citronwharf::test
