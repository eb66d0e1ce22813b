#include "observe/event.h"

#include <glog/logging.h>

#include <algorithm>

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

}  // namespace

namespace detail {

void write_event(const event_type& type, const std::string& text) {
  switch (type.level) {
    case severity::info:
      LOG(INFO) << "CW" << type.number << ' ' << type.name << ": " << text;
      return;
    case severity::warning:
      LOG(WARNING) << "CW" << type.number << ' ' << type.name << ": " << text;
      return;
    case severity::error:
      LOG(ERROR) << "CW" << type.number << ' ' << type.name << ": " << text;
      return;
  }
}

}  // namespace detail

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
      "`src/observe/events.def`. A log line reads\n`CW<number> <name>: "
      "<fields>`.\n";
  for (const event_type& type : all_events()) {
    page += fmt::format(
        "\n## CW{} {}\n\n- Level: {}\n- Fields: {}\n- Cause: {}\n- Do: {}\n",
        type.number, type.name, to_text(type.level), type.fields, type.cause,
        type.action);
  }
  return page;
}

}  // namespace citronwharf
