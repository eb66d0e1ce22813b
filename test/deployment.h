// The smallest whole system in real processes, for tests of the whole path.
#ifndef CITRONWHARF_TEST_DEPLOYMENT_H_
#define CITRONWHARF_TEST_DEPLOYMENT_H_

#include <map>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "processes.h"

namespace citronwharf::test {

/// Flags of a stand-in engine or service.
using program_flags = std::vector<std::string>;

/// Processes on loopback: VMs with control and entry, endpoint processes with
/// stand-ins beside them. Each process can be signalled, killed and restarted
/// on the ports that it had.
class deployment {
 public:
  deployment();

  /// Starts a VM with control and entry; the first makes the group, others
  /// join it.
  void start_vm(const std::string& name, const std::string& domain);
  /// Starts a stand-in and the endpoint process beside it. `role` is prefill,
  /// decode or plain.
  void start_endpoint(const std::string& name, const std::string& role,
                      const std::string& domain,
                      const program_flags& flags = {});
  /// Starts the five endpoints of the quick start.
  void start_endpoints(const program_flags& decode_flags = {});
  /// Starts a process again, with its settings and its former ports.
  void restart(const std::string& process);
  child_process& process(const std::string& name) { return children_.at(name); }

  /// Runs the tool against all VMs.
  command_result tool(const std::vector<std::string>& arguments) const;
  /// Returns the configuration of the quick start for what was started.
  nlohmann::json configuration() const;
  /// Applies a document with the tool; fails the test when refused.
  void apply(const nlohmann::json& document) const;
  /// Creates a key; returns its secret.
  std::string create_key(const std::string& id,
                         const std::string& organisation) const;

  /// Sends one request to the entry of a VM.
  absl::StatusOr<http_response> call(const std::string& vm,
                                     const http_request& request) const;
  /// Waits until every entry serves the summaries route.
  bool wait_served(const std::string& key) const;

  std::string address(const std::string& process,
                      const std::string& port) const;
  /// Returns how many requests hold memory in the stand-in beside an endpoint,
  /// -1 when
  /// it doesn't answer.
  int engine_holds(const std::string& endpoint) const;
  /// Returns how many requests the two decode stand-ins hold together.
  int decode_holds() const;

  const run_folder& folder() const { return folder_; }
  const std::vector<std::string>& vms() const { return vms_; }

 private:
  void start_daemon(const std::string& name, const nlohmann::json& settings);
  void start_child(const std::string& name, const std::string& program,
                   const program_flags& flags);
  std::vector<std::string> addresses(const std::string& port) const;

  run_folder folder_;
  std::string secret_file_;
  std::string token_file_;
  std::vector<std::string> vms_;
  std::vector<nlohmann::json> endpoints_;
  std::map<std::string, std::vector<std::string>> commands_;
  std::map<std::string, child_process> children_;
};

/// Three VMs, the quick start's endpoints and configuration, and a key.
struct running_system {
  explicit running_system(const program_flags& decode_flags = {});
  deployment system;
  std::string key;
};

/// Returns the text of a streamed answer, "" unless it ended whole.
std::string streamed_text(const std::string& body);

/// A summary request for the quick start's pools route.
http_request summary_request(const std::string& key, const std::string& prompt,
                             int max_tokens, bool stream = false);

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_DEPLOYMENT_H_
