/// Holds requests received before a starting process knows its configuration.
#ifndef CITRONWHARF_GATEWAY_STARTUP_QUEUE_H_
#define CITRONWHARF_GATEWAY_STARTUP_QUEUE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <memory>

#include "gateway/forward.h"

namespace citronwharf {

struct startup_queue_options {
  /// A process without a configuration after this time is assumed to be cut
  /// off, and refuses requests.
  duration startup_timeout = seconds(3);
  /// Share of its deadline that a request may wait in the queue.
  double max_deadline_share = 1.0 / 4;
  /// Callers of streams give up after two seconds without an event at the
  /// earliest.
  duration max_wait = milliseconds(1500);
  std::size_t max_requests = 500;
};

/// Designed for this load: processes that were all killed restart together
/// while their callers return, many of which only retry once; the configuration
/// arrives some tenths of a second later. Not thread-safe; use from the event
/// loop thread only.
class startup_queue {
 public:
  /// `ready` returns whether the configuration is known. `on_release` receives
  /// a request once the configuration is known, its waiting time has ended or
  /// the queue is closed.
  startup_queue(boost::asio::io_context& loop, startup_queue_options options,
                std::function<bool()> ready,
                std::function<void(admitted_request)> on_release);
  ~startup_queue();
  startup_queue(const startup_queue&) = delete;
  startup_queue& operator=(const startup_queue&) = delete;

  /// Called when the process starts to serve.
  void start(time_point now) { started_ = now; }
  /// Returns whether the process may still get its configuration: it started
  /// less than the startup timeout ago.
  bool is_starting(time_point now) const {
    return now < started_ + options_.startup_timeout;
  }
  /// Returns whether the request should wait here.
  bool admits(const admitted_request& request, time_point now) const;
  /// Precondition: admits(request).
  void hold(admitted_request request);
  /// Releases all requests and holds no more.
  void close();
  bool empty() const { return held_.empty(); }

 private:
  struct held_request {
    admitted_request request;
    time_point wait_until;
    bool caller_disconnected = false;
  };

  time_point wait_deadline(const admitted_request& request) const;
  void release_finished();
  void schedule();

  startup_queue_options options_;
  std::function<bool()> ready_;
  std::function<void(admitted_request)> on_release_;
  runtime_timer timer_;
  time_point started_{};
  bool configuration_known_ = false;  // since some point
  bool closed_ = false;
  std::list<held_request> held_;
  // Set to false on destruction. Shared with callbacks that may run later.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_STARTUP_QUEUE_H_
