#include "gateway/directory_reader.h"

#include <fmt/format.h>

#include <utility>

#include "observe/event.h"

namespace citronwharf {
namespace {

constexpr duration call_timeout = milliseconds(900);
// A list that doesn't end is no list.
constexpr std::size_t max_pages = 200;
// The directory takes so many calls a second that a page is had before long.
constexpr duration refused_pause = milliseconds(80);
constexpr int max_refusals = 10;
constexpr int status_ok = 200;
constexpr int status_too_many = 429;

}  // namespace

directory_reader::directory_reader(boost::asio::io_context& loop,
                                   const gateway_codec& codec, http_pool& pool,
                                   std::string address)
    : codec_(codec), pool_(pool), address_(std::move(address)), timer_(loop) {}

directory_reader::~directory_reader() = default;

void directory_reader::read(bool insists, list_handler on_list) {
  insists_ = insists;
  on_list_ = std::move(on_list);
  call_.reset();
  busy_ = true;
  servers_.clear();
  unreadable_ = 0;
  pages_ = 0;
  refused_ = 0;
  read_page("");
}

void directory_reader::read_page(const std::string& token) {
  ++pages_;
  token_ = token;
  ask_page();
}

void directory_reader::ask_page() {
  timer_.expires_after(call_timeout);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      call_.reset();
      lost("no answer in time");
    }
  });
  pooled_call call;
  call.address = address_;
  call.connect_timeout = call_timeout;
  call_ =
      pool_.fetch(call, codec_.list_servers(token_),
                  [this](absl::StatusOr<http_response> response,
                         bool /*sent*/) { take_page(std::move(response)); });
}

void directory_reader::take_page(absl::StatusOr<http_response> response) {
  timer_.cancel();
  if (!response.ok()) {
    lost(std::string(response.status().message()));
    return;
  }
  if (response->status == status_too_many && insists_ &&
      ++refused_ <= max_refusals) {
    // Goes on with the same page: a long list would hardly ever be read whole.
    timer_.expires_after(refused_pause);
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        ask_page();
      }
    });
    return;
  }
  if (response->status != status_ok) {
    lost(fmt::format("status {}", response->status));
    return;
  }
  auto page = codec_.read_servers(response->body);
  if (!page.ok()) {
    lost(std::string(page.status().message()));
    return;
  }
  servers_.insert(servers_.end(), page->servers.begin(), page->servers.end());
  unreadable_ += page->unreadable;
  if (!page->next.empty() && pages_ < max_pages) {
    read_page(page->next);
    return;
  }
  lost_ = false;
  busy_ = false;
  pages_read_ = pages_;
  if (unreadable_ != unreadable_logged_) {
    unreadable_logged_ = unreadable_;
    log_event(events::directory_unreadable, unreadable_);
  }
  on_list_(servers_);
}

void directory_reader::lost(const std::string& reason) {
  if (!lost_) {
    log_event(events::directory_lost, reason);
  }
  lost_ = true;
  busy_ = false;
}

}  // namespace citronwharf
