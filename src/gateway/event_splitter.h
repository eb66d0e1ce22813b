/// Splits a stream of server-sent events into whole events.
#ifndef CITRONWHARF_GATEWAY_EVENT_SPLITTER_H_
#define CITRONWHARF_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citronwharf {

/// One event with the blank line that ends it.
struct stream_event {
  std::string bytes;
  std::optional<std::int64_t> id;
};

/// A server may break off in the middle of an event, which must not reach the
/// caller when the stream goes on elsewhere. One thread.
class event_splitter {
 public:
  /// Takes bytes as they arrive; returns the events that are whole now.
  std::vector<stream_event> feed(const std::string& bytes);
  /// Returns whether an event has begun and not ended.
  bool in_event() const { return !pending_.empty(); }
  /// Returns whether the event that has begun is longer than any real one.
  bool overflows() const { return pending_.size() > max_event_bytes; }
  void reset() { pending_.clear(); }

 private:
  // Several hundred times an event of some dozen tokens.
  static constexpr std::size_t max_event_bytes = 256U << 10U;

  std::string pending_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_EVENT_SPLITTER_H_
