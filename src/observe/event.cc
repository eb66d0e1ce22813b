#include "observe/event.h"

#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <climits>
#include <mutex>
#include <utility>

namespace citronwharf {
namespace {

const char* to_text(severity level) {
  switch (level) {
    case severity::info:
      return "info";
    case severity::warning:
      return "warning";
    case severity::error:
      return "error";
  }
  return "";
}

std::int64_t wall_clock_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

// A write of at most PIPE_BUF bytes to a pipe that polls as writable doesn't
// block.
constexpr std::size_t max_line_bytes = PIPE_BUF;
// Volume that a log collector of a small VM takes: about 40 lines of a request
// a second, and bursts of some seconds.
constexpr double bytes_per_second = 48.0 * 1024;
constexpr double burst_bytes = 384.0 * 1024;
// Kept back for warnings and errors.
constexpr double reserved_bytes = burst_bytes / 4;

// Standard output with a limit on volume.
class log_output {
 public:
  static log_output& instance() {
    static log_output only;
    return only;
  }

  void set_process(const std::string& process) {
    const std::lock_guard<std::mutex> lock(mutex_);
    process_ = process;
  }

  std::uint64_t dropped() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return dropped_;
  }

  void write(nlohmann::ordered_json line, bool important) {
    const std::lock_guard<std::mutex> lock(mutex_);
    line["process"] = process_;
    accrue();
    if (dropped_ != reported_ && available_ > reserved_bytes &&
        emit({{"time_ms", wall_clock_ms()},
              {"severity", "warning"},
              {"event", events::log_lines_dropped.name},
              {"number", events::log_lines_dropped.number},
              {"lines", dropped_ - reported_},
              {"process", process_}})) {
      reported_ = dropped_;
    }
    const bool allowed = available_ > (important ? 0 : reserved_bytes);
    if (!allowed || !emit(line)) {
      ++dropped_;
    }
  }

 private:
  void accrue() {
    const auto now = std::chrono::steady_clock::now();
    const double seconds = std::chrono::duration<double>(now - at_).count();
    at_ = now;
    available_ = std::min(burst_bytes, available_ + seconds * bytes_per_second);
  }

  bool emit(const nlohmann::ordered_json& line) {
    std::string text =
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() >= max_line_bytes) {
      text = nlohmann::ordered_json{{"event", line.at("event")},
                                    {"process", process_},
                                    {"cut_line",
                                     text.substr(0, max_line_bytes / 2)}}
                 .dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    }
    text += '\n';
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0 ||
        ::write(STDOUT_FILENO, text.data(), text.size()) < 0) {
      return false;
    }
    available_ -= static_cast<double>(text.size());
    return true;
  }

  std::mutex mutex_;
  std::string process_;
  double available_ = burst_bytes;
  std::chrono::steady_clock::time_point at_ = std::chrono::steady_clock::now();
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_ = 0;
};

}  // namespace

namespace detail {

void write_event(const event_type& type,
                 const std::vector<nlohmann::json>& values) {
  nlohmann::ordered_json line;
  line["time_ms"] = wall_clock_ms();
  line["severity"] = to_text(type.level);
  line["event"] = type.name;
  line["number"] = type.number;
  const std::vector<std::string> names = absl::StrSplit(type.fields, ',');
  for (std::size_t at = 0; at < values.size() && at < names.size(); ++at) {
    line[names[at]] = values[at];
  }
  log_output::instance().write(line, type.level != severity::info);
}

}  // namespace detail

void set_log_process(const std::string& process) {
  log_output::instance().set_process(process);
}

std::uint64_t dropped_log_lines() {
  return log_output::instance().dropped();
}

std::vector<event_type> all_events() {
  std::vector<event_type> all{
#define CITRONWHARF_EVENT(number, name, level, text, fields, cause, action) \
  events::name,
#include "observe/events.def"
#undef CITRONWHARF_EVENT
  };
  std::sort(all.begin(), all.end(),
            [](const event_type& lhs, const event_type& rhs) {
              return lhs.number < rhs.number;
            });
  return all;
}

std::string events_page() {
  std::string page =
      "# Events\n\nPrinted by `citronwharfd --print_events` from "
      "`src/observe/events.def`. A log line is a JSON object on standard "
      "output with\n`time_ms`, `severity`, `event`, `number`, `process` and "
      "the fields below.\n";
  for (const event_type& type : all_events()) {
    page += fmt::format(
        "\n## CW{} {}\n\n- Level: {}\n- Fields: {}\n- Cause: {}\n- Do: {}\n",
        type.number, type.name, to_text(type.level), type.fields, type.cause,
        type.action);
  }
  return page;
}

}  // namespace citronwharf
