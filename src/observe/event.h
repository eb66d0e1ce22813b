/// Numbered log events. The catalogue is observe/events.def; docs/EVENTS.md is
/// printed from it.
#ifndef CITRONWHARF_OBSERVE_EVENT_H_
#define CITRONWHARF_OBSERVE_EVENT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace citronwharf {

enum class severity { info, warning, error };

/// One entry of the catalogue.
struct event_type {
  int number;
  const char* name;
  severity level;
  const char* text;    ///< a reading aid for the catalogue
  const char* fields;  ///< names of the fields, separated by commas
  const char* cause;
  const char* action;  ///< what an operator does
};

namespace events {
#define CITRONWHARF_EVENT(number, name, level, text, fields, cause, action) \
  inline constexpr event_type name{number, #name, severity::level, text,    \
                                   fields, cause, action};
#include "observe/events.def"
#undef CITRONWHARF_EVENT
}  // namespace events

/// Returns the catalogue in order of number. Thread-safe.
std::vector<event_type> all_events();

/// Returns docs/EVENTS.md.
std::string events_page();

/// Names the process in every later line.
void set_log_process(const std::string& process);
/// Returns how many lines were dropped so far. Thread-safe.
std::uint64_t dropped_log_lines();

namespace detail {
void write_event(const event_type& type,
                 const std::vector<nlohmann::json>& values);
}  // namespace detail

/// Logs an event as one JSON object a line on standard output: time, severity,
/// event, process, and the event's fields by name. Never blocks: past the
/// limit on volume, or when the reader is slow, lines are dropped and counted,
/// those without a warning first. Secrets and prompts are never fields.
/// Thread-safe.
/// Example: log_event(events::session_up, peer.name, peer.incarnation);
template <typename... Fields>
void log_event(const event_type& type, const Fields&... fields) {
  detail::write_event(type, {nlohmann::json(fields)...});
}

}  // namespace citronwharf

#endif  // CITRONWHARF_OBSERVE_EVENT_H_
