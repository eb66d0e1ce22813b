/// Test processes for configuration distribution in one event loop: control
/// replicas on an in-memory log, and processes that follow them over real
/// sessions.
#ifndef CITRONWHARF_TEST_CONTROL_NODE_H_
#define CITRONWHARF_TEST_CONTROL_NODE_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "control/configuration_machine.h"
#include "control/configuration_source.h"
#include "control/control_role.h"
#include "memory-replica.h"

namespace citronwharf::test {

/// Components that every process has. Not thread-safe; use from the event
/// loop thread only.
class process_node {
 public:
  process_node(boost::asio::io_context& loop, const std::string& name,
               std::vector<std::string> seeds);

  std::string address() const;
  /// Starts to follow the configuration of the control replicas.
  void follow() { follower_ = make_configuration_follower(*context_); }
  /// Closes all sessions permanently, as when a VM is partitioned.
  void close_sessions() { peers_->close(); }
  bool fresh() const { return view_.fresh(runtime_clock::now()); }
  std::uint64_t version() const { return view_.current()->version; }

  process_context& context() { return *context_; }
  configuration_view& view() { return view_; }

 private:
  settings options_;
  configuration_view view_;
  metric_registry metrics_;
  tracer traces_;
  std::unique_ptr<peer_hub> peers_;
  std::uint16_t port_ = 0;
  std::unique_ptr<process_context> context_;
  std::unique_ptr<configuration_follower> follower_;
};

/// Control replica whose log the test controls. Not thread-safe; use from the
/// event loop thread only.
class control_node {
 public:
  control_node(boost::asio::io_context& loop, const std::string& name);

  /// Syncs and applies a change on this replica.
  void commit(const nlohmann::json& command);

  process_node process;
  configuration_machine machine;
  memory_replica log;

 private:
  configuration_source source_;
};

/// Sets these nodes as the voters, on each of them.
void make_group(const std::vector<control_node*>& nodes);

/// Returns a configuration command that sets a weight, based on version `base`.
nlohmann::json weight_command(std::uint64_t base, double weight);

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_CONTROL_NODE_H_
