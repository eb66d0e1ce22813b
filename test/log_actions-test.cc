// Actions of one replica, step by step: what must be synced before a message is
// sent, and when entries are committed.
#include <boost/test/unit_test.hpp>

#include "control/log_members.h"
#include "control/replicated_log.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

// Replica "a" of a group of three, with one entry of term 2 after the first.
class lone_replica {
 public:
  lone_replica() {
    restored_log restored;
    restored.state = {"g", 2, ""};
    const std::vector<replica_member> members{{"a", "vm-a", "", true},
                                              {"b", "vm-b", "", true},
                                              {"c", "vm-c", "", true}};
    restored.entries = {
        {1, 1, log_entry_kind::members, {encode_members(members)}},
        {2, 2, log_entry_kind::command, {"x"}}};
    replicated_log_options options;
    options.id = "a";
    options.process = "vm-a";
    log.emplace(options, std::mt19937_64(1), restored, now);
    run();
  }

  // Takes the actions; keeps the last batch and the messages of each kind.
  void run() {
    for (const log_action& action : log->take_actions(now)) {
      if (const auto* write = std::get_if<write_action>(&action)) {
        batch = write->batch;
      } else if (const auto* send = std::get_if<send_action>(&action)) {
        sent.push_back(send->message);
      }
    }
  }
  void receive(const std::string& from, const log_message& message) {
    log->receive(now, "vm-" + from, message);
    run();
  }
  void sync() {
    log->written(now, batch.sequence);
    run();
  }
  template <typename Message>
  std::optional<Message> last() const {
    for (auto each = sent.rbegin(); each != sent.rend(); ++each) {
      if (const auto* found = std::get_if<Message>(&*each)) {
        return *found;
      }
    }
    return std::nullopt;
  }
  static log_header from(const std::string& id, std::uint64_t term) {
    return {"g", id, "a", term};
  }
  void win_pre_vote() {
    now = log->next_deadline();
    log->tick(now);
    run();
    receive("b", vote_reply{from("b", 3), true, true});
  }

  time_point now{seconds(1)};
  std::optional<replicated_log> log;
  log_batch batch;
  std::vector<log_message> sent;
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_vote_is_synced_before_it_is_given_and_given_once) {
  // In the term that is already on the disk, and in a newer one.
  for (const std::uint64_t term : {2, 3}) {
    lone_replica a;
    a.receive("b", vote_request{a.from("b", term), false, 2, 2});
    BOOST_TEST((a.batch.state == hard_state{"g", term, "b"}));
    BOOST_REQUIRE(!a.last<vote_reply>());
    a.sync();
    BOOST_TEST(a.last<vote_reply>()->granted);
    a.receive("c", vote_request{a.from("c", term), false, 2, 2});
    BOOST_TEST(!a.last<vote_reply>()->granted);
  }
}

BOOST_AUTO_TEST_CASE(no_vote_for_a_log_that_lacks_entries) {
  for (const auto& [last_index, last_term] :
       {std::pair(9, 1), std::pair(1, 2), std::pair(0, 0)}) {
    lone_replica a;
    vote_request in{a.from("b", 3), false, 0, 0};
    in.last_index = static_cast<std::uint64_t>(last_index);
    in.last_term = static_cast<std::uint64_t>(last_term);
    a.receive("b", in);
    a.sync();
    BOOST_TEST(!a.last<vote_reply>()->granted);
  }
}

BOOST_AUTO_TEST_CASE(entries_are_synced_before_they_are_acknowledged) {
  lone_replica a;
  a.receive("b", append_request{a.from("b", 2),
                                1,
                                2,
                                2,
                                0,
                                {{3, 2, log_entry_kind::command, {"y"}}}});
  BOOST_TEST(a.batch.entries.size() == 1U);
  BOOST_TEST(!a.last<append_reply>());
  // An entry that arrives while the first is being written waits for its own
  // batch.
  a.receive("b", append_request{a.from("b", 2),
                                2,
                                3,
                                2,
                                0,
                                {{4, 2, log_entry_kind::command, {"z"}}}});
  a.sync();
  BOOST_TEST(a.last<append_reply>()->match_index == 3U);
  a.sync();
  BOOST_TEST(a.last<append_reply>()->match_index == 4U);
}

BOOST_AUTO_TEST_CASE(a_failed_write_ends_all_replies) {
  lone_replica a;
  a.receive("b", append_request{a.from("b", 2),
                                1,
                                2,
                                2,
                                0,
                                {{3, 2, log_entry_kind::command, {"y"}}}});
  a.log->write_failed("disk full");
  a.run();
  a.receive("b", append_request{a.from("b", 2), 2, 2, 2, 0, {}});
  a.receive("b", vote_request{a.from("b", 9), true, 9, 9});
  BOOST_TEST(a.sent.empty());
}

BOOST_AUTO_TEST_CASE(a_candidate_leads_only_when_its_own_vote_is_synced) {
  lone_replica a;
  a.win_pre_vote();
  BOOST_TEST((a.batch.state == hard_state{"g", 3, "a"}));
  const auto asked = a.last<vote_request>();
  BOOST_TEST((asked && asked->pre_vote));
  a.receive("b", vote_reply{a.from("b", 3), false, true});
  BOOST_TEST((a.log->role() == log_role::candidate));
  a.sync();
  BOOST_TEST(!a.last<vote_request>()->pre_vote);
  BOOST_TEST((a.log->role() == log_role::leader));
}

// An entry of an older term can still be replaced even if a majority holds it;
// it is committed only through an entry of the leader's own term.
BOOST_AUTO_TEST_CASE(an_older_terms_entry_is_not_committed_by_count) {
  lone_replica a;
  a.win_pre_vote();
  a.sync();
  a.receive("b", vote_reply{a.from("b", 3), false, true});
  a.sync();
  BOOST_TEST(a.log->stable_index() == 3U);
  a.receive("b", append_reply{a.from("b", 3), 1, true, 2});
  BOOST_TEST(a.log->commit_index() == 0U);
  a.receive("b", append_reply{a.from("b", 3), 2, true, 3});
  BOOST_TEST(a.log->commit_index() == 3U);
}

BOOST_AUTO_TEST_CASE(members_wait_for_an_entry_of_the_leaders_own_term) {
  lone_replica a;
  // The current members are known to be committed.
  a.receive("c", append_request{a.from("c", 2), 1, 2, 2, 2, {}});
  BOOST_TEST(a.log->commit_index() == 2U);
  a.win_pre_vote();
  a.sync();
  a.receive("b", vote_reply{a.from("b", 3), false, true});
  a.sync();
  const replica_member added{"d", "vm-d", "", false};
  BOOST_TEST((a.log->add_learner(a.now, added).code() ==
              absl::StatusCode::kFailedPrecondition));
  a.receive("b", append_reply{a.from("b", 3), 2, true, 3});
  BOOST_TEST(a.log->add_learner(a.now, added).ok());
}
