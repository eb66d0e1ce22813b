/// The tokens of one stream, kept until it is over so that it can go on at any
/// offset.
#ifndef CITRONWHARF_ENDPOINT_STREAM_TOKENS_H_
#define CITRONWHARF_ENDPOINT_STREAM_TOKENS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace citronwharf {

/// Knows what was generated and what was sent. No I/O. One thread.
class stream_tokens {
 public:
  /// The stream begins after `first` tokens that its caller already has.
  explicit stream_tokens(std::int32_t first) : first_(first), sent_(first) {}

  void add(std::vector<std::string> tokens);
  /// Returns the tokens that are to be sent next, from sent() on; none while
  /// paused.
  std::vector<std::string> unsent() const;
  /// All tokens so far were sent.
  void mark_sent() { sent_ = end(); }
  /// Nothing is to be sent until a resume.
  void pause() { paused_ = true; }
  /// Sends again from `offset` on. Returns false, and changes nothing, when
  /// these tokens aren't here.
  bool resume(std::int32_t offset);

  std::int32_t first() const { return first_; }
  std::int32_t sent() const { return sent_; }
  std::int32_t end() const;  ///< offset after the last token generated
  bool paused() const { return paused_; }
  bool all_sent() const { return !paused_ && sent_ == end(); }

 private:
  std::int32_t first_;
  std::int32_t sent_;
  bool paused_ = false;
  std::vector<std::string> tokens_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_STREAM_TOKENS_H_
