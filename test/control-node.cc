#include "control-node.h"

#include <glog/logging.h>

#include <utility>

#include "configuration-samples.h"

namespace citronwharf::test {
namespace {

std::uint64_t next_incarnation() {
  static std::uint64_t last = 0;
  return ++last;
}

settings make_settings(const std::string& name,
                       std::vector<std::string> seeds) {
  settings out;
  out.process = name;
  out.deployment = "test";
  out.control.seeds = std::move(seeds);
  return out;
}

}  // namespace

process_node::process_node(boost::asio::io_context& loop,
                           const std::string& name,
                           std::vector<std::string> seeds)
    : options_(make_settings(name, std::move(seeds))),
      traces_(loop, tracer_options{}) {
  const std::uint64_t incarnation = next_incarnation();
  peer_hub_options hub;
  hub.self = {name, incarnation};
  hub.deployment = options_.deployment;
  hub.secret = std::string(32, 's');
  peers_ = std::make_unique<peer_hub>(loop, hub);
  const auto port = peers_->listen();
  CHECK(port.ok());
  port_ = *port;
  context_ = std::make_unique<process_context>(process_context{
      loop, options_, incarnation, *peers_, view_, metrics_, traces_});
}

std::string process_node::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

control_node::control_node(boost::asio::io_context& loop,
                           const std::string& name)
    : process(loop, name, {}),
      log({{configuration_command::kind, &machine}}),
      source_(process.context(), log, machine) {
  log.set_status("id-" + name, "follower", "", {});
}

void control_node::commit(const nlohmann::json& command) {
  log.sync(command);
  log.apply_next();
}

void make_group(const std::vector<control_node*>& nodes) {
  std::vector<replica_member> members;
  for (control_node* node : nodes) {
    const std::string name = node->process.context().options.process;
    members.push_back({"id-" + name, name, node->process.address(), true});
  }
  for (control_node* node : nodes) {
    const std::string name = node->process.context().options.process;
    node->log.set_status("id-" + name, "follower", "", members);
  }
}

nlohmann::json weight_command(std::uint64_t base, double weight) {
  nlohmann::json command = apply_command("weight-" + std::to_string(base), base,
                                         weight_document(weight), true);
  command["kind"] = configuration_command::kind;
  return command;
}

}  // namespace citronwharf::test
