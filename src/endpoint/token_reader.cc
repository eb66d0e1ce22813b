#include "endpoint/token_reader.h"

#include <utility>

#include "base/decode.h"
#include "base/value.h"

namespace citronwharf {
namespace {

constexpr const char* data_prefix = "data: ";
constexpr std::size_t data_prefix_size = 6;

struct token_line {
  std::string id;
  std::int32_t offset = 0;
  std::string token;
};
CITRONWHARF_VALUE(token_line, id, offset, token)

struct end_line {
  std::string id;
  bool done = false;
  std::int32_t total = 0;
};
CITRONWHARF_VALUE(end_line, id, done, total)

}  // namespace

token_reader::token_reader(std::string id, std::int32_t offset)
    : id_(std::move(id)), offset_(offset) {}

absl::Status token_reader::read(const std::string& data) {
  buffer_ += data;
  std::size_t begin = 0;
  while (status_.ok()) {
    const std::size_t end = buffer_.find('\n', begin);
    if (end == std::string::npos) {
      break;
    }
    const std::string line = buffer_.substr(begin, end - begin);
    begin = end + 1;
    if (!line.empty()) {
      status_ = read_line(line);
    }
  }
  buffer_.erase(0, begin);
  return status_;
}

absl::Status token_reader::read_line(const std::string& line) {
  if (line.compare(0, data_prefix_size, data_prefix) != 0) {
    return absl::DataLossError(
        "token stream: line does not start with \"data: \"");
  }
  if (complete_) {
    return absl::DataLossError("token stream: line after the end line");
  }
  const auto json = parse_json(line.substr(data_prefix_size));
  if (!json.ok()) {
    return absl::DataLossError("token stream: line is not valid JSON");
  }
  if (const auto token = decode_value<token_line>(*json); token.ok()) {
    if (token->id != id_ || token->offset != offset_) {
      return absl::DataLossError(
          "token stream: token has an unexpected id or offset");
    }
    ++offset_;
    tokens_.push_back(token->token);
    return absl::OkStatus();
  }
  const auto end = decode_value<end_line>(*json);
  if (!end.ok() || end->id != id_ || !end->done || end->total != offset_) {
    return absl::DataLossError(
        "token stream: end line has an unexpected id or total");
  }
  complete_ = true;
  return absl::OkStatus();
}

std::vector<std::string> token_reader::tokens() {
  return std::exchange(tokens_, {});
}

}  // namespace citronwharf
