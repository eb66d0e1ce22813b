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
  /// is logged. A read that is under way is given up.
  void read(list_handler on_list);

 private:
  void read_page(const std::string& token);
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
  bool lost_ = false;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_DIRECTORY_READER_H_
