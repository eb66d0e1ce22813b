// Tests the platform adapter: what it parses, what it rejects, and which
// headers it forwards.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <ctime>
#include <string>

#include "control/key.h"
#include "platform/codec.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

nlohmann::json configuration_document() {
  return nlohmann::json::parse(R"({
    "version": 7,
    "routes": [
      {"name": "r1", "host": "a.example", "pathPrefix": "/s/",
       "kind": "stream", "timeoutMs": 14000, "goalMs": 900, "priority": 1,
       "service": "models", "attempts": 1, "public": false, "sticky": true,
       "resumable": false, "gapTargetMs": 300},
      {"name": "r2", "host": "a.example", "pathPrefix": "/t/",
       "kind": "stream", "timeoutMs": 14000, "goalMs": 900, "priority": 1,
       "split": [{"service": "models", "weight": 90},
                 {"service": "desk", "weight": 10}],
       "attempts": 2, "resumable": true},
      {"name": "r3", "host": "a.example", "pathPrefix": "/u/",
       "kind": "unsafe", "timeoutMs": 800, "service": "desk"},
      {"name": "r4", "host": "a.example", "pathPrefix": "/v/",
       "kind": "safe", "timeoutMs": 800, "service": "desk", "attempts": 2}],
    "services": [
      {"name": "models", "healthPath": "/health", "maxConns": 650,
       "engine": {"slots": 128, "kvTokens": 67402, "kvBytes": 18432,
                  "netMbps": 550000.0, "handleS": 0.5, "switchS": 6.0, "stride": 12,
                  "holdMs": 2000.0}},
      {"name": "desk", "healthPath": "/health", "maxConns": 130}],
    "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 1000000,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "t1", "apiKeys": ["k1", "k2"], "priority": 1,
                 "unit": "tokens", "plainTokens": 200, "ratePerS": 58766,
                 "burst": 58766}]})");
}

http_request sample_request() {
  http_request in;
  in.method = "POST";
  in.target = "/s/2f?x=1";
  in.body = "prompt";
  in.headers = {{"Host", "a.example"},
                {"Citronwharf-Request-Id", "9c41"},
                {"Citronwharf-Model", "m"},
                {"Citronwharf-Token-Count", "1460,80"},
                {"Citronwharf-Prefix-Hash", "5c1e:800,91bd:660"},
                {"Citronwharf-Deadline-Ms", "14000"},
                {"Authorization", "Token k1"},
                {"Connection", "keep-alive, X-Mine"},
                {"X-Mine", "1"},
                {"X-Other", "2"},
                {"Citronwharf-Tenant", "forged"},
                {"Citronwharf-Hold", "forged"},
                {"Citronwharf-Pin-Ms", "1"},
                {"Citronwharf-Kv-Source", "forged"},
                {"Citronwharf-Kv-Backup", "forged"},
                {"Kv-Fetch", "forged"},
                {"Citronwharf-Length-Hint", "64"},
                {"Citronwharf-Stage", "forged"},
                {"Last-Event-Id", "12"}};
  return in;
}

}  // namespace

BOOST_AUTO_TEST_CASE(configuration_document_is_converted_to_gateway_types) {
  const auto read =
      platform::read_configuration(configuration_document().dump());
  BOOST_REQUIRE(read.ok());
  BOOST_TEST(read->version == 7U);
  BOOST_TEST((read->routes[0].repeat == repeatability::at_most_once));
  BOOST_TEST(read->routes[0].stream);
  BOOST_TEST((read->routes[1].repeat == repeatability::resumable_stream));
  BOOST_TEST(read->routes[1].services.size() == 2U);
  BOOST_TEST((read->routes[2].repeat == repeatability::at_most_once));
  BOOST_TEST((read->routes[3].repeat == repeatability::idempotent));
  BOOST_TEST(read->services[0].engine->export_lifetime_ms == 500);
  BOOST_TEST(read->services[0].engine->switch_ms == 6000);
  BOOST_TEST(read->services[0].engine->tokens_per_event == 12);
  BOOST_TEST(!read->services[1].engine.has_value());
  BOOST_TEST(read->organisations->front().key_digests[1] == digest_of("k2"));
  BOOST_TEST(read->organisations->front().tokens_per_plain_request == 200);
  BOOST_TEST(read->limits.max_header_bytes == 8192);
}

// Guards against an absent list of organisations and an empty one being read as
// the same.
BOOST_AUTO_TEST_CASE(absent_list_of_organisations_differs_from_an_empty_one) {
  nlohmann::json document = configuration_document();
  document["tenants"] = nlohmann::json::array();
  const auto empty = platform::read_configuration(document.dump());
  BOOST_REQUIRE(empty.ok());
  BOOST_REQUIRE(empty->organisations.has_value());
  BOOST_TEST(empty->organisations->empty());
  document.erase("tenants");
  const auto absent = platform::read_configuration(document.dump());
  BOOST_REQUIRE(absent.ok());
  BOOST_TEST(!absent->organisations.has_value());
  BOOST_TEST((*empty != *absent));
  // The difference is kept where a configuration is written and read again.
  for (const gateway_configuration& each : {*empty, *absent}) {
    BOOST_TEST((nlohmann::json(each).get<gateway_configuration>() == each));
  }
}

BOOST_AUTO_TEST_CASE(
    invalid_configuration_document_is_rejected_with_the_reason) {
  const auto document_with = [](const char* pointer,
                                const nlohmann::json& value) {
    nlohmann::json out = configuration_document();
    out[nlohmann::json::json_pointer(pointer)] = value;
    return out.dump();
  };
  const std::string valid = configuration_document().dump();
  const std::pair<std::string, const char*> cases[] = {
      {valid.substr(0, valid.size() / 2), "parse error"},
      {document_with("/routes/0/service", "nobody"), "does not exist"},
      {document_with("/routes/1/pathPrefix", "/s/"), "another route"},
      {document_with("/routes/0/timeoutMs", 0), "timeout"},
      {document_with("/routes/0/timeoutMs", "soon"), "type"},
      {document_with("/version", "seven"), "type"},
      {document_with("/routes/1/split",
                     {{{"service", "models"}, {"weight", 0}}}),
       "add up to 0"},
      {document_with("/tenants/1", {{"name", "t2"}, {"apiKeys", {"k1"}}}),
       "share a key"},
  };
  for (const auto& [text, reason] : cases) {
    const auto read = platform::read_configuration(text);
    BOOST_REQUIRE(!read.ok());
    BOOST_TEST_CONTEXT(reason << ": " << read.status().ToString()) {
      BOOST_TEST(std::string(read.status().message()).find(reason) !=
                 std::string::npos);
    }
  }
}

// Guards against a list that is null, or no list, being published as an empty
// one, which takes all routes or keys away.
BOOST_AUTO_TEST_CASE(a_member_that_is_no_list_is_not_published_as_one) {
  for (const char* pointer :
       {"/routes", "/services", "/tenants", "/tenants/0/apiKeys"}) {
    for (const nlohmann::json& value :
         {nlohmann::json(nullptr), nlohmann::json(false), nlohmann::json(0),
          nlohmann::json("k1"), nlohmann::json::object()}) {
      nlohmann::json document = configuration_document();
      // Without routes there is no unknown service.
      document["routes"] = nlohmann::json::array();
      document[nlohmann::json::json_pointer(pointer)] = value;
      const auto read = platform::read_new_configuration(document.dump());
      BOOST_TEST_CONTEXT(pointer << ": " << value) {
        BOOST_REQUIRE(!read.ok());
        BOOST_TEST(std::string(read.status().message()).find("list") !=
                   std::string::npos);
      }
    }
  }
  nlohmann::json document = configuration_document();
  BOOST_TEST(platform::read_new_configuration(document.dump()).ok());
  for (const char* absent_or_empty : {"[]", "5", "null", "{\"version\":1}"}) {
    BOOST_TEST(!platform::read_new_configuration(absent_or_empty).ok());
  }
  // A null that an earlier release stored is read as an absent member.
  document["tenants"] = nullptr;
  const auto stored = platform::read_configuration(document.dump());
  BOOST_REQUIRE(stored.ok());
  BOOST_TEST(!stored->organisations.has_value());
}

BOOST_AUTO_TEST_CASE(connection_header_does_not_hide_what_a_request_is) {
  http_request in = sample_request();
  in.headers.push_back(
      {"Connection", "Host, citronwharf-request-id, X-Other,,"});
  const http_request sent =
      platform::make_call(platform::read_request(in), server_call());
  BOOST_TEST(find_header(sent.headers, "Host") == "a.example");
  BOOST_TEST(find_header(sent.headers, "Citronwharf-Request-Id") == "9c41");
  BOOST_TEST(find_header(sent.headers, "X-Other").empty());
}

// Guards against a search for each header among thousands of names: the
// processor time is compared with that of the same headers alone.
BOOST_AUTO_TEST_CASE(connection_header_with_many_names_takes_little_time) {
  http_request in = sample_request();
  for (int i = 0; i < 1000; ++i) {
    in.headers.push_back({"X-" + std::to_string(i), ""});
  }
  const caller_request plain = platform::read_request(in);
  std::string names;
  for (int i = 0; i < 3000; ++i) {
    names += "N" + std::to_string(i) + ",";
  }
  in.headers.push_back({"Connection", names});
  const caller_request naming = platform::read_request(in);
  const auto time_of = [](const caller_request& read) {
    constexpr int repetitions = 20;
    const std::clock_t begin = std::clock();
    for (int i = 0; i < repetitions; ++i) {
      platform::make_call(read, server_call());
    }
    return static_cast<double>(std::clock() - begin);
  };
  const double alone = time_of(plain);
  const double with_names = time_of(naming);
  BOOST_TEST_MESSAGE(alone << " and " << with_names);
  constexpr double max_ratio = 20;
  BOOST_TEST(with_names <= max_ratio * std::max(alone, 1.0));
}

BOOST_AUTO_TEST_CASE(key_and_forged_headers_are_not_forwarded_to_the_server) {
  const caller_request read = platform::read_request(sample_request());
  BOOST_TEST(read.key == "k1");
  BOOST_TEST(read.path == "/s/2f");
  BOOST_TEST(*read.prompt_tokens == 1460);
  BOOST_TEST(*read.max_output_tokens == 80);
  BOOST_TEST(*read.expected_output_tokens == 64);
  BOOST_TEST(read.prompt.size() == 2U);
  BOOST_TEST(*read.last_event == 12);
  server_call call;
  call.organisation = "t1";
  call.instance = "i-1";
  call.deadline = milliseconds(900);
  call.last_event = 15;
  call.cache_source = "10.0.0.7:80";
  const http_request sent = platform::make_call(read, call);
  BOOST_TEST(sent.method == "POST");
  BOOST_TEST(sent.target == "/s/2f?x=1");
  BOOST_TEST(sent.body == "prompt");
  const std::pair<const char*, const char*> cases[] = {
      {"Authorization", ""},
      {"Connection", ""},
      {"X-Mine", ""},
      {"X-Other", "2"},
      {"Host", "a.example"},
      {"Citronwharf-Request-Id", "9c41"},
      {"Citronwharf-Model", "m"},
      {"Citronwharf-Token-Count", "1460,80"},
      {"Citronwharf-Prefix-Hash", "5c1e:800,91bd:660"},
      {"Citronwharf-Tenant", "t1"},
      {"Citronwharf-Expect-Instance", "i-1"},
      {"Citronwharf-Deadline-Ms", "900"},
      {"Kv-Fetch", "10.0.0.7:80"},
      {"Citronwharf-Length-Hint", "64"},
      {"Citronwharf-Hold", ""},
      {"Citronwharf-Pin-Ms", ""},
      {"Citronwharf-Kv-Source", ""},
      {"Citronwharf-Kv-Backup", ""},
      {"Citronwharf-Stage", ""},
      {"Last-Event-Id", "15"},
  };
  for (const auto& [name, value] : cases) {
    BOOST_TEST_CONTEXT(name) {
      BOOST_TEST(find_header(sent.headers, name) == value);
      BOOST_TEST(count_header(sent.headers, name) <= 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(resumed_stream_is_named_by_the_request_that_began_it) {
  http_request in = sample_request();
  BOOST_TEST(platform::read_request(in).resumes.empty());
  in.headers.push_back({"resumes", "7b20"});
  caller_request read = platform::read_request(in);
  BOOST_TEST(read.resumes == "7b20");
  BOOST_TEST(read.id == "9c41");
  BOOST_TEST(*read.last_event == 12);
  // Which of several names is meant is not known.
  in.headers.push_back({"Resumes", "8c31"});
  read = platform::read_request(in);
  BOOST_TEST(read.resumes.empty());
  BOOST_TEST(*read.last_event == 12);
}

BOOST_AUTO_TEST_CASE(load_and_not_run_are_read_from_a_response) {
  http_response head;
  head.status = 503;
  head.headers = {{"Citronwharf-Not-Run", "1"},
                  {"Citronwharf-Load", "3,1,8"},
                  {"Citronwharf-Request-Id", "9c41"}};
  const server_answer read = platform::read_answer(head);
  BOOST_TEST(read.not_run);
  BOOST_TEST(read.load->waiting == 1);
  BOOST_TEST(read.request_id == "9c41");
  head.headers = {{"Citronwharf-Load", "3,x,8"}};
  BOOST_TEST(!platform::read_answer(head).not_run);
  BOOST_TEST(!platform::read_answer(head).load.has_value());
  head.status = 421;
  BOOST_TEST(platform::read_answer(head).not_run);
}

BOOST_AUTO_TEST_CASE(invalid_entries_of_the_server_list_are_skipped) {
  nlohmann::json valid_entry{{"id", "i-1"},          {"service", "models"},
                             {"addr", "1.2.3.4:80"}, {"zone", "z1"},
                             {"version", "v1"},      {"slots", 128},
                             {"state", "ready"},     {"stage", "decode"}};
  nlohmann::json page{{"instances", {valid_entry}}, {"next", "p-50"}};
  const std::pair<const char*, nlohmann::json> invalid_fields[] = {
      {"id", 5},
      {"addr", nullptr},
      {"state", "asleep"},
      {"slots", "many"},
      {"stage", "encode"},
      {"service", nlohmann::json()},
      {"version", 1.2},
      {"version", ""},
      {"version", nullptr},
      {"version", std::string(300, 'v')},
      {"version", "v 1"}};
  for (const auto& [field, value] : invalid_fields) {
    nlohmann::json entry = valid_entry;
    entry[field] = value;
    page["instances"].push_back(entry);
  }
  nlohmann::json without_version = valid_entry;
  without_version.erase("version");
  page["instances"].push_back(without_version);
  page["instances"].push_back("a word");
  auto read = platform::read_servers(page.dump());
  BOOST_REQUIRE(read.ok());
  BOOST_TEST(read->servers.size() == 1U);
  BOOST_TEST(read->unreadable == 13U);
  BOOST_TEST(read->next == "p-50");
  BOOST_TEST((read->servers[0].stage == engine_stage::decode));
  BOOST_TEST(read->servers[0].software_version == "v1");
  // A byte of invalid UTF-8 makes at most its own entry unreadable.
  std::string text = page.dump();
  text.replace(text.find("a word"), 1, "\xff");
  read = platform::read_servers(text);
  BOOST_REQUIRE(read.ok());
  BOOST_TEST(read->servers.size() == 1U);
  BOOST_TEST(!platform::read_servers("[]").ok());
}

BOOST_AUTO_TEST_CASE(service_tells_how_long_its_servers_are_cold) {
  nlohmann::json document = configuration_document();
  const auto read = [&document] {
    return platform::read_configuration(document.dump());
  };
  BOOST_TEST(read()->services[0].cold_ms == 0);
  BOOST_TEST(read()->services[0].cold_requests_per_second == 0);
  document["services"][0]["coldS"] = 2.5;
  document["services"][0]["coldPerS"] = 12;
  BOOST_TEST(read()->services[0].cold_ms == 2500);
  BOOST_TEST(read()->services[0].cold_requests_per_second == 12);
  document["services"][0]["coldPerS"] = -1;
  BOOST_TEST(!read().ok());
}

// An odd value would otherwise cost the server, or keep it cold for good.
BOOST_AUTO_TEST_CASE(odd_cold_time_does_not_cost_the_entry) {
  const auto read = [](const nlohmann::json& value) {
    const nlohmann::json entry{{"id", "s1"},           {"service", "desk"},
                               {"addr", "1.2.3.4:80"}, {"zone", "z1"},
                               {"slots", 8},           {"version", "v1"},
                               {"state", "ready"},     {"coldLeftMs", value}};
    const auto page = platform::read_servers(
        nlohmann::json{{"instances", {entry}}, {"next", nullptr}}.dump());
    BOOST_REQUIRE(page.ok());
    BOOST_REQUIRE(page->servers.size() == 1U);
    return page->servers[0].cold_left_ms;
  };
  BOOST_TEST(read(2400) == 2400);
  BOOST_TEST(read(0.4) == 1);
  BOOST_TEST(read(0) == 0);
  for (const nlohmann::json& odd :
       std::vector<nlohmann::json>{-1,
                                   "2400",
                                   nullptr,
                                   true,
                                   {2400},
                                   nlohmann::json::object(),
                                   1e300,
                                   -1e300,
                                   600001,
                                   std::uint64_t{1} << 63}) {
    BOOST_TEST_CONTEXT(odd.dump()) {
      BOOST_TEST(read(odd) == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(cold_time_of_a_response_is_a_whole_number) {
  const auto read = [](const std::string& value) {
    http_response head;
    head.status = 503;
    head.headers.push_back({"citronwharf-cold-ms", value});
    return platform::read_answer(head);
  };
  BOOST_TEST(!platform::read_answer({}).cold_left.has_value());
  BOOST_TEST((read("2400").cold_left == duration(milliseconds(2400))));
  for (const char* value : {"-1", "2.5", "600001", "soon"}) {
    BOOST_TEST(!read(value).cold_left.has_value());
    BOOST_TEST(!read(value).ignored_header.empty());
  }
}

BOOST_AUTO_TEST_CASE(limit_of_a_server_is_a_decimal_number_named_once) {
  const gateway_codec codec = platform::make_codec();
  const auto read = [&codec](const std::vector<std::string>& values) {
    http_response head;
    head.status = 200;
    for (const std::string& value : values) {
      head.headers.push_back({"server-limit", value});
    }
    return codec.read_answer(head);
  };
  BOOST_TEST(!read({}).names_limit);
  BOOST_TEST(read({"4.3"}).limit.value() == 4.3);
  BOOST_TEST(read({"0"}).limit.value() == 0.0);
  for (const char* value : {"", "-1", "1e400", "1e3", "0x4", "four", "4,3",
                            "nan", "99999999999", "1.2.3"}) {
    BOOST_TEST_CONTEXT("'" << value << "'") {
      const server_answer answer = read({value});
      BOOST_TEST(answer.names_limit);
      BOOST_TEST(!answer.limit);
      BOOST_TEST(!answer.ignored_header.empty());
    }
  }
  BOOST_TEST(!read({"4", "5"}).limit);
  BOOST_TEST(read({"4", "5"}).names_limit);
}

// Guards against orders for names that no list of servers could hold.
BOOST_AUTO_TEST_CASE(reads_evacuation_orders) {
  using verb = operator_request::verb;
  const gateway_codec codec = platform::make_codec();
  const auto read = [&](const std::string& method, const std::string& target) {
    http_request in;
    in.method = method;
    in.target = target;
    return codec.read_operator(in);
  };
  const operator_request start = read("POST", "/-/Evacuate.Start/izmir-a");
  BOOST_TEST((start.what == verb::start_evacuation));
  BOOST_TEST(start.domain == "izmir-a");
  const operator_request end = read("POST", "/-/Evacuate.End/izmir-a");
  BOOST_TEST((end.what == verb::end_evacuation));
  BOOST_TEST(end.domain == "izmir-a");
  for (const std::string& name :
       {std::string(), std::string("a/b"), std::string("a%41"),
        std::string("a b"), std::string("a?b"), std::string("a\x80"),
        std::string(129, 'a')}) {
    BOOST_TEST(
        (read("POST", "/-/Evacuate.Start/" + name).what == verb::invalid));
    BOOST_TEST((read("POST", "/-/Evacuate.End/" + name).what == verb::invalid));
  }
  BOOST_TEST((read("POST", "/-/Evacuate.Start/" + std::string(128, 'a')).what ==
              verb::start_evacuation));
  BOOST_TEST((read("GET", "/-/Evacuate.Start/a").what == verb::unknown));
  BOOST_TEST((read("POST", "/-/Evacuate.Start").what == verb::unknown));
}
