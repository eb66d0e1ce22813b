#include "gateway/startup_queue.h"

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

constexpr duration poll_interval = milliseconds(10);

}  // namespace

startup_queue::startup_queue(boost::asio::io_context& loop,
                             startup_queue_options options,
                             std::function<bool()> ready,
                             std::function<void(admitted_request)> on_release)
    : options_(options),
      ready_(std::move(ready)),
      on_release_(std::move(on_release)),
      timer_(loop) {}

startup_queue::~startup_queue() {
  *alive_ = false;
}

// A request without a deadline does not wait, since nothing states that its
// caller has time.
time_point startup_queue::wait_deadline(const admitted_request& request) const {
  const duration share = std::chrono::duration_cast<duration>(
      request.caller.deadline.value_or(milliseconds(0)) *
      options_.max_deadline_share);
  return std::min(started_ + options_.startup_timeout,
                  request.received + std::min(share, options_.max_wait));
}

bool startup_queue::admits(const admitted_request& request,
                           time_point now) const {
  return !configuration_known_ && !closed_ &&
         held_.size() < options_.max_requests && now < wait_deadline(request);
}

void startup_queue::hold(admitted_request request) {
  held_.push_back({std::move(request), {}, false});
  const auto at = std::prev(held_.end());
  at->wait_until = wait_deadline(at->request);
  at->request.exchange->on_closed([at, alive = alive_] {
    if (*alive) {
      at->caller_disconnected = true;
    }
  });
  if (held_.size() == 1) {
    schedule();
  }
}

void startup_queue::release_finished() {
  configuration_known_ = configuration_known_ || ready_();
  const time_point now = runtime_clock::now();
  for (auto each = held_.begin(); each != held_.end();) {
    if (!configuration_known_ && !closed_ && !each->caller_disconnected &&
        now < each->wait_until) {
      ++each;
      continue;
    }
    admitted_request request = std::move(each->request);
    const bool caller_disconnected = each->caller_disconnected;
    request.exchange->on_closed(nullptr);
    each = held_.erase(each);
    if (!caller_disconnected) {
      on_release_(std::move(request));
    }
  }
  if (!held_.empty()) {
    schedule();
  }
}

void startup_queue::close() {
  closed_ = true;
  release_finished();
}

void startup_queue::schedule() {
  timer_.expires_after(poll_interval);
  when_expired(timer_, alive_, [this] { release_finished(); });
}

}  // namespace citronwharf
