// Endpoint processes, fake engines and a recording entry in one event loop.
#ifndef CITRONWHARF_TEST_ENDPOINT_FIXTURE_H_
#define CITRONWHARF_TEST_ENDPOINT_FIXTURE_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/process_context.h"
#include "endpoint/endpoint_role.h"
#include "fake/engine.h"
#include "fake/service.h"
#include "run-until.h"

namespace citronwharf::test {

/// Returns options of an engine whose steps take a millisecond or two.
fake::engine_options fast_engine_options();

/// One endpoint process: its process context and the role.
struct endpoint_node {
  endpoint_node(boost::asio::io_context& loop, const std::string& name,
                std::uint64_t incarnation, const std::string& engine_address,
                const settings& base);
  std::string address() const;

  settings options;
  peer_hub hub;
  configuration_view view;
  metric_registry metrics;
  tracer traces;
  process_context context;
  std::unique_ptr<process_role> role;
  std::uint16_t port = 0;
};

/// A fake entry process: sends the messages of the test and records those that
/// it receives.
struct entry_node {
  entry_node(boost::asio::io_context& loop, std::uint64_t incarnation);
  /// Returns the key of the request's first attempt.
  attempt_key key(std::uint64_t request, std::uint32_t attempt = 1) const;
  work_header header(std::uint64_t request) const;
  template <typename Message>
  void send(const std::string& to, const Message& message) {
    hub->send(to, make_frame(message)).IgnoreError();
  }

  std::uint64_t incarnation;
  std::unique_ptr<peer_hub> hub;  ///< reset() simulates the end of the process
  std::vector<endpoint_hello> hellos;
  std::vector<reserve_reply> reserve_replies;
  std::vector<prefill_reply> prefill_replies;
  std::vector<plain_reply> plain_replies;
  std::vector<decode_finished> finished_messages;
  std::map<attempt_key, std::string>
      texts;  ///< received tokens, joined in order
  std::map<attempt_key, std::int32_t> next_offsets;
  bool saw_offset_gap = false;  ///< tokens arrived at an unexpected offset
};

/// A prefill, a decode and a plain endpoint, named "prefill-1", "decode-1" and
/// "plain-1", each connected to one entry.
class endpoint_fixture {
 public:
  explicit endpoint_fixture(
      const fake::engine_options& engines = fast_engine_options(),
      const settings& base = {});
  bool run_loop_until(const std::function<bool()>& condition);
  /// Runs the loop for a fixed time, to check that something does not happen.
  void run_for(duration span);
  /// Applies a new configuration in which the named endpoints are `draining`.
  void configure(const std::vector<std::string>& draining);
  /// Restarts an endpoint process: its sessions break and its state is lost.
  void restart(const std::string& name, std::uint64_t incarnation);
  /// Starts the entry process, replacing an earlier one.
  void start_entry(std::uint64_t incarnation);
  endpoint_node& node(const std::string& name) { return *nodes_.at(name); }
  std::uint64_t incarnation(const std::string& name);

  /// Reserves memory for a request, prefills it and sends its decode_request;
  /// returns false if the reservation or the prefill was refused.
  bool start_request(std::uint64_t request, const std::string& prompt,
                     std::int32_t max_tokens);
  /// Returns the first decode_finished for the attempt, or null.
  const decode_finished* find_decode_finished(const attempt_key& key) const;
  bool memory_is_free() const;

  boost::asio::io_context loop;
  fake::engine prefill_engine;
  fake::engine decode_engine;
  fake::service service;
  std::unique_ptr<entry_node> entry;

 private:
  configuration make_configuration(const std::vector<std::string>& draining);
  void start_node(const std::string& name, std::uint64_t incarnation);
  void connect(const std::string& name);

  settings base_;
  std::uint64_t version_ = 0;
  std::map<std::string, std::string> engines_;  // addresses by endpoint
  std::map<std::string, std::unique_ptr<endpoint_node>> nodes_;
};

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_ENDPOINT_FIXTURE_H_
