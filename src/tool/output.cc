#include "tool/output.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace citronwharf::tool {
namespace {

using nlohmann::json;

std::string text_of(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string describe_faults(const json& faults) {
  std::string out;
  for (const json& fault : faults) {
    out += fmt::format("{}: {}\n", text_of(fault.value("pointer", json(""))),
                       text_of(fault.value("message", json(""))));
  }
  return out;
}

std::string describe_conflict(const json& body) {
  return fmt::format(
      "conflict: the version is now {}; version {} was made by operation {} "
      "of {}\n",
      body.value("version", 0), body.value("winner_version", 0),
      body.value("winner_operation", ""), body.value("winner_author", ""));
}

}  // namespace

exit_code exit_code_of(const admin_answer& answer) {
  switch (answer.status) {
    case 200:
      return exit_code::ok;
    case 400:
      return exit_code::usage;
    case 401:
      return exit_code::unauthorised;
    case 404:
      return exit_code::missing;
    case 409:
      return exit_code::conflict;
    case 422:
      return exit_code::invalid;
    case 504:
      return exit_code::unknown;
    default:
      return exit_code::not_run;
  }
}

std::string describe_change(const admin_answer& answer,
                            const std::string& operation) {
  const json& body = answer.body;
  const std::string outcome =
      body.value("outcome", body.value("error", std::string("done")));
  if (outcome == "changed") {
    return fmt::format("version {}\n", body.value("version", 0));
  }
  if (outcome == "unchanged") {
    return fmt::format("version {}, nothing to change\n",
                       body.value("version", 0));
  }
  if (outcome == "conflict") {
    return describe_conflict(body);
  }
  if (outcome == "invalid") {
    return describe_faults(body.value("faults", json::array()));
  }
  if (outcome == "unknown_outcome") {
    return fmt::format(
        "unknown whether it was done: {}\nrepeat it with --operation={}\n",
        body.value("message", ""), operation);
  }
  const std::string message = body.value("message", "");
  return message.empty() ? outcome + "\n" : outcome + ": " + message + "\n";
}

std::string describe_changes(const json& changes) {
  std::string out;
  for (const auto& [list, items] : changes.items()) {
    if (list == "remove") {
      continue;
    }
    for (const json& item : items) {
      out += fmt::format("+ {} {}\n", list, item.dump());
    }
  }
  const json removed = changes.value("remove", json::object());
  for (const auto& [list, names] : removed.items()) {
    for (const json& name : names) {
      out += fmt::format("- {} {}\n", list, text_of(name));
    }
  }
  return out;
}

std::string describe_table(const json& rows,
                           const std::vector<std::string>& columns) {
  std::vector<std::size_t> widths;
  for (const std::string& column : columns) {
    std::size_t width = column.size();
    for (const json& row : rows) {
      width = std::max(width, text_of(row.value(column, json(""))).size());
    }
    widths.push_back(width);
  }
  std::string out;
  for (std::size_t at = 0; at < columns.size(); ++at) {
    out += fmt::format("{:<{}}  ", columns[at], widths[at]);
  }
  out += '\n';
  for (const json& row : rows) {
    for (std::size_t at = 0; at < columns.size(); ++at) {
      out += fmt::format("{:<{}}  ", text_of(row.value(columns[at], json(""))),
                         widths[at]);
    }
    out += '\n';
  }
  return out;
}

std::string describe_status(const std::string& address, const json& status) {
  std::string out = fmt::format(
      "{}: {} term {} leader {} log {}-{} committed {} version {}\n", address,
      status.value("role", ""), status.value("term", 0),
      status.value("leader", ""), status.value("first_index", 0),
      status.value("last_index", 0), status.value("commit_index", 0),
      status.value("configuration_version", 0));
  if (!status.value("fault", "").empty()) {
    out += fmt::format("  fault: {}\n", status.value("fault", ""));
  }
  return out;
}

}  // namespace citronwharf::tool
