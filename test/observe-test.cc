// Events, metrics and traces as they are written.
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <set>
#include <string>

#include "base/decode.h"
#include "observe/event.h"
#include "observe/metrics.h"
#include "observe/trace.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_CASE(event_numbers_are_unique_and_explained) {
  std::set<int> numbers;
  for (const event_type& type : all_events()) {
    BOOST_TEST(numbers.insert(type.number).second, type.name);
    BOOST_TEST(!std::string(type.cause).empty());
    BOOST_TEST(!std::string(type.action).empty());
  }
}

BOOST_AUTO_TEST_CASE(metrics_page_has_every_series) {
  metric_registry metrics;
  metrics.add("c_total", {{"route", "a"}}, 2);
  metrics.add("c_total", {{"route", "a"}});
  metrics.set("g", {}, 7);
  metrics.observe("h_seconds", {{"route", "a"}}, 0.0005);
  metrics.observe("h_seconds", {{"route", "a"}}, 0.5);
  metrics.observe("h_seconds", {{"route", "a"}}, 1000);
  const std::string page = metrics.page();
  for (const char* line :
       {"c_total{route=\"a\"} 3", "g 7", "h_seconds_count{route=\"a\"} 3",
        "h_seconds_bucket{route=\"a\",le=\"0.001\"} 1",
        "h_seconds_bucket{route=\"a\",le=\"+Inf\"} 3"}) {
    BOOST_TEST(page.find(line) != std::string::npos, line << '\n' << page);
  }
}

BOOST_AUTO_TEST_CASE(traceparent_is_read_strictly) {
  const std::string good =
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  BOOST_TEST(format_traceparent(parse_traceparent(good).value()) == good);
  for (const char* bad :
       {"", "00", "00-x-y-01",
        "00-00000000000000000000000000000000-b7ad6b7169203331-01",
        "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
        "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x"}) {
    BOOST_TEST(!parse_traceparent(bad), bad);
  }
}

BOOST_AUTO_TEST_CASE(spans_hang_under_the_caller_and_are_bounded) {
  const std::string path = std::tmpnam(nullptr);  // NOLINT
  boost::asio::io_context loop;
  {
    tracer_options options;
    options.process = "entry-1";
    options.file = path;
    options.sample = 0;
    options.max_buffered = 2;
    tracer traces(loop, options);
    traces.start_root("unsampled", "").end();
    auto root = traces.start_root(
        "request", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
    auto hop = traces.start_remote("prefill", root.traceparent());
    hop.set("endpoint", "p1");
    hop.end();
    root.end();
    traces.start("surplus", root.context()).end();
    BOOST_TEST(traces.dropped() == 1U);
  }
  std::ifstream file(path);
  std::string line;
  std::vector<nlohmann::json> spans;
  while (std::getline(file, line)) {
    spans.push_back(parse_json(line).value().at(
        "/resourceSpans/0/scopeSpans/0/spans/0"_json_pointer));
  }
  std::remove(path.c_str());
  BOOST_REQUIRE(spans.size() == 2U);
  BOOST_TEST(spans[0]["parentSpanId"] == spans[1]["spanId"]);
  BOOST_TEST(spans[1]["parentSpanId"] == "b7ad6b7169203331");
  BOOST_TEST(spans[0]["traceId"] == spans[1]["traceId"]);
}
