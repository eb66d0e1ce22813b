#include "deployment.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <utility>

namespace citronwharf::test {
namespace {

constexpr int ok_status = 200;

nlohmann::json quickstart_document() {
  const char* source = std::getenv("CITRONWHARF_SOURCE");
  std::ifstream file(std::string(source == nullptr ? "." : source) +
                     "/examples/quickstart.json");
  return nlohmann::json::parse(file);
}

}  // namespace

deployment::deployment()
    : secret_file_(folder_.write("secret", std::string(64, 's'))),
      token_file_(folder_.write("token", std::string(64, 't'))) {}

std::string deployment::address(const std::string& process,
                                const std::string& port) const {
  return fmt::format(
      "127.0.0.1:{}",
      wait_for_port(folder_.path() + "/" + process + ".ports", port));
}

std::vector<std::string> deployment::addresses(const std::string& port) const {
  std::vector<std::string> port_addresses;
  for (const std::string& vm : vms_) {
    port_addresses.push_back(address(vm, port));
  }
  return port_addresses;
}

void deployment::start_child(const std::string& name,
                             const std::string& program,
                             const program_flags& flags) {
  std::vector<std::string> command{program};
  command.insert(command.end(), flags.begin(), flags.end());
  commands_[name] = command;
  std::error_code ignored;
  std::filesystem::remove(folder_.path() + "/" + name + ".ports", ignored);
  children_.insert_or_assign(
      name,
      child_process(program, flags, folder_.path() + "/" + name + ".log"));
}

void deployment::start_daemon(const std::string& name,
                              const nlohmann::json& settings) {
  nlohmann::json full_settings = {
      {"process", name},
      {"deployment", "test"},
      {"region", "izmir"},
      {"secret_file", secret_file_},
      {"port_file", folder_.path() + "/" + name + ".ports"},
      {"trace", {{"file", folder_.path() + "/" + name + ".trace"}}}};
  full_settings.merge_patch(settings);
  const std::string path = folder_.write(name + ".json", full_settings.dump());
  start_child(name, "citronwharfd", {"--settings=" + path});
  BOOST_REQUIRE_MESSAGE(
      address(name, "peers") != "127.0.0.1:0",
      name + " did not start: " + folder_.read(name + ".log"));
}

void deployment::start_vm(const std::string& name,
                          const std::string& failure_domain) {
  start_daemon(name, {{"roles", {"control", "entry"}},
                      {"failure_domain", failure_domain},
                      {"operator_token_file", token_file_},
                      {"data_folder", folder_.path() + "/" + name + ".data"},
                      {"control", {{"seeds", addresses("peers")}}}});
  vms_.push_back(name);
  const command_result membership =
      vms_.size() == 1 ? tool({"replica", "init"})
                       : tool({"replica", "add", name, address(name, "peers")});
  BOOST_REQUIRE_MESSAGE(membership.code == 0, membership.output);
}

void deployment::start_endpoint(const std::string& name,
                                const std::string& role,
                                const std::string& failure_domain,
                                const program_flags& flags) {
  const std::string engine = "engine-" + name;
  program_flags command_flags = flags;
  command_flags.push_back("--port_file=" + folder_.path() + "/" + engine +
                          ".ports");
  if (role != "plain") {
    command_flags.push_back("--role=" + role);
    command_flags.push_back("--model=teklif");
  }
  start_child(engine, role == "plain" ? "fake_service" : "fake_engine",
              command_flags);
  start_daemon(name, {{"roles", {"endpoint"}},
                      {"failure_domain", failure_domain},
                      {"engine", {{"address", address(engine, "port")}}},
                      {"control", {{"seeds", addresses("peers")}}}});
  endpoints_.push_back({{"name", name},
                        {"address", address(name, "peers")},
                        {"role", role},
                        {"failure_domain", failure_domain}});
}

void deployment::start_endpoints(const program_flags& decode_flags) {
  start_endpoint("prefill-1", "prefill", "izmir-a");
  start_endpoint("prefill-2", "prefill", "izmir-b");
  start_endpoint("decode-1", "decode", "izmir-a", decode_flags);
  start_endpoint("decode-2", "decode", "izmir-b", decode_flags);
  start_endpoint("price-1", "plain", "izmir-a");
}

void deployment::restart(const std::string& process) {
  children_.at(process).kill();
  const std::string ports_file = folder_.path() + "/" + process + ".ports";
  const auto ports = nlohmann::json::parse(folder_.read(process + ".ports"));
  std::vector<std::string> command = commands_.at(process);
  if (command.front() == "citronwharfd") {
    auto settings = nlohmann::json::parse(folder_.read(process + ".json"));
    for (const auto& [name, port] : ports.items()) {
      settings["listen"][name] =
          fmt::format("127.0.0.1:{}", port.get<std::uint16_t>());
    }
    folder_.write(process + ".json", settings.dump());
  } else {
    command.push_back(fmt::format("--listen=127.0.0.1:{}",
                                  ports.at("port").get<std::uint16_t>()));
  }
  start_child(process, command.front(),
              program_flags(command.begin() + 1, command.end()));
  BOOST_REQUIRE_MESSAGE(
      wait_until([&] { return std::filesystem::exists(ports_file); }),
      folder_.read(process + ".log"));
}

command_result deployment::tool(
    const std::vector<std::string>& arguments) const {
  std::string admin_addresses;
  for (const std::string& each : addresses("admin")) {
    admin_addresses += (admin_addresses.empty() ? "" : ",") + each;
  }
  std::vector<std::string> command_line{"--admin=" + admin_addresses,
                                        "--token_file=" + token_file_};
  command_line.insert(command_line.end(), arguments.begin(), arguments.end());
  return run_command(folder_, "citronwharf", command_line);
}

nlohmann::json deployment::configuration() const {
  nlohmann::json document = quickstart_document();
  nlohmann::json endpoints = nlohmann::json::array();
  for (const nlohmann::json& started : endpoints_) {
    for (nlohmann::json each : document["endpoints"]) {
      if (each["name"] == started["name"]) {
        each.merge_patch(started);
        endpoints.push_back(each);
      }
    }
  }
  document["endpoints"] = endpoints;
  document["entries"] = nlohmann::json::array();
  for (const std::string& vm : vms_) {
    document["entries"].push_back({{"name", vm},
                                   {"address", address(vm, "peers")},
                                   {"failure_domain", "izmir-a"}});
  }
  return document;
}

void deployment::apply(const nlohmann::json& document) const {
  const std::string path =
      folder_.write("configuration.json", document.dump(2));
  const command_result current = tool({"--json", "show"});
  BOOST_REQUIRE_MESSAGE(current.code == 0, current.output);
  const auto version =
      nlohmann::json::parse(current.output).value("version", 0);
  const command_result applied =
      tool({"apply", path, fmt::format("--base={}", version)});
  BOOST_REQUIRE_MESSAGE(applied.code == 0, applied.output);
}

std::string deployment::create_key(const std::string& id,
                                   const std::string& organisation) const {
  const command_result created =
      tool({"--json", "key", "create", id, organisation});
  BOOST_REQUIRE_MESSAGE(created.code == 0, created.output);
  return nlohmann::json::parse(created.output).at("secret");
}

absl::StatusOr<http_response> deployment::call(
    const std::string& vm, const http_request& request) const {
  http_call_options options;
  options.address = address(vm, "callers");
  options.idle_timeout = seconds(40);
  return fetch_blocking(options, request);
}

bool deployment::wait_until_ready(const std::string& key) const {
  for (const std::string& vm : vms_) {
    const bool served = wait_until([&] {
      const auto answer = call(vm, summary_request(key, "ready?", 1));
      return answer.ok() && answer->status == ok_status;
    });
    if (!served) {
      return false;
    }
  }
  return true;
}

int deployment::engine_held_requests(const std::string& endpoint) const {
  http_call_options options;
  options.address = address("engine-" + endpoint, "port");
  const auto answer = fetch_blocking(options, {"GET", "/v1/held", {}, "", ""});
  if (!answer.ok()) {
    return -1;
  }
  const auto held = nlohmann::json::parse(answer->body);
  // A finished request stays listed without memory for a while, so that it can
  // be resumed.
  const auto& requests = held.at("requests");
  return static_cast<int>(
      std::count_if(requests.begin(), requests.end(),
                    [](const auto& each) { return each.at("pieces") > 0; }));
}

int deployment::decode_held_requests() const {
  return engine_held_requests("decode-1") + engine_held_requests("decode-2");
}

running_system::running_system(const program_flags& decode_flags) {
  system.start_vm("vm-1", "izmir-a");
  system.start_vm("vm-2", "izmir-b");
  system.start_vm("vm-3", "izmir-c");
  system.start_endpoints(decode_flags);
  system.apply(system.configuration());
  key = system.create_key("k1", "importers");
  BOOST_REQUIRE(system.wait_until_ready(key));
}

std::string streamed_text(const std::string& body) {
  std::string text;
  bool is_complete = false;
  std::size_t at = 0;
  while (at < body.size()) {
    const auto end = body.find("\n\n", at);
    const std::string event = body.substr(at, end - at);
    at = end == std::string::npos ? body.size() : end + 2;
    const auto data = nlohmann::json::parse(
        event.substr(event.find("data: ") + 6), nullptr, false);
    if (event.rfind("event: tokens", 0) == 0) {
      for (const auto& token : data.at("tokens")) {
        text += token.get<std::string>();
      }
    }
    is_complete = is_complete || event.rfind("event: end", 0) == 0;
  }
  return is_complete ? text : "";
}

http_request summary_request(const std::string& key, const std::string& prompt,
                             int max_tokens, bool stream) {
  http_request request;
  request.method = "POST";
  request.target = "/v1/routes/offer-summaries/generate";
  request.headers = {{"Authorization", "Bearer " + key},
                     {"Content-Type", "application/json"}};
  request.body = nlohmann::json{
      {"prompt", prompt},
      {"max_tokens", max_tokens},
      {"stream",
       stream}}.dump();
  return request;
}

}  // namespace citronwharf::test
