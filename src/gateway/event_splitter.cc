#include "gateway/event_splitter.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

// Returns whether this is a name as those of response heads are written. The
// fields of events have one word, or are in lower case.
bool is_head_field_name(absl::string_view text) {
  return absl::StrContains(text, '-') &&
         std::any_of(text.begin(), text.end(), absl::ascii_isupper);
}

bool is_field_name(absl::string_view text) {
  return !text.empty() && !is_head_field_name(text) &&
         std::all_of(text.begin(), text.end(), [](unsigned char each) {
           return absl::ascii_isalnum(each) || each == '-' || each == '_' ||
                  each == '.';
         });
}

stream_event read_event(std::string bytes) {
  stream_event out;
  out.is_comment = true;
  for (absl::string_view line : absl::StrSplit(bytes, '\n')) {
    absl::ConsumeSuffix(&line, "\r");
    if (line.empty() || line.front() == ':') {
      continue;
    }
    out.is_comment = false;
    const auto name_end = line.find(':');
    const absl::string_view name = line.substr(0, name_end);
    if (!is_field_name(name)) {
      out.well_formed = false;
      continue;
    }
    std::int64_t id = 0;
    if (!out.id && name == "id" && name_end != absl::string_view::npos &&
        absl::SimpleAtoi(line.substr(name_end + 1), &id)) {
      out.id = id;
    }
  }
  out.bytes = std::move(bytes);
  return out;
}

// Returns the end of the first complete event whose last line ends at `from` or
// later, or 0 if there is none.
std::size_t find_event_end(const std::string& bytes, std::size_t from) {
  for (std::size_t line_end = bytes.find('\n', from);
       line_end != std::string::npos;
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
  // The longest end of an event: "\n\r\n".
  constexpr std::size_t max_end_bytes = 3;
  partial_event_ += bytes;
  std::vector<stream_event> out;
  std::size_t begin = 0;
  for (std::size_t end = find_event_end(partial_event_, searched_); end != 0;
       end = find_event_end(partial_event_, begin)) {
    stream_event event = read_event(partial_event_.substr(begin, end - begin));
    begin = end;
    if (event.is_comment && !out.empty() && out.back().is_comment) {
      out.back().bytes += event.bytes;
    } else {
      out.push_back(std::move(event));
    }
  }
  partial_event_.erase(0, begin);
  searched_ = partial_event_.size() < max_end_bytes
                  ? 0
                  : partial_event_.size() - max_end_bytes;
  return out;
}

}  // namespace citronwharf
