/// Claims of idempotency keys as a machine of the replicated log: a request
/// with a key runs for one owner, and later tries learn what became of it.
#ifndef CITRONWHARF_ENTRY_CLAIMS_H_
#define CITRONWHARF_ENTRY_CLAIMS_H_

#include <cstdint>
#include <map>
#include <string>

#include "control/state_machine.h"
#include "wire/claim_messages.h"

namespace citronwharf {

/// Commands of the machine; `at_us` is the proposer's wall time. The machine
/// takes the greatest time it has seen, so that it never goes back.
struct claim_command {
  static constexpr const char* kind = "claims";
  claim_request claim;
  std::int64_t at_us = 0;
};
struct finish_command {
  claim_finish finish;
  std::int64_t at_us = 0;
};

/// Returns the commands as the log takes them. Thread-safe.
nlohmann::json to_command(const claim_command& in);
nlohmann::json to_command(const finish_command& in);

struct claims_options {
  std::int64_t retention_us = 24LL * 3600 * 1000000;  ///< of an ended claim
  std::size_t most_claims = 100000;
  std::size_t most_per_organisation = 20000;
  std::size_t most_answer_bytes = 256U << 10U;  ///< of one stored answer
  std::size_t most_stored_bytes = 64U << 20U;   ///< of all of them
};

/// Deterministic; see state_machine. An answer that is too large or had to
/// make room is forgotten, but not its claim: a later try is told "unknown"
/// and never runs a second time while the claim is kept.
class claims final : public state_machine {
 public:
  explicit claims(claims_options options = {}) : options_(options) {}

  /// Returns a claim_reply as JSON.
  nlohmann::json apply(std::uint64_t index,
                       const nlohmann::json& command) override;
  nlohmann::json snapshot() const override;
  void restore(const nlohmann::json& state) override;

  std::size_t size() const { return entries_.size(); }
  std::size_t stored_bytes() const { return stored_bytes_; }

 private:
  enum class phase { running, done, unknown };
  struct entry {
    std::string request_digest;
    std::string owner;
    phase state = phase::running;
    std::int64_t until_us = 0;  ///< running: owner's end; else: of retention
    claimed_answer answer;      ///< phase done
    std::uint64_t index = 0;    ///< of the log, orders the oldest
  };

  claim_reply take(const claim_request& in);
  claim_reply finish(const claim_finish& in, std::uint64_t index);
  claim_reply describe(const entry& in) const;
  void expire();
  void add(const claim_name& name, entry added);
  std::map<claim_name, entry>::iterator remove(
      std::map<claim_name, entry>::iterator at);
  void forget_answer(entry& of);
  void make_room();

  claims_options options_;
  std::int64_t now_us_ = 0;
  std::size_t stored_bytes_ = 0;
  std::map<claim_name, entry> entries_;
  std::map<std::string, std::size_t> per_organisation_;
  std::map<std::uint64_t, claim_name> stored_;    ///< answers by log index
  std::multimap<std::int64_t, claim_name> ends_;  ///< by until_us
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_CLAIMS_H_
