/// The daemon's command line, for the programs that differ in their adapter.
#ifndef CITRONWHARF_DAEMON_RUN_H_
#define CITRONWHARF_DAEMON_RUN_H_

#include "daemon/process.h"

namespace citronwharf {

/// Reads the command line and the settings and runs a process until it has
/// drained. Returns the program's exit code. To be called once, from main.
int run_daemon(int argc, char** argv,
               daemon_process::gateway_maker make_gateway);

}  // namespace citronwharf

#endif  // CITRONWHARF_DAEMON_RUN_H_
