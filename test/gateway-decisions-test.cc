// Tests gateway decisions that need no network: routes and keys, retries, retry
// budget, allowances, choice of servers, stages.
#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

#include "control/key.h"
#include "gateway/admission_filter.h"
#include "gateway/attempt_policy.h"
#include "gateway/directory_sync.h"
#include "gateway/event_splitter.h"
#include "gateway/fleet_allowance.h"
#include "gateway/forward.h"
#include "gateway/retry_budget.h"
#include "gateway/server_list.h"
#include "gateway/stage_planner.h"

namespace citronwharf {
namespace {

const time_point start{seconds(1000)};

gateway_configuration test_configuration() {
  gateway_configuration out;
  out.version = 7;
  out.services = {{"models", "/health", 100, engine_profile{}},
                  {"desk", "/health", 100, std::nullopt}};
  gateway_route wide;
  wide.name = "wide";
  wide.host = "shop.example";
  wide.path_prefix = "/a/";
  wide.timeout_ms = 1000;
  wide.services = {{"desk", 1}};
  gateway_route narrow = wide;
  narrow.name = "narrow";
  narrow.path_prefix = "/a/b/";
  narrow.services = {{"models", 1}};
  gateway_route open = wide;
  open.name = "open";
  open.path_prefix = "/open/";
  open.open = true;
  out.routes = {wide, narrow, open};
  out.organisations = {gateway_organisation{
      "importers", {digest_of("secret")}, 0, 100, 200, 20}};
  return out;
}

caller_request request_to(const std::string& path, const std::string& key) {
  caller_request out;
  out.host = "Shop.Example";
  out.path = path;
  out.key = key;
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(configuration_errors_are_described) {
  struct row {
    const char* expected;
    std::function<void(gateway_configuration&)> break_configuration;
  };
  const row rows[] = {
      {"does not exist",
       [](auto& in) {
         in.routes[0].services = {{"nobody", 1}};
       }},
      {"another route",
       [](auto& in) { in.routes[1].path_prefix = in.routes[0].path_prefix; }},
      {"add up to 0",
       [](auto& in) {
         in.routes[0].services = {{"desk", 0}};
       }},
      {"is negative",
       [](auto& in) {
         in.routes[0].services = {{"desk", -1}, {"models", 2}};
       }},
      {"timeout", [](auto& in) { in.routes[0].timeout_ms = 0; }},
      {"share a key",
       [](auto& in) {
         in.organisations->push_back(in.organisations->front());
         in.organisations->back().name = "brokers";
       }},
  };
  BOOST_TEST(find_fault(test_configuration()) == "");
  for (const row& each : rows) {
    gateway_configuration broken = test_configuration();
    each.break_configuration(broken);
    const std::string fault = find_fault(broken);
    BOOST_TEST_CONTEXT(each.expected) {
      BOOST_TEST(fault.find(each.expected) != std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_CASE(route_with_the_longest_matching_prefix_is_chosen) {
  const routing_table table(test_configuration());
  BOOST_TEST(table.find_route("shop.example", "/a/b/c")->name == "narrow");
  BOOST_TEST(table.find_route("shop.example", "/a/x")->name == "wide");
  BOOST_TEST(table.find_route("shop.example", "/a") == nullptr);
  BOOST_TEST(table.find_route("other.example", "/a/x") == nullptr);
}

BOOST_AUTO_TEST_CASE(
    filters_refuse_permanently_only_with_a_fresh_configuration) {
  const routing_table table(test_configuration());
  struct row {
    const char* path;
    const char* key;
    bool fresh;
    int status;  // 0: accepted
  };
  const row rows[] = {
      {"/a/x", "secret", true, 0},      {"/a/x", "wrong", true, 401},
      {"/a/x", "", true, 401},          {"/none/", "secret", true, 404},
      {"/open/x", "", true, 0},         {"/open/x", "", false, 0},
      {"/a/x", "secret", false, 503},   {"/a/x", "wrong", false, 503},
      {"/none/", "secret", false, 503},
  };
  for (const row& each : rows) {
    const filter_result got =
        apply_filters(table, request_to(each.path, each.key), each.fresh);
    BOOST_TEST_CONTEXT(each.path << " " << each.key << " " << each.fresh) {
      BOOST_TEST((got.refusal ? got.refusal->status : 0) == each.status);
    }
  }
  const routing_table none{gateway_configuration{}};
  BOOST_TEST(
      apply_filters(none, request_to("/a/x", ""), true).refusal->status == 503);
}

// Guards against an empty list of organisations being taken for no list, with
// which any key is accepted.
BOOST_AUTO_TEST_CASE(an_empty_list_of_organisations_makes_no_key_valid) {
  gateway_configuration in = test_configuration();
  in.organisations.emplace();
  const routing_table empty(in);
  in.organisations.reset();
  const routing_table none(in);
  const auto status_of = [](const routing_table& table, const char* path,
                            const char* key, bool fresh) {
    const filter_result got =
        apply_filters(table, request_to(path, key), fresh);
    return got.refusal ? got.refusal->status : 0;
  };
  for (const char* key : {"secret", "wrong", ""}) {
    BOOST_TEST_CONTEXT(key) {
      BOOST_TEST(status_of(empty, "/a/x", key, true) == 401);
      BOOST_TEST(status_of(empty, "/a/x", key, false) == 503);
      BOOST_TEST(status_of(empty, "/open/x", key, true) == 0);
      BOOST_TEST(status_of(none, "/a/x", key, true) == 0);
    }
  }
  BOOST_TEST(empty.find_organisation_by_name("importers") == nullptr);
}

BOOST_AUTO_TEST_CASE(
    allowance_counts_prompt_and_output_tokens_or_a_flat_amount) {
  const gateway_organisation of = test_configuration().organisations->front();
  caller_request plain;
  BOOST_TEST(allowance_tokens(of, plain) == 20);
  plain.prompt_tokens = 1460;
  plain.max_output_tokens = 80;
  BOOST_TEST(allowance_tokens(of, plain) == 1540);
}

BOOST_AUTO_TEST_CASE(retries_only_if_nothing_ran_or_request_may_run_again) {
  const attempt_report unsent{};
  const attempt_report lost{true, false, false, 0};
  const attempt_report refused{true, true, true, 503};
  const attempt_report error{true, true, false, 500};
  const attempt_report good{true, true, false, 200};
  // Responses that do not state that nothing ran.
  const attempt_report full{true, true, false, 503};
  const attempt_report too_many{true, true, false, 429};
  const attempt_report too_late{true, true, false, 408};
  struct row {
    repeatability repeat = repeatability::at_most_once;
    attempt_report report;
    std::int64_t possible_executions = 0;
    std::int64_t attempts = 0;
    attempt_decision want = attempt_decision::deliver;
  };
  using kind = repeatability;
  const row rows[] = {
      {kind::at_most_once, unsent, 0, 1, attempt_decision::retry},
      {kind::at_most_once, refused, 0, 1, attempt_decision::retry},
      {kind::at_most_once, refused, 0, max_attempts,
       attempt_decision::refuse_not_run},
      {kind::at_most_once, unsent, 0, max_attempts,
       attempt_decision::refuse_not_run},
      {kind::at_most_once, lost, 1, 1, attempt_decision::fail_unknown},
      {kind::at_most_once, error, 1, 1, attempt_decision::deliver},
      {kind::at_most_once, good, 1, 1, attempt_decision::deliver},
      {kind::at_most_once, full, 1, 1, attempt_decision::fail_unknown},
      {kind::at_most_once, too_many, 1, 1, attempt_decision::fail_unknown},
      {kind::at_most_once, too_late, 1, 1, attempt_decision::fail_unknown},
      {kind::idempotent, too_many, 1, 1, attempt_decision::deliver},
      {kind::idempotent, lost, 1, 1, attempt_decision::retry},
      {kind::idempotent, lost, 2, 2, attempt_decision::fail_unknown},
      {kind::idempotent, error, 1, 1, attempt_decision::retry},
      {kind::idempotent, error, 2, 2, attempt_decision::deliver},
      // An earlier attempt may have run the request, so the refusal does not
      // prove that nothing ran.
      {kind::idempotent, refused, 1, max_attempts,
       attempt_decision::fail_unknown},
      {kind::resumable_stream, lost, 1, 1, attempt_decision::retry},
  };
  for (const row& each : rows) {
    request_progress progress;
    progress.repeat = each.repeat;
    progress.max_servers = 2;
    progress.possible_executions = each.possible_executions;
    progress.attempts = each.attempts;
    progress.time_left = seconds(1);
    BOOST_TEST((decide_after_attempt(each.report, progress) == each.want));
  }
  request_progress late;
  late.repeat = kind::idempotent;
  late.max_servers = 2;
  late.possible_executions = 1;
  late.time_left = milliseconds(10);
  BOOST_TEST(
      (decide_after_attempt(lost, late) == attempt_decision::fail_unknown));
}

BOOST_AUTO_TEST_CASE(request_that_may_run_once_is_not_sent_while_it_may_run) {
  struct row {
    repeatability repeat;
    bool may_be_running;
    std::int64_t possible_executions;
    bool want;
  };
  using kind = repeatability;
  const row rows[] = {
      {kind::at_most_once, false, 0, true},
      {kind::at_most_once, true, 0, false},
      {kind::at_most_once, false, 1, false},
      {kind::idempotent, true, 1, true},
      {kind::resumable_stream, true, 1, true},
  };
  for (const row& each : rows) {
    request_progress progress;
    progress.repeat = each.repeat;
    progress.may_be_running = each.may_be_running;
    progress.possible_executions = each.possible_executions;
    BOOST_TEST(may_start_attempt(progress) == each.want);
  }
}

BOOST_AUTO_TEST_CASE(request_that_may_be_running_is_not_refused_as_not_run) {
  request_progress progress;
  progress.may_be_running = true;
  BOOST_TEST(
      (decide_without_retry({}, progress) == attempt_decision::fail_unknown));
}

BOOST_AUTO_TEST_CASE(retries_of_all_processes_stay_within_the_budget) {
  retry_budget_options options;
  options.ratio = 0.2;
  options.slack = 62;
  const std::size_t processes = 8;
  std::vector<retry_budget> fleet(
      processes, retry_budget(options, start - seconds(20), 0.5));
  const int requests = 50;
  std::size_t retries = 0;
  for (retry_budget& each : fleet) {
    for (int sent = 0; sent < requests; ++sent) {
      each.request("models", start, start);
    }
    for (int tried = 0; tried < 1000; ++tried) {
      retries += each.take("models", processes, start) ? 1 : 0;
    }
  }
  const double allowed = 0.2 * requests * processes + 62;
  BOOST_TEST(static_cast<double>(retries) <= allowed);
  BOOST_TEST(static_cast<double>(retries) >= allowed / 2);
  // One window later the whole budget is available again.
  BOOST_TEST(fleet[0].take("models", processes, start + seconds(11)));
}

BOOST_AUTO_TEST_CASE(a_taken_retry_counts_until_it_is_put_back) {
  // 0.6 of the slack of 15 is for processes older than a window, less the
  // margin of a tenth: 8 retries.
  retry_budget budget({0.0, 15, seconds(10)}, start - seconds(20), 0);
  for (int refused = 0; refused < 8; ++refused) {
    BOOST_TEST(budget.take("models", 1, start + milliseconds(refused)));
  }
  const time_point later = start + seconds(1);
  BOOST_TEST(!budget.can_take("models", 1, later));
  BOOST_TEST(!budget.take("models", 1, later));
  budget.put_back("models", start + milliseconds(3));
  budget.put_back("models",
                  start + milliseconds(500));  // no retry was taken then
  BOOST_TEST(budget.take("models", 1, later));
  BOOST_TEST(!budget.take("models", 1, later));
}

namespace {

// Asks the leader for tokens of one organisation and counts the results.
class organisation_simulation {
 public:
  explicit organisation_simulation(allowance limit) : limit_(limit) {
    leader_.start_leading(start);
  }

  void request_tokens(double tokens, duration max_wait, time_point now) {
    collect_decisions(now);
    const fleet_tokens_ask in{++last_id_, "importers", tokens,
                              to_microseconds(max_wait)};
    pending_[in.id] = {now, tokens};
    take(leader_.ask("g1", in, {limit_}, now), now);
  }
  // Collects the decisions up to a time, each when it is due.
  void collect_decisions(time_point until) {
    for (auto due = leader_.next_decision(now_); due && *due <= until;
         due = leader_.next_decision(now_)) {
      now_ = std::max(now_, *due);
      for (const fleet_tokens_decision& each : leader_.decide(now_)) {
        BOOST_TEST(each.process == "g1");
        take(each.reply, now_);
      }
    }
    now_ = until;
  }
  double granted_between(time_point from, time_point until) const {
    double sum = 0;
    for (const auto& [at, tokens] : grants_) {
      sum += at >= from && at < until ? tokens : 0;
    }
    return sum;
  }

  std::vector<std::pair<time_point, double>> grants_;
  std::map<double, int> granted;  // by requested tokens
  std::map<double, int> refused;
  duration max_waited{};
  std::vector<duration> retry_waits;  // returned with refusals

 private:
  void take(const fleet_tokens_reply& in, time_point now) {
    if (in.queued) {
      return;
    }
    const auto [at, tokens] = pending_.at(in.id);
    if (in.granted) {
      grants_.emplace_back(now, tokens + in.surplus_tokens);
      ++granted[tokens];
      max_waited = std::max(max_waited, now - at);
    } else {
      ++refused[tokens];
      retry_waits.push_back(from_microseconds(in.wait_us));
    }
  }

  allowance limit_;
  fleet_allowance_leader leader_;
  std::uint64_t last_id_ = 0;
  time_point now_ = start;
  std::map<std::uint64_t, std::pair<time_point, double>> pending_;
};

}  // namespace

BOOST_AUTO_TEST_CASE(grants_never_exceed_rate_and_burst) {
  std::mt19937_64 random(20261204);
  std::uniform_int_distribution<int> pause_ms(0, 40);
  std::uniform_int_distribution<int> size(100, 9000);
  std::uniform_int_distribution<int> max_wait_ms(0, 450);
  organisation_simulation importers(to_allowance(20000, 30000));
  time_point now = start;
  for (int asked = 0; asked < 4000; ++asked) {
    now += milliseconds(pause_ms(random));
    importers.request_tokens(size(random), milliseconds(max_wait_ms(random)),
                             now);
  }
  const auto& given = importers.grants_;
  for (std::size_t first = 0; first < given.size(); first += 17) {
    const time_point from = given[first].first;
    BOOST_TEST(importers.granted_between(from, from + seconds(8)) <=
               20000 * 8 + 30000 + 1);
  }
  for (const duration wait : importers.retry_waits) {
    BOOST_TEST((wait > duration{}));
  }
}

// Load: generations of 14,000 tokens arrive at random at half of the rate of an
// organisation, each about a quarter of its burst, in addition to lookups.
BOOST_AUTO_TEST_CASE(requests_within_the_rate_are_granted_after_a_wait) {
  constexpr double rate = 58000;
  constexpr double generation = 14000;
  constexpr double lookup = 200;
  constexpr double simulated_seconds = 300;
  std::mt19937_64 random(20261204);
  const double generations_a_second = rate / 2 / generation;
  std::exponential_distribution<double> pause_s(generations_a_second);
  organisation_simulation importers(to_allowance(rate, rate));
  double lookup_at_s = 0;
  for (double at_s = 0; at_s < simulated_seconds; at_s += pause_s(random)) {
    for (; lookup_at_s < at_s; lookup_at_s += 0.05) {
      importers.request_tokens(lookup, milliseconds(75),
                               start + from_seconds(lookup_at_s));
    }
    importers.request_tokens(generation, milliseconds(450),
                             start + from_seconds(at_s));
  }
  importers.collect_decisions(start + from_seconds(simulated_seconds + 1));
  BOOST_TEST(importers.refused[generation] <=
             importers.granted[generation] / 200);
  BOOST_TEST(importers.refused[lookup] == 0);
  BOOST_TEST((importers.max_waited <= milliseconds(450)));
}

// Load: an organisation sends seven times its rate. Its lookups are still
// granted first, no generation waits in vain, and refused callers are given
// increasing retry times.
BOOST_AUTO_TEST_CASE(overload_refuses_large_requests_but_not_small_ones) {
  constexpr double rate = 58000;
  constexpr double generation = 14000;
  constexpr double lookup = 200;
  organisation_simulation importers(to_allowance(rate, rate));
  constexpr int floods = 290;  // in 10 s
  for (int sent = 0; sent < floods; ++sent) {
    const time_point now = start + from_seconds(10.0 * sent / floods);
    importers.request_tokens(generation, milliseconds(450), now);
    importers.request_tokens(lookup, milliseconds(75), now);
  }
  importers.collect_decisions(start + seconds(11));
  BOOST_TEST(importers.refused[lookup] == 0);
  BOOST_TEST(importers.granted[generation] >= 10 * rate / generation * 0.85);
  BOOST_REQUIRE(importers.retry_waits.size() > 8U);
  BOOST_TEST((importers.retry_waits[7] >=
              importers.retry_waits[0] + from_seconds(generation / rate * 5)));
}

BOOST_AUTO_TEST_CASE(tokens_of_requests_that_never_ran_are_refunded) {
  const allowance limit = to_allowance(1, 1000);
  fleet_allowance_leader home;
  home.start_leading(start);
  const fleet_tokens_ask ask{1, "importers", 250, 0};
  BOOST_TEST(home.ask("g1", ask, {limit}, start).granted);
  BOOST_TEST(!home.ask("g1", ask, {limit}, start).granted);
  home.refund({"importers", 250}, start);
  BOOST_TEST(home.ask("g1", ask, {limit}, start).granted);
}

// Load: one organisation has sent nothing since the leader changed and may use
// its full burst. Another asks too soon after the change: the previous leader
// may have just granted its burst.
BOOST_AUTO_TEST_CASE(full_burst_is_available_some_time_after_a_leader_change) {
  const allowance limit = to_allowance(1000, 1000);
  fleet_allowance_leader home;
  home.start_leading(start);
  const fleet_tokens_ask late{1, "importers", 1000, 0};
  BOOST_TEST(home.ask("g1", late, {limit}, start + seconds(2)).granted);
  const fleet_tokens_ask early{1, "exporters", 1000, 0};
  BOOST_TEST(
      !home.ask("g1", early, {limit}, start + milliseconds(700)).granted);
}

BOOST_AUTO_TEST_CASE(without_a_leader_each_process_grants_its_share) {
  const allowance limit = to_allowance(8000, 8000);
  double given = 0;
  for (int process = 0; process < 8; ++process) {
    fleet_allowance_share share;
    for (int asked = 0; asked < 100; ++asked) {
      const bool taken = share.take_own_part("importers", limit, 100, 8, 0.5,
                                             start) == duration{};
      given += taken ? 100 : 0;
    }
  }
  BOOST_TEST(given == 8000);
}

// Load: prompts larger than the burst share of one gateway are requested at
// many times the rate while no leader answers.
BOOST_AUTO_TEST_CASE(without_a_leader_large_requests_are_charged_in_full) {
  constexpr std::size_t processes = 70;
  constexpr double rate = 138000;
  constexpr double prompt = 7000;
  constexpr int span_s = 30;
  const allowance limit = to_allowance(rate, rate);
  double given = 0;
  for (std::size_t process = 0; process < processes; ++process) {
    fleet_allowance_share share;
    for (int step = 0; step < span_s * 10; ++step) {
      const duration wait =
          share.take_own_part("importers", limit, prompt, processes, 0.5,
                              start + milliseconds(100) * step);
      given += wait == duration{} ? prompt : 0;
    }
  }
  // Each process may exceed its rate by one request.
  BOOST_TEST(given <= rate * span_s + rate + processes * prompt);
  BOOST_TEST(given >= rate * span_s);
}

// Load: a gateway is cut off from the leader (incident inc-ec0e). Only one
// request may wait for the missing answer.
BOOST_AUTO_TEST_CASE(only_one_request_waits_for_a_silent_leader) {
  fleet_allowance_share share;
  BOOST_TEST(share.should_ask_leader(start));
  share.leader_silent(start);
  BOOST_TEST(!share.should_ask_leader(start + milliseconds(400)));
  BOOST_TEST(share.should_ask_leader(start + milliseconds(600)));
  share.leader_silent(start);
  share.on_leader_reply("importers", {}, start);
  BOOST_TEST(share.should_ask_leader(start));
}

namespace {

listed_server engine(const std::string& id, engine_stage stage) {
  return {id, "models", "10.0.0.1:80", "z1", 128, false, stage, "v1"};
}

listed_server versioned_engine(const std::string& id,
                               const std::string& version) {
  listed_server out = engine(id, engine_stage::decode);
  out.software_version = version;
  return out;
}

server_criteria criteria_for(engine_stage stage) {
  server_criteria out;
  out.service = "models";
  out.stage = stage;
  out.tokens = 5000;
  out.kv_tokens = 50000;
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(requests_spread_over_the_engines_of_a_stage) {
  server_list servers({}, 1);
  servers.replace(
      {engine("p1", engine_stage::prefill), engine("d1", engine_stage::decode),
       engine("d2", engine_stage::decode), engine("d3", engine_stage::decode)},
      start);
  std::map<std::string, int> chosen;
  for (int sent = 0; sent < 9; ++sent) {
    const auto each = servers.choose(criteria_for(engine_stage::decode), start);
    servers.started(each->server.id, 5000, start);
    ++chosen[each->server.id];
  }
  BOOST_TEST(chosen.size() == 3U);
  for (const auto& [id, count] : chosen) {
    BOOST_TEST(count == 3);
  }
}

BOOST_AUTO_TEST_CASE(leaving_and_switching_engines_are_not_chosen) {
  server_list servers({}, 1);
  listed_server leaving = engine("d1", engine_stage::decode);
  leaving.leaving = true;
  servers.replace({leaving, engine("d2", engine_stage::decode)}, start);
  servers.switching("d2", {engine_stage::decode, start + seconds(6)});
  BOOST_TEST(!servers.choose(criteria_for(engine_stage::decode), start));
  BOOST_TEST(
      servers.choose(criteria_for(engine_stage::decode), start + seconds(7))
          ->server.id == "d2");
}

BOOST_AUTO_TEST_CASE(stream_that_goes_on_gets_a_server_of_its_version) {
  server_list servers({}, 1);
  servers.replace({versioned_engine("d1", "v1"), versioned_engine("d2", "v2"),
                   versioned_engine("d3", "v2")},
                  start);
  server_criteria criteria = criteria_for(engine_stage::decode);
  criteria.software_version = "v1";
  for (int sent = 0; sent < 5; ++sent) {
    const auto chosen = servers.choose(criteria, start);
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST(chosen->server.id == "d1");
    BOOST_TEST(chosen->server.software_version == "v1");
    servers.started("d1", 5000, start);
  }
  criteria.excluded = {"d1"};
  BOOST_TEST(!servers.choose(criteria, start).has_value());
  criteria.excluded.clear();
  criteria.software_version = "v3";
  BOOST_TEST(!servers.choose(criteria, start).has_value());
  BOOST_TEST(servers.software_version("d2").value() == "v2");
  BOOST_TEST(!servers.software_version("d4").has_value());
}

BOOST_AUTO_TEST_CASE(server_that_starts_anew_has_its_new_version) {
  server_list servers({}, 1);
  servers.replace({versioned_engine("d1", "v1")}, start);
  BOOST_TEST(servers.replace({versioned_engine("d1", "v2")}, start));
  server_criteria criteria = criteria_for(engine_stage::decode);
  criteria.software_version = "v1";
  BOOST_TEST(!servers.choose(criteria, start).has_value());
  criteria.software_version = "v2";
  BOOST_TEST(servers.choose(criteria, start).has_value());
}

BOOST_AUTO_TEST_CASE(leaving_server_takes_streams_of_its_version_for_a_while) {
  const server_list_options options;
  const listed_server leaving = versioned_engine("d1", "v1");
  listed_server listed_as_leaving = leaving;
  listed_as_leaving.leaving = true;
  server_criteria any = criteria_for(engine_stage::decode);
  server_criteria resumed = any;
  resumed.software_version = "v1";
  for (const bool announced : {true, false}) {
    BOOST_TEST_CONTEXT((announced ? "announced" : "listed")) {
      server_list servers({}, 1);
      servers.replace({leaving, versioned_engine("d2", "v1")}, start);
      if (announced) {
        BOOST_TEST(servers.leaves("d1", start));
      } else {
        servers.replace({listed_as_leaving, versioned_engine("d2", "v1")},
                        start);
      }
      const time_point before =
          start + options.resume_at_leaving - milliseconds(1);
      const time_point after = start + options.resume_at_leaving;
      // After the others.
      servers.started("d2", 5000, start);
      BOOST_TEST(servers.choose(resumed, start)->server.id == "d2");
      BOOST_TEST(servers.choose(any, start)->server.id == "d2");
      any.excluded = resumed.excluded = {"d2"};
      BOOST_TEST(servers.choose(resumed, start)->server.id == "d1");
      BOOST_TEST(servers.choose(resumed, before)->server.id == "d1");
      BOOST_TEST(!servers.choose(resumed, after).has_value());
      for (const time_point now : {start, before, after}) {
        BOOST_TEST(!servers.choose(any, now).has_value());
      }
      // Neither a repeated announcement nor the list makes it longer.
      if (announced) {
        servers.replace({leaving, versioned_engine("d2", "v1")}, before);
      }
      servers.leaves("d1", before);
      servers.replace({listed_as_leaving, versioned_engine("d2", "v1")},
                      before);
      BOOST_TEST(servers.choose(resumed, before)->server.id == "d1");
      BOOST_TEST(!servers.choose(resumed, after).has_value());
      any.excluded.clear();
      resumed.excluded.clear();
    }
  }
}

// The directory may still list a server as ready after the server announced its
// shutdown. It counts as ready again only after the directory has listed it as
// leaving and then as ready, which means that it has restarted under the same
// id.
BOOST_AUTO_TEST_CASE(a_server_that_announced_its_shutdown_is_not_chosen) {
  const listed_server ready = engine("d1", engine_stage::decode);
  listed_server leaving = ready;
  leaving.leaving = true;
  server_list servers({}, 1);
  servers.replace({ready}, start);
  const auto usable = [&](time_point now) {
    return servers.choose(criteria_for(engine_stage::decode), now).has_value();
  };
  BOOST_TEST(usable(start));
  BOOST_TEST(servers.leaves("d1", start));
  BOOST_TEST(!servers.leaves("d1", start));  // already known
  BOOST_TEST(!usable(start));
  BOOST_TEST(servers.leaving() == 1U);
  const time_point later = start + seconds(5);
  servers.replace({ready}, later);
  BOOST_TEST(!usable(later));
  servers.replace({leaving}, later);
  BOOST_TEST(!usable(later));
  servers.replace({ready}, later + seconds(1));
  BOOST_TEST(usable(later + seconds(1)));
}

// Load: a server asks for a back-off of two seconds during a burst.
BOOST_AUTO_TEST_CASE(a_server_in_backoff_is_not_chosen) {
  server_list servers({}, 1);
  servers.replace(
      {engine("d1", engine_stage::decode), engine("d2", engine_stage::decode)},
      start);
  servers.start_backoff("d1", seconds(2), start);
  BOOST_TEST(servers.servers_in_backoff("models", start).count("d1") == 1U);
  BOOST_TEST(to_seconds(servers.min_wait("models", start).value()) == 2.0);
  for (int sent = 0; sent < 20; ++sent) {
    BOOST_TEST(
        servers.choose(criteria_for(engine_stage::decode), start)->server.id ==
        "d2");
  }
  // From half a second after its refusal on, no request may reach the server,
  // except two that already hold memory there.
  server_criteria last_resort = criteria_for(engine_stage::decode);
  last_resort.excluded = {"d2"};
  const time_point after_grace = start + milliseconds(400);
  BOOST_TEST(!servers.choose(last_resort, after_grace));
  int sent = 0;
  for (; servers.may_send("d1", after_grace) && sent < 10; ++sent) {
    servers.started("d1", 5000, after_grace);
  }
  BOOST_TEST(sent == 2);
  const time_point after = start + milliseconds(2001);
  BOOST_TEST(servers.choose(last_resort, after).has_value());
  BOOST_TEST(!servers.min_wait("models", after));
}

BOOST_AUTO_TEST_CASE(an_unreachable_server_is_ejected_until_it_responds) {
  server_list servers({}, 1);
  servers.replace(
      {engine("d1", engine_stage::decode), engine("d2", engine_stage::decode)},
      start);
  const server_criteria need = criteria_for(engine_stage::decode);
  servers.started("d1", 5000, start);
  BOOST_TEST(
      servers.ended("d1", 5000, server_result::unreachable, start).has_value());
  for (int sent = 0; sent < 8; ++sent) {
    const auto chosen = servers.choose(need, start + milliseconds(100));
    BOOST_TEST(chosen->server.id == "d2");
    servers.started("d2", 5000, start);
  }
  // After the ejection one request probes the server; no others follow until it
  // has a result.
  const time_point later = start + seconds(1);
  BOOST_TEST(servers.choose(need, later)->server.id == "d1");
  servers.started("d1", 5000, later);
  BOOST_TEST(servers.choose(need, later)->server.id == "d2");
  servers.answers("d1");
  BOOST_TEST(servers.choose(need, later)->server.id == "d1");
}

BOOST_AUTO_TEST_CASE(only_complete_events_are_returned) {
  event_splitter splitter;
  auto events = splitter.feed("id: 1\ndata: a\n\nid: 2\nda");
  BOOST_REQUIRE(events.size() == 1U);
  BOOST_TEST(events[0].bytes == "id: 1\ndata: a\n\n");
  BOOST_TEST(*events[0].id == 1);
  BOOST_TEST(splitter.has_partial_event());
  events = splitter.feed("ta: b\r\n\r\ndata: c\n\n");
  BOOST_REQUIRE(events.size() == 2U);
  BOOST_TEST(*events[0].id == 2);
  BOOST_TEST(!events[1].id.has_value());
  BOOST_TEST(!splitter.has_partial_event());
}

BOOST_AUTO_TEST_CASE(response_head_is_no_event) {
  event_splitter splitter;
  auto events = splitter.feed(
      "HTTP/1.1 500 -\r\nContent-Length: 5\r\n\r\n"
      "id: 2\ndata: a\r\nContent-Length: 5\r\n\r\n"
      "out of memory\n\n"
      "weight-versions: 3\nid: 3\r\ndata: B: c\r\n:D\n\n"
      ": keep-alive\n\n");
  BOOST_REQUIRE(events.size() == 5U);
  for (const std::size_t malformed : {0U, 1U, 2U}) {
    BOOST_TEST(!events[malformed].well_formed);
  }
  BOOST_TEST(events[3].well_formed);
  BOOST_TEST(!events[3].is_comment);
  BOOST_TEST(*events[3].id == 3);
  BOOST_TEST(events[4].well_formed);
  BOOST_TEST(events[4].is_comment);
  events = splitter.feed("data: a\r\nHTTP/1.1 500 -\r\n\r\n");
  BOOST_REQUIRE(events.size() == 1U);
  BOOST_TEST(!events[0].well_formed);
}

BOOST_AUTO_TEST_CASE(fields_of_any_case_are_well_formed) {
  event_splitter splitter;
  const auto events = splitter.feed(
      "EVENT: e\nData\nRetry: 5\n\n"
      "trace_1.a: 7\nid: 4\ndata\n\n");
  BOOST_REQUIRE(events.size() == 2U);
  BOOST_TEST(events[0].well_formed);
  BOOST_TEST(!events[0].is_comment);
  BOOST_TEST(events[1].well_formed);
  BOOST_TEST(*events[1].id == 4);
}

// Load: a failing engine sends bytes without a complete event until the
// connection is closed.
BOOST_AUTO_TEST_CASE(an_unterminated_event_is_detected) {
  event_splitter splitter;
  const std::string block(64U << 10U, 'x');
  int blocks = 0;
  while (!splitter.partial_event_too_large() && blocks < 100) {
    BOOST_TEST(splitter.feed(block).empty());
    ++blocks;
  }
  BOOST_TEST(blocks <= 5);
}

BOOST_AUTO_TEST_CASE(no_stage_switch_while_engines_fail) {
  stage_planner planner({});
  std::vector<listed_server> engines;
  constexpr int listed = 12;
  engines.reserve(listed);
  for (int at = 0; at < listed; ++at) {
    engines.push_back(
        engine("e" + std::to_string(at),
               at < 5 ? engine_stage::prefill : engine_stage::decode));
  }
  const std::set<std::string> failing{"e6", "e7", "e8"};
  const auto play = [&](time_point from, duration span,
                        const std::set<std::string>& out) {
    std::size_t orders = 0;
    for (time_point now = from; now < from + span; now += milliseconds(100)) {
      planner.report("models", {1.5, 9.0}, now);
      orders += planner.plan("models", engines, out, now).size();
    }
    return orders;
  };
  // An engine recovers from a crash faster than a stage switch completes.
  BOOST_TEST(play(start, seconds(8), failing) == 0U);
  // Engines that stay unavailable are no longer counted.
  BOOST_TEST(play(start + seconds(8), seconds(8), failing) > 0U);
}

BOOST_AUTO_TEST_CASE(retry_after_is_within_a_third_of_the_time_left) {
  std::mt19937_64 random(1);
  for (int drawn = 0; drawn < 1000; ++drawn) {
    const duration wait = suggest_retry_after({}, milliseconds(1500), random);
    BOOST_TEST(wait.count() <= duration(milliseconds(500)).count());
    BOOST_TEST(wait.count() > 0);
    const duration predicted =
        suggest_retry_after(milliseconds(2700), seconds(14), random);
    BOOST_TEST(predicted.count() >= duration(milliseconds(2700)).count());
  }
}

// Load: 27 processes share a directory that only allows a few calls per second.
BOOST_AUTO_TEST_CASE(one_process_reads_the_directory_for_the_fleet) {
  directory_schedule leader({});
  directory_schedule follower({});
  int leader_reads = 0;
  int follower_reads = 0;
  const time_point lost = start + seconds(10);
  time_point last_update = start;
  duration longest_gap{};
  for (time_point now = start; now < start + seconds(20);
       now += milliseconds(50)) {
    if (now < lost && leader.pause(true, 1, now) == duration{}) {
      leader.on_read_started(now);
      ++leader_reads;
      follower.on_leader_news(leader.leader_interval(1), now);
      last_update = now;
    }
    if (follower.pause(false, 1, now) == duration{}) {
      follower.on_read_started(now);
      ++follower_reads;
      last_update = now;
    }
    longest_gap = std::max(longest_gap, now - last_update);
  }
  BOOST_TEST(leader_reads >= 16);
  // The follower on_read_started only after the leader is lost, and then often
  // enough to notice within two seconds that a server is leaving.
  BOOST_TEST(follower_reads >= 7);
  BOOST_TEST(follower_reads <= 9);
  BOOST_TEST(longest_gap.count() <= duration(milliseconds(1350)).count());
}

// A list of 61 pages is read less often and stays valid for longer.
BOOST_AUTO_TEST_CASE(one_process_reads_a_long_directory_list) {
  directory_schedule leader({});
  directory_schedule follower({});
  for (time_point now = start; now < start + seconds(20);
       now += milliseconds(50)) {
    if (leader.pause(true, 61, now) == duration{}) {
      leader.on_read_started(now);
      // The update is sent when the read has finished.
      follower.on_leader_news(leader.leader_interval(61) + milliseconds(300),
                              now);
    }
    BOOST_TEST((follower.pause(false, 61, now) > duration{}));
  }
}

// Load: thousands of servers are listed to hundreds of gateways; only the
// changes are sent.
BOOST_AUTO_TEST_CASE(directory_copies_are_updated_by_differences) {
  std::mt19937 random(7);
  directory_copy leader;
  directory_copy follower;
  constexpr std::size_t servers = 300;
  std::vector<listed_server> listed;
  listed.reserve(servers);
  for (std::size_t at = 0; at < servers; ++at) {
    listed.push_back(engine("e" + std::to_string(at), engine_stage::decode));
  }
  BOOST_TEST(follower.apply(leader.take(listed)));
  for (int round = 0; round < 50; ++round) {
    listed[random() % listed.size()].leaving = true;
    listed.erase(listed.begin() +
                 static_cast<std::ptrdiff_t>(random() % listed.size()));
    listed.push_back(
        engine("n" + std::to_string(round), engine_stage::prefill));
    std::shuffle(listed.begin(), listed.end(), random);
    const directory_news news = leader.take(listed);
    BOOST_TEST(news.changed.size() == 1U);
    BOOST_TEST(news.leaving.size() <= 1U);
    BOOST_TEST(news.removed.size() == 1U);
    BOOST_TEST(follower.apply(news));
    BOOST_TEST((follower.list() == leader.list()));
  }
  // A copy that missed an update needs the whole list; a copy that read the
  // same list itself does not.
  directory_copy behind = follower;
  directory_copy reader;
  listed.pop_back();
  leader.take(listed);
  listed.pop_back();
  const directory_news news = leader.take(listed);
  reader.take(listed);
  BOOST_TEST(!behind.apply(news));
  BOOST_TEST((behind.list() == follower.list()));
  BOOST_TEST(behind.apply(leader.whole()));
  BOOST_TEST((behind.list() == leader.list()));
  BOOST_TEST(reader.apply(news));
  BOOST_TEST((reader.list() == leader.list()));
}

// An engine that keeps failing is probed less and less often.
BOOST_AUTO_TEST_CASE(failed_probes_lengthen_an_ejection) {
  const ejection_options options;
  ejection state;
  time_point now = start;
  BOOST_REQUIRE(state.failed(true, options, now).has_value());
  // Further failures of requests that were in flight at the first one change
  // nothing.
  BOOST_TEST(!state.failed(true, options, now).has_value());
  duration last{};
  int probes = 0;
  for (; now < start + seconds(20); now += milliseconds(10)) {
    if (state.holds(now)) {
      continue;
    }
    state.tried(options, now);
    BOOST_TEST(state.holds(now));
    const auto span = state.failed(true, options, now);
    BOOST_REQUIRE(span.has_value());
    BOOST_TEST((*span > last || *span == options.max));
    last = *span;
    ++probes;
  }
  BOOST_TEST(probes <= 8);
  // A successful probe ends the ejection.
  now += options.max;
  state.tried(options, now);
  BOOST_TEST(state.holds(now));
  state.served(options);
  BOOST_TEST(!state.holds(now));
}

// Load: an engine fails two of five requests, at a few requests per second.
BOOST_AUTO_TEST_CASE(a_server_that_fails_often_is_eventually_ejected) {
  const ejection_options options;
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    const auto requests_until_ejected = [&](double share) {
      ejection state;
      for (int sent = 1; sent <= 200; ++sent) {
        if (std::uniform_real_distribution<double>(0, 1)(random) < share) {
          if (state.failed(false, options, start)) {
            return sent;
          }
        } else {
          state.served(options);
        }
      }
      return 200;
    };
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(requests_until_ejected(0.5) <= 40);
      BOOST_TEST(requests_until_ejected(0.4) <= 80);
    }
  }
}

// Returns `count` engines; the first `prefilling` of them prefill.
std::vector<listed_server> staged_engines(int count, int prefilling) {
  std::vector<listed_server> out;
  out.reserve(static_cast<std::size_t>(count));
  for (int at = 0; at < count; ++at) {
    out.push_back(engine("e" + std::to_string(at), at < prefilling
                                                       ? engine_stage::prefill
                                                       : engine_stage::decode));
  }
  return out;
}

// Load: prompts of 0.09 s and answers of 3 s on 18 engines, six of which
// prefill. Decode memory runs out while prefill engines are idle.
BOOST_AUTO_TEST_CASE(idle_prefill_engines_are_switched_to_decode) {
  stage_planner planner({});
  const auto engines = staged_engines(18, 6);
  std::vector<stage_order> orders;
  time_point now = start;
  for (int step = 0; step < 20; ++step, now += milliseconds(500)) {
    planner.report("models", {1.9, 7.0}, now);
    for (const stage_order& order : planner.plan("models", engines, {}, now)) {
      orders.push_back(order);
    }
  }
  BOOST_REQUIRE(orders.size() == 2U);  // 18 * 1.9 / 8.9 engines should prefill
  for (const stage_order& order : orders) {
    BOOST_TEST((order.stage == engine_stage::decode));
  }
}

// A leader takes over during a switch while the directory still shows the
// previous stage. It must not send a second order to the same engines.
BOOST_AUTO_TEST_CASE(a_new_leader_does_not_repeat_orders) {
  const auto engines = staged_engines(18, 6);
  const auto plan = [&](stage_planner& planner, time_point from) {
    std::vector<stage_order> out;
    time_point now = from;
    for (int step = 0; step < 8; ++step, now += milliseconds(500)) {
      planner.report("models", {1.9, 7.0}, now);
      for (const stage_order& order :
           planner.plan("models", engines, {}, now)) {
        out.push_back(order);
      }
    }
    return out;
  };
  stage_planner first({});
  stage_planner second({});
  const auto orders = plan(first, start);
  BOOST_REQUIRE(orders.size() == 2U);
  for (const stage_order& order : orders) {
    second.record_order(order.server, order.stage, start + seconds(4));
  }
  second.reset();
  BOOST_TEST(plan(second, start + seconds(5)).empty());
}

// Load: fast engines with long answers; both stages could handle twice the
// load. A switch would make an engine unavailable for seconds and leave a
// single engine to prefill all prompts.
BOOST_AUTO_TEST_CASE(no_stage_switch_while_both_stages_have_capacity) {
  const auto engines = staged_engines(12, 5);
  for (const engine_demand& load :
       {engine_demand{0.13, 2.3}, engine_demand{1.3, 3.4},
        engine_demand{2.4, 2.0}}) {
    stage_planner planner({});
    time_point now = start;
    for (int step = 0; step < 20; ++step, now += milliseconds(500)) {
      planner.report("models", load, now);
      BOOST_TEST(planner.plan("models", engines, {}, now).empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(no_stage_switch_in_a_burst_or_without_load) {
  stage_planner planner({});
  const std::vector<listed_server> engines{
      engine("e1", engine_stage::prefill), engine("e2", engine_stage::decode),
      engine("e3", engine_stage::decode), engine("e4", engine_stage::decode)};
  time_point now = start;
  for (int step = 0; step < 20; ++step, now += milliseconds(500)) {
    // Prompts are queued, but decode memory is in use and must not be taken
    // away.
    planner.report("models", {2.5, 2.8}, now);
    BOOST_TEST(planner.plan("models", engines, {}, now).empty());
  }
  stage_planner idle({});
  for (int step = 0; step < 20; ++step, now += milliseconds(500)) {
    idle.report("models", {0.01, 0.3}, now);
    BOOST_TEST(idle.plan("models", engines, {}, now).empty());
  }
}

}  // namespace citronwharf

namespace citronwharf {

// Load: a burst of 24 requests in 0.2 s while memory for ten requests per
// second becomes free. Requests that cannot be served within 0.6 s are refused
// at once.
BOOST_AUTO_TEST_CASE(memory_queue_refuses_requests_it_cannot_serve_in_time) {
  constexpr duration wait_limit = milliseconds(600);
  memory_queue queue;
  std::deque<std::pair<memory_queue::ticket, time_point>> waiting;
  int refused_at_once = 0;
  int served = 0;
  int served_late = 0;
  time_point now = start;
  for (int step = 0; step < 200; ++step, now += milliseconds(5)) {
    if (step < 48 && step % 2 == 0) {
      if (queue.predicted_wait(0, now) > wait_limit) {
        ++refused_at_once;
      } else {
        waiting.emplace_back(queue.join(0, now, [] {}), now);
      }
    }
    if (step % 20 == 19 && !waiting.empty()) {
      BOOST_TEST(queue.is_first(waiting.front().first));
      ++served;
      served_late += now - waiting.front().second > wait_limit ? 1 : 0;
      queue.leave(waiting.front().first, true, now);
      waiting.pop_front();
    }
  }
  BOOST_TEST(refused_at_once + served == 24);
  BOOST_TEST(served >= 6);       // all memory freed in time
  BOOST_TEST(served_late <= 2);  // the prediction starts from an estimate
}

BOOST_AUTO_TEST_CASE(leaving_the_memory_queue_wakes_the_next_request) {
  memory_queue queue;
  int woken = 0;
  const auto first = queue.join(0, start, [] {});
  const auto second = queue.join(0, start, [&] { ++woken; });
  const auto third = queue.join(0, start, [] {});
  queue.leave(third, false, start);
  BOOST_TEST(woken == 0);
  queue.leave(first, true, start);
  BOOST_TEST(woken == 1);
  BOOST_TEST(queue.is_first(second));
}

}  // namespace citronwharf
