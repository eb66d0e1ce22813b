// Leases of what an endpoint holds: kept while wanted, ended otherwise.
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

attempt_leases make() {
  attempt_leases held{{}};
  held.session("entry-1", 7, true, start);
  held.sweep(start);
  return held;
}

// Sweeps as a live process does, up to `until`; returns what was dropped.
std::vector<attempt_key> sweep_until(attempt_leases& held, time_point from,
                                     time_point until) {
  std::vector<attempt_key> gone;
  for (time_point now = from; now <= until; now += milliseconds(100)) {
    for (const attempt_key& key : held.sweep(now)) {
      gone.push_back(key);
      held.end(key, now);
    }
  }
  return gone;
}

}  // namespace

BOOST_AUTO_TEST_CASE(an_attempt_runs_once) {
  attempt_leases held = make();
  BOOST_TEST((held.begin(first, start) == failure_reason::none));
  BOOST_TEST((held.begin(first, start) == failure_reason::duplicate));
  held.end(first, start);
  BOOST_TEST((held.begin(first, start) == failure_reason::duplicate));
  BOOST_TEST(held.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_cancel_that_overtakes_its_work_wins) {
  attempt_leases held = make();
  held.end(first, start);
  BOOST_TEST((held.hold(first, start) == failure_reason::cancelled));
  BOOST_TEST((held.begin(first, start) == failure_reason::cancelled));
  BOOST_TEST(held.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_promise_let_go_may_come_again) {
  attempt_leases held = make();
  BOOST_TEST((held.hold(first, start) == failure_reason::none));
  held.forget(first);
  BOOST_TEST((held.begin(first, start) == failure_reason::none));
}

BOOST_AUTO_TEST_CASE(a_lost_session_ends_its_holds_after_the_lease) {
  attempt_leases held = make();
  held.begin(first, start);
  held.session("entry-1", 7, false, start);
  BOOST_TEST(sweep_until(held, start, start + seconds(5)).empty());
  const auto gone =
      sweep_until(held, start + seconds(5), start + milliseconds(5200));
  BOOST_TEST((gone == std::vector<attempt_key>{first}));
  BOOST_TEST(!held.holds(first));
}

BOOST_AUTO_TEST_CASE(a_session_that_comes_back_keeps_its_holds) {
  attempt_leases held = make();
  held.begin(first, start);
  held.session("entry-1", 7, false, start);
  BOOST_TEST(sweep_until(held, start, start + seconds(4)).empty());
  BOOST_TEST(held.session("entry-1", 7, true, start + seconds(4)).empty());
  BOOST_TEST(
      sweep_until(held, start + seconds(4), start + seconds(30)).empty());
}

BOOST_AUTO_TEST_CASE(claims_keep_what_they_name_and_nothing_else) {
  attempt_leases held = make();
  const attempt_key other{"entry-1", 7, 2, 1};
  held.begin(first, start);
  held.begin(other, start);
  std::vector<attempt_key> gone;
  for (int second = 0; second < 10; ++second) {
    const time_point now = start + seconds(second);
    held.claim({"entry-1", 7, {first}}, now);
    const auto more = sweep_until(held, now, now + milliseconds(900));
    gone.insert(gone.end(), more.begin(), more.end());
  }
  BOOST_TEST((gone == std::vector<attempt_key>{other}));
  BOOST_TEST(held.holds(first));
}

BOOST_AUTO_TEST_CASE(claims_of_another_incarnation_keep_nothing) {
  attempt_leases held = make();
  held.begin(first, start);
  held.session("entry-1", 7, false, start);
  std::size_t gone = 0;
  for (int second = 0; second < 7; ++second) {
    const time_point now = start + seconds(second);
    held.claim({"entry-1", 8, {first}}, now);
    gone += sweep_until(held, now, now + milliseconds(900)).size();
  }
  BOOST_TEST(gone == 1U);
}

BOOST_AUTO_TEST_CASE(a_restarted_entry_ends_its_old_holds_at_once) {
  attempt_leases held = make();
  held.begin(first, start);
  const auto gone = held.session("entry-1", 9, true, start + seconds(1));
  BOOST_TEST((gone == std::vector<attempt_key>{first}));
}

BOOST_AUTO_TEST_CASE(what_was_cancelled_before_the_sweep_is_not_adopted) {
  attempt_leases held{{}};
  const attempt_key other{"entry-1", 7, 2, 1};
  held.session("entry-1", 7, true, start);
  held.end(first, start);
  BOOST_TEST(!held.adopt(first, start));
  BOOST_TEST(held.adopt(other, start));
  BOOST_TEST(held.adopt(other, start));
  BOOST_TEST(!held.holds(first));
  BOOST_TEST(held.holds(other));
}

BOOST_AUTO_TEST_CASE(adopted_work_ends_unless_claimed) {
  attempt_leases held{{}};
  const attempt_key other{"entry-1", 7, 2, 1};
  held.sweep(start);
  held.adopt(first, start);
  held.adopt(other, start);
  held.session("entry-1", 7, true, start);
  BOOST_TEST(sweep_until(held, start, start + seconds(1)).empty());
  held.claim({"entry-1", 7, {other}}, start + seconds(1));
  BOOST_TEST(sweep_until(held, start + seconds(1), start + seconds(3)).empty());
  held.claim({"entry-1", 7, {other}}, start + seconds(3));
  const auto gone =
      sweep_until(held, start + seconds(3), start + milliseconds(6200));
  BOOST_TEST((gone == std::vector<attempt_key>{first}));
  BOOST_TEST(held.holds(other));
}

BOOST_AUTO_TEST_CASE(own_freeze_does_not_end_the_leases_of_others) {
  attempt_leases held = make();
  held.begin(first, start);
  held.claim({"entry-1", 7, {first}}, start);
  const time_point thawed = start + seconds(60);
  BOOST_TEST(held.sweep(thawed).empty());
  BOOST_TEST(sweep_until(held, thawed, thawed + seconds(6)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(repeats_are_forgotten_after_the_retention) {
  attempt_leases held = make();
  held.begin(first, start);
  held.end(first, start);
  sweep_until(held, start, start + seconds(59));
  BOOST_TEST((held.begin(first, start) == failure_reason::duplicate));
  sweep_until(held, start + seconds(59), start + seconds(62));
  BOOST_TEST((held.begin(first, start) == failure_reason::none));
}

BOOST_AUTO_TEST_CASE(leaving_needs_one_source_and_a_signal_stays) {
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

BOOST_AUTO_TEST_CASE(a_stream_goes_on_at_any_offset_it_has) {
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

std::string line(const std::string& id, int offset) {
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

BOOST_AUTO_TEST_CASE(an_engine_stream_is_read_wherever_it_is_cut) {
  const std::string text = line("a", 2) + line("a", 3) + end_line("a", 4);
  const unsigned seed = std::random_device{}();
  BOOST_TEST_MESSAGE("seed " << seed);
  std::mt19937 random(seed);
  for (int round = 0; round < 200; ++round) {
    token_reader reader("a", 2);
    std::size_t count = 0;
    for (std::size_t at = 0; at < text.size();) {
      const std::size_t size = 1 + random() % 40;
      BOOST_TEST_REQUIRE(reader.take(text.substr(at, size)).ok());
      count += reader.tokens().size();
      at += size;
    }
    BOOST_TEST_REQUIRE(reader.whole());
    BOOST_TEST_REQUIRE(count == 2U);
  }
}

BOOST_AUTO_TEST_CASE(an_engine_stream_that_is_not_ours_is_refused) {
  const std::vector<std::string> bad{
      line("b", 0),                     // of another request
      line("a", 1),                     // a token is missing
      line("a", 0) + line("a", 0),      // a token twice
      end_line("a", 1),                 // an end before its tokens
      end_line("b", 0),                 // an end of another request
      end_line("a", 0) + line("a", 0),  // a token after the end
      "data: {\"id\": \"\n",            // half a line
      "data: {\"id\": 5, \"offset\": 0}\n",
      "nonsense\n"};
  for (const std::string& text : bad) {
    token_reader reader("a", 0);
    BOOST_TEST(!reader.take(text).ok(), text);
    BOOST_TEST(!reader.take(line("a", 0)).ok());
  }
}
