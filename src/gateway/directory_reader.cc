#include "gateway/directory_reader.h"

#include <fmt/format.h>

#include <utility>

#include "observe/event.h"

namespace citronwharf {
namespace {

constexpr duration call_timeout = milliseconds(900);
constexpr double interval_jitter = 0.15;  // share of the interval
// A list that doesn't end is no list.
constexpr std::size_t max_pages = 200;
constexpr int status_ok = 200;

}  // namespace

directory_reader::directory_reader(boost::asio::io_context& loop,
                                   const gateway_codec& codec, http_pool& pool,
                                   directory_reader_options options,
                                   std::uint64_t seed)
    : codec_(codec),
      pool_(pool),
      options_(std::move(options)),
      timer_(loop),
      random_(seed) {}

directory_reader::~directory_reader() = default;

void directory_reader::start(list_handler on_list) {
  on_list_ = std::move(on_list);
  read_page("");
}

void directory_reader::read_page(const std::string& token) {
  if (token.empty()) {
    servers_.clear();
    unreadable_ = 0;
    pages_ = 0;
  }
  ++pages_;
  timer_.expires_after(call_timeout);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      call_.reset();
      lost("no answer in time");
    }
  });
  pooled_call call;
  call.address = options_.address;
  call.connect_timeout = call_timeout;
  call_ =
      pool_.fetch(call, codec_.list_servers(token),
                  [this](absl::StatusOr<http_response> response,
                         bool /*sent*/) { take_page(std::move(response)); });
}

void directory_reader::take_page(absl::StatusOr<http_response> response) {
  timer_.cancel();
  if (!response.ok()) {
    lost(std::string(response.status().message()));
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
  read_at_ = runtime_clock::now();
  schedule();
  on_list_(servers_);
}

void directory_reader::lost(const std::string& reason) {
  if (!lost_) {
    log_event(events::directory_lost, reason);
  }
  lost_ = true;
  schedule();
}

void directory_reader::schedule() {
  std::uniform_real_distribution<double> spread(1 - interval_jitter,
                                                1 + interval_jitter);
  timer_.expires_after(std::chrono::duration_cast<duration>(options_.interval *
                                                            spread(random_)));
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      read_page("");
    }
  });
}

}  // namespace citronwharf
