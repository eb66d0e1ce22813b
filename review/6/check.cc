// Case 6: a core machine is gone for good, and so is its successor, while it
// joins. The next successor has its catchupS before another machine is lost;
// what was acknowledged can't be read any more.
#include <signal.h>

#include <iostream>

#include "../lib-2/harness.h"

using namespace review;

namespace {

// Since the loss of the first machine. catchupS is 4 s.
constexpr auto first_successor_start = milliseconds(500);
constexpr auto first_successor_loss = milliseconds(1700);
constexpr auto second_successor_start = milliseconds(2500);
constexpr auto change_sent = milliseconds(8000);
constexpr auto second_loss = milliseconds(10500);
// recoverS is 12 s.
constexpr auto reads_begin = second_loss + std::chrono::seconds(12);
constexpr auto reads_end = reads_begin + std::chrono::seconds(15);

std::string put(int version) {
  const std::string first = "{\"version\":1,";
  const std::string state = desired_state(
      {route("commit", "/commit/", "unsafe", "desk",
             ",\"timeoutMs\":3000,\"goalMs\":500,\"attempts\":1")},
      {"{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":130}"});
  const std::string body = "{\"version\":" + std::to_string(version) + "," +
                           state.substr(first.size());
  return "POST /-/Config.Put HTTP/1.1\r\nHost: control\r\n"
         "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

int run() {
  temporary_folder folder;
  const gateway::ports at;
  directory list;
  sound_service service(milliseconds(30));
  list.add("i-desk", "desk", service.address(), "", 64);
  const std::vector<std::string> hosts{"127.0.0.1", "127.0.0.2", "127.0.0.3",
                                       "127.0.0.4", "127.0.0.5"};
  const std::vector<std::string> core(hosts.begin(), hosts.begin() + 3);
  std::vector<std::unique_ptr<gateway>> gateways;
  std::vector<std::unique_ptr<gateway>> successors;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    const bool first_start = i < core.size();
    auto& to = first_start ? gateways : successors;
    to.push_back(std::make_unique<gateway>("front-" + std::to_string(i + 1),
                                           hosts[i], at, core, list.address(),
                                           folder.path(), true, first_start));
    if (first_start) {
      to.back()->start();
    }
  }
  const std::string body = put(1).substr(put(1).find("\r\n\r\n") + 4);
  if (!bring_up(gateways, at, body)) {
    record("the gateways didn't come up");
    return 2;
  }
  std::this_thread::sleep_for(milliseconds(5000));
  record("all gateways are ready");

  const auto start = clock::now();
  const auto wait_until = [&](milliseconds span) {
    std::this_thread::sleep_until(start + span);
  };
  gateways[2]->signal(SIGKILL);
  record("front-3 is gone for good");
  wait_until(first_successor_start);
  successors[0]->start();
  record("front-4 starts with an empty disk");
  if (trouble()) {
    wait_until(first_successor_loss);
    successors[0]->signal(SIGKILL);
    record("front-4 is gone for good");
    wait_until(second_successor_start);
    successors[1]->start();
    record("front-5 starts with an empty disk");
  }
  wait_until(change_sent);
  bool acknowledged = false;
  for (int i = 0; !acknowledged && clock::now() < start + second_loss; ++i) {
    message got;
    const std::string& host = hosts[i % 2];
    acknowledged = call(host, at.operators, put(2), got) && got.status() == 200;
    record("version 2 sent to " + host + ": " + std::to_string(got.status()));
    std::this_thread::sleep_for(milliseconds(100));
  }
  wait_until(second_loss);
  gateways[1]->signal(SIGKILL);
  record("front-2 is gone for good");
  wait_until(reads_begin);
  bool read = false;
  while (!read && clock::now() < start + reads_end) {
    for (const std::string& host : {hosts[0], hosts[trouble() ? 4 : 3]}) {
      message got;
      const bool whole =
          call(host, at.operators,
               "GET /-/Config.Get HTTP/1.1\r\nHost: control\r\n\r\n", got,
               milliseconds(3000));
      const bool newest =
          got.body.find(acknowledged ? "\"version\":2" : "\"version\":1") !=
          std::string::npos;
      record("read at " + host + ": " +
             (whole
                  ? std::to_string(got.status()) + " " + got.body.substr(0, 60)
                  : "no answer"));
      read = read || (whole && got.status() == 200 && newest);
    }
    std::this_thread::sleep_for(milliseconds(1000));
  }
  const std::string result =
      std::string("change acknowledged: ") + (acknowledged ? "yes" : "no") +
      ", acknowledged state read: " + (read ? "yes" : "no");
  record(result);
  std::cout << result << "\n";
  return read ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  open_record(argc > 1 ? argv[1] : "record.txt");
  return run();
}
