// Tests of odd entries in the directory's list of servers: each costs itself
// alone, and a gateway process that reads it keeps following the list.
#include <fmt/format.h>

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway_fixture.h"
#include "platform/codec.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::size_t deepest = 3000000;

// Returns an entry whose members are JSON texts.
std::string entry_text(const std::map<std::string, std::string>& changed = {}) {
  std::map<std::string, std::string> members{{"id", "\"odd\""},
                                             {"service", "\"desk\""},
                                             {"addr", "\"127.0.0.1:1\""},
                                             {"zone", "\"z1\""},
                                             {"slots", "8"},
                                             {"version", "\"v1\""},
                                             {"state", "\"ready\""}};
  for (const auto& [name, value] : changed) {
    members[name] = value;
  }
  std::string out;
  for (const auto& [name, value] : members) {
    out += fmt::format("{}\"{}\":{}", out.empty() ? "{" : ",", name, value);
  }
  return out + "}";
}

std::string sound_entry(const std::string& id) {
  return entry_text({{"id", '"' + id + '"'}});
}

std::string page_text(const std::vector<std::string>& entries,
                      const std::string& next = "null") {
  std::string out;
  for (const std::string& each : entries) {
    out += (out.empty() ? "" : ",") + each;
  }
  return "{\"instances\":[" + out + "],\"next\":" + next + "}";
}

std::string nested(std::size_t depth, const std::string& open,
                   const std::string& close) {
  std::string out;
  for (std::size_t level = 0; level < depth; ++level) {
    out += open;
  }
  for (std::size_t level = 0; level < depth; ++level) {
    out += close;
  }
  return out;
}

using odd_entries = std::vector<std::pair<std::string, std::string>>;

odd_entries odd_values() {
  odd_entries out{
      {"a word", "\"word\""},
      {"a number", "7"},
      {"null", "null"},
      {"an array", "[1,2]"},
      {"an empty object", "{}"},
      {"deep arrays", nested(deepest, "[", "]")},
      {"deep objects", nested(200000, "{\"a\":", "}").insert(1000000, "1")},
      {"a deep member", entry_text({{"models", nested(deepest, "[", "]")}})},
      {"a member 1,000 deep", entry_text({{"models", nested(1000, "[", "]")}})},
      {"no JSON", "{id: odd, slots: 8}"},
      {"no value", "{\"id\":}"},
      {"invalid UTF-8", entry_text({{"id", "\"od\xff\xfe\""}})},
      {"half a surrogate", entry_text({{"id", "\"\\ud800\""}})},
      {"a NUL byte", entry_text({{"id", std::string("\"o\0d\"", 5)}})},
      {"an escaped NUL", entry_text({{"id", R"("o\u0000d")"}})},
      {"letters beyond ASCII", entry_text({{"id", "\"caf\xc3\xa9\""}})},
      {"a huge string",
       entry_text({{"id", "\"" + std::string(900000, 'i') + "\""}})},
      {"a long zone",
       entry_text({{"zone", "\"" + std::string(70000, 'z') + "\""}})},
  };
  for (const char* field :
       {"id", "service", "addr", "zone", "version", "state"}) {
    for (const char* value :
         {"5", "null", "{}", "[]", "true", "\"a\\r\\nX-Forged: 1\"",
          "\"a\\\"b\"", "\"a b\"", "\"\\u007f\""}) {
      out.push_back(
          {fmt::format("{} {}", field, value), entry_text({{field, value}})});
    }
  }
  for (const char* slots :
       {"1e400", "-1e400", "1e30", "99999999999999999999", "-5", "0", "8.5",
        "9223372036854775807", "\"8\"", "null", "[8]", "true",
        "18446744073709551615", "1000000001", "0x8", "NaN", "08", "+8"}) {
    out.push_back(
        {fmt::format("slots {}", slots), entry_text({{"slots", slots}})});
  }
  for (const char* address :
       {"1.2.3.4",         "1.2.3.4:",         ":80",
        "1.2.3.4:0",       "1.2.3.4:65536",    "1.2.3.4:99999",
        "1.2.3.4:080",     "1.2.3.4:-80",      "1.2.3.4:+80",
        "1.2.3.4: 80",     "1.2.3.4:8e1",      "1.2.3.4:99999999999999999999",
        "1.2.3:80",        "1.2.3.256:80",     "01.2.3.4:80",
        "0.0.0.0:80",      "224.0.0.1:80",     "255.255.255.255:80",
        "example.org:80",  "::1:80",           "[::1]:80",
        "1.2.3.4:80/path", "http://1.2.3.4:80"}) {
    out.push_back({fmt::format("address {}", address),
                   entry_text({{"addr", fmt::format("\"{}\"", address)}})});
  }
  out.push_back(
      {"a long version",
       entry_text({{"version", "\"" + std::string(70000, 'v') + "\""}})});
  std::string unversioned = entry_text();
  const std::string version = ",\"version\":\"v1\"";
  unversioned.erase(unversioned.find(version), version.size());
  out.push_back({"no version", unversioned});
  out.push_back({"an empty version", entry_text({{"version", "\"\""}})});
  out.push_back({"no id", entry_text({{"id", "\"\""}})});
  out.push_back({"stage", entry_text({{"stage", "\"encode\""}})});
  out.push_back({"stage 5", entry_text({{"stage", "5"}})});
  return out;
}

// Entries whose end can't be told by brackets and strings.
odd_entries unclosed_values() {
  return {{"an open string", R"({"id":"odd,"slots":8})"},
          {"an open object", R"({"id":"odd","slots":8)"},
          {"an open array", R"({"id":"odd","models":[{"name":"m"})"},
          {"a brace too many", R"({"id":"odd"}})"},
          {"a bracket too many", R"({"id":"odd"}])"},
          {"a quote", "\""},
          {"an open escape", R"({"id":"odd\"})"},
          {"nothing", ""}};
}

std::vector<std::string> ids(const directory_page& page) {
  std::vector<std::string> out;
  for (const listed_server& each : page.servers) {
    out.push_back(each.id);
  }
  return out;
}

long peak_memory_kb(pid_t pid) {
  std::ifstream status(fmt::format("/proc/{}/status", pid));
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmHWM:", 0) == 0) {
      return std::stol(line.substr(6));
    }
  }
  return 0;
}

}  // namespace

BOOST_AUTO_TEST_CASE(odd_entry_does_not_cost_the_entries_beside_it) {
  const std::vector<std::string> sound{"i-1", "i-2", "i-3"};
  for (const odd_entries& odd : {odd_values(), unclosed_values()}) {
    for (const auto& [name, text] : odd) {
      BOOST_TEST_CONTEXT(name) {
        const auto page = platform::read_servers(page_text(
            {sound_entry("i-1"), text, sound_entry("i-2"), sound_entry("i-3")},
            "\"p-50\""));
        BOOST_TEST_REQUIRE(page.ok());
        BOOST_TEST(ids(*page) == sound, boost::test_tools::per_element());
        BOOST_TEST(page->unreadable == 1U);
        BOOST_TEST(page->next == "p-50");
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(odd_entries_side_by_side_do_not_cost_the_others) {
  const odd_entries unclosed = unclosed_values();
  for (const auto& [first_name, first] : unclosed) {
    for (const auto& [second_name, second] : unclosed) {
      BOOST_TEST_CONTEXT(first_name << ", " << second_name) {
        const auto page = platform::read_servers(
            page_text({sound_entry("i-1"), first, sound_entry("i-2"), second,
                       sound_entry("i-3")},
                      "\"p-50\""));
        BOOST_TEST_REQUIRE(page.ok());
        BOOST_TEST(
            ids(*page) == (std::vector<std::string>{"i-1", "i-2", "i-3"}),
            boost::test_tools::per_element());
        BOOST_TEST(page->unreadable >= 1U);
        BOOST_TEST(page->next == "p-50");
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(sound_entries_are_read_in_any_form) {
  const auto page = platform::read_servers(
      " {\n \"other\": {\"instances\": [1]}, \"next\" : \"p-2\",\r\n"
      "\t\"instances\" : [ " +
      entry_text({{"models", R"([{"name":"}],{\"a","adapters":[]}])"},
                  {"coldLeftMs", "1e9"}}) +
      " ,\n" +
      entry_text({{"id", R"("\u0069-2")"}, {"state", "\"draining\""}}) +
      " ] } ");
  BOOST_TEST_REQUIRE(page.ok());
  BOOST_TEST(ids(*page) == (std::vector<std::string>{"odd", "i-2"}),
             boost::test_tools::per_element());
  BOOST_TEST(page->servers[1].leaving);
  BOOST_TEST(page->unreadable == 0U);
  BOOST_TEST(page->next == "p-2");
}

BOOST_FIXTURE_TEST_CASE(gateway_keeps_following_a_list_with_an_odd_entry,
                        test::gateway_fixture) {
  BOOST_REQUIRE(
      test::run_until(loop, [&] { return publish(7).status == 200; }));
  std::string list;
  directory.answers = [&](const http_request&,
                          std::unique_ptr<http_exchange> exchange) {
    exchange->respond(test::reply(200, list));
  };
  // Small entries share a list, but for those that have no end.
  constexpr std::size_t max_small_bytes = 10000;
  odd_entries odd = unclosed_values();
  std::string small;
  for (const auto& [name, text] : odd_values()) {
    if (text.size() < max_small_bytes) {
      small += (small.empty() ? "" : ",") + text;
    } else {
      odd.emplace_back(name, text);
    }
  }
  odd.emplace_back("small ones", small);
  const std::string address = '"' + plain_server.address() + '"';
  std::size_t number = 0;
  for (const auto& [name, text] : odd) {
    BOOST_TEST_CONTEXT(name) {
      const std::string id = fmt::format("n{}", number++);
      list =
          page_text({sound_entry("odd-neighbour-of-another-service"), text,
                     entry_text({{"id", '"' + id + '"'}, {"addr", address}})});
      list.replace(list.find("desk"), 4, "none");
      plain_server.seen.clear();
      const bool followed = test::run_until(
          loop,
          [&] {
            call(callers, request_to("/c/1"));
            return !plain_server.seen.empty() &&
                   find_header(plain_server.seen.back().headers,
                               "Citronwharf-Expect-Instance") == id;
          },
          std::chrono::seconds(5));
      BOOST_TEST_REQUIRE(gateway->running());
      BOOST_TEST(followed);
      BOOST_TEST(call(callers, request_to("/c/1")).status == 200);
    }
  }
  // The machines have 88 MB.
  BOOST_TEST(peak_memory_kb(gateway->pid()) < 60000);
}

BOOST_FIXTURE_TEST_CASE(unreadable_page_does_not_cost_the_other_pages,
                        test::gateway_fixture) {
  BOOST_REQUIRE(
      test::run_until(loop, [&] { return publish(7).status == 200; }));
  const auto on_page_1 = [&](const std::string& id) {
    return entry_text(
        {{"id", '"' + id + '"'}, {"addr", '"' + plain_server.address() + '"'}});
  };
  const auto is_used = [&](const std::string& id) {
    return test::run_until(
        loop,
        [&] {
          call(callers, request_to("/c/1"));
          return find_header(plain_server.seen.back().headers,
                             "Citronwharf-Expect-Instance") == id;
        },
        std::chrono::seconds(5));
  };
  const auto stream_status = [&] {
    return call(callers, prompt_to("/s/1")).status;
  };
  std::string page_1 = page_text({on_page_1("n0")}, "\"p-2\"");
  std::string page_2 = page_text({instances[0].dump(), instances[1].dump()});
  directory.answers = [&](const http_request& request,
                          std::unique_ptr<http_exchange> exchange) {
    const bool first = request.target.find("p-2") == std::string::npos;
    exchange->respond(test::reply(200, first ? page_1 : page_2));
  };
  BOOST_TEST_REQUIRE(is_used("n0"));
  BOOST_TEST_REQUIRE(
      test::run_until(loop, [&] { return stream_status() == 200; }));
  const std::pair<std::string, std::string> odd_pages[] = {
      {"\"p-2\"", ""},
      {"\"p-2\"", "{\"instances\":7}"},
      {"\"p-2\"", "<html>"},
      {"\"p-2\"", "{\"instances\":[{\"id\":\"d"},
      {"7", page_2},
      {"[]", page_2},
      {"\"p 2\"", page_2},
      {"1e400", page_2},
      // Pages without end.
      {"\"p-2\"", page_text({}, "\"p-2\"")}};
  std::size_t number = 1;
  for (const auto& [next, other_page] : odd_pages) {
    const std::string id = fmt::format("n{}", number++);
    BOOST_TEST_CONTEXT(next << " " << other_page) {
      page_1 = page_text({on_page_1(id)}, next);
      page_2 = other_page;
      BOOST_TEST(is_used(id));
      BOOST_TEST(stream_status() == 200);
    }
  }
  const std::string log = folder.read("g1.log");
  BOOST_TEST(log.find("directory_lost") != std::string::npos);
  // A whole list is followed again, to the last server removed.
  page_1 = page_text({on_page_1("n0")}, "null");
  BOOST_TEST(is_used("n0"));
  BOOST_TEST(test::run_until(loop, [&] { return stream_status() != 200; }));
}
