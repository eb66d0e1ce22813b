#include "control/document_machine.h"

#include <utility>

namespace citronwharf {

nlohmann::json document_machine::make_command(std::uint64_t version,
                                              std::string text) {
  return {{"kind", kind}, {"version", version}, {"text", std::move(text)}};
}

nlohmann::json document_machine::apply(std::uint64_t /*index*/,
                                       const nlohmann::json& command) {
  ++current_.revision;
  const auto version = command.value("version", std::uint64_t{0});
  const bool accepted = version > current_.version;
  if (accepted) {
    current_.version = version;
    current_.text = command.value("text", "");
  }
  return {{"taken", accepted}, {"version", current_.version}};
}

nlohmann::json document_machine::snapshot() const {
  return current_;
}

void document_machine::restore(const nlohmann::json& state) {
  current_ = state.get<published_document>();
}

}  // namespace citronwharf
