#include "tool/trace_view.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <vector>

#include "base/decode.h"

namespace citronwharf::tool {
namespace {

constexpr int bar_columns = 32;
constexpr int name_columns = 28;
constexpr double nanoseconds_per_millisecond = 1e6;

struct drawn_span {
  std::string trace_id;
  std::string id;
  std::string parent;
  std::string process;
  std::string name;
  double start_ms = 0;
  double end_ms = 0;
};

double read_time(const nlohmann::json& in) {
  std::int64_t nanoseconds = 0;
  if (!absl::SimpleAtoi(in.get<std::string>(), &nanoseconds)) {
    return 0;
  }
  return static_cast<double>(nanoseconds) / nanoseconds_per_millisecond;
}

void read_spans(const nlohmann::json& document, std::vector<drawn_span>& out) {
  for (const auto& resource : document.at("resourceSpans")) {
    const std::string process =
        resource.at("/resource/attributes/0/value/stringValue"_json_pointer);
    for (const auto& scope : resource.at("scopeSpans")) {
      for (const auto& in : scope.at("spans")) {
        drawn_span made;
        made.trace_id = in.at("traceId");
        made.id = in.at("spanId");
        made.parent = in.at("parentSpanId");
        made.process = process;
        made.name = in.at("name");
        made.start_ms = read_time(in.at("startTimeUnixNano"));
        made.end_ms = read_time(in.at("endTimeUnixNano"));
        out.push_back(std::move(made));
      }
    }
  }
}

absl::StatusOr<std::vector<drawn_span>> read_lines(std::istream& lines) {
  std::vector<drawn_span> all;
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    if (line.empty()) {
      continue;
    }
    try {
      read_spans(nlohmann::json::parse(line), all);
    } catch (const nlohmann::json::exception& error) {
      return absl::InvalidArgumentError(
          fmt::format("line {}: {}", number, error.what()));
    }
  }
  return all;
}

std::string largest_trace(const std::vector<drawn_span>& all) {
  std::map<std::string, int> sizes;
  std::string largest;
  for (const drawn_span& each : all) {
    if (++sizes[each.trace_id] > sizes[largest]) {
      largest = each.trace_id;
    }
  }
  return largest;
}

// One trace, with its spans in the order of the tree.
class waterfall {
 public:
  explicit waterfall(std::vector<drawn_span> spans) : spans_(std::move(spans)) {
    std::sort(spans_.begin(), spans_.end(),
              [](const drawn_span& lhs, const drawn_span& rhs) {
                return lhs.start_ms < rhs.start_ms;
              });
    for (const drawn_span& each : spans_) {
      start_ms_ = std::min(start_ms_, each.start_ms);
      end_ms_ = std::max(end_ms_, each.end_ms);
    }
  }

  std::string draw() const {
    std::string out = fmt::format("trace {}  {:.1f} ms\n",
                                  spans_.front().trace_id, end_ms_ - start_ms_);
    for (const drawn_span& each : spans_) {
      if (!has_parent(each)) {
        draw_tree(each, 0, out);
      }
    }
    return out;
  }

 private:
  bool has_parent(const drawn_span& in) const {
    return std::any_of(
        spans_.begin(), spans_.end(),
        [&](const drawn_span& other) { return other.id == in.parent; });
  }

  void draw_tree(const drawn_span& at, int depth, std::string& out) const {
    out += draw_line(at, depth);
    for (const drawn_span& each : spans_) {
      if (each.parent == at.id && each.id != at.id) {
        draw_tree(each, depth + 1, out);
      }
    }
  }

  std::string draw_line(const drawn_span& at, int depth) const {
    const double whole = std::max(end_ms_ - start_ms_, 1e-3);
    const int from =
        static_cast<int>((at.start_ms - start_ms_) / whole * bar_columns);
    const int length = std::max(
        1, static_cast<int>((at.end_ms - at.start_ms) / whole * bar_columns));
    const std::string bar = std::string(static_cast<std::size_t>(from), ' ') +
                            std::string(static_cast<std::size_t>(length), '=');
    const std::string name =
        std::string(static_cast<std::size_t>(depth) * 2, ' ') + at.name;
    return fmt::format("{:<{}} {:<12} |{:<{}}| {:>8.1f} +{:.1f} ms\n", name,
                       name_columns, at.process, bar.substr(0, bar_columns),
                       bar_columns, at.start_ms - start_ms_,
                       at.end_ms - at.start_ms);
  }

  std::vector<drawn_span> spans_;
  double start_ms_ = std::numeric_limits<double>::max();
  double end_ms_ = 0;
};

}  // namespace

absl::StatusOr<std::string> draw_trace(std::istream& lines,
                                       const std::string& trace_id) {
  auto all = read_lines(lines);
  if (!all.ok()) {
    return all.status();
  }
  const std::string wanted = trace_id.empty() ? largest_trace(*all) : trace_id;
  all->erase(std::remove_if(all->begin(), all->end(),
                            [&](const drawn_span& each) {
                              return !absl::StartsWith(each.trace_id, wanted);
                            }),
             all->end());
  if (all->empty()) {
    return absl::NotFoundError("no such trace");
  }
  return waterfall(*std::move(all)).draw();
}

}  // namespace citronwharf::tool
