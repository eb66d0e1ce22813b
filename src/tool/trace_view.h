/// Draws a trace as a waterfall for a terminal.
#ifndef CITRONWHARF_TOOL_TRACE_VIEW_H_
#define CITRONWHARF_TOOL_TRACE_VIEW_H_

#include <absl/status/statusor.h>

#include <istream>
#include <string>

namespace citronwharf::tool {

/// Reads OTLP/JSON lines, of one or several processes, and draws the trace
/// whose id begins with `trace_id`; with "" the one with the most spans.
/// NotFound when there is none; InvalidArgument names a bad line's number.
/// Thread-safe.
absl::StatusOr<std::string> draw_trace(std::istream& lines,
                                       const std::string& trace_id);

}  // namespace citronwharf::tool

#endif  // CITRONWHARF_TOOL_TRACE_VIEW_H_
