#include "observe/trace.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <random>
#include <utility>
#include <vector>

#include "base/decode.h"
#include "net/http_client.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

constexpr std::size_t trace_id_digits = 32;
constexpr std::size_t span_id_digits = 16;
constexpr duration flush_interval = milliseconds(200);

bool is_hex(const std::string& text, std::size_t digits) {
  return text.size() == digits &&
         std::all_of(
             text.begin(), text.end(),
             [](char letter) {
               return absl::ascii_isxdigit(
                          static_cast<unsigned char>(letter)) &&
                      !absl::ascii_isupper(static_cast<unsigned char>(letter));
             }) &&
         text.find_first_not_of('0') != std::string::npos;
}

std::int64_t wall_now_us() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

nlohmann::json otlp_span(const span& in) {
  nlohmann::json attributes = nlohmann::json::array();
  for (const auto& [name, value] : in.attributes) {
    attributes.push_back({{"key", name}, {"value", {{"stringValue", value}}}});
  }
  return {{"traceId", in.context.trace_id},
          {"spanId", in.context.span_id},
          {"parentSpanId", in.parent_id},
          {"name", in.name},
          {"kind", 1},
          {"startTimeUnixNano", fmt::format("{}000", in.start_us)},
          {"endTimeUnixNano", fmt::format("{}000", in.end_us)},
          {"attributes", attributes}};
}

nlohmann::json otlp_document(const nlohmann::json& spans,
                             const std::string& process) {
  const nlohmann::json service = {{"key", "service.name"},
                                  {"value", {{"stringValue", process}}}};
  return {{"resourceSpans",
           {{{"resource", {{"attributes", {service}}}},
             {"scopeSpans",
              {{{"scope", {{"name", "citronwharf"}}}, {"spans", spans}}}}}}}};
}

}  // namespace

std::optional<trace_context> parse_traceparent(const std::string& text) {
  const std::vector<std::string> parts = absl::StrSplit(text, '-');
  const bool well_formed = parts.size() == 4 && parts[0] == "00" &&
                           is_hex(parts[1], trace_id_digits) &&
                           is_hex(parts[2], span_id_digits) &&
                           (parts[3] == "00" || parts[3] == "01");
  if (!well_formed) {
    return std::nullopt;
  }
  return trace_context{parts[1], parts[2], parts[3] == "01"};
}

std::string format_traceparent(const trace_context& context) {
  return fmt::format("00-{}-{}-{}", context.trace_id, context.span_id,
                     context.sampled ? "01" : "00");
}

std::string to_otlp_line(const span& in, const std::string& process) {
  return write_json(
      otlp_document(nlohmann::json::array({otlp_span(in)}), process));
}

class tracer::impl {
 public:
  impl(boost::asio::io_context& loop, tracer_options options)
      : loop_(loop),
        options_(std::move(options)),
        timer_(loop),
        random_(std::random_device()()) {
    if (!options_.file.empty()) {
      file_.open(options_.file, std::ios::app);
    }
    arm();
  }

  std::string make_id(std::size_t digits) {
    std::string id;
    while (id.size() < digits) {
      id += fmt::format("{:016x}", random_());
    }
    return id;
  }

  bool sample() {
    return std::uniform_real_distribution<double>(0, 1)(random_) <
           options_.sample;
  }

  bool writes() const { return file_.is_open() || !options_.collector.empty(); }

  void record(span finished) {
    if (buffered_.size() >= options_.max_buffered) {
      ++dropped_;
      return;
    }
    buffered_.push_back(std::move(finished));
  }

  void flush() {
    if (buffered_.empty()) {
      return;
    }
    nlohmann::json spans = nlohmann::json::array();
    for (const span& each : buffered_) {
      if (file_.is_open()) {
        file_ << to_otlp_line(each, options_.process) << '\n';
      }
      spans.push_back(otlp_span(each));
    }
    if (file_.is_open()) {
      file_.flush();
    }
    if (!options_.collector.empty()) {
      send(write_json(otlp_document(spans, options_.process)));
    }
    buffered_.clear();
  }

  std::uint64_t dropped() const { return dropped_; }

 private:
  // One call at a time; spans wait, bounded, while it runs.
  void send(std::string body) {
    http_request request;
    request.method = "POST";
    request.target = "/v1/traces";
    request.headers = {{"Content-Type", "application/json"}};
    request.body = std::move(body);
    http_call_options options;
    options.address = options_.collector;
    call_ = fetch(loop_, options, request,
                  [](const absl::StatusOr<http_response>&, bool) {});
  }

  void arm() {
    timer_.expires_after(flush_interval);
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) {
        flush();
        arm();
      }
    });
  }

  boost::asio::io_context& loop_;
  tracer_options options_;
  runtime_timer timer_;
  std::mt19937_64 random_;
  std::ofstream file_;
  std::vector<span> buffered_;
  std::uint64_t dropped_ = 0;
  std::unique_ptr<http_call> call_;
};

tracer::tracer(boost::asio::io_context& loop, tracer_options options)
    : impl_(std::make_unique<impl>(loop, std::move(options))) {}
tracer::~tracer() {
  impl_->flush();
}

active_span tracer::start_root(const std::string& name,
                               const std::string& traceparent) {
  const auto parent = parse_traceparent(traceparent);
  active_span made;
  made.owner_ = this;
  made.span_.name = name;
  made.span_.start_us = wall_now_us();
  trace_context& context = made.span_.context;
  context.trace_id =
      parent ? parent->trace_id : impl_->make_id(trace_id_digits);
  context.span_id = impl_->make_id(span_id_digits);
  context.sampled =
      impl_->writes() && (parent ? parent->sampled : impl_->sample());
  made.span_.parent_id = parent ? parent->span_id : "";
  return made;
}

active_span tracer::start(const std::string& name,
                          const trace_context& parent) {
  active_span made;
  made.owner_ = this;
  made.span_.context.trace_id = parent.trace_id;
  made.span_.context.sampled = parent.sampled && impl_->writes();
  if (made.span_.context.sampled) {
    made.span_.name = name;
    made.span_.context.span_id = impl_->make_id(span_id_digits);
    made.span_.parent_id = parent.span_id;
    made.span_.start_us = wall_now_us();
  }
  return made;
}

active_span tracer::start_remote(const std::string& name,
                                 const std::string& traceparent) {
  const auto parent = parse_traceparent(traceparent);
  return start(name, parent.value_or(trace_context{}));
}

void tracer::flush() {
  impl_->flush();
}
std::uint64_t tracer::dropped() const {
  return impl_->dropped();
}
void tracer::record(span finished) {
  impl_->record(std::move(finished));
}

active_span::active_span(active_span&& other) noexcept
    : owner_(std::exchange(other.owner_, nullptr)),
      span_(std::move(other.span_)) {}

active_span& active_span::operator=(active_span&& other) noexcept {
  if (this != &other) {
    end();
    owner_ = std::exchange(other.owner_, nullptr);
    span_ = std::move(other.span_);
  }
  return *this;
}

active_span::~active_span() {
  end();
}

void active_span::set(const std::string& name, const std::string& value) {
  if (span_.context.sampled) {
    span_.attributes[name] = value;
  }
}

void active_span::end() {
  tracer* owner = std::exchange(owner_, nullptr);
  if (owner == nullptr || !span_.context.sampled) {
    return;
  }
  span_.end_us = wall_now_us();
  owner->record(span_);
}

std::string active_span::traceparent() const {
  return span_.context.sampled ? format_traceparent(span_.context) : "";
}

}  // namespace citronwharf
