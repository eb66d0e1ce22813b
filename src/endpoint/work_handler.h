/// Interface and shared context of the endpoint's work handlers. Each handler
/// forwards one kind of work (decode, prefill or plain) to the back end.
#ifndef CITRONWHARF_ENDPOINT_WORK_HANDLER_H_
#define CITRONWHARF_ENDPOINT_WORK_HANDLER_H_

#include <functional>
#include <string>

#include "base/clock.h"
#include "endpoint/attempt_leases.h"
#include "endpoint/engine_client.h"
#include "endpoint/leaving.h"
#include "endpoint/load_report.h"
#include "observe/metrics.h"
#include "observe/trace.h"
#include "policy/fair_queue.h"
#include "wire/frame.h"
#include "wire/request_messages.h"

namespace citronwharf {

/// Limits of a work handler, taken from the settings.
struct work_handler_options {
  fair_queue_options queue;
  duration engine_stall_timeout = seconds(2);  ///< without a token, or after
                                               ///< the predicted end of a call
  std::size_t max_plain_calls = 64;  ///< concurrent calls to the service
};

/// Objects shared by the work handlers. They must outlive the handlers.
/// Not thread-safe; use from the event loop thread only.
struct work_handler_context {
  boost::asio::io_context& loop;
  std::uint64_t incarnation;  ///< incarnation of this process
  engine_client& engine;
  engine_info& info;  ///< incarnation is 0 until the engine has answered
  attempt_leases& leases;
  leaving_state& leaving;
  rate_estimator& estimator;
  metric_registry& metrics;
  tracer& traces;
  work_handler_options options;
  /// Sends a frame to an entry process. Ok does not mean that it was delivered.
  std::function<absl::Status(const std::string& entry, const frame&)> send;
};

/// Handles one kind of work. Not thread-safe; use from the event loop thread
/// only.
class work_handler {
 public:
  work_handler() = default;
  virtual ~work_handler() = default;
  work_handler(const work_handler&) = delete;
  work_handler& operator=(const work_handler&) = delete;

  /// Cancels the attempt and releases what it holds, also in the engine. Sends
  /// no reply.
  virtual void cancel_attempt(const attempt_key& key) = 0;
  /// Expires waiting work and retries operations that failed before.
  virtual void tick(time_point now) = 0;
  /// Pauses the streams to an entry whose session was lost, until a resume.
  virtual void session_lost(const std::string& /*entry*/) {}
  /// Called when the engine has restarted and lost all earlier work.
  virtual void engine_restarted() {}
  /// Returns whether no work is waiting or running.
  virtual bool idle() const = 0;
  /// Fills in the load fields that this handler is responsible for.
  virtual void add_load(endpoint_load& load) const = 0;
};

/// Checks that the work is addressed to this incarnation of the process and
/// that the endpoint accepts new work. Applies to every kind of work.
failure_reason check_work(const work_handler_context& context,
                          const work_header& header);

/// Increments the counter of refusals and failures for the reason.
void count_refusal(const work_handler_context& context, failure_reason reason);

/// Returns the engine priority for the name of a service class; a lower value
/// is more urgent.
std::int32_t engine_priority_of(const std::string& service);
/// Returns the service class with this name, or `summary` if it is unknown.
service_class service_class_of(const std::string& service);
/// Returns the name of the reason as used in messages.
std::string to_string(failure_reason reason);

/// Returns the number of memory pieces needed for `tokens`, rounded up; 0 if
/// the piece size is unknown.
std::int32_t pieces_for(const engine_info& info, std::int32_t tokens);

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_WORK_HANDLER_H_
