/// The tokens of one stream, retained until the stream is removed so that it
/// can be resumed at any offset.
#ifndef CITRONWHARF_ENDPOINT_STREAM_TOKENS_H_
#define CITRONWHARF_ENDPOINT_STREAM_TOKENS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace citronwharf {

/// Tracks which tokens were generated and which were sent. Performs no I/O. Not
/// thread-safe.
class stream_tokens {
 public:
  /// The stream begins at offset `first_offset`; the caller already has the
  /// tokens before it.
  explicit stream_tokens(std::int32_t first_offset)
      : first_offset_(first_offset), sent_(first_offset) {}

  void add(std::vector<std::string> tokens);
  /// Returns the tokens to send next, from offset sent() on; none while paused.
  std::vector<std::string> unsent() const;
  /// Marks all tokens added so far as sent.
  void mark_sent() { sent_ = end(); }
  /// Stops sending until resume().
  void pause() { paused_ = true; }
  /// Continues sending at `offset`. Returns false, and changes nothing, if the
  /// offset is outside the retained tokens.
  bool resume(std::int32_t offset);

  std::int32_t first_offset() const { return first_offset_; }
  std::int32_t sent() const { return sent_; }
  std::int32_t end() const;  ///< offset after the last token generated
  bool paused() const { return paused_; }
  bool all_sent() const { return !paused_ && sent_ == end(); }

 private:
  std::int32_t first_offset_;
  std::int32_t sent_;
  bool paused_ = false;
  std::vector<std::string> tokens_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_STREAM_TOKENS_H_
