// Endpoint processes, stand-in engines and a recording entry in one loop.
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

/// An engine that works in a millisecond or two.
fake::engine_options quick_engine();

/// One endpoint process: all its shared parts, and the role.
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

/// An entry process as endpoints see it: it sends what a test says and keeps
/// what it gets.
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
  std::unique_ptr<peer_hub> hub;  ///< reset: the process is gone
  std::vector<endpoint_hello> hellos;
  std::vector<reserve_reply> reserved;
  std::vector<prefill_reply> prefilled;
  std::vector<plain_reply> called;
  std::vector<decode_finished> finished;
  std::map<attempt_key, std::string> text;  ///< tokens joined, in order
  std::map<attempt_key, std::int32_t> offset;
  bool gap = false;  ///< tokens came that don't follow the ones before
};

/// A prefill, a decode and a plain endpoint, named "prefill-1", "decode-1" and
/// "plain-1", with sessions to one entry.
class endpoint_fixture {
 public:
  explicit endpoint_fixture(
      const fake::engine_options& engines = quick_engine(),
      const settings& base = {});
  bool until(const std::function<bool()>& holds);
  /// Lets the loop run for a while, to see that something does not happen.
  void run_for(duration span);
  /// Takes a new configuration, with `draining` of the endpoints named.
  void configure(const std::vector<std::string>& draining);
  /// Restarts an endpoint process: sessions break and all it knew is gone.
  void restart(const std::string& name, std::uint64_t incarnation);
  /// Starts the entry process, anew if there was one.
  void start_entry(std::uint64_t incarnation);
  endpoint_node& node(const std::string& name) { return *nodes_.at(name); }
  std::uint64_t incarnation(const std::string& name);

  /// Reserves, prefills and starts the decode of a request; returns whether
  /// the decode was asked for.
  bool start_request(std::uint64_t request, const std::string& prompt,
                     std::int32_t max_tokens);
  /// Returns how many decode_finished came for the attempt.
  const decode_finished* end_of(const attempt_key& key) const;
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
