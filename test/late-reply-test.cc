// Replies that become ready after the process that asked has restarted. The
// next incarnation counts its messages from the start, so that a late reply
// could have the id of another message.
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "control-node.h"
#include "control/claim_service.h"
#include "entry/claim.h"
#include "run-until.h"

using namespace citronwharf;        // NOLINT(google-build-using-namespace)
using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)

namespace {

// A log whose proposals end when the test says so.
class pending_replica final : public replica {
 public:
  absl::Status open() override { return absl::OkStatus(); }
  absl::Status make_group() override { return absl::OkStatus(); }
  void propose(nlohmann::json /*command*/, proposal_done done) override {
    proposals.push_back(std::move(done));
  }
  void add_member(const std::string&, const std::string&,
                  std::function<void(absl::Status)>) override {}
  void identify(const std::string&, identity_handler) override {}
  absl::Status add_learner(const replica_member&) override {
    return absl::OkStatus();
  }
  std::set<std::string> silent_members() const override { return {}; }
  void remove_member(const std::string&,
                     std::function<void(absl::Status)>) override {}
  absl::Status take_snapshot() override { return absl::OkStatus(); }
  replica_status status() const override { return {}; }
  void subscribe(std::function<void()>) override {}

  void end_next(const nlohmann::json& result) {
    const auto done = std::move(proposals.front());
    proposals.pop_front();
    done(proposal_result{1, result});
  }

  std::deque<proposal_done> proposals;
};

// An entry that claims keys.
struct claiming_entry {
  claiming_entry(boost::asio::io_context& loop, const std::string& control)
      : process(loop, "entry-1", {}), claims(process.context()) {
    process.context().peers.connect("control-1", control);
  }
  void claim(const std::string& key) {
    claim_request out;
    out.name = {"o", key};
    claims.claim(std::move(out), runtime_clock::now() + seconds(20),
                 [this](const claim_reply& reply) { state = reply.state; });
  }

  process_node process;
  claim_client claims;
  std::optional<claim_state> state;
};

claim_reply reply_with(claim_state state) {
  claim_reply out;
  out.state = state;
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(claim_is_not_granted_by_reply_to_earlier_incarnation) {
  boost::asio::io_context loop;
  process_node control(loop, "control-1", {});
  configuration known;
  known.version = 1;
  known.entries = {{"entry-1", "127.0.0.1:1", ""}};
  control.view().replace(known);
  pending_replica log;
  claim_service service(control.context(), log, [] { return 0; });

  auto entry = std::make_unique<claiming_entry>(loop, control.address());
  entry->claim("first");
  BOOST_REQUIRE(run_until(loop, [&] { return log.proposals.size() == 1; }));
  entry.reset();
  BOOST_REQUIRE(run_until(loop, [&] {
    return control.context().peers.session_incarnation("entry-1") == 0;
  }));
  entry = std::make_unique<claiming_entry>(loop, control.address());
  entry->claim("second");
  BOOST_REQUIRE(run_until(loop, [&] { return log.proposals.size() == 2; }));
  log.end_next(reply_with(claim_state::granted));
  log.end_next(reply_with(claim_state::in_progress));
  BOOST_REQUIRE(run_until(loop, [&] { return entry->state.has_value(); }));
  BOOST_TEST((entry->state == claim_state::in_progress));
}
