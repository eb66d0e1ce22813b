/// Finds the engines for one generation: by a grant of the leader or, without a
/// leader, by a choice of this gateway. Then reserves memory at the decode
/// engine.
#ifndef CITRONWHARF_GATEWAY_ENGINE_SEARCH_H_
#define CITRONWHARF_GATEWAY_ENGINE_SEARCH_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gateway/forward.h"

namespace citronwharf {

struct engine_need {
  placement_ask ask;  ///< id and wait are set for each request
  engine_profile profile;
  time_point until;  ///< latest useful time to get memory
};

struct found_engines {
  listed_server decode;
  std::optional<listed_server> prefill;
  std::string hold;  ///< id of the reserved memory, "" if none
  time_point hold_until{};
  duration first_event{};  ///< predicted time until then; zero: unknown
  /// How long the prefill may take beside a busy neighbour; zero: as predicted.
  duration late_first_event{};
};

/// Not thread-safe; use from the event loop thread only. Preconditions: the
/// context outlives it. The destructor releases what the search holds.
class engine_search {
 public:
  struct hooks {
    std::function<void(const found_engines&)> found;
    /// No engine has run anything; `retry_after` is when memory is expected.
    std::function<void(const char* reason, std::optional<duration> retry_after)>
        refused;
    std::function<void(const std::string&)>
        add_to_trail;  ///< appends to the trail
  };

  engine_search(forward_context& context, hooks callbacks);
  ~engine_search();
  engine_search(const engine_search&) = delete;
  engine_search& operator=(const engine_search&) = delete;

  /// Starts or restarts the search, which ends with one call of `found` or
  /// `refused`, not from within this call. Releases what an earlier search
  /// found.
  void start(engine_need need);
  /// Stops a running search and releases what it holds.
  void cancel();
  /// Ends the generation, which made `output_tokens` in `span`, the time from
  /// its first event to its last.
  void end(std::int64_t output_tokens, duration span);
  /// Returns the id of the hold that was found, for use by a request; the
  /// search no longer releases it.
  std::string take_hold();
  /// Reports an observation to the leader and to the server list of this
  /// gateway.
  void observe(const std::string& engine, engine_signal signal);
  /// Reports that an engine has made an event, if this search reported it as
  /// silent before.
  void end_silence(const std::string& engine);
  /// Reports that the engine processed `tokens` in `span`.
  void observe_speed(const std::string& engine, engine_signal signal,
                     std::int64_t tokens, duration span);

 private:
  void ask_leader();
  void handle_grant(const placement_grant& in);
  void choose_locally();
  void take_requests_locally();
  void try_other_engine();
  void request_hold(const listed_server& server);
  void handle_hold_response(absl::StatusOr<http_response> response);
  void handle_hold_loss(const absl::Status& status, engine_signal signal);
  void handle_hold_refusal();
  bool readmit_silent_engines();
  void wait_for_memory();
  void poll_after(duration span);
  void leave_queue(bool with_memory);
  void report_found();
  void report_refused(const char* reason, std::optional<duration> retry_after);
  void release_hold();
  void release_lease();
  void start_timer(duration span, std::function<void()> expired);
  server_criteria make_need(engine_stage stage) const;
  std::int64_t reserved_tokens() const;
  memory_queue& queue();

  forward_context& context_;
  hooks hooks_;
  runtime_timer timer_;
  engine_need need_;
  std::optional<std::uint64_t> lease_;  // id of the request or claim
  bool granted_ = false;                // by the leader
  found_engines found_;
  std::unique_ptr<http_call> hold_call_;
  listed_server hold_server_;  // last one asked for memory
  time_point hold_sent_at_{};
  std::set<std::string> full_engines_;  // ids, in this round
  // Ids of the engines that are excluded because a hold got no answer in time.
  std::set<std::string> silent_engines_;
  std::string reported_silent_;  // id of the last one, or ""
  int hold_refusals_ = 0;
  int polls_ = 0;
  std::uint64_t number_ = 0;  // of searches; callbacks of earlier ones are void
  std::optional<memory_queue::ticket> ticket_;
  // Checked by handlers that may run after the search is destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_ENGINE_SEARCH_H_
