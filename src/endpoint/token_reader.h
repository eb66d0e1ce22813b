/// Parses an engine's token stream of server-sent events and checks that it is
/// the requested stream.
#ifndef CITRONWHARF_ENDPOINT_TOKEN_READER_H_
#define CITRONWHARF_ENDPOINT_TOKEN_READER_H_

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <vector>

namespace citronwharf {

/// Incremental parser: accepts the body in parts that may be split anywhere.
/// Performs no I/O. Not thread-safe.
/// Example: reader.read("data: {...}\n\n"); auto tokens = reader.tokens();
class token_reader {
 public:
  /// Expects the tokens of request `id` from `offset` on.
  token_reader(std::string id, std::int32_t offset);

  /// Parses one part of the body. Returns DataLoss if a line is malformed,
  /// belongs to another request, is out of order or follows the end line; all
  /// later calls then fail as well.
  absl::Status read(const std::string& data);
  /// Returns the tokens parsed since the last call, in order.
  std::vector<std::string> tokens();
  /// Returns whether the end line has arrived; its total has been checked.
  bool complete() const { return complete_; }
  /// Returns the offset after the last token.
  std::int32_t offset() const { return offset_; }

 private:
  absl::Status read_line(const std::string& line);

  std::string id_;
  std::int32_t offset_;
  std::string buffer_;
  std::vector<std::string> tokens_;
  bool complete_ = false;
  absl::Status status_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_TOKEN_READER_H_
