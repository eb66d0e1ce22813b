#include "control/admin_api.h"

#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "base/decode.h"

namespace citronwharf {
namespace {

using nlohmann::json;

std::int64_t wall_milliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

int http_status_of(change_outcome outcome) {
  switch (outcome) {
    case change_outcome::changed:
    case change_outcome::unchanged:
      return 200;
    case change_outcome::conflict:
    case change_outcome::exists:
    case change_outcome::operation_reused:
      return 409;
    case change_outcome::invalid:
      return 422;
    case change_outcome::missing:
      return 404;
    case change_outcome::malformed:
      break;
  }
  return 400;
}

// Says whether the request was surely not run (503), or may have been (504).
admin_response answer_to(const absl::Status& status) {
  const std::string message(status.message());
  switch (status.code()) {
    case absl::StatusCode::kOk:
      return {200, json::object()};
    case absl::StatusCode::kUnavailable:
      return admin_error(503, "not_leader", message);
    case absl::StatusCode::kFailedPrecondition:
    case absl::StatusCode::kAlreadyExists:
      return admin_error(409, "not_possible", message);
    case absl::StatusCode::kNotFound:
      return admin_error(404, "not_found", message);
    case absl::StatusCode::kInvalidArgument:
      return admin_error(400, "malformed", message);
    default:
      return admin_error(504, "unknown_outcome", message);
  }
}

// The body of a request as an object; an empty one stands for {}.
absl::StatusOr<json> read_body(const std::string& text) {
  if (text.empty()) {
    return json::object();
  }
  auto body = parse_json(text);
  if (body.ok() && !body->is_object()) {
    return absl::InvalidArgumentError("the body has to be an object");
  }
  return body;
}

// Bodies are the members of a command that an operator gives.
absl::StatusOr<configuration_command> read_command(const json& body) {
  json whole = configuration_command{};
  whole.update(body);
  auto command = decode_value<configuration_command>(whole);
  if (command.ok()) {
    command->at_ms = wall_milliseconds();
  }
  return command;
}

}  // namespace

admin_response admin_error(int status, const std::string& error,
                           const std::string& message) {
  return {status, {{"error", error}, {"message", message}}};
}

bool admin_api::answered_anywhere(const admin_request& request) {
  const std::string& target = request.target;
  return target == "status" || target == "replica" ||
         target == "replica/init" || target == "replica/snapshot";
}

void admin_api::handle(const admin_request& request, const done& answer) {
  const auto body = read_body(request.body);
  if (!body.ok()) {
    answer(answer_to(body.status()));
    return;
  }
  const std::string call = request.method + " " + request.target;
  const std::vector<std::string> steps = absl::StrSplit(request.target, '/');
  const bool posted = request.method == "POST";
  if (call == "GET status" || call == "GET replica") {
    answer(status());
  } else if (call == "GET config") {
    read([this] { return json(machine_.current()); }, answer);
  } else if (call == "POST config") {
    apply(*body, answer);
  } else if (call == "POST diff") {
    diff(*body, answer);
  } else if (call == "GET history") {
    read([this] { return json{{"changes", machine_.history()}}; }, answer);
  } else if (call == "GET keys") {
    read([this] { return keys(); }, answer);
  } else if (call == "POST keys") {
    create_key(*body, answer);
  } else if (posted && steps.size() == 3 && steps[0] == "keys" &&
             steps[2] == "withdraw") {
    withdraw_key(steps[1], *body, answer);
  } else if (posted && steps.size() == 3 && steps[0] == "endpoints" &&
             steps[2] == "drain") {
    drain_endpoint(steps[1], *body, answer);
  } else if (call == "POST replica/init") {
    answer(answer_to(log_.make_group()));
  } else if (call == "POST replica/snapshot") {
    answer(answer_to(log_.take_snapshot()));
  } else if (call == "POST replica/add") {
    add_replica(*body, answer);
  } else if (call == "POST replica/remove") {
    remove_replica(*body, answer);
  } else {
    answer(admin_error(404, "not_found", "no such call: " + call));
  }
}

void admin_api::change(const configuration_command& command,
                       const done& answer) {
  if (command.operation.empty()) {
    answer(admin_error(400, "malformed", "needs an operation identifier"));
    return;
  }
  json proposal = command;
  proposal["kind"] = configuration_command::kind;
  log_.propose(
      std::move(proposal),
      [answer](const absl::StatusOr<proposal_result>& done_with) {
        if (!done_with.ok()) {
          answer(answer_to(done_with.status()));
          return;
        }
        const auto result = decode_value<change_result>(done_with->result);
        answer(result.ok()
                   ? admin_response{http_status_of(result->outcome), *result}
                   : answer_to(result.status()));
      });
}

// A read waits for a barrier in the log, so that it shows every change that
// was answered before it began, also when this leader was deposed unknowingly.
void admin_api::read(const std::function<json()>& make, const done& answer) {
  log_.propose({{"kind", "barrier"}},
               [make, answer](const absl::StatusOr<proposal_result>& passed) {
                 answer(passed.ok() ? admin_response{200, make()}
                                    : answer_to(passed.status()));
               });
}

void admin_api::apply(const json& body, const done& answer) {
  auto command = read_command(body);
  if (!command.ok()) {
    answer(answer_to(command.status()));
    return;
  }
  if (!command->base) {
    answer(admin_error(400, "malformed", "needs the base version"));
    return;
  }
  change(*command, answer);
}

void admin_api::diff(const json& body, const done& answer) {
  const auto command = read_command(body);
  if (!command.ok()) {
    answer(answer_to(command.status()));
    return;
  }
  read([this, command = *command] { return json(machine_.preview(command)); },
       answer);
}

void admin_api::create_key(const json& body, const done& answer) {
  auto command = read_command(body);
  const auto key = decode_value<api_key>(body);
  if (!command.ok() || !key.ok() || key->id.empty() || key->digest.empty()) {
    answer(admin_error(400, "malformed", "needs id, organisation, digest"));
    return;
  }
  command->partial = true;
  command->create = true;
  command->document = {{"keys", {*key}}};
  change(*command, answer);
}

void admin_api::withdraw_key(const std::string& id, const json& body,
                             const done& answer) {
  auto command = read_command(body);
  if (!command.ok()) {
    answer(answer_to(command.status()));
    return;
  }
  command->partial = true;
  command->update = true;
  command->document = {{"keys", {{{"id", id}, {"withdrawn", true}}}}};
  change(*command, answer);
}

void admin_api::drain_endpoint(const std::string& name, const json& body,
                               const done& answer) {
  auto command = read_command(body);
  const json draining = body.value("draining", json(true));
  if (!command.ok() || !draining.is_boolean()) {
    answer(admin_error(400, "malformed", "draining has to be a boolean"));
    return;
  }
  command->partial = true;
  command->update = true;
  command->document = {
      {"endpoints", {{{"name", name}, {"draining", draining}}}}};
  change(*command, answer);
}

void admin_api::add_replica(const json& body, const done& answer) {
  const auto member = decode_value<std::map<std::string, std::string>>(body);
  if (!member.ok() || member->count("process") == 0 ||
      member->count("address") == 0) {
    answer(admin_error(400, "malformed", "needs process and address"));
    return;
  }
  log_.add_member(
      member->at("process"), member->at("address"),
      [answer](const absl::Status& added) { answer(answer_to(added)); });
}

// Takes the replica's id, or the name of its process when that is not
// ambiguous.
void admin_api::remove_replica(const json& body, const done& answer) {
  const auto named = decode_value<std::map<std::string, std::string>>(body);
  const auto found = named.ok()
                         ? named->find("replica")
                         : std::map<std::string, std::string>::const_iterator{};
  if (!named.ok() || found == named->end()) {
    answer(admin_error(400, "malformed", "needs replica"));
    return;
  }
  std::vector<std::string> ids;
  for (const replica_member& member : log_.status().members) {
    if (member.id == found->second || member.process == found->second) {
      ids.push_back(member.id);
    }
  }
  if (ids.size() != 1) {
    answer(admin_error(ids.empty() ? 404 : 409, "not_found",
                       "name one replica by its id"));
    return;
  }
  log_.remove_member(ids.front(), [answer](const absl::Status& removed) {
    answer(answer_to(removed));
  });
}

admin_response admin_api::status() const {
  json body = log_.status();
  body["configuration_version"] = machine_.current().version;
  return {200, std::move(body)};
}

json admin_api::keys() const {
  json list = json::array();
  for (const api_key& key : machine_.current().keys) {
    list.push_back({{"id", key.id},
                    {"organisation", key.organisation},
                    {"withdrawn", key.withdrawn}});
  }
  return {{"keys", std::move(list)}};
}

}  // namespace citronwharf
