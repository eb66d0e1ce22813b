#include "gateway/event_splitter.h"

#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>

#include <utility>

namespace citronwharf {
namespace {

std::optional<std::int64_t> read_id(const std::string& event) {
  std::size_t line = 0;
  while (line < event.size()) {
    const std::size_t end = std::min(event.find('\n', line), event.size());
    absl::string_view text(event.data() + line, end - line);
    std::int64_t id = 0;
    if (absl::ConsumePrefix(&text, "id:") && absl::SimpleAtoi(text, &id)) {
      return id;
    }
    line = end + 1;
  }
  return std::nullopt;
}

// Returns the size of the first complete event, or 0 if there is none.
std::size_t first_event_size(const std::string& bytes) {
  for (std::size_t line_end = bytes.find('\n'); line_end != std::string::npos;
       line_end = bytes.find('\n', line_end + 1)) {
    if (line_end + 1 < bytes.size() && bytes[line_end + 1] == '\n') {
      return line_end + 2;
    }
    if (line_end + 2 < bytes.size() && bytes[line_end + 1] == '\r' &&
        bytes[line_end + 2] == '\n') {
      return line_end + 3;
    }
  }
  return 0;
}

}  // namespace

std::vector<stream_event> event_splitter::feed(const std::string& bytes) {
  partial_event_ += bytes;
  std::vector<stream_event> out;
  for (std::size_t size = first_event_size(partial_event_); size != 0;
       size = first_event_size(partial_event_)) {
    stream_event event;
    event.bytes = partial_event_.substr(0, size);
    event.id = read_id(event.bytes);
    partial_event_.erase(0, size);
    out.push_back(std::move(event));
  }
  return out;
}

}  // namespace citronwharf
