// Tests of a gateway process whose servers stop within a response: in its head,
// before its body or within its chunks.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "scripted_servers.h"

using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

enum class ending { fin_at_once, fin, rst_at_once, rst };

const std::vector<std::pair<ending, std::string>> endings{
    {ending::fin_at_once, "closed at once"},
    {ending::fin, "closed"},
    {ending::rst_at_once, "reset at once"},
    {ending::rst, "reset"}};

enum class framing { length, chunks, none };

struct cut {
  std::string name;
  framing as = framing::length;
  std::string until;  ///< what the server sends last, "" for nothing
};

// Cuts of responses with the body BODY.
const std::vector<cut>& cuts() {
  static const std::vector<cut> all{
      {"before the head", framing::length, ""},
      {"within the status line", framing::length, "HTTP/1.1 2"},
      {"after the status line", framing::length, "200 -\r\n"},
      {"within the name of a field", framing::length, "Citronwharf-Serv"},
      {"within the value of a field", framing::length, "Content-Length: "},
      {"after the value of a field", framing::chunks,
       "Transfer-Encoding: chunked"},
      {"after the fields, with length", framing::length, "length\r\n"},
      {"after the fields, with chunks", framing::chunks, "chunked\r\n"},
      {"after the fields, with neither", framing::none, "X-End: 1\r\n"},
      {"within the empty line", framing::length, "length\r\n\r"},
      {"before a body with length", framing::length, "length\r\n\r\n"},
      {"within a body with length", framing::length, "length\r\n\r\nBO"},
      {"before a body in chunks", framing::chunks, "chunked\r\n\r\n"},
      {"within the size of a chunk", framing::chunks, "chunked\r\n\r\nSI"},
      {"after the size of a chunk", framing::chunks, "SIZE\r\n"},
      {"within the data of a chunk", framing::chunks, "SIZE\r\nBO"},
      {"after the data of a chunk", framing::chunks, "BODY"},
      {"before the last chunk", framing::chunks, "BODY\r\n"},
      {"within the last chunk", framing::chunks, "BODY\r\n0"},
      {"before the final line", framing::chunks, "BODY\r\n0\r\n"},
      {"within the final line", framing::chunks, "BODY\r\n0\r\n\r"}};
  return all;
}

std::string replaced(std::string text, const std::string& from,
                     const std::string& to) {
  const auto at = text.find(from);
  return at == std::string::npos ? text : text.replace(at, from.size(), to);
}

std::string whole_response(framing as, const std::string& fields,
                           const std::string& body) {
  const std::string head = "HTTP/1.1 200 -\r\n" + fields;
  switch (as) {
    case framing::length:
      return head + fmt::format("Content-Length: {}\r\n\r\n", body.size()) +
             body;
    case framing::chunks:
      return head +
             fmt::format("Transfer-Encoding: chunked\r\n\r\n{:03x}\r\n{}",
                         body.size(), body) +
             "\r\n0\r\n\r\n";
    case framing::none:
      return head + "X-End: 1\r\n\r\n" + body;
  }
  return "";
}

// Returns what a server sends of its response before it stops.
std::string cut_response(const cut& at, const std::string& fields,
                         const std::string& body) {
  const std::string whole = whole_response(at.as, fields, body);
  std::string until = at.until;
  until = replaced(until, "length\r\n",
                   fmt::format("Content-Length: {}\r\n", body.size()));
  until = replaced(until, "SIZE", fmt::format("{:03x}", body.size()));
  until =
      replaced(until, "SI", fmt::format("{:03x}", body.size()).substr(0, 2));
  until = replaced(until, "BODY", body);
  until = replaced(until, "BO", body.substr(0, body.size() / 2));
  const auto found = whole.find(until);
  BOOST_REQUIRE(found != std::string::npos);
  return whole.substr(0, found + until.size());
}

struct cut_fixture : scripted_servers {
  void send(const std::shared_ptr<raw_connection>& to, const std::string& bytes,
            ending how) {
    to->write(bytes);
    switch (how) {
      case ending::fin_at_once:
        to->close();
        break;
      case ending::rst_at_once:
        to->reset();
        break;
      case ending::fin:
      case ending::rst:
        close_soon(to, how == ending::rst);
        break;
    }
  }

  // Adds a case for each cut and ending.
  void add_cuts(
      const std::function<void(const cut&, ending, std::string name)>& add) {
    for (const cut& at : cuts()) {
      for (const auto& how : endings) {
        add(at, how.first, fmt::format("{}, {}", at.name, how.second));
      }
    }
  }
};

const std::string plain_body = "done";
const std::string stream_body = event(1) + event(2) + event(3);

void answer_stream(const scripted_request& in) {
  const std::string last = raw_header(in.bytes, "Last-Event-Id");
  std::string body;
  for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= 3; ++id) {
    body += event(id);
  }
  in.from->write(whole_response(framing::chunks, in.response_fields(), body));
}

bool is_complete_success(const raw_response& got) {
  return got.status == 200 && got.complete;
}

}  // namespace

BOOST_FIXTURE_TEST_CASE(cut_response_is_not_delivered_as_complete,
                        cut_fixture) {
  for (const route_kind kind : {route_kind::unsafe, route_kind::safe}) {
    add_cuts([&](const cut& at, ending how, std::string name) {
      add_case({std::move(name), kind, [=](const scripted_request& in) {
                  if (in.number > 1) {
                    in.from->write(raw_reply(in.response_fields(), plain_body));
                    return;
                  }
                  send(in.from,
                       cut_response(at, in.response_fields(), plain_body), how);
                }});
    });
  }
  run();
  for (std::size_t each = warm_ups; each < cases.size(); ++each) {
    const scripted_case& of = cases[each];
    BOOST_TEST_CONTEXT(of.name << ", kind " << static_cast<int>(of.kind) << "; "
                               << of.log_line) {
      if (of.kind == route_kind::unsafe) {
        BOOST_TEST(of.requests == 1);
        BOOST_TEST(of.got.status == 502);
      } else {
        BOOST_TEST(of.requests == 2);
        BOOST_TEST(is_complete_success(of.got));
        BOOST_TEST(of.got.body == plain_body);
      }
    }
  }
}

BOOST_FIXTURE_TEST_CASE(response_without_length_is_complete_if_closed_not_reset,
                        cut_fixture) {
  for (const auto& how : endings) {
    for (const bool sends_body : {true, false}) {
      add_case({how.second, route_kind::unsafe,
                [=, how = how.first](const scripted_request& in) {
                  send(in.from,
                       whole_response(framing::none, in.response_fields(),
                                      sends_body ? plain_body : ""),
                       how);
                }});
    }
  }
  run();
  for (std::size_t each = 0; each < cases.size() - warm_ups; ++each) {
    const scripted_case& of = cases[warm_ups + each];
    const ending how = endings[each / 2].first;
    const bool closed = how == ending::fin || how == ending::fin_at_once;
    BOOST_TEST_CONTEXT(of.name << "; " << of.log_line) {
      BOOST_TEST(of.requests == 1);
      BOOST_TEST(is_complete_success(of.got) == closed);
      if (closed) {
        BOOST_TEST(of.got.body == (each % 2 == 0 ? plain_body : ""));
      }
    }
  }
}

BOOST_FIXTURE_TEST_CASE(cut_stream_is_not_delivered_as_complete, cut_fixture) {
  for (const route_kind kind : {route_kind::stream, route_kind::resumable}) {
    add_cuts([&](const cut& at, ending how, std::string name) {
      add_case(
          {std::move(name), kind, [=](const scripted_request& in) {
             if (in.number > 1) {
               answer_stream(in);
               return;
             }
             // The first event is cut, or the stream before its last one.
             send(in.from,
                  cut_response(at, in.response_fields(), event(1) + event(2)),
                  how);
           }});
    });
  }
  run();
  for (std::size_t each = warm_ups; each < cases.size(); ++each) {
    const scripted_case& of = cases[each];
    BOOST_TEST_CONTEXT(of.name << ", kind " << static_cast<int>(of.kind) << "; "
                               << of.log_line) {
      if (of.kind == route_kind::stream) {
        BOOST_TEST(of.requests == 1);
        BOOST_TEST(!is_complete_success(of.got));
        if (of.got.status == 200) {
          BOOST_TEST(
              (of.got.body == event(1) || of.got.body == event(1) + event(2)));
        }
      } else {
        BOOST_TEST(of.requests == 2);
        BOOST_TEST(is_complete_success(of.got));
        BOOST_TEST(of.got.body == stream_body);
      }
    }
  }
}

BOOST_FIXTURE_TEST_CASE(cut_prefill_response_is_not_used, cut_fixture) {
  std::vector<cut> all = cuts();
  all.push_back({"within JSON without length", framing::none, "\r\n\r\nBO"});
  all.push_back({"before JSON without length", framing::none, "\r\n\r\n"});
  const std::string prefilled = R"({"handle":"h1","tokens":1460,"version":1})";
  std::vector<int> prefills(all.size() * endings.size());
  std::vector<int> sources(prefills.size());
  for (const cut& at : all) {
    for (const auto& how : endings) {
      const std::size_t number = cases.size() - warm_ups;
      add_case({fmt::format("{}, {}", at.name, how.second), route_kind::stream,
                [&sources, number](const scripted_request& in) {
                  sources[number] +=
                      raw_header(in.bytes, "Citronwharf-Kv-Source").empty() ? 0
                                                                            : 1;
                  answer_stream(in);
                },
                [=, &prefills, how = how.first](const scripted_request& in) {
                  ++prefills[number];
                  send(in.from,
                       cut_response(at, in.response_fields(), prefilled), how);
                }});
    }
  }
  run();
  for (std::size_t each = 0; each < prefills.size(); ++each) {
    const scripted_case& of = cases[warm_ups + each];
    BOOST_TEST_CONTEXT(of.name << "; " << of.log_line) {
      BOOST_TEST(prefills[each] == 1);
      BOOST_TEST(sources[each] == 0);
      BOOST_TEST(of.requests == 1);
      BOOST_TEST(is_complete_success(of.got));
      BOOST_TEST(of.got.body == stream_body);
    }
  }
}

BOOST_FIXTURE_TEST_CASE(cut_hold_response_is_not_used, cut_fixture) {
  int cut_holds_used = 0;
  for (std::size_t each = 0; each < 2 * cuts().size() * endings.size();
       ++each) {
    add_case({fmt::format("stream {}", each), route_kind::stream,
              [&cut_holds_used](const scripted_request& in) {
                cut_holds_used +=
                    raw_header(in.bytes, "Citronwharf-Hold") == "cut" ? 1 : 0;
                answer_stream(in);
              }});
  }
  // Requests for memory name no case, so the cuts take turns. Every second
  // response is whole.
  std::size_t holds = 0;
  answer_any_hold = [&](const scripted_request& in) {
    const std::size_t turn = holds++ / 2;
    if (holds % 2 == 0) {
      in.from->write(raw_reply("", R"({"hold":"whole"})"));
      return;
    }
    send(in.from,
         cut_response(cuts()[turn / endings.size() % cuts().size()],
                      "Citronwharf-Server-Stamp: s\r\n", R"({"hold":"cut"})"),
         endings[turn % endings.size()].first);
  };
  run();
  BOOST_TEST(holds / 2 >= cuts().size() * endings.size());
  BOOST_TEST(cut_holds_used == 0);
  std::size_t served = 0;
  for (std::size_t each = warm_ups; each < cases.size(); ++each) {
    const scripted_case& of = cases[each];
    BOOST_TEST_CONTEXT(of.name << "; " << of.log_line) {
      BOOST_TEST(of.requests == (is_complete_success(of.got) ? 1 : 0));
      BOOST_TEST((of.got.status == 200 || of.got.status == 503));
      if (of.got.status == 200) {
        BOOST_TEST(of.got.body == stream_body);
        ++served;
      }
    }
  }
  BOOST_TEST(served > (cases.size() - warm_ups) / 2);
}
