// Claims of idempotency keys: the machine of the log, under many orders of
// tries, ends and lost owners.
#include "entry/claims.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

#include "base/decode.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::int64_t second = 1000000;

struct machine {
  explicit machine(claims_options options = {}) : state(options) {}

  claim_state claim(const std::string& key, const std::string& digest,
                    const std::string& owner, std::int64_t at,
                    const std::string& organisation = "o") {
    const claim_request in{1, {organisation, key}, digest, owner, 30 * second};
    return apply(to_command(claim_command{in, at})).state;
  }
  void finish(const std::string& key, const std::string& owner, claim_end end,
              std::int64_t at, const std::string& body = "") {
    const claim_finish in{1, {"o", key}, owner, end, {200, {}, body, 0}};
    apply(to_command(finish_command{in, at}));
  }
  claim_reply apply(const nlohmann::json& command) {
    last = decode_value<claim_reply>(state.apply(++index, command)).value();
    return last;
  }

  claims state;
  std::uint64_t index = 0;
  claim_reply last;
};

}  // namespace

BOOST_AUTO_TEST_CASE(what_a_second_try_is_told) {
  struct row {
    const char* name;
    std::function<void(machine&)> before;
    const char* digest;
    std::int64_t at;
    claim_state expected;
  };
  const auto end = [](claim_end how, const char* owner = "a") {
    return [how, owner](machine& in) { in.finish("k", owner, how, second); };
  };
  const auto late = [](machine& in) {
    in.finish("k", "a", claim_end::done, second);
    in.finish("k", "a", claim_end::not_run, second);
  };
  const auto nothing = [](machine&) {};
  const auto full = [](machine& in) {
    in.finish("k", "a", claim_end::done, second, std::string(2000, 'x'));
  };
  const std::int64_t day = 24LL * 3600 * second;
  const std::vector<row> table{
      {"under way", nothing, "d", second, claim_state::in_progress},
      {"other request", nothing, "e", second, claim_state::conflict},
      {"owner lost", nothing, "d", 31 * second, claim_state::unknown},
      {"owner lost long ago", nothing, "d", 40 * second + day,
       claim_state::granted},
      {"done", end(claim_end::done), "d", 2 * second, claim_state::done},
      {"done, other request", end(claim_end::done), "e", 2 * second,
       claim_state::conflict},
      {"unknown", end(claim_end::unknown), "d", 2 * second,
       claim_state::unknown},
      {"not run", end(claim_end::not_run), "d", 2 * second,
       claim_state::granted},
      {"another's end", end(claim_end::not_run, "z"), "d", 2 * second,
       claim_state::in_progress},
      {"answer too large", full, "d", 2 * second, claim_state::unknown},
      {"done, then not run", late, "d", 2 * second, claim_state::done},
      {"old", end(claim_end::done), "d", 2 * second + day,
       claim_state::granted},
      {"a clock that goes back", end(claim_end::done), "d", -5 * second,
       claim_state::done}};
  for (const row& one : table) {
    claims_options options;
    options.most_answer_bytes = 1000;
    machine in(options);
    BOOST_TEST((in.claim("k", "d", "a", 0) == claim_state::granted));
    BOOST_TEST((in.claim("k", "d", "a", 0) == claim_state::granted),
               "a repeat by the owner");
    one.before(in);
    machine copy(options);
    copy.state.restore(in.state.snapshot());
    copy.index = in.index;
    for (machine* each : {&in, &copy}) {
      BOOST_TEST((each->claim("k", one.digest, "b", one.at) == one.expected),
                 one.name);
    }
  }
}

BOOST_AUTO_TEST_CASE(claims_and_answers_are_bounded) {
  claims_options options;
  options.most_claims = 10;
  options.most_per_organisation = 6;
  options.most_stored_bytes = 250;
  machine in(options);
  for (int key = 0; key < 6; ++key) {
    const std::string name = std::to_string(key);
    BOOST_TEST((in.claim(name, "d", "a", 0) == claim_state::granted));
    in.finish(name, "a", claim_end::done, 0, std::string(100, 'x'));
    BOOST_TEST(in.state.stored_bytes() <= 250U);
  }
  BOOST_TEST((in.claim("0", "d", "b", 0) == claim_state::unknown));
  BOOST_TEST((in.claim("5", "d", "b", 0) == claim_state::done));
  BOOST_TEST((in.claim("6", "d", "b", 0) == claim_state::full));
  for (int key = 0; key < 4; ++key) {
    in.claim(std::to_string(key), "d", "b", 0, "other");
  }
  BOOST_TEST((in.claim("9", "d", "b", 0, "third") == claim_state::full));
  BOOST_TEST(in.state.size() == 10U);
}

BOOST_AUTO_TEST_CASE(time_never_goes_back) {
  machine in;
  in.claim("x", "d", "a", 10 * second);
  in.claim("y", "d", "a", -100 * second);
  BOOST_TEST(
      (in.claim("y", "d", "b", 11 * second) == claim_state::in_progress));
}

BOOST_AUTO_TEST_CASE(a_bad_command_is_a_result) {
  machine in;
  BOOST_TEST((in.apply({{"kind", "claims"}}).state == claim_state::conflict));
  BOOST_TEST((in.apply({{"at_us", "x"}}).state == claim_state::conflict));
}

// Tries of one key through several entries, which end, vanish or repeat: at
// most one owner at a time, and none after one that may have run.
BOOST_AUTO_TEST_CASE(one_owner_under_random_orders) {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    std::mt19937_64 random(seed);
    machine in;
    std::int64_t now = 0;
    std::set<std::string> owners;  // granted and not ended as not run
    for (int step = 0; step < 60; ++step) {
      now += static_cast<std::int64_t>(random() % (4 * second));
      const std::string name = std::to_string(random() % 8);
      if (random() % 3 != 0) {
        const claim_state got = in.claim("k", "d", name, now);
        if (got == claim_state::granted) {
          owners.insert(name);
        }
      } else {
        const auto how = static_cast<claim_end>(random() % 3);
        in.finish("k", name, how, now);
        if (how == claim_end::not_run && in.state.size() == 0) {
          owners.erase(name);
        }
      }
      if (random() % 10 == 0) {
        in.state.restore(in.state.snapshot());
      }
      BOOST_REQUIRE_MESSAGE(owners.size() <= 1, "seed " << seed);
    }
  }
}
