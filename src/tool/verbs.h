/// The verbs of the command-line tool.
#ifndef CITRONWHARF_TOOL_VERBS_H_
#define CITRONWHARF_TOOL_VERBS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tool/admin_client.h"
#include "tool/output.h"

namespace citronwharf::tool {

/// What the flags say.
struct verb_options {
  bool json = false;
  bool partial = false;
  bool undo = false;  ///< endpoint drain: take work again
  std::optional<std::uint64_t> base;
  std::string operation;  ///< "": a new one
  std::string author;
};

/// A verb's output and exit code; errors for people go to `errors`.
struct verb_result {
  exit_code code = exit_code::ok;
  std::string output;
  std::string errors;
};

/// Runs the verb that the words name, as in {"key", "create", "k1", "org"}.
/// One thread at a time.
verb_result run_verb(const admin_client& client, verb_options options,
                     const std::vector<std::string>& words);

/// Returns the list of verbs for --help.
std::string verbs_help();

}  // namespace citronwharf::tool

#endif  // CITRONWHARF_TOOL_VERBS_H_
