// citronwharfd: one process of the system, with the roles of its settings.
#include "daemon/run.h"

int main(int argc, char** argv) {
  return citronwharf::run_daemon(argc, argv, nullptr);
}
