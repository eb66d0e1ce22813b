// Tests of responses to generations, prompts and requests for memory whose
// status is a success other than 200.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "scripted_servers.h"

using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

constexpr int status_ok = 200;
constexpr int status_no_content = 204;
constexpr int status_bad_gateway = 502;
const std::vector<int> success_statuses{200, 201, 202, 203, 205,
                                        206, 207, 226, 299};

std::string stream_head(const scripted_request& request,
                        int status = status_ok) {
  return fmt::format("HTTP/1.1 {} -\r\nContent-Type: text/event-stream\r\n",
                     status) +
         request.response_fields() + "\r\n";
}

std::string events_after(int last) {
  std::string out;
  for (int id = last + 1; id <= 3; ++id) {
    out += event(id);
  }
  return out;
}

const std::string whole_stream = events_after(0);

int last_event_of(const scripted_request& request) {
  const std::string last = raw_header(request.bytes, "Last-Event-Id");
  return last.empty() ? 0 : std::stoi(last);
}

void send_stream(const scripted_request& request, int status = status_ok) {
  request.from->write(stream_head(request, status) +
                      events_after(last_event_of(request)));
  request.from->close();
}

// A success that the server has not signed, with a few bytes that are no event.
std::string unsigned_reply(const scripted_request& request, int status) {
  return raw_reply(
      fmt::format("Citronwharf-Request-Id: {}\r\n",
                  raw_header(request.bytes, "Citronwharf-Request-Id")),
      "spoiled", status);
}

struct success_fixture : scripted_servers {
  /// The first engine sends `before` events and falls silent for longer than a
  /// gateway waits; the second one answers with an unsigned success.
  void add_silence(const std::string& name, int before) {
    for (const int status : success_statuses) {
      add_case({fmt::format("{} {}", name, status), route_kind::resumable,
                [this, before, status](const scripted_request& in) {
                  if (in.number > 1) {
                    in.from->write(unsigned_reply(in, status));
                    return;
                  }
                  std::string begun = stream_head(in);
                  for (int id = 1; id <= before; ++id) {
                    begun += event(id);
                  }
                  in.from->write(begun);
                  after(milliseconds(1600), [in, before] {
                    in.from->write(events_after(before));
                    in.from->close();
                  });
                }});
    }
  }

  void check_each(const std::function<void(const scripted_case&)>& check) {
    for (std::size_t number = warm_ups; number < cases.size(); ++number) {
      BOOST_TEST_CONTEXT(cases[number].name << ": " << cases[number].log_line) {
        check(cases[number]);
      }
    }
  }

  void check_all_whole() {
    check_each([](const scripted_case& each) {
      BOOST_TEST(each.got.status == status_ok);
      BOOST_TEST(each.got.body == whole_stream);
      BOOST_TEST(each.got.complete);
    });
  }
};

}  // namespace

// Guards against an unsigned success other than 200 being passed on as the
// answer of a stream.
BOOST_FIXTURE_TEST_CASE(unsigned_success_is_no_answer_to_a_stream,
                        success_fixture) {
  std::vector<int> statuses = success_statuses;
  statuses.push_back(status_no_content);
  for (const int status : statuses) {
    add_case({fmt::format("unsigned {}", status), route_kind::resumable,
              [status](const scripted_request& in) {
                if (in.number == 1) {
                  in.from->write(unsigned_reply(in, status));
                } else {
                  send_stream(in);
                }
              }});
  }
  run();
  check_all_whole();
}

// The same where the request may not be repeated.
BOOST_FIXTURE_TEST_CASE(unsigned_success_ends_a_stream_that_may_run_once,
                        success_fixture) {
  for (const int status : success_statuses) {
    add_case({fmt::format("unsigned {}", status), route_kind::stream,
              [status](const scripted_request& in) {
                in.from->write(unsigned_reply(in, status));
              }});
  }
  run();
  check_each([](const scripted_case& each) {
    BOOST_TEST(each.got.status == status_bad_gateway);
    BOOST_TEST(each.got.complete);
    BOOST_TEST(each.requests == 1);
  });
}

// Guards against an unsigned success ending the call to a silent engine, which
// goes on later.
BOOST_FIXTURE_TEST_CASE(unsigned_success_does_not_take_over_a_stream,
                        success_fixture) {
  add_silence("before the first event", 0);
  add_silence("after an event", 1);
  run();
  check_all_whole();
}

// Guards against such a success being kept, and delivered once the silent
// engine is lost.
BOOST_FIXTURE_TEST_CASE(unsigned_success_is_not_kept_for_a_silent_engine,
                        success_fixture) {
  for (const int status : success_statuses) {
    add_case({fmt::format("kept {}", status), route_kind::resumable,
              [this, status](const scripted_request& in) {
                if (in.number == 1) {
                  after(milliseconds(1800), [in] { in.from->reset(); });
                } else {
                  in.from->write(unsigned_reply(in, status));
                }
              }});
  }
  run();
  check_each([](const scripted_case& each) {
    BOOST_TEST(each.got.status == status_bad_gateway);
    BOOST_TEST(each.got.complete);
  });
}

// Guards against an unsigned success becoming the end of a stream that broke
// off at another engine.
BOOST_FIXTURE_TEST_CASE(unsigned_success_does_not_resume_a_stream,
                        success_fixture) {
  for (const int status : success_statuses) {
    add_case({fmt::format("resumed {}", status), route_kind::resumable,
              [this, status](const scripted_request& in) {
                if (in.number == 1) {
                  in.from->write(stream_head(in) + event(1));
                  close_soon(in.from, true);
                } else {
                  in.from->write(unsigned_reply(in, status));
                }
              }});
  }
  run();
  check_each([](const scripted_case& each) {
    BOOST_TEST(each.got.body == event(1));
    BOOST_TEST(!each.got.complete);
  });
}

// Guards against a signed stream being collected as an error, which delays its
// events to its end and cuts it off at the size of the largest error.
BOOST_FIXTURE_TEST_CASE(signed_success_of_any_status_is_a_stream,
                        success_fixture) {
  // Comments are relayed and are no errors, whatever their sum.
  const std::string comments(70000, ' ');
  std::map<std::string, int> status_of;  // by name of the case
  for (const int status : success_statuses) {
    const std::string name = fmt::format("signed {}", status);
    status_of[name] = status;
    add_case({name, route_kind::stream,
              [this, status, comments](const scripted_request& in) {
                in.from->write(stream_head(in, status) + event(1) + ":" +
                               comments.substr(0, comments.size() / 2) +
                               "\n\n" + event(2) + ":" +
                               comments.substr(comments.size() / 2) + "\n\n");
                after(milliseconds(300), [from = in.from] {
                  from->write(event(3));
                  from->close();
                });
              }});
  }
  run();
  check_each([&](const scripted_case& each) {
    BOOST_TEST(each.got.status == status_of.at(each.name));
    BOOST_TEST(each.got.complete);
    BOOST_TEST(each.got.body.size() > comments.size());
    BOOST_TEST(each.requests == 1);
  });
}

// Guards against a response without a body being waited for, or replaced.
BOOST_FIXTURE_TEST_CASE(signed_response_without_content_is_passed_on,
                        success_fixture) {
  for (const route_kind kind : {route_kind::stream, route_kind::resumable}) {
    add_case({"no content", kind, [](const scripted_request& in) {
                in.from->write("HTTP/1.1 204 -\r\n" + in.response_fields() +
                               "\r\n");
              }});
  }
  run();
  check_each([](const scripted_case& each) {
    BOOST_TEST(each.got.status == status_no_content);
    BOOST_TEST(each.got.body.empty());
    BOOST_TEST(each.got.trailing.empty());
    BOOST_TEST(each.requests == 1);
  });
}

// Guards against a hold or an exported prompt being left unused at its engine,
// which keeps the memory until it expires.
BOOST_FIXTURE_TEST_CASE(memory_that_any_success_grants_is_used,
                        success_fixture) {
  std::vector<std::string> holds;
  std::vector<std::string> exports;
  answer_any_hold = [](const scripted_request& in) {
    in.from->write(raw_reply("", R"({"hold":"m1"})", 201));
  };
  for (const int status : success_statuses) {
    add_case({fmt::format("memory {}", status), route_kind::resumable,
              [&](const scripted_request& in) {
                holds.push_back(raw_header(in.bytes, "Citronwharf-Hold"));
                exports.push_back(
                    raw_header(in.bytes, "Citronwharf-Kv-Source"));
                send_stream(in);
              },
              [status](const scripted_request& in) {
                in.from->write(raw_reply(
                    in.response_fields(),
                    R"({"handle":"h1","tokens":1000,"version":1})", status));
              }});
  }
  run();
  check_all_whole();
  BOOST_TEST(holds.size() == success_statuses.size());
  for (std::size_t number = 0; number < holds.size(); ++number) {
    BOOST_TEST(holds[number] == "m1");
    BOOST_TEST(exports[number].find("/h1") != std::string::npos);
  }
}

// Guards against a success that names no export being taken for a refusal.
BOOST_FIXTURE_TEST_CASE(unreadable_success_of_a_prompt_costs_no_stream,
                        success_fixture) {
  for (const int status : success_statuses) {
    add_case({fmt::format("prompt {}", status), route_kind::stream,
              [](const scripted_request& in) { send_stream(in); },
              [status](const scripted_request& in) {
                in.from->write(unsigned_reply(in, status));
              }});
  }
  run();
  check_all_whole();
}
