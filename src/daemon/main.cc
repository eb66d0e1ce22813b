// citronwharfd: one process of the system, with the roles of its settings.
#include <gflags/gflags.h>

#include <glog/logging.h>

#include <iostream>

#include "base/settings.h"
#include "daemon/process.h"
#include "observe/event.h"

DEFINE_string(settings, "", "path of the settings file");
DEFINE_bool(check, false, "check the settings and end");
DEFINE_bool(print_events, false, "print docs/EVENTS.md and end");
DEFINE_bool(print_settings, false, "print docs/SETTINGS.md and end");
DEFINE_bool(print_settings_schema, false,
            "print docs/settings.schema.json and end");

namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

bool print_page() {
  if (FLAGS_print_events) {
    std::cout << citronwharf::events_page();
    return true;
  }
  if (FLAGS_print_settings) {
    std::cout << citronwharf::settings_page();
    return true;
  }
  if (FLAGS_print_settings_schema) {
    std::cout << citronwharf::settings_schema().dump(2) << '\n';
    return true;
  }
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("--settings FILE: runs one process of citronwharf");
  gflags::SetVersionString(CITRONWHARF_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (print_page()) {
    return 0;
  }
  const auto options = citronwharf::load_settings(FLAGS_settings);
  if (!options.ok()) {
    std::cerr << options.status().message() << '\n';
    return exit_usage;
  }
  if (FLAGS_check) {
    return 0;
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  const absl::Status ended = citronwharf::daemon_process(*options).run();
  if (!ended.ok()) {
    std::cerr << ended.message() << '\n';
    return exit_failed;
  }
  return 0;
}
