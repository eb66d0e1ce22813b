/// Places generations on the engines of the fleet: who decodes, who reads the
/// prompt, who waits for memory, who is refused. Runs at the leader.
#ifndef CITRONWHARF_GATEWAY_ENGINE_SCHEDULER_H_
#define CITRONWHARF_GATEWAY_ENGINE_SCHEDULER_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "gateway/codec.h"
#include "gateway/ejection.h"
#include "gateway/prefill_speed.h"
#include "policy/fair_queue.h"
#include "wire/placement_messages.h"

namespace citronwharf {

struct engine_scheduler_options {
  /// Share of an engine's memory that is promised. The rest covers outputs that
  /// grow beyond what callers expect.
  double memory_share = 0.97;
  /// Speed of a stream until the first one has ended; a batch of ten on a large
  /// model.
  double initial_tokens_per_second = 230;
  /// Speed of prefills.
  prefill_speed_options prefill;
  /// Share of a prefill's latency that keeps its engine busy.
  double busy_latency_share = 0.25;
  /// A decode engine reads a prompt at half the speed, and slows its streams
  /// down meanwhile: it does so when that is sooner by this much, one prompt at
  /// a time.
  duration own_prefill_penalty = milliseconds(250);
  /// Share of the gap objective that a prompt read between the events of an
  /// engine's streams may take up, the event itself included. The rest covers
  /// what the ledger doesn't see.
  double max_gap_share = 0.85;
  /// A prefill that was predicted to take this many times what its tokens take
  /// has waited for others, and tells little of the engine's speed.
  double max_metered_wait = 1.3;
  /// A prefill engine in another failure domain than the decode engine costs
  /// transfers; it is taken when it is sooner by this much.
  duration distance_penalty = milliseconds(40);
  /// An engine that refused a grant is taken for full for so long, about the
  /// time in which one of its requests ends.
  duration full_lifetime = milliseconds(60);
  /// A caller that was refused may come back for so long.
  duration return_window = seconds(8);
  /// How long a request that has come back may wait: callers leave after two
  /// seconds without an event at the earliest.
  duration returned_patience = milliseconds(1700);
  /// A decode engine that is slower than the others by this factor serves late
  /// and holds memory for long; it gets nothing for a while.
  double max_pace_ratio = 2.5;
  duration slow_lifetime = milliseconds(1500);
  ejection_options eject;
};

/// A decision for a gateway.
struct placement_decision {
  std::string process;
  placement_grant grant;
};

/// Demand for the engines of a service, in engines.
struct engine_load {
  double prefill = 0;
  double decode = 0;
};

/// What the ledger holds for a service.
struct engine_census {
  std::string service;
  std::size_t decode = 0;    ///< engines that take requests
  std::size_t prefill = 0;   ///< engines that read prompts
  std::size_t unusable = 0;  ///< leaving, switching or left alone
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::int64_t held_tokens = 0;    ///< of the usable decode engines
  std::int64_t memory_tokens = 0;  ///< that they have
};

/// Load it answers: a burst fills the memory of the decode engines, and many
/// gateways that can't see each other would crowd the same prefill engines. One
/// ledger counts what every generation holds, predicts its growth, and lets
/// wait only who will be served in time. Organisations share what comes free.
///
/// No I/O, no clock of its own. One thread.
class engine_scheduler {
 public:
  explicit engine_scheduler(engine_scheduler_options options);

  /// Forgets everything but engines and profiles, as when another process led
  /// meanwhile.
  void reset();
  void set_profile(const std::string& service, const engine_profile& profile);
  /// Takes what the directory lists now; servers without a stage are left out.
  void set_engines(const std::vector<listed_server>& listed);
  /// An engine switches its stage and takes nothing for a while.
  void switching(const std::string& engine, const announced_switch& in);

  /// The fleet found that the engine fails requests.
  void mark_outlier(const std::string& engine, duration span, time_point now);

  void ask(const std::string& process, const placement_ask& in, time_point now);
  /// The generation ended, or its caller left while it waited.
  void release(const std::string& process, const placement_release& in);
  /// Returns the span of an ejection that this starts.
  std::optional<duration> observe(const engine_observation& in, time_point now);
  /// Takes what runs at a gateway without a grant of this scheduler.
  void claim(const std::string& process, const placement_claims& in,
             time_point now);
  /// The process is gone, with all that it asked for.
  void forget(const std::string& process);

  /// Returns what is decided by now. Call after each event, and several times
  /// in 100 ms while waiting() holds.
  std::vector<placement_decision> decide(time_point now);
  bool waiting() const;
  /// Returns the processes whose requests wait.
  std::set<std::string> waiting_processes() const;
  /// Returns the demand for a service's engines; of prefill over the last
  /// seconds.
  engine_load load(const std::string& service, time_point now);
  /// Returns the engines of a service that fail.
  std::set<std::string> failing(const std::string& service,
                                time_point now) const;
  /// Returns the ledger of each service for which requests wait.
  std::vector<engine_census> census(time_point now) const;

 private:
  using lease_key = std::pair<std::string, std::uint64_t>;  // process, ask id

  struct lease {
    std::string service;
    std::string engine;
    std::int64_t prompt_tokens = 0;
    std::int64_t output_tokens = 0;  // expected
    time_point started;              // first event, as predicted
    std::string reader;              // engine that reads the prompt
    duration read{};                 // that this keeps it busy
  };
  struct engine {
    listed_server listed;
    std::set<lease_key> leases;
    time_point reading_until{};  // the prompts that it was given
    duration own_reads{};  // of a decode engine, since its streams were calm
    time_point exports_full_until{};
    double slowness = 1;  // of prefills, against the predicted time
    ejection ejected;
    ejection exports;  // ejected as the source of KV caches
    time_point full_until{};
    announced_switch switched;
    time_point outlier_until{};
    time_point slow_until{};
  };
  struct waiting_ask {
    std::string process;
    placement_ask ask;
    time_point until;
    bool told = false;  // that it waits
  };
  struct arrival {
    time_point at;
    std::int64_t prompt_tokens = 0;
    std::int64_t fresh_tokens = 0;  // with the output; 0 for those that return
  };
  struct service {
    service();
    engine_profile profile;
    double tokens_per_second = 0;
    std::int64_t metered_streams = 0;  // that the speed is learned from
    std::optional<prefill_speed> prefill;
    std::deque<std::uint64_t> under_way;  // numbers of asks
    fair_queue fresh;
    fair_queue returned;
    std::map<std::uint64_t, waiting_ask> asks;  // by number
    std::deque<arrival> arrivals;               // of the last seconds
    std::map<std::string, time_point> refused;  // by prompt id
    std::deque<std::pair<time_point, std::string>> refusals;  // oldest first
  };
  struct prefill_choice {
    engine* at = nullptr;  // null: the decode engine reads the prompt
    duration wait{};       // until the first event
    duration cost{};       // with the penalties of this choice
  };

  service& service_named(const std::string& name);
  duration busy_latency(const service& of) const;
  static void take_stream(service& of, double tokens_per_second);
  void take_prefill(engine& at, const engine_observation& in);
  void take_pace(engine& at, const engine_observation& in, time_point now);
  double generated(const lease& of, double per_second, time_point now) const;
  double used(const service& of, const engine& in, time_point now) const;
  double peak_with(const service& of, const engine& in,
                   const placement_ask& ask, time_point now) const;
  static bool serves(const engine& in, const placement_ask& ask,
                     engine_stage stage, time_point now);
  static bool usable(const engine& in, time_point now);
  std::vector<engine*> fitting_engines(const service& of,
                                       const placement_ask& ask,
                                       time_point now);
  static duration read_span(const service& of, const placement_ask& ask);
  duration own_prefill_wait(const service& of, const placement_ask& ask) const;
  static duration event_span(const service& of);
  static duration reads_in_event(const service& of, const engine& decode,
                                 time_point now);
  bool keeps_gaps(const service& of, const placement_ask& ask,
                  duration reading) const;
  bool may_keep_gaps(const service& of, const placement_ask& ask,
                     time_point now) const;
  prefill_choice choose_prefill(const service& of, const engine& decode,
                                const placement_ask& ask, time_point now);
  std::optional<prefill_choice> choose_prefill_engine(const service& of,
                                                      const engine& decode,
                                                      const placement_ask& ask,
                                                      time_point now);
  engine* choose_reader(const service& of, const std::vector<engine*>& among,
                        const placement_ask& ask, time_point now) const;
  std::optional<placement_grant> place(service& of, const waiting_ask& waiting,
                                       time_point now);
  bool has_engine(const placement_ask& ask, time_point now) const;
  double release_rate(const std::string& name, const service& of,
                      time_point now) const;
  static void forget_old_arrivals(service& of, time_point now);
  static double fresh_rate(service& of, time_point now);
  static double expected_hold(const service& of);
  duration min_prefill_wait(const service& of, const placement_ask& ask,
                            time_point now) const;
  duration predicted_wait(const std::string& name, service& of,
                          const waiting_ask& waiting, time_point now) const;
  void serve(service& of, time_point now, std::vector<placement_decision>& out);
  bool serve_one(service& of, std::uint64_t number, time_point now,
                 std::vector<placement_decision>& out);
  void serve_shorter(service& of, fair_queue& queue, std::uint64_t first,
                     time_point now, std::vector<placement_decision>& out);
  void tell_new(const std::string& name, service& of, time_point now,
                std::vector<placement_decision>& out);
  void expire(service& of, time_point now,
              std::vector<placement_decision>& out);
  void tell(service& of, const waiting_ask& waiting, time_point now,
            placement_grant grant, std::vector<placement_decision>& out);
  bool came_back(service& of, const placement_ask& in, time_point now);
  void drop_ask(service& of, std::uint64_t number);
  void drop_lease(const lease_key& key);

  engine_scheduler_options options_;
  std::map<std::string, service> services_;
  std::map<std::string, engine> engines_;  // by id
  std::map<lease_key, lease> leases_;
  std::uint64_t last_number_ = 0;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_ENGINE_SCHEDULER_H_
