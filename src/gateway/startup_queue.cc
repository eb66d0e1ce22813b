#include "gateway/startup_queue.h"

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

constexpr duration interval = milliseconds(10);

}  // namespace

startup_queue::startup_queue(boost::asio::io_context& loop,
                             startup_queue_options options,
                             std::function<bool()> ready,
                             std::function<void(admitted_request)> leave)
    : options_(options),
      ready_(std::move(ready)),
      leave_(std::move(leave)),
      timer_(loop) {}

startup_queue::~startup_queue() {
  *alive_ = false;
}

// Without a deadline nothing says that the caller has time.
time_point startup_queue::wait_end(const admitted_request& request) const {
  const duration share = std::chrono::duration_cast<duration>(
      request.caller.deadline.value_or(milliseconds(0)) *
      options_.max_deadline_share);
  return std::min(started_ + options_.start_span,
                  request.received + std::min(share, options_.max_wait));
}

bool startup_queue::admits(const admitted_request& request,
                           time_point now) const {
  return !over_ && held_.size() < options_.max_requests &&
         now < wait_end(request);
}

void startup_queue::hold(admitted_request request) {
  held_.push_back({std::move(request), {}, false});
  const auto at = std::prev(held_.end());
  at->until = wait_end(at->request);
  at->request.exchange->on_closed([at, alive = alive_] {
    if (*alive) {
      at->gone = true;
    }
  });
  if (held_.size() == 1) {
    schedule();
  }
}

void startup_queue::look() {
  over_ = over_ || ready_();
  const time_point now = runtime_clock::now();
  for (auto each = held_.begin(); each != held_.end();) {
    if (!over_ && !each->gone && now < each->until) {
      ++each;
      continue;
    }
    admitted_request request = std::move(each->request);
    const bool gone = each->gone;
    request.exchange->on_closed(nullptr);
    each = held_.erase(each);
    if (!gone) {
      leave_(std::move(request));
    }
  }
  if (!held_.empty()) {
    schedule();
  }
}

void startup_queue::schedule() {
  timer_.expires_after(interval);
  when_expired(timer_, alive_, [this] { look(); });
}

}  // namespace citronwharf
