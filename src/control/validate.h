/// Validates documents and configurations; reports every fault with its JSON
/// pointer.
#ifndef CITRONWHARF_CONTROL_VALIDATE_H_
#define CITRONWHARF_CONTROL_VALIDATE_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/value.h"
#include "citronwharf/configuration.h"
#include "control/configuration_document.h"

namespace citronwharf {

/// The pointer refers to the document as the operator sent it.
struct configuration_fault {
  std::string pointer;
  std::string message;
};
CITRONWHARF_VALUE(configuration_fault, pointer, message)

/// Returns the schema faults: unknown names, wrong types, values out of range,
/// duplicate names. Thread-safe.
/// Example: check_document(json{{"routs", {}}}, document_mode::whole)
std::vector<configuration_fault> check_document(const nlohmann::json& document,
                                                document_mode mode);

/// Returns the semantic faults of `next`, the result of applying the document
/// to `present`: dangling references, members that are missing or not allowed
/// for a kind of route, reactivation of a withdrawn key. Precondition:
/// check_document found nothing, and next = merge_document(present, document,
/// mode). Thread-safe.
std::vector<configuration_fault> check_references(
    const configuration& present, const configuration& next,
    const nlohmann::json& document);

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_VALIDATE_H_
