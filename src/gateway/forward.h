/// Forwarding of an admitted request: attempts at servers, the response to the
/// caller and the trail of decisions that is logged.
#ifndef CITRONWHARF_GATEWAY_FORWARD_H_
#define CITRONWHARF_GATEWAY_FORWARD_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "gateway/allowance_client.h"
#include "gateway/attempt_policy.h"
#include "gateway/codec.h"
#include "gateway/health_sync.h"
#include "gateway/memory_queue.h"
#include "gateway/placement_client.h"
#include "gateway/prompt_quarantine.h"
#include "gateway/request_identity.h"
#include "gateway/resolution.h"
#include "gateway/retry_budget.h"
#include "gateway/server_end_check.h"
#include "gateway/server_limits.h"
#include "gateway/server_list.h"
#include "gateway/stream_versions.h"
#include "net/http_pool.h"
#include "net/http_server.h"
#include "observe/metrics.h"

namespace citronwharf {

/// Limits the memory used by what is received from servers and kept before it
/// is passed on: whole responses, incomplete events and bodies of errors. Not
/// thread-safe; use from the event loop thread only.
class response_memory_budget {
 public:
  /// Reserves bytes; returns false and reserves nothing when the limit would be
  /// exceeded.
  bool reserve(std::size_t bytes) {
    if (bytes > max_bytes - used_) {
      return false;
    }
    used_ += bytes;
    return true;
  }
  void release(std::size_t bytes) { used_ -= bytes; }

 private:
  // A quarter of the memory of the smallest machines.
  static constexpr std::size_t max_bytes = 20U << 20U;

  std::size_t used_ = 0;
};

/// A part of the budget, which goes back when it is destroyed. Not thread-safe;
/// use from the event loop thread only. Precondition: the budget outlives it.
class memory_reservation {
 public:
  explicit memory_reservation(response_memory_budget& budget)
      : budget_(budget) {}
  ~memory_reservation() { budget_.release(bytes_); }
  memory_reservation(const memory_reservation&) = delete;
  memory_reservation& operator=(const memory_reservation&) = delete;

  /// Changes the size. Returns false, and changes nothing, if the budget is
  /// exhausted.
  bool resize(std::size_t bytes) {
    if (bytes > bytes_ && !budget_.reserve(bytes - bytes_)) {
      return false;
    }
    if (bytes < bytes_) {
      budget_.release(bytes_ - bytes);
    }
    bytes_ = bytes;
    return true;
  }

 private:
  response_memory_budget& budget_;
  std::size_t bytes_ = 0;
};

/// Dependencies shared by all forwarded requests of a gateway; must outlive
/// them. Not thread-safe; use from the event loop thread only.
struct forward_context {
  boost::asio::io_context& loop;
  const gateway_codec& codec;
  http_pool& pool;
  server_list& servers;
  retry_budget& budget;
  metric_registry& metrics;
  placement_client& placement;
  health_sync& health;
  std::map<std::string, memory_queue>& memory_queues;  ///< by service
  std::mt19937_64& random;
  response_memory_budget& response_budget;
  std::string failure_domain;              ///< of this process
  std::function<std::size_t()> processes;  ///< number in the fleet
  /// Returns the time since the configuration was last confirmed as current.
  std::function<duration()> document_age;
  /// Refunds tokens granted to an organisation that were not used.
  std::function<void(const std::string& organisation,
                     const allowance_grant& of)>
      refund;
  prompt_quarantine& quarantine;
  server_end_check& end_check;
  keyed_hash hash;  ///< of identities of requests
  server_limits& limits;
  stream_versions& versions;
  /// Takes requests of the limit that a server named, shared by all gateways.
  /// They may be waited for up to `max_wait`. Calls `done` once, possibly
  /// before returning; `wait` is the time until the server takes more if they
  /// were not granted.
  std::function<void(const std::string& server, double requests,
                     duration max_wait,
                     std::function<void(bool granted, duration wait)> done)>
      take_server_requests;
};

/// A request that passed the admission filters.
struct admitted_request {
  caller_request caller;
  std::unique_ptr<http_exchange> exchange;
  resolution resolved;
  allowance_grant granted;  ///< to the organisation
  time_point received;
  time_point deadline;  ///< the earlier of the caller's and the route's
  std::string trail;    ///< decisions so far, for the log
};

/// Applies what a server states about itself in the headers of any response:
/// its load, that it is shutting down, that it asks for a back-off, its limit,
/// that it is cold.
/// `sent_at` is the time at which the request was sent. Returns the decoded
/// head.
server_answer apply_server_headers(forward_context& context,
                                   const std::string& server,
                                   response_kind kind, time_point sent_at,
                                   const http_response& head);

/// Records that a request could not be sent to a server: it counts as cold when
/// it answers again, if it refused the connection. `status` is that of the
/// call.
void record_unsent(forward_context& context, const std::string& server,
                   const absl::Status& status);

/// Base class for forwarding plain requests and streams. Calls the `ended`
/// callback exactly once, in a later iteration of the event loop.
class request_forwarder {
 public:
  request_forwarder(forward_context& context, admitted_request request);
  virtual ~request_forwarder();
  request_forwarder(const request_forwarder&) = delete;
  request_forwarder& operator=(const request_forwarder&) = delete;

  /// `ended` is called once the request has been answered or abandoned.
  void start(std::function<void()> ended);
  /// Ends the request at `end` if it is still in progress then: the caller gets
  /// a response that says whether the request may have run, or a stream that is
  /// cut off. No server is sent a later deadline.
  void end_by(time_point end);

  /// Returns the parameters of an auxiliary call to a server, which does not
  /// carry the request itself.
  static pooled_call make_pooled_call(const forward_context& context,
                                      const std::string& address);
  /// Makes an auxiliary call and ignores its outcome. Sends nothing to a server
  /// that asked for a back-off.
  static void send_detached(forward_context& context,
                            const listed_server& server,
                            const http_request& request);

 protected:
  /// Starts the first attempt.
  virtual void begin() = 0;
  /// Cancels all outstanding work at servers.
  virtual void stop() = 0;
  /// Called when the deadline has passed.
  virtual void on_deadline();

  /// Appends a decision and its time to the trail.
  void add_to_trail(const std::string& decision);
  /// Refuses a request that has not run anywhere, with a Retry-After. `wait` is
  /// the expected time until a retry can succeed.
  void refuse_not_run(const std::string& reason,
                      std::optional<duration> wait = std::nullopt);
  /// Fails a request that may have run.
  void fail_unknown(int status, const std::string& reason);
  /// Passes a complete response on to the caller.
  void deliver(http_response response, const std::string& reason);
  /// Ends and logs the request. The response to the caller has been completed
  /// or cut off before.
  void finish(int status, const std::string& reason, bool good);
  bool finished() const { return finished_; }

  duration time_left() const;
  /// Returns why the request ends at its deadline.
  const char* deadline_reason() const {
    return ends_with_process_ ? "draining" : "deadline";
  }
  /// Returns the remaining time that a server is sent as its deadline.
  milliseconds server_deadline() const;
  /// Returns the parameters of the call that sends the request to a server.
  pooled_call call_for_request(const std::string& address) const;
  /// Registers that the request is about to be sent to a server that may run
  /// it. Returns false, logs it and registers nothing if the request may run
  /// once and may be running or may have run; then it must not be sent.
  bool begin_attempt(const std::string& server);
  /// Makes an attempt that was sent while an earlier one was running, of a
  /// request that may be repeated, the current one.
  void adopt_attempt(const std::string& server);
  /// The check of begin_attempt() alone.
  bool check_attempt(const std::string& server);
  /// Registers the end of the attempt.
  void end_attempt(const attempt_report& report);
  /// Records a complete response of the last server in the report of the
  /// attempt. Returns how the request ended at that server.
  server_result record_response(const server_answer& answer,
                                attempt_report& report);
  /// Takes one retry to the service from the retry budget. Returns the time at
  /// which it was taken, to be passed to put_back_retry(), or nothing when the
  /// budget is exhausted.
  std::optional<time_point> take_retry();
  void put_back_retry(time_point taken);
  /// Reports the end of a request at a server to the server list and to the
  /// fleet, and logs an ejection.
  void report_result(const std::string& server, std::int64_t tokens,
                     server_result result);
  /// Reports that a server has not answered in time, to the server list and to
  /// the fleet, and logs an ejection. The request goes on there.
  void report_silence(const std::string& server);
  /// Records that the answer of a server was lost before it had gone on.
  void record_answer_lost(const std::string& server,
                          const std::string& address);
  /// Records that a server answered the request, which was sent at `sent_at`.
  void record_answered(time_point sent_at);
  /// Returns whether the request, or a part of its prompt, may have ended a
  /// server that it was sent to.
  bool in_doubt();
  /// Calls `expired` after a span unless the timer is cancelled before.
  void start_timer(runtime_timer& timer, duration span,
                   std::function<void()> expired);

  forward_context& context() { return context_; }
  admitted_request& request() { return request_; }
  const admitted_request& request() const { return request_; }
  const gateway_route& route() const { return request_.resolved.route(); }
  const gateway_service& service() const { return request_.resolved.service(); }
  request_progress progress() const;

  std::int64_t attempts_ = 0;
  std::int64_t possible_executions_ = 0;  // at servers
  std::set<std::string> tried_servers_;   // ids
  std::string last_server_;
  // Set to false on destruction. Shared with callbacks that may run later.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

 private:
  void on_caller_disconnected();
  void log_ejection(const std::string& server, std::optional<duration> span);
  void count_retry(const char* outcome);

  forward_context& context_;
  admitted_request request_;
  runtime_timer deadline_timer_;
  bool may_be_running_ = false;     // at a server, at this moment
  bool ends_with_process_ = false;  // its deadline is that of end_by()
  std::function<void()> on_ended_;
  bool finished_ = false;
};

/// Refunds the allowance of a request that never ran, and adds that to its
/// trail if the leader granted it.
void refund_allowance(const forward_context& context,
                      admitted_request& request);

/// Why a request is not sent to servers.
struct quarantine_refusal {
  const char* reason;
  duration left;  ///< of the quarantine
};

/// Returns why the request must not be sent to a server, since it or a part of
/// its prompt is quarantined, and adds that to its trail; nothing if the
/// request may be sent.
std::optional<quarantine_refusal> find_quarantine(forward_context& context,
                                                  admitted_request& request);

/// Sends a refusal to the caller of a request that was not forwarded, and logs
/// it.
void send_refusal(forward_context& context, admitted_request& request,
                  int status, const std::string& reason,
                  std::optional<duration> retry_after);

/// Create the forwarder of a plain request or of a stream.
std::unique_ptr<request_forwarder> make_plain_forwarder(
    forward_context& context, admitted_request request);
std::unique_ptr<request_forwarder> make_stream_forwarder(
    forward_context& context, admitted_request request);

/// Returns the Retry-After of a refused request: a random part of the remaining
/// time, so that callers do not all return at once and a burst may have passed,
/// but at least `wait`, after which the request can be expected to succeed.
/// Limited to a third of the remaining time, the longest that callers wait.
duration suggest_retry_after(duration wait, duration time_left,
                             std::mt19937_64& random);

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_FORWARD_H_
