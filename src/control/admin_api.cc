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

// 503 means that the request was certainly not executed, 504 that it may have
// been.
admin_response to_response(const absl::Status& status) {
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

// Parses the body of a request as an object; an empty body means {}.
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

// The body contains the members of the command that the operator sets; the
// others keep their defaults.
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

void admin_api::handle(const admin_request& request, const done& respond) {
  const auto body = read_body(request.body);
  if (!body.ok()) {
    respond(to_response(body.status()));
    return;
  }
  const std::string method_and_target = request.method + " " + request.target;
  const std::vector<std::string> segments = absl::StrSplit(request.target, '/');
  const bool is_post = request.method == "POST";
  if (method_and_target == "GET status" || method_and_target == "GET replica") {
    respond(status());
  } else if (method_and_target == "GET config") {
    read([this] { return json(machine_.current()); }, respond);
  } else if (method_and_target == "POST config") {
    apply(*body, respond);
  } else if (method_and_target == "POST diff") {
    diff(*body, respond);
  } else if (method_and_target == "GET history") {
    read([this] { return json{{"changes", machine_.history()}}; }, respond);
  } else if (method_and_target == "GET keys") {
    read([this] { return keys(); }, respond);
  } else if (method_and_target == "POST keys") {
    create_key(*body, respond);
  } else if (is_post && segments.size() == 3 && segments[0] == "keys" &&
             segments[2] == "withdraw") {
    withdraw_key(segments[1], *body, respond);
  } else if (is_post && segments.size() == 3 && segments[0] == "endpoints" &&
             segments[2] == "drain") {
    drain_endpoint(segments[1], *body, respond);
  } else if (method_and_target == "POST replica/init") {
    respond(to_response(log_.make_group()));
  } else if (method_and_target == "POST replica/snapshot") {
    respond(to_response(log_.take_snapshot()));
  } else if (method_and_target == "POST replica/add") {
    add_replica(*body, respond);
  } else if (method_and_target == "POST replica/remove") {
    remove_replica(*body, respond);
  } else {
    respond(
        admin_error(404, "not_found", "no such call: " + method_and_target));
  }
}

void admin_api::change(const configuration_command& command,
                       const done& respond) {
  if (command.operation.empty()) {
    respond(admin_error(400, "malformed", "needs an operation identifier"));
    return;
  }
  json proposal = command;
  proposal["kind"] = configuration_command::kind;
  log_.propose(
      std::move(proposal),
      [respond](const absl::StatusOr<proposal_result>& proposed) {
        if (!proposed.ok()) {
          respond(to_response(proposed.status()));
          return;
        }
        const auto result = decode_value<change_result>(proposed->result);
        respond(result.ok()
                    ? admin_response{http_status_of(result->outcome), *result}
                    : to_response(result.status()));
      });
}

// Linearizable read: waits for a barrier in the log, so that the response
// includes every change that was answered before the read began, even if this
// leader was deposed without knowing it.
void admin_api::read(const std::function<json()>& make_body,
                     const done& respond) {
  log_.propose(
      {{"kind", "barrier"}},
      [make_body, respond](const absl::StatusOr<proposal_result>& barrier) {
        respond(barrier.ok() ? admin_response{200, make_body()}
                             : to_response(barrier.status()));
      });
}

void admin_api::apply(const json& body, const done& respond) {
  auto command = read_command(body);
  if (!command.ok()) {
    respond(to_response(command.status()));
    return;
  }
  if (!command->base) {
    respond(admin_error(400, "malformed", "needs the base version"));
    return;
  }
  change(*command, respond);
}

void admin_api::diff(const json& body, const done& respond) {
  const auto command = read_command(body);
  if (!command.ok()) {
    respond(to_response(command.status()));
    return;
  }
  read([this, command = *command] { return json(machine_.preview(command)); },
       respond);
}

void admin_api::create_key(const json& body, const done& respond) {
  auto command = read_command(body);
  const auto key = decode_value<api_key>(body);
  if (!command.ok() || !key.ok() || key->id.empty() || key->digest.empty()) {
    respond(admin_error(400, "malformed", "needs id, organisation, digest"));
    return;
  }
  command->partial = true;
  command->create = true;
  command->document = {{"keys", {*key}}};
  change(*command, respond);
}

void admin_api::withdraw_key(const std::string& id, const json& body,
                             const done& respond) {
  auto command = read_command(body);
  if (!command.ok()) {
    respond(to_response(command.status()));
    return;
  }
  command->partial = true;
  command->update = true;
  command->document = {{"keys", {{{"id", id}, {"withdrawn", true}}}}};
  change(*command, respond);
}

void admin_api::drain_endpoint(const std::string& name, const json& body,
                               const done& respond) {
  auto command = read_command(body);
  const json draining = body.value("draining", json(true));
  if (!command.ok() || !draining.is_boolean()) {
    respond(admin_error(400, "malformed", "draining has to be a boolean"));
    return;
  }
  command->partial = true;
  command->update = true;
  command->document = {
      {"endpoints", {{{"name", name}, {"draining", draining}}}}};
  change(*command, respond);
}

void admin_api::add_replica(const json& body, const done& respond) {
  const auto member = decode_value<std::map<std::string, std::string>>(body);
  if (!member.ok() || member->count("process") == 0 ||
      member->count("address") == 0) {
    respond(admin_error(400, "malformed", "needs process and address"));
    return;
  }
  log_.add_member(
      member->at("process"), member->at("address"),
      [respond](const absl::Status& added) { respond(to_response(added)); });
}

// Accepts the replica's id, or the name of its process if that is unambiguous.
void admin_api::remove_replica(const json& body, const done& respond) {
  const auto named = decode_value<std::map<std::string, std::string>>(body);
  const auto found = named.ok()
                         ? named->find("replica")
                         : std::map<std::string, std::string>::const_iterator{};
  if (!named.ok() || found == named->end()) {
    respond(admin_error(400, "malformed", "needs replica"));
    return;
  }
  std::vector<std::string> ids;
  for (const replica_member& member : log_.status().members) {
    if (member.id == found->second || member.process == found->second) {
      ids.push_back(member.id);
    }
  }
  if (ids.size() != 1) {
    respond(admin_error(ids.empty() ? 404 : 409, "not_found",
                        "name one replica by its id"));
    return;
  }
  log_.remove_member(ids.front(), [respond](const absl::Status& removed) {
    respond(to_response(removed));
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
