/// Finds engines for one generation: the leader's grant or, without a leader,
/// a choice of this gateway's own; then memory that the decode engine holds.
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
  placement_ask ask;  ///< id and wait are filled in with each asking
  engine_profile profile;
  time_point until;  ///< that waiting for memory is of use
};

struct found_engines {
  listed_server decode;
  std::optional<listed_server> prefill;
  std::string hold;  ///< id of the memory that is held, "" without
  time_point hold_until{};
  duration first_event{};  ///< predicted span until then; zero: not known
};

/// Loop's thread only. Preconditions: the context outlives it. A search
/// that is destroyed gives back what it holds.
class engine_search {
 public:
  struct hooks {
    std::function<void(const found_engines&)> found;
    /// Nothing has run; `retry_after` tells when memory is expected.
    std::function<void(const char* reason, std::optional<duration> retry_after)>
        refused;
    std::function<void(const std::string&)>
        add_to_trail;  ///< adds to the trail
  };

  engine_search(forward_context& context, hooks with);
  ~engine_search();
  engine_search(const engine_search&) = delete;
  engine_search& operator=(const engine_search&) = delete;

  /// Starts, or starts again; ends with one call of `found` or `refused`, not
  /// within this call. What was found before is given back.
  void start(engine_need need);
  /// Stops a search that is under way and gives back what it holds.
  void cancel();
  /// The generation ended, having made so many tokens in the span between its
  /// first event and its last.
  void end(std::int64_t output_tokens, duration span);
  /// Takes the hold that was found, to be used for a request.
  std::string take_hold();
  /// Tells the leader, and the list of this gateway, what was seen.
  void observe(const std::string& engine, engine_signal sign);
  /// With what it made of how many tokens, and in which span.
  void observe_speed(const std::string& engine, engine_signal sign,
                     std::int64_t tokens, duration span);

 private:
  void ask_leader();
  void take_grant(const placement_grant& in);
  void choose_alone();
  void reserve(const listed_server& server);
  void on_hold(absl::StatusOr<http_response> response);
  void hold_refused();
  void wait_alone();
  void poll_after(duration span);
  void leave_queue(bool with_memory);
  void succeed();
  void refuse(const char* reason, std::optional<duration> retry_after);
  void drop_hold();
  void drop_lease();
  void arm(duration span, std::function<void()> expired);
  server_criteria make_need(engine_stage stage) const;
  std::int64_t reserved_tokens() const;
  memory_queue& queue();

  forward_context& context_;
  hooks hooks_;
  runtime_timer timer_;
  engine_need need_;
  std::optional<std::uint64_t> lease_;  // id of the ask or claim
  bool granted_ = false;                // by the leader
  found_engines found_;
  std::unique_ptr<http_call> hold_call_;
  listed_server at_hold_;       // that was asked for memory last
  std::set<std::string> full_;  // without memory, this round
  int refusals_ = 0;
  int polls_ = 0;
  std::optional<memory_queue::ticket> ticket_;
  // Shared with handlers that may come after the search is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_ENGINE_SEARCH_H_
