/// Reads an engine's stream of server-sent lines and checks that it is the
/// stream that was asked for.
#ifndef CITRONWHARF_ENDPOINT_TOKEN_READER_H_
#define CITRONWHARF_ENDPOINT_TOKEN_READER_H_

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <vector>

namespace citronwharf {

/// Takes the body's parts as they arrive, cut anywhere. No I/O. One thread.
/// Example: reader.take("data: {...}\n\n"); auto tokens = reader.tokens();
class token_reader {
 public:
  /// Expects the stream of request `id` from `offset` on.
  token_reader(std::string id, std::int32_t offset);

  /// Reads one part. DataLoss when a line is malformed, of another request,
  /// out of order, or after the end; then the reader takes nothing more.
  absl::Status take(const std::string& data);
  /// Returns the tokens read since the last call, in order.
  std::vector<std::string> tokens();
  /// Returns whether the end line came and its total fits the tokens.
  bool whole() const { return whole_; }
  /// Returns the offset after the last token.
  std::int32_t offset() const { return offset_; }

 private:
  absl::Status take_line(const std::string& line);

  std::string id_;
  std::int32_t offset_;
  std::string rest_;
  std::vector<std::string> tokens_;
  bool whole_ = false;
  absl::Status failed_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_TOKEN_READER_H_
