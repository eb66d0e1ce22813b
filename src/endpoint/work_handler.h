/// What the handlers of an endpoint process share. A handler takes
/// one kind of work to the back end.
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

/// Bounds of a handler, from the settings.
struct work_handler_options {
  fair_queue_options queue;
  duration engine_stall = seconds(2);  ///< without a token, or past a
                                       ///< predicted end
  std::size_t plain_in_flight = 64;    ///< calls in the service at once
};

/// The parts that handlers work with. They outlive the handlers.
/// Loop's thread only.
struct work_handler_context {
  boost::asio::io_context& loop;
  std::uint64_t incarnation;  ///< of this process
  engine_client& engine;
  engine_info& info;  ///< of the engine; incarnation 0 before it is known
  attempt_leases& held;
  leaving_state& leaving;
  load_report& rates;
  metric_registry& metrics;
  tracer& traces;
  work_handler_options options;
  /// Sends to an entry process; Ok says nothing of delivery.
  std::function<absl::Status(const std::string& entry, const frame&)> send;
};

/// One kind of work. Loop's thread only.
class work_handler {
 public:
  work_handler() = default;
  virtual ~work_handler() = default;
  work_handler(const work_handler&) = delete;
  work_handler& operator=(const work_handler&) = delete;

  /// Drops what is held for the attempt, in the engine too, without a reply.
  virtual void drop(const attempt_key& key) = 0;
  /// Expires what waits and tries again what couldn't be done before.
  virtual void tick(time_point now) = 0;
  /// The session to an entry was lost; its streams wait for a resume.
  virtual void session_lost(const std::string& /*entry*/) {}
  /// The engine restarted and holds nothing of before.
  virtual void engine_restarted() {}
  /// Returns whether nothing waits or runs.
  virtual bool idle() const = 0;
  /// Adds this handler's part of the load.
  virtual void add_load(endpoint_load& load) const = 0;
};

/// Checks what every kind of work must pass before anything is run: that it
/// is addressed to this incarnation and that this endpoint takes new work.
failure_reason check_work(const work_handler_context& parts,
                          const work_header& header);

/// Counts a refusal or failure by its reason.
void count_refusal(const work_handler_context& parts, failure_reason reason);

/// Returns the engine's priority for a service class by name; lower is more
/// urgent.
std::int32_t priority_of(const std::string& service);
/// Returns the service class by name; unknown names are summaries.
service_class class_of(const std::string& service);
/// Returns the reason's name, as in messages.
std::string to_string(failure_reason reason);

/// Returns pieces for so many tokens.
std::int32_t pieces_for(const engine_info& info, std::int32_t tokens);

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_WORK_HANDLER_H_
