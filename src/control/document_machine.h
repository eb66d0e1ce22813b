/// Replicated state machine that stores the published document.
#ifndef CITRONWHARF_CONTROL_DOCUMENT_MACHINE_H_
#define CITRONWHARF_CONTROL_DOCUMENT_MACHINE_H_

#include <cstdint>
#include <string>

#include "control/state_machine.h"
#include "wire/document_messages.h"

namespace citronwharf {

/// Stores the published document with the highest version. Does not interpret
/// the text, which the proposer has validated. Not thread-safe; use from the
/// event loop thread only.
class document_machine final : public state_machine {
 public:
  static constexpr const char* kind = "document";

  /// Returns the command that publishes a document.
  static nlohmann::json make_command(std::uint64_t version, std::string text);

  /// Every publication increments the revision, even if the stored version is
  /// equal or higher and the document stays unchanged.
  nlohmann::json apply(std::uint64_t index,
                       const nlohmann::json& command) override;
  nlohmann::json snapshot() const override;
  void restore(const nlohmann::json& state) override;

  const published_document& current() const { return current_; }

 private:
  published_document current_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_DOCUMENT_MACHINE_H_
