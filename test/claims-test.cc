// The replicated state machine for claims of idempotency keys, with attempts,
// finishes and expired owners in many orders.
#include "entry/claims.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

#include "base/decode.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::int64_t second_us = 1000000;

struct claims_fixture {
  explicit claims_fixture(claims_options options = {}) : state(options) {}

  claim_state claim(const std::string& key, const std::string& digest,
                    const std::string& owner, std::int64_t at,
                    const std::string& organisation = "o") {
    const claim_request in{
        1, {organisation, key}, digest, owner, 30 * second_us};
    return apply(to_command(claim_command{in, at})).state;
  }
  void finish(const std::string& key, const std::string& owner, claim_end end,
              std::int64_t at, const std::string& body = "") {
    const claim_finish in{1, {"o", key}, owner, end, {200, {}, body, 0}};
    apply(to_command(finish_command{in, at}));
  }
  claim_reply apply(const nlohmann::json& command) {
    last_reply =
        decode_value<claim_reply>(state.apply(++index, command)).value();
    return last_reply;
  }

  claims state;
  std::uint64_t index = 0;
  claim_reply last_reply;
};

}  // namespace

BOOST_AUTO_TEST_CASE(second_attempt_gets_the_state_of_the_claim) {
  struct row {
    const char* name;
    std::function<void(claims_fixture&)> before;
    const char* digest;
    std::int64_t at;
    claim_state expected;
  };
  const auto finish_as = [](claim_end result, const char* owner = "a") {
    return [result, owner](claims_fixture& machine) {
      machine.finish("k", owner, result, second_us);
    };
  };
  const auto finish_twice = [](claims_fixture& machine) {
    machine.finish("k", "a", claim_end::done, second_us);
    machine.finish("k", "a", claim_end::not_run, second_us);
  };
  const auto do_nothing = [](claims_fixture&) {};
  const auto finish_with_large_answer = [](claims_fixture& machine) {
    machine.finish("k", "a", claim_end::done, second_us,
                   std::string(2000, 'x'));
  };
  const std::int64_t day = 24LL * 3600 * second_us;
  const std::vector<row> table{
      {"in progress", do_nothing, "d", second_us, claim_state::in_progress},
      {"different request", do_nothing, "e", second_us, claim_state::conflict},
      {"owner expired", do_nothing, "d", 31 * second_us, claim_state::unknown},
      {"owner expired and retention over", do_nothing, "d",
       40 * second_us + day, claim_state::granted},
      {"done", finish_as(claim_end::done), "d", 2 * second_us,
       claim_state::done},
      {"done, different request", finish_as(claim_end::done), "e",
       2 * second_us, claim_state::conflict},
      {"unknown", finish_as(claim_end::unknown), "d", 2 * second_us,
       claim_state::unknown},
      {"not run", finish_as(claim_end::not_run), "d", 2 * second_us,
       claim_state::granted},
      {"finished by another owner", finish_as(claim_end::not_run, "z"), "d",
       2 * second_us, claim_state::in_progress},
      {"answer too large", finish_with_large_answer, "d", 2 * second_us,
       claim_state::unknown},
      {"done, then not run", finish_twice, "d", 2 * second_us,
       claim_state::done},
      {"retention over", finish_as(claim_end::done), "d", 2 * second_us + day,
       claim_state::granted},
      {"clock goes backwards", finish_as(claim_end::done), "d", -5 * second_us,
       claim_state::done}};
  for (const row& each : table) {
    claims_options options;
    options.max_answer_bytes = 1000;
    claims_fixture machine(options);
    BOOST_TEST((machine.claim("k", "d", "a", 0) == claim_state::granted));
    BOOST_TEST((machine.claim("k", "d", "a", 0) == claim_state::granted),
               "claim repeated by the owner");
    each.before(machine);
    claims_fixture restored(options);
    restored.state.restore(machine.state.snapshot());
    restored.index = machine.index;
    for (claims_fixture* target : {&machine, &restored}) {
      BOOST_TEST(
          (target->claim("k", each.digest, "b", each.at) == each.expected),
          each.name);
    }
  }
}

BOOST_AUTO_TEST_CASE(claims_and_stored_answers_are_limited) {
  claims_options options;
  options.max_claims = 10;
  options.max_claims_per_organisation = 6;
  options.max_stored_bytes = 250;
  claims_fixture machine(options);
  for (int key = 0; key < 6; ++key) {
    const std::string name = std::to_string(key);
    BOOST_TEST((machine.claim(name, "d", "a", 0) == claim_state::granted));
    machine.finish(name, "a", claim_end::done, 0, std::string(100, 'x'));
    BOOST_TEST(machine.state.stored_bytes() <= 250U);
  }
  BOOST_TEST((machine.claim("0", "d", "b", 0) == claim_state::unknown));
  BOOST_TEST((machine.claim("5", "d", "b", 0) == claim_state::done));
  BOOST_TEST((machine.claim("6", "d", "b", 0) == claim_state::full));
  for (int key = 0; key < 4; ++key) {
    machine.claim(std::to_string(key), "d", "b", 0, "other");
  }
  BOOST_TEST((machine.claim("9", "d", "b", 0, "third") == claim_state::full));
  BOOST_TEST(machine.state.size() == 10U);
}

BOOST_AUTO_TEST_CASE(clock_never_goes_backwards) {
  claims_fixture machine;
  machine.claim("x", "d", "a", 10 * second_us);
  machine.claim("y", "d", "a", -100 * second_us);
  BOOST_TEST((machine.claim("y", "d", "b", 11 * second_us) ==
              claim_state::in_progress));
}

BOOST_AUTO_TEST_CASE(malformed_command_returns_conflict) {
  claims_fixture machine;
  BOOST_TEST(
      (machine.apply({{"kind", "claims"}}).state == claim_state::conflict));
  BOOST_TEST((machine.apply({{"at_us", "x"}}).state == claim_state::conflict));
}

// Attempts with one key through several entries that finish, disappear or
// repeat. Guards against two owners at a time and against a new owner after one
// that may have run the request.
BOOST_AUTO_TEST_CASE(at_most_one_owner_in_random_orders) {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 random(seed);
    claims_fixture machine;
    std::int64_t now = 0;
    std::set<std::string> owners;  // granted and not finished as not_run
    for (int step = 0; step < 60; ++step) {
      now += static_cast<std::int64_t>(random() % (4 * second_us));
      const std::string name = std::to_string(random() % 8);
      if (random() % 3 != 0) {
        const claim_state reply_state = machine.claim("k", "d", name, now);
        if (reply_state == claim_state::granted) {
          owners.insert(name);
        }
      } else {
        const auto result = static_cast<claim_end>(random() % 3);
        machine.finish("k", name, result, now);
        if (result == claim_end::not_run && machine.state.size() == 0) {
          owners.erase(name);
        }
      }
      if (random() % 10 == 0) {
        machine.state.restore(machine.state.snapshot());
      }
      BOOST_REQUIRE_MESSAGE(owners.size() <= 1, "seed " << seed);
    }
  }
}
