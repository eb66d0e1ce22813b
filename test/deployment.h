// A minimal complete deployment of real processes, for system tests.
#ifndef CITRONWHARF_TEST_DEPLOYMENT_H_
#define CITRONWHARF_TEST_DEPLOYMENT_H_

#include <map>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "processes.h"

namespace citronwharf::test {

/// Command-line flags of a fake engine or fake service.
using program_flags = std::vector<std::string>;

/// Processes on loopback: VMs with the control and entry roles, and endpoint
/// processes, each with a fake engine or service. Every process can be
/// signalled, killed and restarted on its previous ports.
class deployment {
 public:
  deployment();

  /// Starts a VM with the control and entry roles. The first VM creates the
  /// replica group, later ones join it.
  void start_vm(const std::string& name, const std::string& failure_domain);
  /// Starts a fake engine or service and the endpoint process that uses it.
  /// `role` is prefill, decode or plain.
  void start_endpoint(const std::string& name, const std::string& role,
                      const std::string& failure_domain,
                      const program_flags& flags = {});
  /// Starts the five endpoints of examples/quickstart.json.
  void start_endpoints(const program_flags& decode_flags = {});
  /// Kills a process and starts it again with its settings and previous ports.
  void restart(const std::string& process);
  child_process& process(const std::string& name) { return children_.at(name); }

  /// Runs the command-line tool with the admin addresses of all VMs.
  command_result tool(const std::vector<std::string>& arguments) const;
  /// Returns the quick start configuration, limited to the VMs and endpoints
  /// that were started.
  nlohmann::json configuration() const;
  /// Applies a configuration with the tool; fails the test if it is refused.
  void apply(const nlohmann::json& document) const;
  /// Creates an API key; returns its secret.
  std::string create_key(const std::string& id,
                         const std::string& organisation) const;

  /// Sends one request to the entry of a VM.
  absl::StatusOr<http_response> call(const std::string& vm,
                                     const http_request& request) const;
  /// Waits until every entry serves the quick start's pools route.
  bool wait_until_ready(const std::string& key) const;

  std::string address(const std::string& process,
                      const std::string& port) const;
  /// Returns how many requests hold memory in the fake engine of an endpoint,
  /// -1 if it does not answer.
  int engine_held_requests(const std::string& endpoint) const;
  /// Returns how many requests hold memory in the two fake decode engines.
  int decode_held_requests() const;

  const test_folder& folder() const { return folder_; }
  const std::vector<std::string>& vms() const { return vms_; }

 private:
  void start_daemon(const std::string& name, const nlohmann::json& settings);
  void start_child(const std::string& name, const std::string& program,
                   const program_flags& flags);
  std::vector<std::string> addresses(const std::string& port) const;

  test_folder folder_;
  std::string secret_file_;
  std::string token_file_;
  std::vector<std::string> vms_;
  std::vector<nlohmann::json> endpoints_;  ///< as in the configuration
  std::map<std::string, std::vector<std::string>> commands_;  ///< by process
  std::map<std::string, child_process> children_;  ///< by process name
};

/// Three VMs with the quick start's endpoints and configuration, and an API
/// key.
struct running_system {
  explicit running_system(const program_flags& decode_flags = {});
  deployment system;
  std::string key;
};

/// Returns the text of a streamed answer, "" if the stream ended early.
std::string streamed_text(const std::string& body);

/// Returns a request to the quick start's pools route.
http_request summary_request(const std::string& key, const std::string& prompt,
                             int max_tokens, bool stream = false);

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_DEPLOYMENT_H_
