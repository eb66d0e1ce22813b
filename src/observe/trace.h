/// Traces: a span for each hop, W3C context between hops, OTLP/JSON out.
#ifndef CITRONWHARF_OBSERVE_TRACE_H_
#define CITRONWHARF_OBSERVE_TRACE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/value.h"

namespace citronwharf {

/// A place in a trace, as carried in a traceparent header.
struct trace_context {
  std::string trace_id;  ///< 32 hex digits
  std::string span_id;   ///< 16 hex digits
  bool sampled = false;
};
CITRONWHARF_VALUE(trace_context, trace_id, span_id, sampled)

/// Reads a W3C traceparent; nothing when malformed. Thread-safe.
std::optional<trace_context> parse_traceparent(const std::string& text);
/// Writes a W3C traceparent. Thread-safe.
std::string format_traceparent(const trace_context& context);

/// A finished span. Times are wall time in microseconds since 1970.
struct span {
  trace_context context;
  std::string parent_id;  ///< "" for a root
  std::string name;
  std::int64_t start_us = 0;
  std::int64_t end_us = 0;
  std::map<std::string, std::string> attributes;
};
CITRONWHARF_VALUE(span, context, parent_id, name, start_us, end_us, attributes)

class tracer;

/// A span under way; it ends and is recorded when destroyed or by end().
/// Loop's thread only. An unsampled span costs nothing.
class active_span {
 public:
  active_span() = default;
  active_span(active_span&& other) noexcept;
  active_span& operator=(active_span&& other) noexcept;
  active_span(const active_span&) = delete;
  active_span& operator=(const active_span&) = delete;
  ~active_span();

  /// Adds an attribute. Never a secret or a prompt.
  void set(const std::string& name, const std::string& value);
  void end();
  /// Returns the context to pass on; children hang under this span.
  const trace_context& context() const { return span_.context; }
  /// Returns the traceparent to pass on, "" when not sampled.
  std::string traceparent() const;

 private:
  friend class tracer;
  tracer* owner_ = nullptr;
  span span_;
};

struct tracer_options {
  std::string process;
  std::string file;
  std::string collector;
  double sample = 1.0;
  std::size_t max_buffered = 4096;  ///< spans; more are dropped and counted
};

/// Collects spans and writes them from a timer, never from a request's path.
/// Loop's thread only. Example: auto hop = tracer.start("place", parent);
class tracer {
 public:
  tracer(boost::asio::io_context& loop, tracer_options options);
  ~tracer();
  tracer(const tracer&) = delete;
  tracer& operator=(const tracer&) = delete;

  /// Starts a root span, under the caller's context if it sent one.
  active_span start_root(const std::string& name,
                         const std::string& traceparent);
  /// Starts a span under a parent's context; unsampled parents give unsampled
  /// spans.
  active_span start(const std::string& name, const trace_context& parent);
  /// Starts a span under a traceparent from another process ("": unsampled).
  active_span start_remote(const std::string& name,
                           const std::string& traceparent);
  /// Writes what is buffered now.
  void flush();
  /// Returns how many spans were dropped for want of room.
  std::uint64_t dropped() const;

 private:
  friend class active_span;
  void record(span finished);
  class impl;
  std::unique_ptr<impl> impl_;
};

/// Returns one span as an OTLP/JSON line. Thread-safe.
std::string to_otlp_line(const span& in, const std::string& process);

}  // namespace citronwharf

#endif  // CITRONWHARF_OBSERVE_TRACE_H_
