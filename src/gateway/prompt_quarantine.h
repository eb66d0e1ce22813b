/// Finds the parts of prompts that crash each server that begins to answer
/// them, and single requests that crash each server that begins to run them,
/// from the ends of servers that the gateways of a fleet have seen, and keeps
/// such requests from servers.
#ifndef CITRONWHARF_GATEWAY_PROMPT_QUARANTINE_H_
#define CITRONWHARF_GATEWAY_PROMPT_QUARANTINE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/value.h"
#include "gateway/codec.h"

namespace citronwharf {

/// The end of a server, as gateways exchange it. Carries an age, since the
/// clocks of machines differ.
struct server_end_state {
  std::string server;
  std::int64_t age_ms = 0;
  /// Speaks against no part any more; the lists are empty. Not reset.
  bool explained = false;
  /// Parts of the prompts whose answers had just begun.
  std::vector<std::string> suspects;
  std::vector<std::string> sound;    ///< suspects answered before the end
  std::vector<std::string> cleared;  ///< suspects answered after the end
  /// Identities of the requests that ran. Kept if the end is explained.
  std::vector<std::string> requests;
  /// Requests against which the end no longer speaks: answered after the end,
  /// or quarantined.
  std::vector<std::string> settled;
};
CITRONWHARF_VALUE(server_end_state, server, age_ms, explained, suspects, sound,
                  cleared, requests, settled)

/// The quarantine of a part or of a request, as gateways exchange it.
struct part_quarantine_state {
  /// Or the identity of a request. Parts that can't be told apart are separated
  /// by spaces: only prompts with all of them are refused.
  std::string part;
  std::int64_t count = 0;  ///< how often the part was quarantined
  std::int64_t age_ms = 0;
  bool released = false;
};
CITRONWHARF_VALUE(part_quarantine_state, part, count, age_ms, released)

/// All that a gateway knows. Sent between gateways.
struct quarantine_state {
  static constexpr const char* type_name = "quarantine_state";
  std::vector<server_end_state> ends;
  std::vector<part_quarantine_state> parts;
};
CITRONWHARF_VALUE(quarantine_state, ends, parts)

/// Something to be logged.
struct quarantine_change {
  enum class kind {
    suspected,
    quarantined,
    released,
    dropped,
    suspects_dropped
  };
  kind what = kind::suspected;
  std::string part;
  std::string server;  ///< the last one that ended under it
  /// Ends that speak against the part; 0: not found here. The number of
  /// suspects if these were dropped.
  std::size_t ends = 0;
  std::int64_t span_ms = 0;
};
CITRONWHARF_VALUE(quarantine_change, what, part, server, ends, span_ms)

struct quarantine_options {
  /// Ends of servers that speak against a part before it is quarantined.
  std::size_t min_ends = 4;
  /// Ends of servers that speak against a single request before it is
  /// quarantined. Few share its identity, and each answer clears it.
  std::size_t min_request_ends = 2;
  /// Ends of servers after which a request is not sent to a second server.
  std::size_t doubtful_ends = 2;
  /// The share of all ends that a part has to be a suspect of. In a fault that
  /// ends many servers, each rare part is a suspect of few of them.
  std::size_t min_share_divisor = 3;
  /// Ends this close to each other count as one, unless an answer on a part
  /// that was never answered was lost with each of them: a fault that ends many
  /// servers at once also ends servers that did not run the part.
  duration min_end_distance = milliseconds(100);
  /// Reports of one end by several gateways differ by less than this; servers
  /// need longer to start again.
  duration same_end = seconds(2);
  /// A part that was answered before is only quarantined if the ends span this
  /// time, so that other answers with it had time to go on. Several parts that
  /// can't be told apart wait for this long to be told apart by other gateways;
  /// then prompts with all of them are refused.
  duration min_span = seconds(2);
  /// Gateways hear of an end within this time.
  duration settling_time = milliseconds(150);
  /// How long an answer shows that the part was sound before.
  duration sound_lifetime = seconds(60);
  /// A process that saw fewer answers does not know which parts are sound.
  std::size_t min_answers = 20;
  /// All gateways have reported an end within this time.
  duration settled_after = seconds(10);
  duration end_lifetime = std::chrono::minutes(10);
  duration initial_span = std::chrono::minutes(5);
  duration initial_request_span = seconds(30);
  duration max_span = std::chrono::hours(1);
  std::size_t max_ends = 64;
  std::size_t max_suspects = 8192;  ///< of all ends together
  std::size_t max_requests = 128;   ///< of one end
  std::size_t max_parts = 256;      ///< in quarantine
  std::size_t max_sound_parts = 2048;
};

/// Returns an id that callers chose as a short text without spaces: itself, or
/// its hash if it is long or has other bytes than printable ASCII.
/// Thread-safe.
std::string bounded_id(const std::string& id);

/// Returns the parts of a prompt that other requests may share: the ids of all
/// but the last one, each once. Their number is bounded only by the limit of a
/// request's head. Ids are bounded. Thread-safe.
std::vector<std::string> shared_parts(const std::vector<prompt_part>& prompt);

/// A part is a suspect of an end if an answer on it was lost with the server
/// before it had gone on. Each answer on the part that goes on clears the part
/// of all ends before it. A quarantined part explains the ends of which it is a
/// suspect, so that these no longer speak against other parts. A quarantined
/// request explains all ends under it but one: where many requests end servers,
/// the parts that they share are the likelier cause. Of parts that can't be
/// told apart, only prompts with all of them are refused: prompts with some of
/// them show which are sound, and the quarantine is narrowed to the others.
///
/// Designed for this load: all engines of a service end and start again within
/// seconds while most requests share some of their parts. States of several
/// processes are merged by unions, so the order and number of messages don't
/// matter. Performs no I/O and reads no clock; the caller passes `now`. Not
/// thread-safe.
class prompt_quarantine {
 public:
  explicit prompt_quarantine(quarantine_options options = {})
      : options_(options) {}

  /// Sets the callback for each change of the state that is not due to merge().
  void on_change(std::function<void()> changed) {
    on_change_ = std::move(changed);
  }

  /// Records that an answer on these parts was lost with its server before it
  /// had gone on.
  void record_end(const std::string& server,
                  const std::vector<std::string>& parts, time_point now);
  /// Records that an answer on these parts went on. `began_at` is the time of
  /// its first event.
  void record_progress(const std::vector<std::string>& parts,
                       time_point began_at, time_point now);

  /// Records that a server ended while it ran a request with this identity,
  /// before it had answered.
  void record_request_end(const std::string& server, const std::string& request,
                          time_point now);
  /// Records that a request that was sent at `sent_at` was answered.
  void record_answer(const std::string& request, time_point sent_at,
                     time_point now);
  /// Returns whether the identity of any request is known.
  bool knows_requests() const;
  /// Returns whether anything is known of an identity that begins so.
  bool knows_request(const std::string& prefix) const;

  struct found_part {
    std::string part;
    duration left{};
  };
  /// Returns a quarantined part, parts or request among these.
  std::optional<found_part> find_quarantined(
      const std::vector<std::string>& parts, time_point now);
  /// Returns whether one of these parts, or the request, is suspected so much
  /// that the request should not be sent to a second server.
  bool in_doubt(const std::vector<std::string>& parts) const;
  /// Returns the number of parts in quarantine.
  std::size_t quarantined(time_point now) const;
  /// Returns all that is known; empty lists if nothing is.
  quarantine_state state(time_point now);
  /// Adds what another process knows. Returns whether anything was new.
  bool merge(const quarantine_state& in, time_point now);
  /// Returns the changes since the last call.
  std::vector<quarantine_change> take_changes();

 private:
  struct server_end {
    std::string server;
    time_point at;
    bool explained = false;
    std::set<std::string> suspects;
    std::set<std::string> sound;
    std::set<std::string> cleared;
    std::set<std::string> requests;
    std::set<std::string> settled;
  };
  struct quarantine {
    std::vector<std::string> parts;  // all of them; one, or a request
    bool of_request = false;
    std::int64_t count = 0;
    time_point started_at;
    bool released = false;
  };
  struct suspicion {
    std::string part;
    std::size_t ends = 0;
    time_point first;
    time_point last;
    std::string server;
    bool known_sound = false;
    std::size_t answers = 0;  // seen by this process
  };
  /// Ends of which each is close to the one before.
  struct burst {
    std::vector<const server_end*> ends;
    /// Suspects of all of them that were never answered; known once all
    /// gateways had time to report the ends.
    std::set<std::string> common;
  };
  struct sound_part {
    time_point last;
    std::size_t answers = 0;
  };

  server_end& find_end(const std::string& server, time_point at, bool& changed);
  using part_counts = std::unordered_map<std::string, std::size_t>;
  bool add_suspects(server_end& end, const std::vector<std::string>& parts);
  part_counts count_suspects() const;
  std::size_t make_room(std::size_t missing, const part_counts& counts);
  static bool clear_answered(server_end& end,
                             const std::vector<std::string>& answered);
  bool annotate(server_end& end);
  duration span(const quarantine& of) const;
  bool holds(const quarantine& of, time_point now) const;
  bool on_probation(const quarantine& of, time_point now) const;
  std::vector<burst> find_bursts(time_point until, time_point now) const;
  std::vector<suspicion> suspicions(time_point until, time_point now) const;
  bool is_candidate(const suspicion& of) const;
  bool explain_ends(time_point now);
  bool is_explained_by_request(const server_end& end, time_point now) const;
  bool quarantine_again(time_point now);
  std::size_t count_ends(const std::string& request) const;
  bool quarantine_requests(time_point now);
  void settle(const std::string& request);
  bool start_quarantine(const suspicion& which, time_point now);
  std::vector<suspicion> choose_candidates(time_point now);
  std::vector<suspicion> choose_sound_candidate(time_point now);
  bool evaluate(time_point now);
  void evaluate_later(time_point at) {
    evaluate_at_ = std::min(evaluate_at_, at);
  }
  void expire(time_point now);
  void remember_sound(const std::string& part, time_point began_at);
  bool release_answered(const std::vector<std::string>& parts,
                        time_point began_at, time_point now);
  bool refuses_all_of(const std::string& key, time_point now) const;
  bool has_ended_again(const quarantine& of) const;
  void report_suspects(time_point now);
  void report_merged(const std::string& part, const quarantine& of,
                     time_point now);
  void notify() {
    if (on_change_) {
      on_change_();
    }
  }

  quarantine_options options_;
  std::function<void()> on_change_;
  std::vector<server_end> ends_;                   // by time
  std::map<std::string, quarantine> quarantines_;  // by part or parts
  std::map<std::string, sound_part> sound_parts_;
  std::size_t answers_ = 0;
  std::size_t dropped_suspects_ = 0;  // since the last report
  time_point evaluate_at_ = time_point::max();
  std::set<std::string> reported_suspects_;
  std::vector<quarantine_change> changes_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_PROMPT_QUARANTINE_H_
