/// What the stand-in engine keeps for each request, and its memory.
#ifndef CITRONWHARF_FAKE_ENGINE_STATE_H_
#define CITRONWHARF_FAKE_ENGINE_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "fake/engine.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace citronwharf::fake {

enum class job_state { queued, prefilling, exported, importing, running, done };

/// Returns the state's name in GET /v1/held.
const char* to_string(job_state state);

/// One request in the engine.
struct job {
  std::string id;
  std::string prompt;
  std::string export_id;
  std::int32_t prompt_tokens = 0;
  std::int32_t max_tokens = 0;
  std::int32_t priority = 0;  ///< lower is more urgent
  std::int32_t pieces = 0;    ///< held now
  std::int32_t generated = 0;
  std::int32_t streamed = 0;  ///< tokens written to `stream`
  std::int32_t cut_after = -1;
  std::string cut_kind;
  std::uint64_t order = 0;  ///< of arrival
  time_point arrived{};
  job_state state = job_state::queued;
  std::unique_ptr<http_exchange> stream;  ///< of the call that waits
  std::unique_ptr<http_call> pull;        ///< of a running import
  std::unique_ptr<runtime_timer> timer;   ///< of expiry
  std::unique_ptr<runtime_timer> sender;  ///< of a transfer out
};

/// Fixed pieces of KV memory. One thread.
class piece_pool {
 public:
  explicit piece_pool(std::int32_t total) : total_(total), free_(total) {}
  /// Takes `pieces` for the job; returns whether they were free.
  bool take(job& holder, std::int32_t pieces);
  /// Frees all that the job holds.
  void give_back(job& holder);
  std::int32_t total() const { return total_; }
  std::int32_t free() const { return free_; }

 private:
  std::int32_t total_;
  std::int32_t free_;
};

/// Caches prompts' prefixes by blocks, least recently used out first, and
/// tells of it late and with gaps. One thread.
class prefix_cache {
 public:
  explicit prefix_cache(const engine_options& options);
  /// Returns how many leading tokens of the prompt were cached, and caches
  /// the whole prompt.
  std::int32_t use(const std::string& prompt, std::int32_t prompt_tokens,
                   time_point now);
  /// Returns the events after sequence number `since` that are out by `now`.
  nlohmann::json events(std::uint64_t since, time_point now) const;

 private:
  struct event {
    std::uint64_t sequence;
    std::string kind;
    std::uint64_t block;
    time_point out;
  };
  void add_event(const std::string& kind, std::uint64_t block, time_point now);
  void evict(time_point now);

  std::size_t max_blocks_;
  std::int32_t block_tokens_;
  duration delay_;
  std::int32_t gap_;
  std::uint64_t uses_ = 0;
  std::uint64_t sequence_ = 0;
  std::map<std::uint64_t, std::uint64_t> last_use_;  // by block
  std::vector<event> events_;
};

/// Faults switched on by tests.
class fault_list {
 public:
  void add(const engine_fault& fault) { faults_.push_back(fault); }
  /// Takes one hit of the first fault at this place; kind "" when none is on.
  engine_fault hit(const std::string& at);

 private:
  std::vector<engine_fault> faults_;
};

}  // namespace citronwharf::fake

#endif  // CITRONWHARF_FAKE_ENGINE_STATE_H_
