#include "gateway/directory_reader.h"

#include <fmt/format.h>

#include <utility>

#include "net/http_status.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

constexpr duration call_timeout = milliseconds(900);
// Bounds a list whose pages never end.
constexpr std::size_t max_pages = 200;
// The directory accepts enough calls per second that a retry soon succeeds.
constexpr duration refusal_retry_delay = milliseconds(80);
constexpr int max_refusals = 10;
// Pages have some 15 KB, but an odd entry may have millions of brackets.
constexpr std::uint64_t max_page_bytes = 8U << 20U;
constexpr int status_too_many = 429;

}  // namespace

directory_reader::directory_reader(boost::asio::io_context& loop,
                                   const gateway_codec& codec, http_pool& pool,
                                   std::string address)
    : codec_(codec), pool_(pool), address_(std::move(address)), timer_(loop) {}

directory_reader::~directory_reader() = default;

void directory_reader::read(bool retries_refusals, list_handler on_list) {
  retries_refusals_ = retries_refusals;
  on_list_ = std::move(on_list);
  call_.reset();
  busy_ = true;
  servers_.clear();
  unreadable_ = 0;
  pages_started_ = 0;
  refusals_ = 0;
  start_page("");
}

void directory_reader::start_page(const std::string& page_token) {
  ++pages_started_;
  page_token_ = page_token;
  request_page();
}

void directory_reader::request_page() {
  timer_.expires_after(call_timeout);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      call_.reset();
      fail("no answer within 900 ms");
    }
  });
  pooled_call call;
  call.address = address_;
  call.connect_timeout = call_timeout;
  call.max_body_bytes = max_page_bytes;
  call_ = pool_.fetch(call, codec_.list_servers(page_token_),
                      [this](absl::StatusOr<http_response> response,
                             bool /*sent*/) { on_page(std::move(response)); });
}

void directory_reader::on_page(absl::StatusOr<http_response> response) {
  timer_.cancel();
  if (!response.ok()) {
    fail(std::string(response.status().message()));
    return;
  }
  if (response->status == status_too_many && retries_refusals_ &&
      ++refusals_ <= max_refusals) {
    // Retries the page rather than the list, since a long list would hardly
    // ever be read whole otherwise.
    timer_.expires_after(refusal_retry_delay);
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        request_page();
      }
    });
    return;
  }
  if (!is_success(response->status)) {
    fail(fmt::format("status {}", response->status));
    return;
  }
  auto page = codec_.read_servers(response->body);
  if (!page.ok()) {
    log_failure(std::string(page.status().message()));
    finish(false);
    return;
  }
  servers_.insert(servers_.end(), page->servers.begin(), page->servers.end());
  unreadable_ += page->unreadable;
  if (!page->next.empty() && pages_started_ < max_pages) {
    start_page(page->next);
    return;
  }
  if (!page->next.empty()) {
    log_failure(fmt::format("more than {} pages", max_pages));
  } else if (page->rest_unknown) {
    log_failure("the token of the next page can't be read");
  } else {
    failure_logged_ = false;
  }
  finish(page->next.empty() && !page->rest_unknown);
}

void directory_reader::finish(bool whole) {
  busy_ = false;
  last_page_count_ = pages_started_;
  if (unreadable_ != unreadable_logged_) {
    unreadable_logged_ = unreadable_;
    log_event(events::directory_unreadable, unreadable_);
  }
  if (whole || !servers_.empty()) {
    on_list_(servers_, whole);
  }
}

void directory_reader::log_failure(const std::string& reason) {
  if (!failure_logged_) {
    log_event(events::directory_lost, reason);
  }
  failure_logged_ = true;
}

void directory_reader::fail(const std::string& reason) {
  log_failure(reason);
  busy_ = false;
}

}  // namespace citronwharf
