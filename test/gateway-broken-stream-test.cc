// Tests of a gateway process whose engines break off a stream that has begun,
// and whose next engine answers with an error or not at all.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "scripted_servers.h"

using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int events_of_stream = 3;

std::string events(int first, int last) {
  std::string out;
  for (int id = first; id <= last; ++id) {
    out += event(id);
  }
  return out;
}

std::string chunk(const std::string& data) {
  return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

const std::string last_chunk = "0\r\n\r\n";
const std::string error_response =
    "HTTP/1.1 500 -\r\nContent-Length: 5\r\n\r\nerror";

std::string stream_head(const scripted_request& request,
                        const std::string& fields = "") {
  return "HTTP/1.1 200 -\r\nContent-Type: text/event-stream\r\n" +
         request.response_fields() + fields;
}

std::string chunked_head(const scripted_request& request) {
  return stream_head(request, "Transfer-Encoding: chunked\r\n\r\n");
}

enum class ending { fin, rst, silence };  // silence: stays open

// How the first engine breaks off the stream.
struct break_off {
  std::string name;
  int events = 1;         ///< whole events before the end
  std::string remainder;  ///< bytes after them
  ending how = ending::fin;
};

const std::vector<break_off>& break_offs() {
  static const std::vector<break_off> all{
      {"closed after 1 event", 1, "", ending::fin},
      {"closed after 2 events", 2, "", ending::fin},
      {"reset after 1 event", 1, "", ending::rst},
      {"reset after 2 events", 2, "", ending::rst},
      {"closed in the middle of an event", 2, chunk("id: 3\nda"), ending::fin},
      {"reset in the middle of an event", 1, chunk("id: 2\nda"), ending::rst},
      {"complete in the middle of an event", 1, chunk("id: 2\nda") + last_chunk,
       ending::silence},
      {"an error in place of a chunk", 1, error_response, ending::fin},
      {"an error within a chunk", 1, "1c\r\nid: 2\nda" + error_response,
       ending::fin},
      {"an error between events", 1, chunk(error_response), ending::fin},
      {"an error in the middle of an event", 1,
       chunk("id: 2\nda" + error_response), ending::fin},
      {"silent after 1 event", 1, "", ending::silence},
      {"silent after 2 events", 2, "", ending::silence}};
  return all;
}

// What the next engine answers after events of a first one.
struct continuation {
  std::string name;
  std::function<std::string(const scripted_request&, int last_event)> bytes;
  bool closes = false;
  bool completes = false;  ///< sends the remaining events and the end
};

const std::vector<continuation>& continuations() {
  using request = const scripted_request&;
  const std::string json_type = "Content-Type: application/json\r\n";
  static const std::vector<continuation> all{
      {"remaining events",
       [](request in, int last) {
         return chunked_head(in) + chunk(events(last + 1, events_of_stream)) +
                last_chunk;
       },
       false, true},
      {"500 with text",
       [](request in, int) {
         return raw_reply(in.response_fields(), "error\n\n", 500);
       }},
      {"404 with JSON",
       [json_type](request in, int) {
         return raw_reply(json_type + in.response_fields(), R"({"error":1})",
                          404);
       }},
      {"503 not run",
       [](request in, int) {
         return raw_reply("Citronwharf-Not-Run: 1\r\n" + in.response_fields(),
                          "error", 503);
       }},
      {"503 not run, without id",
       [](request, int) {
         return raw_reply("Citronwharf-Not-Run: 1\r\n", "error", 503);
       }},
      {"421", [](request, int) { return raw_reply("", "error", 421); }},
      {"200 without stamp",
       [](request, int last) {
         return raw_reply("", events(last + 1, events_of_stream));
       }},
      {"empty with length",
       [](request in, int) { return raw_reply(in.response_fields(), ""); }},
      {"empty in chunks",
       [](request in, int) { return chunked_head(in) + last_chunk; }},
      {"closed at once",
       [](request in, int) { return stream_head(in, "\r\n"); }, true},
      {"events begin again",
       [](request in, int) {
         return chunked_head(in) + chunk(events(1, events_of_stream)) +
                last_chunk;
       }},
      {"error text",
       [](request in, int) {
         return raw_reply(in.response_fields(), "out of memory, error\n");
       }},
      {"error text with a blank line",
       [](request in, int) {
         return raw_reply(in.response_fields(), "error: out of memory\n\n");
       }},
      {"error with its head",
       [](request in, int) {
         return raw_reply(in.response_fields(), error_response);
       }},
      {"head cut within a field",
       [](request in, int) {
         return "HTTP/1.1 200 -\r\n" + in.response_fields() + "Content-Ty";
       },
       true},
      {"head cut before the empty line",
       [](request in, int) { return stream_head(in); }, true},
      {"no answer", [](request, int) { return ""; }, true}};
  return all;
}

}  // namespace

BOOST_FIXTURE_TEST_CASE(broken_stream_has_whole_events_once_and_no_error,
                        scripted_servers) {
  struct expectation {
    int events = 0;
    bool complete = false;
    int requests = 1;
  };
  std::vector<expectation> expected;
  const auto add = [&](route_kind kind, const break_off& first,
                       const continuation& next) {
    const bool resumable = kind == route_kind::resumable;
    const bool completes = resumable && next.completes;
    expected.push_back({completes ? events_of_stream : first.events, completes,
                        resumable ? 2 : 1});
    add_case({fmt::format("{}, then {}", first.name,
                          resumable ? next.name : "nothing"),
              kind, [this, first, next](const scripted_request& in) {
                if (in.number > 1) {
                  BOOST_TEST(raw_header(in.bytes, "Last-Event-Id") ==
                             std::to_string(first.events));
                  in.from->write(next.bytes(in, first.events));
                  if (next.closes) {
                    in.from->close();
                  }
                  return;
                }
                in.from->write(chunked_head(in));
                for (int id = 1; id <= first.events; ++id) {
                  in.from->write(chunk(event(id)));
                }
                in.from->write(first.remainder);
                if (first.how == ending::silence) {
                  kept_open.push_back(in.from);
                } else {
                  close_soon(in.from, first.how == ending::rst);
                }
              }});
  };
  for (const break_off& first : break_offs()) {
    for (const continuation& next : continuations()) {
      add(route_kind::resumable, first, next);
    }
    add(route_kind::stream, first, continuations().front());
  }
  run();
  for (std::size_t each = 0; each < expected.size(); ++each) {
    const scripted_case& of = cases[warm_ups + each];
    BOOST_TEST_CONTEXT(of.name << "; " << of.log_line) {
      BOOST_TEST(of.requests == expected[each].requests);
      BOOST_TEST(of.got.status == 200);
      BOOST_TEST(of.got.body == events(1, expected[each].events));
      BOOST_TEST(of.got.complete == expected[each].complete);
      BOOST_TEST(of.got.trailing.empty());
    }
  }
}

BOOST_FIXTURE_TEST_CASE(stream_resumes_at_an_engine_that_answers_a_hold_late,
                        scripted_servers) {
  add_case(
      {"lost hold", route_kind::resumable, [this](const scripted_request& in) {
         in.from->write(chunked_head(in));
         if (in.number > 1) {
           in.from->write(chunk(events(2, events_of_stream)) + last_chunk);
           return;
         }
         in.from->write(chunk(event(1)));
         close_soon(in.from, false);
       }});
  int holds = 0;
  answer_any_hold = [&](const scripted_request& in) {
    if (++holds == 2) {
      kept_open.push_back(in.from);
      return;
    }
    in.from->write(raw_reply("", R"({"hold":"m1"})"));
  };
  run();
  BOOST_TEST_CONTEXT(cases.back().log_line) {
    BOOST_TEST(holds == 3);
    BOOST_TEST(cases.back().requests == 2);
    BOOST_TEST(cases.back().got.body == events(1, events_of_stream));
    BOOST_TEST(cases.back().got.complete);
  }
}
