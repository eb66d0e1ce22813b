/// Replicated state machine for claims of idempotency keys: a request with a
/// key runs for one owner, and later attempts with that key get its result.
#ifndef CITRONWHARF_ENTRY_CLAIMS_H_
#define CITRONWHARF_ENTRY_CLAIMS_H_

#include <cstdint>
#include <map>
#include <string>

#include "control/state_machine.h"
#include "wire/claim_messages.h"

namespace citronwharf {

/// Commands of the state machine; `at_us` is the proposer's wall time. The
/// state machine uses the latest time that it has seen, so its clock never goes
/// backwards.
struct claim_command {
  static constexpr const char* kind = "claims";
  claim_request claim;
  std::int64_t at_us = 0;
};
struct finish_command {
  claim_finish finish;
  std::int64_t at_us = 0;
};

/// Encodes a command as a log entry. Thread-safe.
nlohmann::json to_command(const claim_command& in);
nlohmann::json to_command(const finish_command& in);

struct claims_options {
  std::int64_t retention_us = 24LL * 3600 * 1000000;  ///< of a finished claim
  std::size_t max_claims = 100000;
  std::size_t max_claims_per_organisation = 20000;
  std::size_t max_answer_bytes = 256U << 10U;  ///< per stored answer
  std::size_t max_stored_bytes = 64U << 20U;   ///< in total
};

/// Deterministic; see state_machine. An answer that exceeds the size limit or
/// was evicted is discarded, but its claim is kept: until the claim expires,
/// later attempts get "unknown" and the request does not run a second time.
class claims final : public state_machine {
 public:
  explicit claims(claims_options options = {}) : options_(options) {}

  /// Returns a claim_reply as JSON.
  nlohmann::json apply(std::uint64_t index,
                       const nlohmann::json& command) override;
  nlohmann::json snapshot() const override;
  void restore(const nlohmann::json& state) override;

  std::size_t size() const { return records_.size(); }
  std::size_t stored_bytes() const { return stored_bytes_; }

 private:
  enum class phase { running, done, unknown };
  struct claim_record {
    std::string request_digest;
    std::string owner;
    phase state = phase::running;
    std::int64_t expires_at_us =
        0;                    ///< of the owner if running, else of retention
    claimed_answer answer;    ///< only in phase done
    std::uint64_t index = 0;  ///< log index of the finish
  };

  claim_reply handle_claim(const claim_request& in);
  claim_reply handle_finish(const claim_finish& in, std::uint64_t index);
  claim_reply make_state_reply(const claim_record& in) const;
  // Running claims whose owner has expired become unknown; finished claims
  // are removed at the end of their retention.
  void expire();
  void add(const claim_name& name, claim_record added);
  std::map<claim_name, claim_record>::iterator remove(
      std::map<claim_name, claim_record>::iterator position);
  void discard_answer(claim_record& record);
  // Discards the answers that finished first until the rest fits into
  // max_stored_bytes.
  void evict_answers();

  claims_options options_;
  std::int64_t now_us_ = 0;
  std::size_t stored_bytes_ = 0;
  std::map<claim_name, claim_record> records_;
  std::map<std::string, std::size_t> claims_per_organisation_;
  std::map<std::uint64_t, claim_name> stored_answers_;  ///< by log index
  std::multimap<std::int64_t, claim_name> expiries_;    ///< by expires_at_us
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_CLAIMS_H_
