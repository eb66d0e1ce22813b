// Urgencies of requests, the waits derived from them, and the messages that
// carry them. Guards against ranks that take effect where all are equal.
#include <boost/test/unit_test.hpp>

#include "gateway/gateway_configuration.h"
#include "gateway/urgency.h"
#include "wire/document_messages.h"

using namespace citronwharf;

namespace {

gateway_route make_route(const std::string& service, std::int64_t rank) {
  gateway_route out;
  out.rank = rank;
  out.services.push_back({service, 1});
  return out;
}

gateway_organisation make_organisation(const std::string& name,
                                       std::int64_t rank) {
  gateway_organisation out;
  out.name = name;
  out.rank = rank;
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(an_urgency_is_the_position_of_a_rank) {
  gateway_configuration in;
  in.routes = {make_route("chat", 7), make_route("chat", 2),
               make_route("chat", 40), make_route("chat", 7)};
  const urgency_table table(in);
  BOOST_TEST(table.has_ranks("chat"));
  BOOST_TEST(table.of_route("chat", in.routes[1]) == 0);
  BOOST_TEST(table.of_route("chat", in.routes[0]) == 1);
  BOOST_TEST(table.of_route("chat", in.routes[2]) == 2);
  BOOST_TEST(table.levels("chat") == 3);
}

BOOST_AUTO_TEST_CASE(ranks_that_differ_only_between_services_have_no_effect) {
  gateway_configuration in;
  in.routes = {make_route("chat", 3), make_route("pages", 0)};
  in.organisations = {make_organisation("importers", 4),
                      make_organisation("exporters", 4)};
  const urgency_table table(in);
  BOOST_TEST(!table.has_ranks("chat"));
  BOOST_TEST(table.of_route("chat", in.routes[0]) == 0);
  BOOST_TEST(table.of_request("chat", in.routes[0], &in.organisations->at(0)) ==
             0);
  BOOST_TEST(table.levels("chat") == 1);
  BOOST_TEST(table.levels("unknown") == 1);
}

BOOST_AUTO_TEST_CASE(the_rank_of_an_organisation_goes_first) {
  gateway_configuration in;
  in.routes = {make_route("chat", 0), make_route("chat", 1)};
  in.organisations = {make_organisation("importers", 0),
                      make_organisation("exporters", 5)};
  const urgency_table table(in);
  const auto& importers = in.organisations->at(0);
  const auto& exporters = in.organisations->at(1);
  BOOST_TEST(table.of_request("chat", in.routes[1], &importers) <
             table.of_request("chat", in.routes[0], &exporters));
  BOOST_TEST(table.of_request("chat", in.routes[1], &exporters) == 3);
  BOOST_TEST(table.levels("chat") == 4);
}

BOOST_AUTO_TEST_CASE(a_retry_is_within_the_time_that_callers_honour) {
  BOOST_TEST((spread_retry_wait(seconds(1), seconds(14), 0.9) == seconds(1)));
  BOOST_TEST((spread_retry_wait(seconds(5), seconds(12), 0) == seconds(2)));
  BOOST_TEST((spread_retry_wait(seconds(5), seconds(12), 0.5) == seconds(3)));
  BOOST_TEST((spread_retry_wait(seconds(5), -seconds(1), 0.5) == duration{}));
}

BOOST_AUTO_TEST_CASE(a_generation_leaves_the_time_for_its_prompt) {
  const milliseconds objective(1000);
  BOOST_TEST(
      (max_generation_wait(objective, milliseconds(350)) == milliseconds(550)));
  BOOST_TEST(
      (max_generation_wait(objective, milliseconds(10)) == milliseconds(650)));
  BOOST_TEST((max_generation_wait(objective, seconds(2)) == milliseconds(420)));
}

// Older processes neither send nor expect an urgency.
BOOST_AUTO_TEST_CASE(an_ask_of_the_first_urgency_is_encoded_as_before) {
  fleet_tokens_ask ask{1, "importers", 250, 3000};
  BOOST_TEST(!nlohmann::json(ask).contains("urgency"));
  BOOST_TEST((nlohmann::json(ask).get<fleet_tokens_ask>() == ask));
  ask.urgency = 2;
  BOOST_TEST(nlohmann::json(ask).at("urgency") == 2);
  BOOST_TEST((nlohmann::json(ask).get<fleet_tokens_ask>() == ask));
}
