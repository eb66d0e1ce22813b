/// The memory that a server may use for its connections, for requests that it
/// has not answered and for responses that its clients have not read.
#ifndef CITRONWHARF_NET_BUFFER_BUDGET_H_
#define CITRONWHARF_NET_BUFFER_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/clock.h"

namespace citronwharf {

struct buffer_budget_options {
  std::size_t max_bytes = std::numeric_limits<std::size_t>::max();
  /// Connections that hold up to this much may use the reserve.
  std::size_t small_bytes = 128U << 10U;
  /// Share of the budget that only these may use, so that ordinary requests are
  /// served while large bodies fill the rest.
  double reserve = 0.125;
  /// A client that has made no progress for this long may be ended for another
  /// one. Pauses of clients on slow links are shorter.
  duration stall_time = seconds(1);
};

/// What the bytes of a connection are kept for.
enum class buffer_use {
  unused,          ///< no request has come yet; may be closed
  idle,            ///< between two requests; may be closed
  unread_request,  ///< being received; may be refused as not run
  request,         ///< complete and not answered; is never ended
  response,        ///< being written
};

/// Decides which connections may hold how much. Does no I/O. Not thread-safe.
///
/// Load: clients outside the limits open some dozens of connections, each with
/// a body of megabytes that stays incomplete or a response that is not read,
/// while ordinary requests of some kilobytes go on. A connection that asks for
/// more than is free gets what stalled connections hold, first that with the
/// largest product of size and time without progress; these must be ended. A
/// response also takes the place of requests that are still being received,
/// since these can be sent again. Then connections without a request give way,
/// and for a small request, the small one that has been received for longest:
/// ordinary ones arrive at once, and a crowd that sends steadily but slowly
/// must not use up the reserve. Otherwise the asking connection is refused.
class buffer_budget {
 public:
  explicit buffer_budget(buffer_budget_options options) : options_(options) {}

  struct decision {
    bool granted = false;
    std::vector<std::uint64_t> ended;  ///< no longer counted; to be ended
  };
  /// Sets what a connection holds. Another use counts as progress. Less is
  /// always granted. Nothing changes if it is refused.
  decision hold(std::uint64_t connection, std::size_t bytes, buffer_use use,
                time_point now);
  /// Registers that a connection has made progress.
  void progress(std::uint64_t connection, time_point now);
  /// Returns the connections that may be closed so that another one can be
  /// opened, the most dispensable one first: those without a request yet, idle
  /// ones, stalled ones; of each, that without progress for longest.
  std::vector<std::uint64_t> dispensable(time_point now) const;
  /// Returns whether the connection is one of them.
  bool is_dispensable(std::uint64_t connection, time_point now) const;
  /// The connection holds nothing any more.
  void release(std::uint64_t connection);

  std::size_t held_bytes() const { return held_bytes_; }

 private:
  struct holder {
    std::size_t bytes = 0;
    buffer_use use = buffer_use::unread_request;
    time_point began{};  ///< this use
    time_point progress{};
  };

  bool stalled(const holder& of, time_point now) const;
  std::optional<int> dispensable_rank(const holder& of, time_point now) const;
  std::size_t limit(std::size_t bytes) const;
  std::vector<std::uint64_t> candidates(std::uint64_t asking, std::size_t bytes,
                                        buffer_use use, time_point now) const;

  buffer_budget_options options_;
  std::unordered_map<std::uint64_t, holder> holders_;
  std::size_t held_bytes_ = 0;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_NET_BUFFER_BUDGET_H_
