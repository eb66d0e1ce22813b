// citronwharf: the command-line tool of operators.
#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include "tool/trace_view.h"
#include "tool/verbs.h"

DEFINE_string(admin, "127.0.0.1:7003",
              "admin addresses of control replicas, separated by commas");
DEFINE_string(token_file, "", "file with the operators' bearer token");
DEFINE_bool(json, false, "print JSON");
DEFINE_bool(partial, false, "the document names only what changes");
DEFINE_bool(undo, false, "endpoint drain: let the endpoint take work again");
DEFINE_int64(base, -1, "version that the document builds on");
DEFINE_string(operation, "",
              "identifier of the operation, to repeat it after a lost answer");
DEFINE_string(author, "", "who changes, for the history; default: $USER");
DEFINE_int32(timeout, 10, "seconds to try while there is no leader");

namespace {

using citronwharf::tool::exit_code;

std::string read_token(const std::string& path) {
  std::ifstream file(path);
  const std::string text{std::istreambuf_iterator<char>(file),
                         std::istreambuf_iterator<char>()};
  return std::string(absl::StripAsciiWhitespace(text));
}

std::string author() {
  if (!FLAGS_author.empty()) {
    return FLAGS_author;
  }
  const char* user = std::getenv("USER");
  return user == nullptr ? "" : user;
}

citronwharf::tool::verb_options options_of_flags() {
  citronwharf::tool::verb_options options;
  options.json = FLAGS_json;
  options.partial = FLAGS_partial;
  options.undo = FLAGS_undo;
  options.operation = FLAGS_operation;
  options.author = author();
  if (FLAGS_base >= 0) {
    options.base = static_cast<std::uint64_t>(FLAGS_base);
  }
  return options;
}

// citronwharf trace FILE [TRACE_ID] needs no control replica.
int draw_trace_file(const std::vector<std::string>& words) {
  if (words.size() < 2) {
    std::cerr << "trace needs a FILE\n";
    return static_cast<int>(exit_code::usage);
  }
  std::ifstream file(words[1]);
  const std::string trace_id = words.size() > 2 ? words[2] : "";
  const auto drawn = citronwharf::tool::draw_trace(file, trace_id);
  if (!drawn.ok()) {
    std::cerr << drawn.status().message() << '\n';
    return static_cast<int>(exit_code::usage);
  }
  std::cout << *drawn;
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(citronwharf::tool::verbs_help());
  gflags::SetVersionString(CITRONWHARF_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::vector<std::string> words(argv + 1, argv + argc);
  if (!words.empty() && words[0] == "trace") {
    return draw_trace_file(words);
  }
  const std::string token = read_token(FLAGS_token_file);
  if (token.empty()) {
    std::cerr << "needs --token_file with the operators' token\n";
    return static_cast<int>(exit_code::usage);
  }
  const citronwharf::tool::admin_client client(
      absl::StrSplit(FLAGS_admin, ',', absl::SkipEmpty()), token,
      citronwharf::seconds(FLAGS_timeout));
  if (client.addresses().empty()) {
    std::cerr << "needs --admin with an address\n";
    return static_cast<int>(exit_code::usage);
  }
  const auto result =
      citronwharf::tool::run_verb(client, options_of_flags(), words);
  std::cout << result.output;
  std::cerr << result.errors;
  return static_cast<int>(result.code);
}
