/// Leader-side scheduler of the engines of the fleet: chooses the decode engine
/// and the prefill engine of each generation, queues requests that wait for
/// engine memory and refuses those that cannot be served in time.
#ifndef CITRONWHARF_GATEWAY_ENGINE_SCHEDULER_H_
#define CITRONWHARF_GATEWAY_ENGINE_SCHEDULER_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "gateway/codec.h"
#include "gateway/ejection.h"
#include "gateway/engine_speed.h"
#include "gateway/prefill_speed.h"
#include "gateway/urgency_queue.h"
#include "policy/fair_queue.h"
#include "wire/placement_messages.h"

namespace citronwharf {

struct engine_scheduler_options {
  /// Share of an engine's memory that may be promised. The rest covers outputs
  /// that grow beyond what callers expect.
  double max_memory_share = 0.97;
  /// Assumed speed of a stream until the first one has ended: a batch of ten on
  /// a large model.
  double initial_tokens_per_second = 230;
  prefill_speed_options prefill;
  engine_speed_options speed;
  /// Once engines are known to be unequal: how long what one prefill showed of
  /// a busy neighbour counts. Neighbours are busy for about 600 ms.
  duration neighbour_span = milliseconds(600);
  /// Once engines are known to be unequal: decode engines with more of their
  /// memory in use than this are filled after all others, since outputs may
  /// exceed what was expected.
  double max_preferred_memory_share = 0.85;
  /// Share of a prefill's latency during which its engine is busy.
  double busy_latency_share = 0.25;
  /// Penalty for prefill on the decode engine, which runs at half the speed and
  /// slows the streams there. It is chosen only if it is sooner by more than
  /// this, and for one prompt at a time.
  duration local_prefill_penalty = milliseconds(250);
  /// Share of the gap objective that may pass between two events of a stream
  /// while its engine prefills a prompt, the event itself included. The rest
  /// covers what the scheduler cannot observe.
  double max_gap_share = 0.85;
  /// A prefill whose predicted time exceeds the time for its tokens by this
  /// factor was queued, and is no sample of the engine's speed.
  double max_sampled_wait_ratio = 1.3;
  /// Penalty for a prefill engine in another failure domain than the decode
  /// engine, which makes the KV transfer more expensive. Such an engine is
  /// chosen only if it is sooner by more than this.
  duration cross_domain_penalty = milliseconds(40);
  /// Penalty for a cold prefill engine, which is chosen only if it is sooner by
  /// more than this: about the time of one more prefill there.
  duration cold_penalty = milliseconds(100);
  /// An engine that refused a grant counts as full for this long, about the
  /// time until one of its requests ends.
  duration full_backoff = milliseconds(60);
  /// A prompt that is asked for again within this time after its refusal counts
  /// as returned.
  duration resubmission_window = seconds(8);
  /// How long a returned request may wait. Callers give up after two seconds
  /// without an event at the earliest.
  duration returned_max_wait = milliseconds(1700);
  /// A decode engine whose streams are slower than the others by this factor
  /// misses objectives and holds memory for long; it gets no requests for
  /// `slow_backoff`.
  double max_stream_slowdown = 2.5;
  duration slow_backoff = milliseconds(1500);
  ejection_options eject;
};

/// Requests that an engine gets for a generation: to hold memory, and to run
/// it.
constexpr double requests_per_generation = 2;

/// The limits of engines, which the fleet shares. The functions cost next to
/// nothing for an engine without a limit.
struct engine_limit_hooks {
  /// Returns whether the engine takes these requests now.
  std::function<bool(const std::string& engine, double requests)> has_requests;
  std::function<void(const std::string& engine, double requests)> take_requests;
  /// Returns whether an engine is cold. None is when empty.
  std::function<bool(const std::string& engine)> is_cold{};
};

/// A grant and the gateway process that it is for.
struct placement_decision {
  std::string process;
  placement_grant grant;
};

/// Demand for the engines of a service, as a number of engines.
struct engine_demand {
  double prefill = 0;
  double decode = 0;
};

/// State of the engines and requests of a service.
struct engine_usage {
  std::string service;
  std::size_t decode = 0;    ///< engines that accept requests
  std::size_t prefill = 0;   ///< engines that prefill
  std::size_t unusable = 0;  ///< leaving, switching or excluded
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::int64_t held_tokens = 0;    ///< in use at usable decode engines
  std::int64_t memory_tokens = 0;  ///< capacity of those engines
};

/// Designed for this load: a burst fills the memory of the decode engines, and
/// many gateways that do not know of each other's requests would overload the
/// same prefill engines. One scheduler accounts for the memory of every
/// generation, predicts its growth and queues only requests that will be served
/// in time. Memory that is freed is shared fairly between organisations.
///
/// Performs no I/O and reads no clock; the caller passes `now`. Not
/// thread-safe.
class engine_scheduler {
 public:
  /// Without hooks no engine has a limit.
  explicit engine_scheduler(engine_scheduler_options options,
                            engine_limit_hooks limits = {});

  /// Clears everything except engines, profiles and measured speeds. For use
  /// when another process has led meanwhile.
  void reset();
  void set_profile(const std::string& service, const engine_profile& profile);
  /// Replaces the engines by those that the directory lists now; servers
  /// without a stage are ignored.
  void set_engines(const std::vector<listed_server>& listed);
  /// Records that an engine switches its stage; it gets no requests until the
  /// end of the switch.
  void begin_switch(const std::string& engine, const announced_switch& in);

  /// Excludes an engine for `span`, since the outlier detection of the fleet
  /// found that it fails requests.
  void set_outlier(const std::string& engine, duration span, time_point now);

  void ask(const std::string& process, const placement_ask& in, time_point now);
  /// Releases the memory of a generation that has ended, or removes a request
  /// whose caller left while it waited.
  void release(const std::string& process, const placement_release& in);
  /// Updates the state of an engine. Returns the duration of an ejection if the
  /// observation causes one.
  std::optional<duration> observe(const engine_observation& in, time_point now);
  /// Adds the generations that run at a gateway without a grant of this
  /// scheduler.
  void add_claims(const std::string& process, const placement_claims& in,
                  time_point now);
  /// Removes a process that is gone, with its generations and requests.
  void remove_process(const std::string& process);

  /// Returns the decisions that are due. Call after each event, and several
  /// times in 100 ms while has_waiting() returns true.
  std::vector<placement_decision> decide(time_point now);
  bool has_waiting() const;
  /// Returns the processes that have waiting requests.
  std::set<std::string> waiting_processes() const;
  /// Returns the demand for the engines of a service, with prefill averaged
  /// over the arrival window.
  engine_demand demand(const std::string& service, time_point now);
  /// Returns the ids of the engines of a service that fail.
  std::set<std::string> failing(const std::string& service,
                                time_point now) const;
  /// Returns the services whose engines are known to be unequally fast.
  std::set<std::string> unequal_services() const;
  /// Returns the state of each service that has waiting requests.
  std::vector<engine_usage> usage(time_point now) const;

 private:
  using lease_key = std::pair<std::string, std::uint64_t>;  // process, ask id

  struct lease {
    std::string service;
    std::string engine;
    std::int64_t prompt_tokens = 0;
    std::int64_t output_tokens = 0;  // expected
    time_point started;              // predicted time of the first event
    std::string prefill_engine;      // id of the engine that prefills
    duration prefill_time{};         // during which that is busy with it
  };
  struct engine {
    listed_server listed;
    std::set<lease_key> leases;
    time_point prefill_busy_until{};  // predicted end of assigned prefills
    duration local_prefill_time{};    // local prefills since the last event
    time_point exports_full_until{};
    double slowdown = 1;       // of prefills, relative to the prediction
    time_point slowdown_at{};  // when it was measured
    ejection ejection_state;
    ejection export_ejection;  // ejection as a source of KV caches
    time_point full_until{};
    announced_switch stage_switch;
    time_point outlier_until{};
    time_point slow_until{};
  };
  struct waiting_request {
    std::string process;
    placement_ask ask;
    time_point until;
    bool notified = false;  // the gateway knows that it waits
  };
  struct arrival {
    time_point at;
    std::int64_t urgency = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t fresh_tokens = 0;  // prompt and output; 0 if returned
  };
  struct service {
    engine_profile profile;
    double tokens_per_second = 0;
    std::int64_t sampled_streams = 0;  // in tokens_per_second
    std::optional<prefill_speed> prefill;
    std::optional<engine_speed> speed;    // with `prefill`
    std::deque<std::uint64_t> under_way;  // request numbers
    // Engines of the software versions that streams under way wait for. They
    // take no request that came later.
    std::set<std::string> awaited_engines;
    urgency_queue fresh;
    urgency_queue returned;
    std::map<std::uint64_t, waiting_request> requests;  // by number
    std::deque<arrival> arrivals;               // within the arrival window
    std::map<std::string, time_point> refused;  // time of refusal by prompt id
    std::deque<std::pair<time_point, std::string>> refusals;  // oldest first
  };
  struct prefill_choice {
    engine* chosen = nullptr;  // null: prefill on the decode engine
    duration wait{};           // until the first event
    duration queue{};          // part of it, before the prefill begins
    duration cost{};           // wait and penalties
  };

  service& get_or_create_service(const std::string& name);
  duration busy_latency(const service& state) const;
  static void add_stream_speed(service& state, double tokens_per_second);
  void add_prefill_sample(engine& observed, const engine_observation& in,
                          time_point now);
  void learn_prefill(service& state, engine& observed,
                     const engine_observation& in, time_point now);
  void check_stream_pace(engine& observed, const engine_observation& in,
                         time_point now);
  static double stream_speed(const service& state, const engine& decode);
  static double generated_tokens(const lease& generation, double per_second,
                                 time_point now);
  void add_stream_sample(service& state, const lease& ended,
                         const placement_release& in);
  double prefill_slowdown(const service& state, const engine& prefill,
                          time_point now) const;
  duration latest_first_event(const service& state, duration queue,
                              duration unqueued) const;
  double prefill_capacity(const std::string& name, const service& state,
                          time_point now) const;
  double used_tokens(const service& state, const engine& candidate,
                     time_point now) const;
  double peak_tokens_with(const service& state, const engine& candidate,
                          const placement_ask& ask, time_point now) const;
  static bool serves_stage(const engine& candidate, const placement_ask& ask,
                           engine_stage stage, time_point now);
  static bool usable(const engine& candidate, time_point now);
  bool takes_requests(const std::string& engine, double requests) const {
    return !limits_.has_requests || limits_.has_requests(engine, requests);
  }
  bool is_cold(const std::string& engine) const {
    return limits_.is_cold && limits_.is_cold(engine);
  }
  std::vector<engine*> engines_with_memory(const service& state,
                                           const placement_ask& ask,
                                           time_point now);
  static duration prompt_read_time(const service& state,
                                   const placement_ask& ask);
  static duration local_read_time(const service& state,
                                  const placement_ask& ask,
                                  const engine* decode);
  duration local_prefill_wait(const service& state, const placement_ask& ask,
                              const engine* decode) const;
  static duration event_interval(const service& state, const engine* decode);
  std::pair<double, double> decode_cost(const service& state,
                                        const engine& candidate,
                                        double in_use) const;
  static duration prefill_time_in_event(const service& state,
                                        const engine& decode, time_point now);
  bool meets_gap_objective(const service& state, const placement_ask& ask,
                           const engine* decode,
                           duration prefill_time_ahead) const;
  bool can_meet_gap_objective(const service& state, const placement_ask& ask,
                              time_point now) const;
  prefill_choice choose_prefill(const service& state, const engine& decode,
                                const placement_ask& ask, time_point now);
  std::optional<prefill_choice> choose_prefill_engine(const service& state,
                                                      const engine& decode,
                                                      const placement_ask& ask,
                                                      time_point now);
  engine* choose_local_prefill(const service& state,
                               const std::vector<engine*>& eligible,
                               const placement_ask& ask, time_point now) const;
  std::optional<placement_grant> place(service& state,
                                       const waiting_request& waiting,
                                       time_point now);
  bool has_decode_engine(const placement_ask& ask, time_point now) const;
  double release_rate(const std::string& name, const service& state,
                      time_point now) const;
  static void expire_arrivals(service& state, time_point now);
  // Counts requests that are more urgent than `urgency`.
  static double fresh_token_rate(service& state, std::int64_t urgency,
                                 time_point now);
  static double expected_held_tokens(const service& state);
  duration min_prefill_wait(const service& state, const placement_ask& ask,
                            time_point now) const;
  duration predicted_wait(const std::string& name, service& state,
                          const waiting_request& waiting, time_point now) const;
  bool place_under_way(service& state, time_point now,
                       std::vector<placement_decision>& out);
  void place_waiting(service& state, time_point now,
                     std::vector<placement_decision>& out);
  bool try_place(service& state, std::uint64_t number, time_point now,
                 std::vector<placement_decision>& out);
  void place_shorter(service& state, urgency_queue& queue, std::uint64_t first,
                     time_point now, std::vector<placement_decision>& out);
  void answer_new_requests(const std::string& name, service& state,
                           time_point now,
                           std::vector<placement_decision>& out);
  void refuse_expired(service& state, time_point now,
                      std::vector<placement_decision>& out);
  void add_answer(service& state, const waiting_request& waiting,
                  time_point now, placement_grant grant,
                  std::vector<placement_decision>& out);
  bool is_resubmitted(service& state, const placement_ask& in, time_point now);
  void remove_request(service& state, std::uint64_t number);
  void remove_lease(const lease_key& key);

  engine_scheduler_options options_;
  engine_limit_hooks limits_;
  std::map<std::string, service> services_;
  std::map<std::string, engine> engines_;  // by id
  std::map<lease_key, lease> leases_;
  std::uint64_t last_number_ = 0;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_ENGINE_SCHEDULER_H_
