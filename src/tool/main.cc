// citronwharf: the command-line tool of operators.
#include <gflags/gflags.h>

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return 0;
}
