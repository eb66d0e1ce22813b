// Tests of the quarantine of single requests, without a network.
#include <boost/test/unit_test.hpp>
#include <string>

#include "gateway/prompt_quarantine.h"
#include "gateway/request_identity.h"
#include "gateway/server_end_check.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

constexpr time_point start = time_point(seconds(1000));
const std::string crashing = "r:a1";
const std::string sound = "r:b2";

// Makes the request crash two servers.
void crash_two(prompt_quarantine& in, time_point now) {
  in.record_request_end("s1", crashing, now);
  in.record_request_end("s2", crashing, now + milliseconds(40));
}

bool refuses(prompt_quarantine& in, const std::string& request,
             time_point now) {
  return in.find_quarantined({request}, now).has_value();
}

caller_request make_request(const std::string& target,
                            const std::string& body) {
  caller_request out;
  out.message.method = "POST";
  out.message.target = target;
  out.message.body = body;
  out.host = "a.example";
  return out;
}

std::string plain_hash(const std::string& text) {
  return std::to_string(std::hash<std::string>{}(text)) + "0000000000000000000";
}

}  // namespace

BOOST_AUTO_TEST_CASE(request_that_ended_two_servers_is_refused) {
  prompt_quarantine fleet;
  crash_two(fleet, start);
  const time_point now = start + milliseconds(50);
  BOOST_TEST(refuses(fleet, crashing, now));
  BOOST_TEST(!refuses(fleet, sound, now));
}

BOOST_AUTO_TEST_CASE(end_that_several_gateways_report_counts_once) {
  prompt_quarantine fleet;
  fleet.record_request_end("s1", crashing, start);
  fleet.record_request_end("s1", crashing, start + milliseconds(300));
  BOOST_TEST(!refuses(fleet, crashing, start + milliseconds(300)));
  BOOST_TEST(fleet.in_doubt({crashing}));
}

BOOST_AUTO_TEST_CASE(answered_request_is_not_blamed_for_earlier_ends) {
  prompt_quarantine fleet;
  fleet.record_request_end("s1", sound, start);
  fleet.record_answer(sound, start + milliseconds(10),
                      start + milliseconds(40));
  BOOST_TEST(!fleet.in_doubt({sound}));
  fleet.record_request_end("s2", sound, start + seconds(1));
  BOOST_TEST(!refuses(fleet, sound, start + seconds(1)));
}

// After each quarantine one end is enough, and the next one is twice as long.
BOOST_AUTO_TEST_CASE(request_that_crashes_servers_for_ever_is_tried_seldom) {
  prompt_quarantine fleet;
  crash_two(fleet, start);
  int sends = 0;
  int server = 2;
  constexpr int minutes = 10;
  for (time_point now = start + milliseconds(100);
       now < start + std::chrono::minutes(minutes); now += milliseconds(100)) {
    if (!refuses(fleet, crashing, now)) {
      ++sends;
      fleet.record_request_end("s" + std::to_string(++server), crashing,
                               now + milliseconds(30));
    }
  }
  // The first of them ends the third server.
  constexpr int max_retries_after_third_end = 3;
  BOOST_TEST(sends >= 2);
  BOOST_TEST(sends <= 1 + max_retries_after_third_end);
}

BOOST_AUTO_TEST_CASE(quarantined_request_that_was_mended_is_released) {
  prompt_quarantine fleet;
  crash_two(fleet, start);
  const time_point later = start + seconds(40);
  BOOST_TEST(!refuses(fleet, crashing, later));
  fleet.record_answer(crashing, later, later + milliseconds(30));
  fleet.record_request_end("s9", crashing, later + seconds(1));
  BOOST_TEST(!refuses(fleet, crashing, later + seconds(1)));
}

BOOST_AUTO_TEST_CASE(gateways_share_what_they_know_of_a_request) {
  prompt_quarantine first;
  prompt_quarantine second;
  first.record_request_end("s1", crashing, start);
  second.record_request_end("s2", crashing, start + milliseconds(40));
  const time_point now = start + milliseconds(60);
  second.merge(first.state(now), now);
  BOOST_TEST(refuses(second, crashing, now));
  prompt_quarantine restarted;
  restarted.merge(second.state(now), now);
  restarted.merge(first.state(now), now);
  BOOST_TEST(refuses(restarted, crashing, now));
  // Only one more end quarantines it again, however often states are merged.
  const time_point later = start + seconds(45);
  restarted.merge(first.state(later), later);
  BOOST_TEST(!refuses(restarted, crashing, later));
}

// Parts of prompts that the request shares with sound ones are not suspected.
BOOST_AUTO_TEST_CASE(quarantined_request_explains_ends_to_its_parts) {
  prompt_quarantine fleet;
  for (int server = 0; server < 6; ++server) {
    const time_point now = start + milliseconds(500) * server;
    const std::string name = "s" + std::to_string(server);
    fleet.record_end(name, {"shared"}, now);
    fleet.record_request_end(name, crashing, now);
  }
  BOOST_TEST(refuses(fleet, crashing, start + seconds(3)));
  BOOST_TEST(!fleet.find_quarantined({"shared"}, start + seconds(3)));
}

BOOST_AUTO_TEST_CASE(unbounded_identities_take_bounded_memory) {
  prompt_quarantine fleet;
  for (int i = 0; i < 5000; ++i) {
    const std::string request = "r:" + std::to_string(i);
    const time_point now = start + milliseconds(i);
    fleet.record_request_end("s" + std::to_string(i % 300), request, now);
  }
  const quarantine_state all = fleet.state(start + seconds(5));
  const quarantine_options limits;
  BOOST_TEST(all.ends.size() <= limits.max_ends);
  BOOST_TEST(all.parts.size() <= limits.max_parts);
  for (const server_end_state& each : all.ends) {
    BOOST_TEST(each.requests.size() <= limits.max_requests);
  }
}

BOOST_AUTO_TEST_CASE(identity_depends_on_caller_path_and_body) {
  const caller_request one = make_request("/a?x=1", "body");
  const std::string identity = identify_request(plain_hash, one, "t1");
  BOOST_TEST(is_request_identity(identity));
  BOOST_TEST(identity.rfind(identity_prefix(plain_hash, one, "t1"), 0) == 0U);
  caller_request again = one;
  again.id = "another";
  BOOST_TEST(identify_request(plain_hash, again, "t1") == identity);
  BOOST_TEST(identify_request(plain_hash, one, "t2") != identity);
  BOOST_TEST(identify_request(plain_hash, make_request("/a?x=2", "body"),
                              "t1") != identity);
  BOOST_TEST(identify_request(plain_hash, make_request("/a?x=1", "other"),
                              "t1") != identity);
}

BOOST_AUTO_TEST_CASE(answers_lost_by_a_server_that_goes_on_blame_no_request) {
  prompt_quarantine fleet;
  bool refused = false;
  int checks = 0;
  server_end_check check(
      fleet, [&](const std::string&, const std::function<void(bool)>& done) {
        ++checks;
        done(refused);
      });
  check.answer_lost("s1", "127.0.0.1:1", crashing);
  BOOST_TEST(!fleet.in_doubt({crashing}));
  refused = true;
  check.answer_lost("s2", "127.0.0.1:2", crashing);
  BOOST_TEST(fleet.in_doubt({crashing}));
  BOOST_TEST(checks == 2);
}
