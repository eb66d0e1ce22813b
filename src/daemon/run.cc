#include "daemon/run.h"

#include <gflags/gflags.h>

#include <glog/logging.h>

#include <cstdlib>
#include <exception>
#include <iostream>
#include <utility>

#include "base/heap.h"
#include "base/settings.h"
#include "observe/event.h"

DEFINE_string(settings, "", "path of the settings file");
DEFINE_bool(check, false, "check the settings and end");
DEFINE_bool(print_events, false, "print docs/EVENTS.md and end");
DEFINE_bool(print_settings, false, "print docs/SETTINGS.md and end");
DEFINE_bool(print_settings_schema, false,
            "print docs/settings.schema.json and end");

namespace citronwharf {
namespace {

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

bool print_page() {
  if (FLAGS_print_events) {
    std::cout << events_page();
    return true;
  }
  if (FLAGS_print_settings) {
    std::cout << settings_page();
    return true;
  }
  if (FLAGS_print_settings_schema) {
    std::cout << settings_schema().dump(2) << '\n';
    return true;
  }
  return false;
}

// Without a line in the log, a process that ends at each start leaves no trace
// of its cause.
[[noreturn]] void log_and_abort() {
  std::string reason = "terminate was called without an exception";
  if (const auto exception = std::current_exception()) {
    try {
      std::rethrow_exception(exception);
    } catch (const std::exception& error) {
      reason = error.what();
    } catch (...) {
      reason = "an exception of another type";
    }
  }
  log_event(events::process_failed, reason);
  std::abort();
}

}  // namespace

int run_daemon(int argc, char** argv,
               daemon_process::gateway_maker make_gateway) {
  gflags::SetUsageMessage("--settings FILE: runs one process of citronwharf");
  gflags::SetVersionString(CITRONWHARF_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (print_page()) {
    return 0;
  }
  const auto options = load_settings(FLAGS_settings);
  if (!options.ok()) {
    std::cerr << options.status().message() << '\n';
    return exit_usage;
  }
  if (FLAGS_check) {
    return 0;
  }
  configure_heap();
  std::set_terminate(log_and_abort);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  const absl::Status ended =
      daemon_process(*options, FLAGS_settings, std::move(make_gateway)).run();
  if (!ended.ok()) {
    std::cerr << ended.message() << '\n';
    return exit_failed;
  }
  return 0;
}

}  // namespace citronwharf
