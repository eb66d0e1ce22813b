/// Checks documents and configurations, and names every fault by its JSON
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

/// One fault. The pointer leads into the document as the operator sent it.
struct configuration_fault {
  std::string pointer;
  std::string message;
};
CITRONWHARF_VALUE(configuration_fault, pointer, message)

/// Returns the faults of form: unknown names, wrong types, values outside of
/// their bounds, names given twice. Thread-safe.
/// Example: check_document(json{{"routs", {}}}, document_mode::whole)
std::vector<configuration_fault> check_document(const nlohmann::json& document,
                                                document_mode mode);

/// Returns the faults of meaning in `next`, which the document made of
/// `present`: references to what isn't there, members that a kind of route
/// lacks, a withdrawn key that would work again. Precondition: check_document
/// found nothing, and next = merge_document(present, document, mode).
/// Thread-safe.
std::vector<configuration_fault> check_references(
    const configuration& present, const configuration& next,
    const nlohmann::json& document);

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_VALIDATE_H_
