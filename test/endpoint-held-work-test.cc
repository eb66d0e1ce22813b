// Tests of attempt leases (kept while claimed, expired otherwise), of the
// leaving state, and of reading and resuming token streams.
#include "endpoint/attempt_leases.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "endpoint/leaving.h"
#include "endpoint/stream_tokens.h"
#include "endpoint/token_reader.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

const attempt_key first{"entry-1", 7, 1, 1};
const time_point start{seconds(100)};

attempt_leases make_leases() {
  attempt_leases leases{{}};
  leases.update_session("entry-1", 7, true, start);
  leases.sweep(start);
  return leases;
}

// Sweeps every 100 ms, as a running process does, up to `until`. Returns the
// attempts whose lease expired.
std::vector<attempt_key> sweep_until(attempt_leases& leases, time_point from,
                                     time_point until) {
  std::vector<attempt_key> expired;
  for (time_point now = from; now <= until; now += milliseconds(100)) {
    for (const attempt_key& key : leases.sweep(now)) {
      expired.push_back(key);
      leases.end(key, now);
    }
  }
  return expired;
}

}  // namespace

BOOST_AUTO_TEST_CASE(an_attempt_runs_once) {
  attempt_leases leases = make_leases();
  BOOST_TEST((leases.begin(first, start) == failure_reason::none));
  BOOST_TEST((leases.begin(first, start) == failure_reason::duplicate));
  leases.end(first, start);
  BOOST_TEST((leases.begin(first, start) == failure_reason::duplicate));
  BOOST_TEST(leases.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_cancel_that_arrives_before_its_work_ends_the_attempt) {
  attempt_leases leases = make_leases();
  leases.end(first, start);
  BOOST_TEST((leases.hold(first, start) == failure_reason::cancelled));
  BOOST_TEST((leases.begin(first, start) == failure_reason::cancelled));
  BOOST_TEST(leases.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_forgotten_attempt_can_start_again) {
  attempt_leases leases = make_leases();
  BOOST_TEST((leases.hold(first, start) == failure_reason::none));
  leases.forget(first);
  BOOST_TEST((leases.begin(first, start) == failure_reason::none));
}

BOOST_AUTO_TEST_CASE(leases_expire_after_the_session_is_lost) {
  attempt_leases leases = make_leases();
  leases.begin(first, start);
  leases.update_session("entry-1", 7, false, start);
  BOOST_TEST(sweep_until(leases, start, start + seconds(5)).empty());
  const auto expired =
      sweep_until(leases, start + seconds(5), start + milliseconds(5200));
  BOOST_TEST((expired == std::vector<attempt_key>{first}));
  BOOST_TEST(!leases.holds(first));
}

BOOST_AUTO_TEST_CASE(leases_survive_a_session_that_reconnects_in_time) {
  attempt_leases leases = make_leases();
  leases.begin(first, start);
  leases.update_session("entry-1", 7, false, start);
  BOOST_TEST(sweep_until(leases, start, start + seconds(4)).empty());
  BOOST_TEST(
      leases.update_session("entry-1", 7, true, start + seconds(4)).empty());
  BOOST_TEST(
      sweep_until(leases, start + seconds(4), start + seconds(30)).empty());
}

BOOST_AUTO_TEST_CASE(claims_renew_only_the_attempts_that_they_name) {
  attempt_leases leases = make_leases();
  const attempt_key other{"entry-1", 7, 2, 1};
  leases.begin(first, start);
  leases.begin(other, start);
  std::vector<attempt_key> expired;
  for (int second = 0; second < 10; ++second) {
    const time_point now = start + seconds(second);
    leases.claim({"entry-1", 7, {first}}, now);
    const auto newly_expired =
        sweep_until(leases, now, now + milliseconds(900));
    expired.insert(expired.end(), newly_expired.begin(), newly_expired.end());
  }
  BOOST_TEST((expired == std::vector<attempt_key>{other}));
  BOOST_TEST(leases.holds(first));
}

BOOST_AUTO_TEST_CASE(claims_of_another_incarnation_renew_nothing) {
  attempt_leases leases = make_leases();
  leases.begin(first, start);
  leases.update_session("entry-1", 7, false, start);
  std::size_t expired = 0;
  for (int second = 0; second < 7; ++second) {
    const time_point now = start + seconds(second);
    leases.claim({"entry-1", 8, {first}}, now);
    expired += sweep_until(leases, now, now + milliseconds(900)).size();
  }
  BOOST_TEST(expired == 1U);
}

BOOST_AUTO_TEST_CASE(a_restarted_entry_ends_its_old_leases_at_once) {
  attempt_leases leases = make_leases();
  leases.begin(first, start);
  const auto expired =
      leases.update_session("entry-1", 9, true, start + seconds(1));
  BOOST_TEST((expired == std::vector<attempt_key>{first}));
}

BOOST_AUTO_TEST_CASE(attempts_cancelled_before_adoption_are_not_adopted) {
  attempt_leases leases{{}};
  const attempt_key other{"entry-1", 7, 2, 1};
  leases.update_session("entry-1", 7, true, start);
  leases.end(first, start);
  BOOST_TEST(!leases.adopt(first, start));
  BOOST_TEST(leases.adopt(other, start));
  BOOST_TEST(leases.adopt(other, start));
  BOOST_TEST(!leases.holds(first));
  BOOST_TEST(leases.holds(other));
}

BOOST_AUTO_TEST_CASE(adopted_attempts_expire_unless_claimed) {
  attempt_leases leases{{}};
  const attempt_key other{"entry-1", 7, 2, 1};
  leases.sweep(start);
  leases.adopt(first, start);
  leases.adopt(other, start);
  leases.update_session("entry-1", 7, true, start);
  BOOST_TEST(sweep_until(leases, start, start + seconds(1)).empty());
  leases.claim({"entry-1", 7, {other}}, start + seconds(1));
  BOOST_TEST(
      sweep_until(leases, start + seconds(1), start + seconds(3)).empty());
  leases.claim({"entry-1", 7, {other}}, start + seconds(3));
  const auto expired =
      sweep_until(leases, start + seconds(3), start + milliseconds(6200));
  BOOST_TEST((expired == std::vector<attempt_key>{first}));
  BOOST_TEST(leases.holds(other));
}

BOOST_AUTO_TEST_CASE(suspension_of_this_process_does_not_expire_leases) {
  attempt_leases leases = make_leases();
  leases.begin(first, start);
  leases.claim({"entry-1", 7, {first}}, start);
  const time_point resumed_at = start + seconds(60);
  BOOST_TEST(leases.sweep(resumed_at).empty());
  BOOST_TEST(sweep_until(leases, resumed_at, resumed_at + seconds(6)).size() ==
             1U);
}

BOOST_AUTO_TEST_CASE(repeats_are_forgotten_after_the_retention) {
  attempt_leases leases = make_leases();
  leases.begin(first, start);
  leases.end(first, start);
  sweep_until(leases, start, start + seconds(59));
  BOOST_TEST((leases.begin(first, start) == failure_reason::duplicate));
  sweep_until(leases, start + seconds(59), start + seconds(62));
  BOOST_TEST((leases.begin(first, start) == failure_reason::none));
}

BOOST_AUTO_TEST_CASE(leaving_needs_one_source_and_a_signal_cannot_be_revoked) {
  leaving_state state;
  BOOST_TEST(!state.leaving());
  BOOST_TEST(state.set(leaving_source::configuration, true));
  BOOST_TEST(!state.set(leaving_source::platform_list, true));
  BOOST_TEST(!state.set(leaving_source::configuration, false));
  BOOST_TEST(state.leaving());
  BOOST_TEST(state.set(leaving_source::platform_list, false));
  BOOST_TEST(state.set(leaving_source::signal, true));
  BOOST_TEST(!state.set(leaving_source::signal, false));
  BOOST_TEST(state.leaving());
}

BOOST_AUTO_TEST_CASE(a_stream_resumes_at_any_retained_offset) {
  stream_tokens tokens(3);
  tokens.add({"d", "e", "f"});
  BOOST_TEST(tokens.unsent().size() == 3U);
  tokens.mark_sent();
  BOOST_TEST(tokens.all_sent());
  tokens.pause();
  tokens.add({"g"});
  BOOST_TEST(tokens.unsent().empty());
  BOOST_TEST(!tokens.all_sent());
  BOOST_TEST(!tokens.resume(2));
  BOOST_TEST(!tokens.resume(8));
  BOOST_TEST(tokens.resume(5));
  BOOST_TEST((tokens.unsent() == std::vector<std::string>{"f", "g"}));
}

namespace {

std::string token_line(const std::string& id, int offset) {
  return "data: " +
         nlohmann::json{{"id", id}, {"offset", offset}, {"token", "t"}}.dump() +
         "\n\n";
}
std::string end_line(const std::string& id, int total) {
  return "data: " +
         nlohmann::json{{"id", id}, {"done", true}, {"total", total}}.dump() +
         "\n\n";
}

}  // namespace

BOOST_AUTO_TEST_CASE(an_engine_stream_is_parsed_wherever_it_is_split) {
  const std::string text =
      token_line("a", 2) + token_line("a", 3) + end_line("a", 4);
  const unsigned seed = std::random_device{}();
  BOOST_TEST_MESSAGE("seed " << seed);
  std::mt19937 random(seed);
  for (int round = 0; round < 200; ++round) {
    token_reader reader("a", 2);
    std::size_t count = 0;
    for (std::size_t at = 0; at < text.size();) {
      const std::size_t size = 1 + random() % 40;
      BOOST_TEST_REQUIRE(reader.read(text.substr(at, size)).ok());
      count += reader.tokens().size();
      at += size;
    }
    BOOST_TEST_REQUIRE(reader.complete());
    BOOST_TEST_REQUIRE(count == 2U);
  }
}

BOOST_AUTO_TEST_CASE(an_invalid_engine_stream_is_refused) {
  const std::vector<std::string> invalid_streams{
      token_line("b", 0),                       // token of another request
      token_line("a", 1),                       // missing token
      token_line("a", 0) + token_line("a", 0),  // repeated token
      end_line("a", 1),                         // end line before its tokens
      end_line("b", 0),                         // end line of another request
      end_line("a", 0) + token_line("a", 0),    // token after the end line
      "data: {\"id\": \"\n",                    // truncated JSON
      "data: {\"id\": 5, \"offset\": 0}\n",
      "nonsense\n"};
  for (const std::string& text : invalid_streams) {
    token_reader reader("a", 0);
    BOOST_TEST(!reader.read(text).ok(), text);
    BOOST_TEST(!reader.read(token_line("a", 0)).ok());
  }
}
