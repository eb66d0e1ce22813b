/// The life of one call to a plain route. A call that may not be repeated is
/// sent again only where it is proved that it did not run.
#ifndef CITRONWHARF_ENTRY_PLAIN_LIFE_H_
#define CITRONWHARF_ENTRY_PLAIN_LIFE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "entry/life_actions.h"

namespace citronwharf {

/// What is fixed for the life of a plain call.
struct plain_work {
  attempt_key key;           ///< attempt 0; the life counts up from it
  std::string organisation;  ///< "" on open routes
  double weight = 1.0;
  std::string service;
  std::string pool;
  std::string method;
  std::string target;
  std::vector<header_field> headers;
  std::string body;
  time_point deadline{};
  bool idempotent = false;
};

struct plain_life_options {
  std::uint32_t most_attempts = 3;
};

/// A deterministic state machine without I/O or clock, as request_life.
class plain_life {
 public:
  plain_life(plain_work work, plain_life_options options, life_hooks hooks);

  /// Precondition: called once, before any event.
  life_actions start(time_point now);
  life_actions on_reply(const std::string& from, const plain_reply& reply,
                        time_point now);
  /// A session came up with `incarnation`, or was lost (0).
  life_actions on_session(const std::string& endpoint,
                          std::uint64_t incarnation, time_point now);
  /// The call to `endpoint` surely never left.
  life_actions on_send_failed(const std::string& endpoint,
                              const attempt_key& key, time_point now);
  life_actions on_cancel(time_point now);
  life_actions on_timer(time_point now);

  time_point wake() const;
  std::vector<held_work> held() const;
  bool finished() const { return stage_ == life_stage::ended; }
  /// Returns whether the service may have run the call or may run it yet.
  bool running() const { return ran_ || stage_ == life_stage::decode; }

 private:
  void try_next(time_point now);
  void not_run_there(time_point now);
  void may_have_run(time_point now);
  void give_up(int status, const char* reason, const char* detail,
               duration retry_after);
  void finish(std::optional<problem> why);
  void clear_place(bool cancel);
  bool pending(const std::string& from, const attempt_key& key) const;
  life_actions take_actions();

  plain_work work_;
  plain_life_options options_;
  life_hooks hooks_;
  life_actions actions_;
  life_stage stage_ = life_stage::idle;
  bool ran_ = false;
  std::uint32_t attempts_ = 0;
  std::string endpoint_;  ///< where the call is, "" when nowhere
  std::uint64_t incarnation_ = 0;
  attempt_key key_;
  std::vector<std::string> excluded_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_PLAIN_LIFE_H_
