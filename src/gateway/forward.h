/// A request on its way through a gateway: attempts at servers, the response
/// to the caller, the trail of decisions.
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
#include "gateway/resolution.h"
#include "gateway/retry_budget.h"
#include "gateway/server_list.h"
#include "net/http_pool.h"
#include "net/http_server.h"
#include "observe/metrics.h"

namespace citronwharf {

/// Memory for responses that are read whole before they are passed on. One
/// thread.
class response_memory {
 public:
  /// Takes room for bytes; false, and takes none, when there isn't enough.
  bool take(std::size_t bytes) {
    if (bytes > max_bytes - used_) {
      return false;
    }
    used_ += bytes;
    return true;
  }
  void give_back(std::size_t bytes) { used_ -= bytes; }

 private:
  // A quarter of the smallest machines' memory.
  static constexpr std::size_t max_bytes = 20U << 20U;

  std::size_t used_ = 0;
};

/// What requests of a gateway share. Outlives them; loop's thread only.
struct forward_environment {
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
  response_memory& responses;
  std::string failure_domain;              ///< of this process
  std::function<std::size_t()> processes;  ///< of the fleet
  std::function<duration()> document_age;  ///< since it was last confirmed
  /// Gives back what an organisation was granted.
  std::function<void(const std::string& organisation,
                     const allowance_grant& of)>
      give_back;
};

/// A request that passed the filters.
struct admitted_request {
  caller_request caller;
  std::unique_ptr<http_exchange> exchange;
  resolution resolved;
  allowance_grant granted;  ///< to its organisation
  time_point received;
  time_point deadline;  ///< of the caller and the route, the earlier one
  std::string trail;    ///< decisions so far
};

/// Takes what a server says of itself in any response: its load, that it
/// leaves, that it wants to be spared. Returns the decoded head.
server_answer take_signs(forward_environment& environment,
                         const std::string& server, const http_response& head);

/// Common part of plain requests and streams. It ends by calling the `ended`
/// hook once, in a later turn of the loop.
class forward {
 public:
  forward(forward_environment& environment, admitted_request request);
  virtual ~forward();
  forward(const forward&) = delete;
  forward& operator=(const forward&) = delete;

  /// Starts. `ended` is called once the request is answered or given up on.
  void start(std::function<void()> ended);

  /// Returns a call to a server for something beside a request itself.
  static pooled_call call_to(const forward_environment& environment,
                             const std::string& address);
  /// Makes such a call whose outcome is of no interest, unless the server asked
  /// to be spared.
  static void tell(forward_environment& environment,
                   const listed_server& server, const http_request& request);

 protected:
  /// Makes the first attempt.
  virtual void begin() = 0;
  /// Ends what is under way at servers.
  virtual void stop() = 0;
  /// The deadline has passed.
  virtual void on_deadline();

  /// Adds a decision to the trail.
  void note(const std::string& decision);
  /// Refuses: nothing has run, and the caller may come back, after a span that
  /// is expected to be of use.
  void refuse_not_run(const std::string& reason,
                      std::optional<duration> wait = std::nullopt);
  /// Fails: something may have run.
  void fail_unknown(int status, const std::string& reason);
  /// Passes a whole response on.
  void deliver(http_response response, const std::string& reason);
  /// Ends the request; the response is complete or broken off by now.
  void finish(int status, const std::string& reason, bool good);
  bool finished() const { return finished_; }

  duration time_left() const;
  /// What a server is told of the deadline.
  milliseconds server_deadline() const;
  /// Returns a call that sends the request to a server.
  pooled_call call_for_request(const std::string& address) const;
  /// Takes a whole response of the last server into the report of the attempt.
  /// Returns how the request at the server ended.
  server_result take_answer(const server_answer& answer,
                            attempt_report& report);
  /// Takes a further send to the service from the retry budget. Returns when,
  /// for give_back_repeat(); nothing where the budget has none.
  std::optional<time_point> take_repeat();
  void give_back_repeat(time_point taken);
  /// A request at a server ended: tells the list and the fleet, and logs an
  /// ejection.
  void report_end(const std::string& server, std::int64_t tokens,
                  server_result result);
  /// Calls a member function after a span, unless that is cancelled before.
  void arm(runtime_timer& timer, duration span, std::function<void()> expired);

  forward_environment& environment() { return environment_; }
  admitted_request& request() { return request_; }
  const admitted_request& request() const { return request_; }
  const gateway_route& route() const { return request_.resolved.route(); }
  const gateway_service& service() const { return request_.resolved.service(); }
  request_progress progress() const;

  std::int64_t sends_ = 0;        // attempts at servers
  std::int64_t servers_run_ = 0;  // that may have run the request
  bool may_be_running_ = false;   // at a server, right now
  std::set<std::string> tried_;   // ids
  std::string last_server_;
  // Shared with handlers that may come after the request is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

 private:
  void on_caller_left();
  void count_repeat(const char* outcome);

  forward_environment& environment_;
  admitted_request request_;
  runtime_timer deadline_timer_;
  std::function<void()> ended_;
  bool finished_ = false;
};

/// Gives back the allowance of a request that never ran.
void give_back_allowance(const forward_environment& environment,
                         const admitted_request& request);

/// Answers a request that a filter refuses, and logs it.
void answer_refused(forward_environment& environment, admitted_request& request,
                    int status, const std::string& reason,
                    std::optional<duration> retry_after);

/// Makes the request that carries out a plain call, or a stream.
std::unique_ptr<forward> make_plain_forward(forward_environment& environment,
                                            admitted_request request);
std::unique_ptr<forward> make_stream_forward(forward_environment& environment,
                                             admitted_request request);

/// Returns when a caller whose request was refused should come back: not before
/// `wait`, after which it may be served, and spread over the time left, so that
/// callers don't return at once and a burst may be over. Callers wait for a
/// third of it at most.
duration suggest_retry_after(duration wait, duration time_left,
                             std::mt19937_64& random);

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_FORWARD_H_
