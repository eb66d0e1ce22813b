#include "log_cluster.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

constexpr const char* folder = "data";
constexpr duration usual_delay = milliseconds(2);

}  // namespace

log_cluster::log_cluster(std::uint64_t seed, std::size_t nodes)
    : random_(seed), nodes_(nodes) {
  options.max_append_entries = 8;
  options.snapshot_part_bytes = 5;
  options.keep_entries = 4;
  digests_.push_back(0);
  for (std::size_t i = 0; i < nodes; ++i) {
    nodes_[i].process = fmt::format("vm-{}", i);
    lose_disk(i);
  }
}

void log_cluster::start_group(std::size_t members) {
  require(nodes_[0].log->make_group(now_, "group").ok(), "group is made");
  pump(0);
  schedule_tick(0);
  for (std::size_t i = 1; i < members; ++i) {
    require(run_until([&] { return join(i); }, seconds(10)), "member joins");
  }
}

void log_cluster::schedule(time_point at, std::size_t node,
                           std::function<void()> act) {
  events_.push({at, ++order_, node, std::move(act)});
}

void log_cluster::schedule_tick(std::size_t i) {
  node& of = nodes_[i];
  if (!of.log || of.log->next_deadline() == time_point::max()) {
    return;
  }
  const std::uint64_t restarts = of.restarts;
  const time_point due = std::max(of.log->next_deadline(), now_);
  schedule(due, i, [this, i, restarts] {
    node& of = nodes_[i];
    // A tick does nothing if the deadline has since moved later.
    if (of.restarts == restarts && of.log && of.log->next_deadline() <= now_) {
      of.log->tick(now_);
      pump(i);
      schedule_tick(i);
    }
  });
}

bool log_cluster::step(time_point limit) {
  if (events_.empty() || events_.top().at > limit) {
    now_ = limit;
    return false;
  }
  event next = events_.top();
  events_.pop();
  now_ = std::max(now_, next.at);
  const time_point thaw = nodes_[next.node].frozen_until;
  if (thaw > now_) {
    schedule(thaw, next.node, std::move(next.act));
    return true;
  }
  ++steps_;
  next.act();
  return true;
}

void log_cluster::run_for(duration span) {
  const time_point limit = now_ + span;
  while (step(limit)) {
  }
}

bool log_cluster::run_until(const std::function<bool()>& condition,
                            duration limit) {
  const time_point end = now_ + limit;
  while (!condition()) {
    if (now_ >= end) {
      return false;
    }
    run_for(milliseconds(20));
  }
  return true;
}

void log_cluster::pump(std::size_t i) {
  node& of = nodes_[i];
  const time_point before = of.log->next_deadline();
  for (auto actions = of.log->take_actions(now_); !actions.empty();
       actions = of.log->take_actions(now_)) {
    for (const log_action& action : actions) {
      std::visit([&](const auto& typed) { perform(i, typed); }, action);
    }
  }
  check(i);
  if (of.log->next_deadline() < before) {
    schedule_tick(i);
  }
}

void log_cluster::perform(std::size_t i, const send_action& action) {
  const auto to = std::find_if(
      nodes_.begin(), nodes_.end(),
      [&](const node& other) { return other.process == action.process; });
  const auto target = static_cast<std::size_t>(to - nodes_.begin());
  if (cuts_.count({i, target}) != 0 || draw() < faults.drop) {
    return;
  }
  const int copies = draw() < faults.duplicate ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const duration delay = draw() < faults.late ? faults.max_late : usual_delay;
    schedule(
        now_ + draw_up_to(delay), target,
        [this, target, from = nodes_[i].process, message = action.message] {
          if (nodes_[target].log) {
            const auto before = nodes_[target].log->next_deadline();
            nodes_[target].log->receive(now_, from, message);
            pump(target);
            if (nodes_[target].log->next_deadline() != before) {
              schedule_tick(target);
            }
          }
        });
  }
}

void log_cluster::perform(std::size_t i, const write_action& action) {
  nodes_[i].writing = action.batch;
  const std::uint64_t restarts = nodes_[i].restarts;
  schedule(now_ + draw_up_to(max_sync), i, [this, i, restarts] {
    node& of = nodes_[i];
    if (of.restarts != restarts || !of.log) {
      return;
    }
    const log_batch batch = *std::exchange(of.writing, std::nullopt);
    const absl::Status written = of.storage->write(batch);
    if (written.ok()) {
      of.log->written(now_, batch.sequence);
    } else {
      of.log->write_failed(written.ToString());
    }
    pump(i);
    schedule_tick(i);
  });
}

void log_cluster::perform(std::size_t i, const apply_action& action) {
  node& of = nodes_[i];
  const log_entry& entry = action.entry;
  require(entry.index > of.applied, "commands are applied in order");
  of.digest = next_digest(of.digest, entry);
  of.applied = entry.index;
  require(entry.index <= of.log->commit_index(), "only committed is applied");
  const auto own = own_.find(entry.index);
  if (own != own_.end() && own->second == entry.term) {
    ++acknowledged_;
    own_.erase(own);
  }
}

void log_cluster::perform(std::size_t i, const restore_action& action) {
  node& of = nodes_[i];
  of.applied = action.snapshot.index;
  of.digest = std::stoull(action.snapshot.data.bytes);
}

void log_cluster::crash(std::size_t i) {
  node& of = nodes_[i];
  if (!of.log) {
    return;
  }
  if (of.writing) {
    // The write was interrupted at some step.
    int left = static_cast<int>(random_() % 8);
    of.disk->fault = [&left](const std::string&) -> absl::Status {
      return left-- > 0 ? absl::OkStatus() : absl::InternalError("killed");
    };
    of.storage->write(*of.writing).IgnoreError();
  }
  of.disk->fault = nullptr;
  of.log.reset();
  of.storage.reset();
  of.writing.reset();
  // Either the whole VM crashes or only the process.
  if (draw() < 0.5) {
    of.disk->crash(random_);
  }
  ++of.restarts;
}

void log_cluster::restart(std::size_t i) {
  if (!nodes_[i].log) {
    const absl::Status opened = open(i);
    require(opened.ok(), opened.ToString());
  }
}

bool log_cluster::reopen(std::size_t i) {
  node& of = nodes_[i];
  of.log.reset();
  of.storage.reset();
  of.writing.reset();
  ++of.restarts;
  const absl::Status opened = open(i);
  require(!absl::IsDataLoss(opened), opened.ToString());
  return opened.ok();
}

absl::Status log_cluster::open(std::size_t i) {
  node& of = nodes_[i];
  auto storage = log_storage::open(of.disk->operations(), folder);
  if (!storage.ok()) {
    return storage.status();
  }
  of.storage = *std::move(storage);
  of.digest = 0;
  of.applied = 0;
  of.checked_commit = 0;
  of.counted_as_leader = false;
  replicated_log_options own = options;
  own.id = of.id;
  own.process = of.process;
  of.log = std::make_unique<replicated_log>(own, std::mt19937_64(random_()),
                                            of.storage->take_restored(), now_);
  require(of.log->state().term >= of.reported_term,
          fmt::format("{} keeps the term that it reported", of.process));
  pump(i);
  schedule_tick(i);
  return absl::OkStatus();
}

void log_cluster::lose_disk(std::size_t i) {
  crash(i);
  node& of = nodes_[i];
  of.disk = std::make_unique<memory_disk>();
  of.id = fmt::format("{}-{:x}", of.process, random_());
  of.reported_term = 0;
  require(log_storage::create(of.disk->operations(), folder).ok(), "created");
  restart(i);
}

void log_cluster::freeze(std::size_t i, duration span) {
  nodes_[i].frozen_until = std::max(nodes_[i].frozen_until, now_ + span);
}

void log_cluster::fail_disk(std::size_t i) {
  if (!nodes_[i].log) {
    return;
  }
  int left = static_cast<int>(random_() % 4);
  nodes_[i].disk->fault = [left](const std::string&) mutable {
    return left-- == 0 ? absl::InternalError("I/O error") : absl::OkStatus();
  };
}

void log_cluster::cut(std::size_t from, std::size_t to, bool one_way) {
  cuts_.insert({from, to});
  if (!one_way) {
    cuts_.insert({to, from});
  }
}

void log_cluster::isolate(std::size_t i) {
  for (std::size_t other = 0; other < nodes_.size(); ++other) {
    if (other != i) {
      cut(i, other, false);
    }
  }
}

void log_cluster::heal() {
  cuts_.clear();
}

void log_cluster::snapshot(std::size_t i) {
  node& of = nodes_[i];
  if (of.log && of.applied >= of.log->snapshot_index()) {
    of.log->take_snapshot(std::to_string(of.digest));
    pump(i);
  }
}

std::optional<std::size_t> log_cluster::leader() const {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const auto& log = nodes_[i].log;
    if (log && log->role() == log_role::leader &&
        (!best || log->state().term > nodes_[*best].log->state().term)) {
      best = i;
    }
  }
  return best;
}

bool log_cluster::propose(std::size_t i) {
  node& of = nodes_[i];
  if (!of.log || of.frozen_until > now_) {
    return false;
  }
  const auto position =
      of.log->propose(now_, fmt::format("command {}", ++commands_));
  if (!position.ok()) {
    return false;
  }
  own_[position->index] = position->term;
  pump(i);
  return true;
}

bool log_cluster::join(std::size_t i, const std::string& replaces) {
  const auto by = leader();
  if (!by || !nodes_[i].log || nodes_[*by].frozen_until > now_) {
    return false;
  }
  replicated_log& log = *nodes_[*by].log;
  if (log.settled(nodes_[i].id)) {
    return true;
  }
  const bool is_voter = std::any_of(
      log.members().begin(), log.members().end(),
      [&](const replica_member& each) {
        return each.voter && each.id == replaces && each.id != nodes_[i].id;
      });
  // Rejected while another change is in progress; the operator tries again.
  log.add_learner(now_, {nodes_[i].id, nodes_[i].process, "", false,
                         is_voter ? replaces : ""})
      .IgnoreError();
  pump(*by);
  schedule_tick(*by);
  return false;
}

void log_cluster::call(std::size_t i,
                       const std::function<void(replicated_log&)>& change) {
  change(*nodes_[i].log);
  pump(i);
  schedule_tick(i);
}

bool log_cluster::make_progress(duration limit) {
  const std::uint64_t before = acknowledged_;
  return run_until(
      [&] {
        const auto by = leader();
        if (by && acknowledged_ == before) {
          propose(*by);
        }
        return acknowledged_ > before;
      },
      limit);
}

}  // namespace citronwharf
