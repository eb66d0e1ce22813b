// Runs an entry on loopback sockets, with scripted endpoints as its peers.
#ifndef CITRONWHARF_TEST_CALLER_FIXTURE_H_
#define CITRONWHARF_TEST_CALLER_FIXTURE_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/process_context.h"
#include "control/claim_service.h"
#include "entry/claims.h"
#include "net/http_client.h"
#include "net/peer_hub.h"
#include "wire/request_messages.h"

namespace citronwharf::test {

// A peer that replies like an endpoint; the on_* callbacks override replies.
class scripted_endpoint {
 public:
  scripted_endpoint(boost::asio::io_context& loop, const std::string& name);

  std::string address() const;
  peer_hub& hub() { return *hub_; }
  void send_hello();

  std::string name;
  endpoint_load load;
  std::string received;                     // all frames as JSON text
  std::set<attempt_key> held;               // reserved, exported or running
  std::map<std::string, int> frame_counts;  // by frame type
  // Each returns true to suppress the default reply.
  std::function<bool(const reserve_request&)> on_reserve;
  std::function<bool(const prefill_request&)> on_prefill;
  std::function<bool(const decode_request&, const std::string&)> on_decode;
  std::function<bool(const plain_request&)> on_plain;
  template <typename Message>
  void send(const Message& out) {
    hub_->send("entry-1", make_frame(out)).IgnoreError();
  }
  void send_tokens(const attempt_key& key, const std::string& prompt,
                   std::int32_t from, std::int32_t to);
  void send_end(const attempt_key& key, std::int32_t total,
                failure_reason reason = failure_reason::none);
  static std::map<std::string, std::string>& prompts();  // by export id

 private:
  template <typename Message>
  void record(const Message& in);

  std::unique_ptr<peer_hub> hub_;
  std::uint16_t port_ = 0;
};

// A replica that commits immediately if it is the leader. All instances share
// one claims state machine.
class instant_replica final : public replica {
 public:
  explicit instant_replica(claims& machine) : machine_(machine) {}
  absl::Status open() override { return absl::OkStatus(); }
  absl::Status make_group() override { return absl::OkStatus(); }
  void propose(nlohmann::json command, proposal_done done) override;
  void add_member(const std::string&, const std::string&,
                  std::function<void(absl::Status)>) override {}
  void identify(const std::string&, identity_handler) override {}
  absl::Status add_learner(const replica_member&) override {
    return absl::OkStatus();
  }
  std::set<std::string> silent_members() const override { return {}; }
  void remove_member(const std::string&,
                     std::function<void(absl::Status)>) override {}
  absl::Status take_snapshot() override { return absl::OkStatus(); }
  replica_status status() const override;
  void subscribe(std::function<void()>) override {}

  bool leads = false;
  int unconfirmed_commits = 0;  // next proposals to apply but report as unknown

 private:
  claims& machine_;
  std::uint64_t index_ = 0;
};

// A control process that handles only claims.
struct scripted_control {
  scripted_control(boost::asio::io_context& loop, const std::string& name,
                   claims& machine, process_context& shared);
  std::unique_ptr<peer_hub> hub;
  settings options;
  instant_replica log;
  std::unique_ptr<process_context> process;
  std::unique_ptr<claim_service> service;
};

// A call that is in progress or has ended.
struct caller_call {
  std::unique_ptr<http_call> call;
  bool ended = false;
  bool complete = false;  // ended without a connection failure
  http_response answer;
  std::string header(const char* name) const {
    return find_header(answer.headers, name);
  }
};

class caller_fixture {
 public:
  explicit caller_fixture(const std::function<void(settings&)>& change = {},
                          duration initial_freshness_period = seconds(3600));

  // Starts a call; wait for it with wait_until().
  std::unique_ptr<caller_call> start_call(const http_request& in);
  // Starts a call and waits until it ends.
  std::unique_ptr<caller_call> call_and_wait(const http_request& in);
  bool wait_until(const std::function<bool()>& condition);
  // Applies `desired` and confirms it for `freshness_period`.
  void apply();

  static http_request post(const std::string& target, const std::string& body,
                           const std::string& key = "good");

  duration freshness_period;
  boost::asio::io_context loop;
  settings options;
  configuration_view view;
  metric_registry metrics;
  tracer traces;
  std::unique_ptr<peer_hub> hub;
  std::unique_ptr<process_context> process;
  scripted_endpoint prefill, decode, plain;
  claims machine;
  std::unique_ptr<scripted_control> follower, leader;  // handle claims
  std::unique_ptr<process_role> entry;
  configuration desired;
  std::string address;
};

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_CALLER_FIXTURE_H_
