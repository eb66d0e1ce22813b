/// What the tool prints, for people and as JSON, and its exit codes.
#ifndef CITRONWHARF_TOOL_OUTPUT_H_
#define CITRONWHARF_TOOL_OUTPUT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "tool/admin_client.h"

namespace citronwharf::tool {

/// Exit codes; docs/ADMIN.md lists them.
enum class exit_code {
  ok = 0,
  differs = 1,       ///< diff found changes
  usage = 2,         ///< wrong flags, verbs or files
  invalid = 3,       ///< the document has faults
  conflict = 4,      ///< another change was first, or the name is taken
  not_run = 5,       ///< no replica or leader was reached; nothing was done
  unknown = 6,       ///< it may have been done: repeat with --operation
  unauthorised = 7,  ///< wrong operators' token
  missing = 8        ///< no such item
};

/// Returns the exit code for an answer. Thread-safe.
exit_code exit_code_of(const admin_answer& answer);

/// Prints an answer that is an error or a change for people. Thread-safe.
std::string describe_change(const admin_answer& answer,
                            const std::string& operation);

/// Prints a partial document as lines: + added or changed, - removed.
std::string describe_changes(const nlohmann::json& changes);

/// Prints a list of objects as columns. Thread-safe.
/// Example: describe_table(answer.body["keys"], {"id", "organisation"})
std::string describe_table(const nlohmann::json& rows,
                           const std::vector<std::string>& columns);

/// Prints a replica's status. Thread-safe.
std::string describe_status(const std::string& address,
                            const nlohmann::json& status);

}  // namespace citronwharf::tool

#endif  // CITRONWHARF_TOOL_OUTPUT_H_
