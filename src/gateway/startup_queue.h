/// Requests that came before a starting process knew the configuration.
#ifndef CITRONWHARF_GATEWAY_STARTUP_QUEUE_H_
#define CITRONWHARF_GATEWAY_STARTUP_QUEUE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <memory>

#include "gateway/forward.h"

namespace citronwharf {

struct startup_queue_options {
  /// A process that still knows nothing after this is cut off, and refuses.
  duration start_span = seconds(3);
  /// Share of its deadline that a request may wait here.
  double max_deadline_share = 1.0 / 4;
  /// Callers of streams leave after two seconds without an event at the
  /// earliest.
  duration max_wait = milliseconds(1500);
  std::size_t max_requests = 500;
};

/// Load it answers: processes that were all killed come back together with
/// their callers, many of whom try only once more; the configuration is there
/// some tenths of a second later. Loop's thread only.
class startup_queue {
 public:
  /// `ready` tells whether the configuration is known by now; `leave` takes a
  /// request on, whether it is or the wait is over.
  startup_queue(boost::asio::io_context& loop, startup_queue_options options,
                std::function<bool()> ready,
                std::function<void(admitted_request)> leave);
  ~startup_queue();
  startup_queue(const startup_queue&) = delete;
  startup_queue& operator=(const startup_queue&) = delete;

  /// The process starts to serve.
  void start(time_point now) { started_ = now; }
  /// Returns whether the request had better wait here.
  bool admits(const admitted_request& request, time_point now) const;
  /// Precondition: admits(request).
  void hold(admitted_request request);
  bool empty() const { return held_.empty(); }

 private:
  struct held_request {
    admitted_request request;
    time_point until;
    bool gone = false;  // its caller
  };

  time_point wait_end(const admitted_request& request) const;
  void look();
  void schedule();

  startup_queue_options options_;
  std::function<bool()> ready_;
  std::function<void(admitted_request)> leave_;
  runtime_timer timer_;
  time_point started_{};
  bool over_ = false;  // the configuration was known once
  std::list<held_request> held_;
  // Shared with handlers that may come after the room is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_STARTUP_QUEUE_H_
