#include "tool/verbs.h"

#include <absl/strings/match.h>
#include <absl/strings/str_join.h>
#include <fmt/format.h>

#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <utility>

#include "base/decode.h"
#include "control/key.h"

namespace citronwharf::tool {
namespace {

using nlohmann::json;
using words = std::vector<std::string>;

// What a verb works with.
struct call_context {
  const admin_client& client;
  const verb_options& options;
};

struct verb {
  words name;
  std::size_t arguments;
  std::string usage;
  std::function<verb_result(const call_context&, const words&)> run;
};

verb_result failed(exit_code code, const std::string& message) {
  return {code, "", message + "\n"};
}

// The answer as JSON, or as `human` says; errors always as describe_change.
verb_result show_answer(const call_context& in, const admin_answer& answer,
                        const std::function<std::string(const json&)>& human) {
  verb_result result;
  result.code = exit_code_of(answer);
  if (in.options.json) {
    result.output = answer.body.dump(2) + "\n";
  } else if (result.code == exit_code::ok) {
    result.output = human(answer.body);
  } else {
    result.errors = describe_change(answer, in.options.operation);
  }
  return result;
}

verb_result show_change(const call_context& in, const admin_answer& answer) {
  return show_answer(in, answer, [&](const json& /*body*/) {
    return describe_change(answer, in.options.operation);
  });
}

// The members that every change carries.
json change_body(const call_context& in) {
  return {{"operation", in.options.operation}, {"author", in.options.author}};
}

absl::StatusOr<json> read_document(const std::string& path) {
  std::ifstream file(path);
  if (path != "-" && !file) {
    return absl::NotFoundError(path + " cannot be read");
  }
  std::istream& in = path == "-" ? std::cin : file;
  const std::string text{std::istreambuf_iterator<char>(in),
                         std::istreambuf_iterator<char>()};
  auto document = parse_json(text);
  if (!document.ok()) {
    return absl::InvalidArgumentError(
        fmt::format("{}: {}", path, std::string(document.status().message())));
  }
  return document;
}

// The body of apply and diff. The base version is that of --base, else the
// one in the document, as `show` printed it.
absl::StatusOr<json> document_body(const call_context& in,
                                   const std::string& path) {
  auto document = read_document(path);
  if (!document.ok()) {
    return document;
  }
  json body = change_body(in);
  body["partial"] = in.options.partial;
  if (in.options.base) {
    body["base"] = *in.options.base;
  } else if (document->is_object() && document->contains("version")) {
    body["base"] = document->at("version");
  }
  body["document"] = *std::move(document);
  return body;
}

verb_result apply(const call_context& in, const words& arguments) {
  auto body = document_body(in, arguments[0]);
  if (!body.ok()) {
    return failed(exit_code::usage, std::string(body.status().message()));
  }
  if (!body->contains("base")) {
    return failed(exit_code::usage,
                  "needs --base=N, or a version in the document");
  }
  return show_change(in, in.client.call("POST", "config", *body));
}

verb_result diff(const call_context& in, const words& arguments) {
  auto body = document_body(in, arguments[0]);
  if (!body.ok()) {
    return failed(exit_code::usage, std::string(body.status().message()));
  }
  const admin_answer answer = in.client.call("POST", "diff", *body);
  if (answer.status != 200) {
    return show_change(in, answer);
  }
  // The outcome that an apply would have decides the exit code.
  const json& result = answer.body.at("result");
  const std::string outcome = result.value("outcome", "");
  verb_result out;
  out.code = outcome == "changed"    ? exit_code::differs
             : outcome == "invalid"  ? exit_code::invalid
             : outcome == "conflict" ? exit_code::conflict
                                     : exit_code::ok;
  if (in.options.json) {
    out.output = answer.body.dump(2) + "\n";
  } else if (out.code == exit_code::differs) {
    out.output = describe_changes(answer.body.at("changes"));
  } else if (out.code != exit_code::ok) {
    out.errors = describe_change({422, result}, "");
  }
  return out;
}

verb_result show(const call_context& in, const words& /*arguments*/) {
  return show_answer(in, in.client.call("GET", "config"),
                     [](const json& body) { return body.dump(2) + "\n"; });
}

verb_result history(const call_context& in, const words& /*arguments*/) {
  return show_answer(
      in, in.client.call("GET", "history"), [](const json& body) {
        return describe_table(body.at("changes"), {"version", "at_ms", "author",
                                                   "operation", "touched"});
      });
}

// The secret is made here and never leaves the desk but as a digest, so that
// a lost answer can be asked for again.
verb_result create_key(const call_context& in, const words& arguments) {
  const std::string secret = make_secret();
  json body = change_body(in);
  body["id"] = arguments[0];
  body["organisation"] = arguments[1];
  body["digest"] = digest_of(secret);
  admin_answer answer = in.client.call("POST", "keys", body);
  // An unknown outcome shows the secret too: the key may be in force.
  if (answer.status == 200 || answer.status == 504) {
    answer.body["secret"] = secret;
  }
  verb_result result = show_answer(
      in, answer, [&](const json& /*body*/) { return secret + "\n"; });
  if (answer.status == 504 && !in.options.json) {
    result.output = secret + "\n";
    result.errors +=
        "see with `key list` whether the key was made; if not, make another\n";
  }
  return result;
}

verb_result withdraw_key(const call_context& in, const words& arguments) {
  return show_change(
      in, in.client.call("POST", "keys/" + arguments[0] + "/withdraw",
                         change_body(in)));
}

verb_result list_keys(const call_context& in, const words& /*arguments*/) {
  return show_answer(in, in.client.call("GET", "keys"), [](const json& body) {
    return describe_table(body.at("keys"), {"id", "organisation", "withdrawn"});
  });
}

verb_result drain_endpoint(const call_context& in, const words& arguments) {
  json body = change_body(in);
  body["draining"] = !in.options.undo;
  return show_change(
      in, in.client.call("POST", "endpoints/" + arguments[0] + "/drain", body));
}

// Asks every address, so that replicas that do not answer are seen.
verb_result status(const call_context& in, const words& /*arguments*/) {
  verb_result result;
  json all = json::object();
  for (const std::string& address : in.client.addresses()) {
    const admin_answer answer = in.client.call_once(address, "GET", "status");
    all[address] = answer.body;
    const exit_code code = exit_code_of(answer);
    if (code == exit_code::ok) {
      result.output += describe_status(address, answer.body);
      continue;
    }
    result.code = code;
    result.errors += address + ": " + describe_change(answer, "");
  }
  if (in.options.json) {
    result.output = all.dump(2) + "\n";
    result.errors.clear();
  }
  return result;
}

verb_result init_replica(const call_context& in, const words& /*arguments*/) {
  return show_change(in,
                     in.client.call_once(in.client.addresses().front(), "POST",
                                         "replica/init", json::object()));
}

verb_result list_replicas(const call_context& in, const words& /*arguments*/) {
  return show_answer(
      in, in.client.call("GET", "replica"), [](const json& body) {
        return describe_table(body.at("members"),
                              {"id", "process", "address", "voter"});
      });
}

verb_result add_replica(const call_context& in, const words& arguments) {
  return show_change(in, in.client.call("POST", "replica/add",
                                        {{"process", arguments[0]},
                                         {"address", arguments[1]}}));
}

verb_result remove_replica(const call_context& in, const words& arguments) {
  return show_change(in, in.client.call("POST", "replica/remove",
                                        {{"replica", arguments[0]}}));
}

verb_result snapshot(const call_context& in, const words& /*arguments*/) {
  return show_change(in,
                     in.client.call_once(in.client.addresses().front(), "POST",
                                         "replica/snapshot", json::object()));
}

const std::vector<verb>& verbs() {
  static const std::vector<verb> list{
      {{"apply"}, 1, "apply FILE [--base=N] [--partial]", apply},
      {{"diff"}, 1, "diff FILE [--base=N] [--partial]", diff},
      {{"show"}, 0, "show", show},
      {{"history"}, 0, "history", history},
      {{"key", "create"}, 2, "key create ID ORGANISATION", create_key},
      {{"key", "withdraw"}, 1, "key withdraw ID", withdraw_key},
      {{"key", "list"}, 0, "key list", list_keys},
      {{"endpoint", "drain"},
       1,
       "endpoint drain NAME [--undo]",
       drain_endpoint},
      {{"status"}, 0, "status", status},
      {{"replica", "init"}, 0, "replica init", init_replica},
      {{"replica", "list"}, 0, "replica list", list_replicas},
      {{"replica", "add"}, 2, "replica add PROCESS ADDRESS", add_replica},
      {{"replica", "remove"}, 1, "replica remove ID", remove_replica},
      {{"snapshot"}, 0, "snapshot", snapshot},
  };
  return list;
}

bool begins_with(const words& given, const words& name) {
  return given.size() >= name.size() &&
         std::equal(name.begin(), name.end(), given.begin());
}

}  // namespace

std::string verbs_help() {
  std::string out = "citronwharf --admin=ADDR[,ADDR...] --token_file=FILE ";
  out += "[--json] VERB\n";
  for (const verb& each : verbs()) {
    out += "  " + each.usage + "\n";
  }
  out += "  trace FILE [TRACE_ID]\n";
  return out;
}

verb_result run_verb(const admin_client& client, verb_options options,
                     const words& given) {
  if (options.operation.empty()) {
    options.operation = make_operation_id();
  }
  for (const verb& each : verbs()) {
    if (!begins_with(given, each.name)) {
      continue;
    }
    const auto skipped = static_cast<std::ptrdiff_t>(each.name.size());
    const words arguments(given.begin() + skipped, given.end());
    if (arguments.size() != each.arguments) {
      return failed(exit_code::usage, "usage: citronwharf " + each.usage);
    }
    return each.run({client, options}, arguments);
  }
  return failed(exit_code::usage, verbs_help());
}

}  // namespace citronwharf::tool
