/// Reads the platform's list of servers, page by page, again and again.
#ifndef CITRONWHARF_GATEWAY_DIRECTORY_READER_H_
#define CITRONWHARF_GATEWAY_DIRECTORY_READER_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/codec.h"
#include "net/http_pool.h"

namespace citronwharf {

struct directory_reader_options {
  std::string address;
  duration interval = milliseconds(1200);
};

/// Loop's thread only. Preconditions: codec and pool outlive it.
class directory_reader {
 public:
  using list_handler = std::function<void(std::vector<listed_server>)>;

  directory_reader(boost::asio::io_context& loop, const gateway_codec& codec,
                   http_pool& pool, directory_reader_options options,
                   std::uint64_t seed);
  ~directory_reader();
  directory_reader(const directory_reader&) = delete;
  directory_reader& operator=(const directory_reader&) = delete;

  /// Starts to read; `on_list` is called with each whole list.
  void start(list_handler on_list);
  /// Returns the age of the last whole list.
  duration age(time_point now) const { return now - read_at_; }

 private:
  void read_page(const std::string& token);
  void take_page(absl::StatusOr<http_response> response);
  void lost(const std::string& reason);
  void schedule();

  const gateway_codec& codec_;
  http_pool& pool_;
  directory_reader_options options_;
  runtime_timer timer_;
  std::mt19937_64 random_;
  list_handler on_list_;
  std::unique_ptr<http_call> call_;
  std::vector<listed_server> servers_;  // of the pages read so far
  std::size_t unreadable_ = 0;
  std::size_t pages_ = 0;
  time_point read_at_{};
  bool lost_ = false;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_DIRECTORY_READER_H_
