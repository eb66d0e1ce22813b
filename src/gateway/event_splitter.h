/// Splits a stream of server-sent events into complete events.
#ifndef CITRONWHARF_GATEWAY_EVENT_SPLITTER_H_
#define CITRONWHARF_GATEWAY_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citronwharf {

/// An event including the blank line that terminates it.
struct stream_event {
  std::string bytes;
  std::optional<std::int64_t> id;
  /// Has no fields: keep-alives that are not part of the output. Successive
  /// ones are joined.
  bool is_comment = false;
  /// Each line is a comment or a field. Status lines, fields of response heads
  /// (with a hyphen and a capital), sentences and JSON are neither.
  bool well_formed = true;
};

/// Buffers incomplete events: a server may fail in the middle of an event, and
/// the fragment must not reach the caller if another server continues the
/// stream. Not thread-safe; use from the event loop thread only.
class event_splitter {
 public:
  /// Appends received bytes and returns the events completed by them.
  std::vector<stream_event> feed(const std::string& bytes);
  /// Returns whether the last event is incomplete.
  bool has_partial_event() const { return !partial_event_.empty(); }
  /// Returns the number of bytes kept.
  std::size_t buffered_bytes() const { return partial_event_.size(); }
  /// Returns whether the incomplete event is longer than any valid one.
  bool partial_event_too_large() const {
    return partial_event_.size() > max_event_bytes;
  }
  void reset() {
    partial_event_.clear();
    searched_ = 0;
  }

 private:
  // Several hundred times the size of an event of a few dozen tokens.
  static constexpr std::size_t max_event_bytes = 256U << 10U;

  std::string partial_event_;
  std::size_t searched_ = 0;  // no event ends before
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_EVENT_SPLITTER_H_
