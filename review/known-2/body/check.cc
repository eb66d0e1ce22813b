// A request whose Transfer-Encoding doesn't end with chunked has a body
// of unknown length. What stands in the body is run as a request of its own.
#include <signal.h>

#include <iostream>

#include "../../lib-2/harness.h"

using namespace review;

namespace {

constexpr int rounds = 10;

std::mutex mutex;
std::map<std::string, std::string> runs;  // bodies by request id

bool answer_service(const message& request, channel& to) {
  const std::string id = request.header("citronwharf-request-id");
  {
    const std::lock_guard<std::mutex> lock(mutex);
    runs[id] = request.body;
  }
  record("the service runs " + id + ", " + request.first_line + ", body of " +
         std::to_string(request.body.size()) + " bytes");
  return to.send_all(response(200, "done",
                              "Citronwharf-Request-Id: " + id +
                                  "\r\nCitronwharf-Server-Stamp: 1.2.3\r\n"));
}

// `framing` tells how long the body is.
std::string request(const std::string& id, const std::string& framing,
                    const std::string& body) {
  return "POST /commit/1 HTTP/1.1\r\nHost: a.example\r\n"
         "Authorization: Token k1\r\nCitronwharf-Deadline-Ms: 3000\r\n"
         "Citronwharf-Request-Id: " +
         id + "\r\n" + framing + "\r\n" + body;
}

int run() {
  temporary_folder folder;
  const gateway::ports at;
  directory list;
  server service("127.0.0.1", free_port(), answer_service);
  list.add("i-desk", "desk", service.address(), "", 64);
  const std::vector<std::string> hosts{"127.0.0.1", "127.0.0.2", "127.0.0.3"};
  std::vector<std::unique_ptr<gateway>> gateways;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    gateways.push_back(std::make_unique<gateway>(
        "front-" + std::to_string(i + 1), hosts[i], at, hosts, list.address(),
        folder.path(), true));
    gateways.back()->start();
  }
  const std::string state = desired_state(
      {route("commit", "/commit/", "unsafe", "desk",
             ",\"timeoutMs\":3000,\"goalMs\":500,\"attempts\":1")},
      {"{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":130}"});
  if (!bring_up(gateways, at, state)) {
    record("the gateways didn't come up");
    return 2;
  }
  record("all gateways are ready");
  int smuggled = 0;
  int changed = 0;
  for (int i = 0; i < rounds; ++i) {
    const std::string outer = "outer-" + std::to_string(i);
    const std::string inner = "inner-" + std::to_string(i);
    const std::string body = request(inner, "Content-Length: 0\r\n", "");
    const std::string framing =
        trouble() ? "Transfer-Encoding: gzip\r\n"
                  : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const auto to = dial(hosts[i % hosts.size()], at.callers);
    message got;
    bool got_bytes = false;
    const bool whole = to != nullptr &&
                       to->send_all(request(outer, framing, body)) &&
                       to->read_message(got, milliseconds(3000), &got_bytes);
    record("request " + outer + " got " +
           (whole ? std::to_string(got.status()) : "no answer"));
    std::this_thread::sleep_for(milliseconds(300));
    const std::lock_guard<std::mutex> lock(mutex);
    smuggled += runs.count(inner) != 0 ? 1 : 0;
    changed += runs.count(outer) != 0 && runs[outer] != body ? 1 : 0;
  }
  record("requests run that stood inside another one: " +
         std::to_string(smuggled));
  record("requests run with another body: " + std::to_string(changed));
  std::cout << "smuggled: " << smuggled << ", body changed: " << changed
            << "\n";
  return smuggled > 0 || changed > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  open_record(argc > 1 ? argv[1] : "record.txt");
  return run();
}
