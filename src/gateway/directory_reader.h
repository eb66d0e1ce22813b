/// Reads the platform's list of servers, page by page.
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

/// Loop's thread only. Preconditions: codec and pool outlive it.
class directory_reader {
 public:
  using list_handler = std::function<void(const std::vector<listed_server>&)>;

  directory_reader(boost::asio::io_context& loop, const gateway_codec& codec,
                   http_pool& pool, std::string address);
  ~directory_reader();
  directory_reader(const directory_reader&) = delete;
  directory_reader& operator=(const directory_reader&) = delete;

  /// Reads the whole list; `on_list` is called with it unless that fails, which
  /// is logged. One that insists asks again for pages that are refused.
  /// Precondition: not busy.
  void read(bool insists, list_handler on_list);
  /// Returns whether a read is under way.
  bool busy() const { return busy_; }
  /// Returns the pages of the last list.
  std::size_t pages() const { return pages_read_; }

 private:
  void read_page(const std::string& token);
  void ask_page();
  void take_page(absl::StatusOr<http_response> response);
  void lost(const std::string& reason);

  const gateway_codec& codec_;
  http_pool& pool_;
  std::string address_;
  runtime_timer timer_;
  list_handler on_list_;
  std::unique_ptr<http_call> call_;
  std::vector<listed_server> servers_;  // of the pages read so far
  std::size_t unreadable_ = 0;
  std::size_t unreadable_logged_ = 0;
  std::size_t pages_ = 0;
  std::string token_;  // of the page that is read
  bool insists_ = false;
  int refused_ = 0;  // calls of this read
  std::size_t pages_read_ = 0;
  bool busy_ = false;
  bool lost_ = false;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_DIRECTORY_READER_H_
