/// Reads the platform's list of servers page by page.
#ifndef CITRONWHARF_GATEWAY_DIRECTORY_READER_H_
#define CITRONWHARF_GATEWAY_DIRECTORY_READER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/codec.h"
#include "net/http_pool.h"

namespace citronwharf {

/// Not thread-safe; use from the event loop thread only. Preconditions: codec
/// and pool outlive it.
class directory_reader {
 public:
  /// `whole` is false if pages that were not found may list more servers.
  using list_handler =
      std::function<void(const std::vector<listed_server>&, bool whole)>;

  directory_reader(boost::asio::io_context& loop, const gateway_codec& codec,
                   http_pool& pool, std::string address);
  ~directory_reader();
  directory_reader(const directory_reader&) = delete;
  directory_reader& operator=(const directory_reader&) = delete;

  /// Reads the list and calls `on_list` with it; a failure is logged instead.
  /// If a page can't be read or the list has too many, the pages before are
  /// handed over. With `retries_refusals`, pages that the directory refuses for
  /// too many calls are requested again. Precondition: not busy.
  void read(bool retries_refusals, list_handler on_list);
  /// Returns whether a read is in progress.
  bool busy() const { return busy_; }
  /// Returns the number of pages of the last list that was read whole.
  std::size_t pages() const { return last_page_count_; }

 private:
  void start_page(const std::string& page_token);
  void request_page();
  void on_page(absl::StatusOr<http_response> response);
  void finish(bool whole);
  void log_failure(const std::string& reason);
  void fail(const std::string& reason);

  const gateway_codec& codec_;
  http_pool& pool_;
  std::string address_;
  runtime_timer timer_;
  list_handler on_list_;
  std::unique_ptr<http_call> call_;
  std::vector<listed_server> servers_;  // of the pages read so far
  std::size_t unreadable_ = 0;          // entries of the pages read so far
  std::size_t unreadable_logged_ = 0;
  std::size_t pages_started_ = 0;
  std::string page_token_;  // of the page being read
  bool retries_refusals_ = false;
  int refusals_ = 0;  // calls refused during this read
  std::size_t last_page_count_ = 0;
  bool busy_ = false;
  bool failure_logged_ = false;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_DIRECTORY_READER_H_
