// Tests of peer_hub with valid, refused and faulty peers.
#include "net/peer_hub.h"

#include <fmt/format.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>
#include <vector>

#include "run-until.h"
#include "wire/request_messages.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)
using citronwharf::test::run_until;

namespace {

const std::string good_secret(32, 's');

struct node {
  node(boost::asio::io_context& loop, const std::string& name,
       std::uint64_t incarnation = 1, const std::string& secret = good_secret,
       const std::string& deployment = "d") {
    peer_hub_options options;
    options.self = {name, incarnation};
    options.secret = secret;
    options.deployment = deployment;
    options.silence_limit = milliseconds(600);
    options.heartbeat = milliseconds(100);
    options.max_queued_bytes = 1U << 20U;
    hub = std::make_unique<peer_hub>(loop, options);
    port = hub->listen().value();
    hub->on<cancel_request>(
        [this](const peer_id& from, const cancel_request& in) {
          received.push_back(fmt::format("{}:{}", from.name, in.key.request));
        });
    hub->on_session([this](const peer_id& peer, bool up) {
      changes.push_back((up ? "+" : "-") + peer.name);
    });
  }
  std::string address() const { return fmt::format("127.0.0.1:{}", port); }
  void send(const std::string& to, std::uint64_t number) const {
    cancel_request out;
    out.key.request = number;
    hub->send(to, make_frame(out)).IgnoreError();
  }

  std::unique_ptr<peer_hub> hub;
  std::uint16_t port = 0;
  std::vector<std::string> received;
  std::vector<std::string> changes;
};

}  // namespace

BOOST_AUTO_TEST_CASE(frames_arrive_in_order_both_ways) {
  boost::asio::io_context loop;
  node a(loop, "a");
  node b(loop, "b");
  a.hub->connect("b", b.address());
  BOOST_REQUIRE(run_until(loop, [&] {
    return a.hub->session_incarnation("b") == 1 &&
           b.hub->session_incarnation("a") == 1;
  }));
  for (std::uint64_t number = 0; number < 100; ++number) {
    a.send("b", number);
    b.send("a", number);
  }
  BOOST_REQUIRE(run_until(loop, [&] {
    return a.received.size() == 100 && b.received.size() == 100;
  }));
  for (std::uint64_t number = 0; number < 100; ++number) {
    BOOST_TEST(b.received[number] == fmt::format("a:{}", number));
  }
}

BOOST_AUTO_TEST_CASE(a_hello_that_is_not_utf8_does_not_end_the_process) {
  boost::asio::io_context loop;
  node a(loop, "a");
  node b(loop, "b\xff");
  node c(loop, "c");
  a.hub->connect_address(b.address());
  b.hub->connect("a", a.address());
  BOOST_TEST(!run_until(
      loop, [&] { return !a.changes.empty() || !b.changes.empty(); },
      std::chrono::seconds(1)));
  a.hub->connect("c", c.address());
  BOOST_TEST(
      run_until(loop, [&] { return a.hub->session_incarnation("c") == 1; }));
}

BOOST_AUTO_TEST_CASE(dialling_from_both_ends_leaves_one_session) {
  boost::asio::io_context loop;
  node a(loop, "a");
  node b(loop, "b");
  a.hub->connect("b", b.address());
  b.hub->connect("a", a.address());
  BOOST_REQUIRE(run_until(loop, [&] {
    a.send("b", 1);
    b.send("a", 2);
    return a.received.size() >= 5 && b.received.size() >= 5;
  }));
  BOOST_TEST(a.hub->session_incarnation("b") == 1U);
}

BOOST_AUTO_TEST_CASE(frames_to_own_name_are_delivered_without_dialling) {
  boost::asio::io_context loop;
  node a(loop, "a");
  a.hub->connect_address(a.address());
  a.send("a", 7);
  BOOST_TEST(a.received.empty());
  BOOST_REQUIRE(run_until(loop, [&] { return a.received.size() == 1; }));
  BOOST_TEST(a.received[0] == "a:7");
}

// Guards against waiting for the SYN retransmission when a peer starts while it
// is dialled. The lost SYN is simulated by a listener with a full backlog.
BOOST_AUTO_TEST_CASE(unanswered_dial_is_retried_before_syn_retransmission) {
  using boost::asio::ip::tcp;
  boost::asio::io_context loop;
  tcp::acceptor full(loop);
  full.open(tcp::v4());
  full.set_option(tcp::acceptor::reuse_address(true));
  full.bind({boost::asio::ip::address_v4::loopback(), 0});
  full.listen(0);
  std::vector<tcp::socket> waiting;
  constexpr std::size_t connections_to_fill = 3;
  waiting.reserve(connections_to_fill);
  for (std::size_t at = 0; at < connections_to_fill; ++at) {
    waiting.emplace_back(loop);
    waiting.back().async_connect(full.local_endpoint(),
                                 [](boost::system::error_code) {});
  }
  loop.run_for(std::chrono::milliseconds(50));
  peer_hub_options options;
  options.self = {"a", 1};
  options.secret = good_secret;
  options.deployment = "d";
  peer_hub a(loop, options);
  BOOST_REQUIRE(a.listen().ok());
  const std::string address =
      fmt::format("127.0.0.1:{}", full.local_endpoint().port());
  a.connect_address(address);
  const auto dial_start = std::chrono::steady_clock::now();
  loop.restart();
  loop.run_for(std::chrono::milliseconds(100));
  waiting.clear();
  full.close();
  options.self = {"b", 1};
  options.listen = address;
  peer_hub b(loop, options);
  BOOST_REQUIRE(b.listen().ok());
  BOOST_TEST(run_until(loop, [&] { return a.session_incarnation("b") == 1; }));
  // The kernel would retransmit the SYN 1 s after the first.
  BOOST_TEST((std::chrono::steady_clock::now() - dial_start <
              std::chrono::milliseconds(950)));
}

BOOST_AUTO_TEST_CASE(restarted_peer_has_new_incarnation) {
  boost::asio::io_context loop;
  node a(loop, "a");
  auto b = std::make_unique<node>(loop, "b", 1);
  b->hub->connect("a", a.address());
  BOOST_REQUIRE(
      run_until(loop, [&] { return a.hub->session_incarnation("b") == 1; }));
  b = std::make_unique<node>(loop, "b", 2);
  b->hub->connect("a", a.address());
  BOOST_REQUIRE(
      run_until(loop, [&] { return a.hub->session_incarnation("b") == 2; }));
  const std::vector<std::string> expected{"+b", "-b", "+b"};
  BOOST_TEST(a.changes == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(peers_with_wrong_secret_deployment_or_name_are_refused) {
  struct invalid_peer {
    std::string secret;
    std::string deployment;
    std::string dialled_as;
  };
  const std::vector<invalid_peer> table{{std::string(32, 'x'), "d", "b"},
                                        {good_secret, "other", "b"},
                                        {good_secret, "d", "c"}};
  for (const invalid_peer& each : table) {
    boost::asio::io_context loop;
    node a(loop, "a");
    node b(loop, "b", 1, each.secret, each.deployment);
    node valid_peer(loop, "fine");
    a.hub->connect(each.dialled_as, b.address());
    a.hub->connect("fine", valid_peer.address());
    BOOST_REQUIRE(run_until(
        loop, [&] { return a.hub->session_incarnation("fine") == 1; }));
    run_until(
        loop, [] { return false; }, std::chrono::seconds(1));
    BOOST_TEST(a.hub->session_incarnation("b") == 0U);
    BOOST_TEST(b.hub->session_incarnation("a") == 0U);
    BOOST_TEST(!a.hub->send("b", make_frame(cancel_request{})).ok());
  }
}

BOOST_AUTO_TEST_CASE(malformed_body_ends_only_its_session) {
  boost::asio::io_context loop;
  node a(loop, "a");
  node b(loop, "b");
  node c(loop, "c");
  b.hub->connect("a", a.address());
  c.hub->connect("a", a.address());
  BOOST_REQUIRE(run_until(loop, [&] {
    return b.hub->session_incarnation("a") == 1 &&
           c.hub->session_incarnation("a") == 1 &&
           a.hub->session_incarnation("b") == 1;
  }));
  b.hub->send("a", frame{"cancel", {{"key", 3}}}).IgnoreError();
  BOOST_REQUIRE(run_until(loop, [&] {
    return std::count(b.changes.begin(), b.changes.end(), "-a") == 1;
  }));
  c.send("a", 9);
  BOOST_REQUIRE(run_until(loop, [&] { return a.received.size() == 1; }));
  const std::set<std::string> events_of_c(c.changes.begin(), c.changes.end());
  BOOST_TEST(events_of_c.count("-a") == 0U);
}

BOOST_AUTO_TEST_CASE(silent_and_malformed_connections_are_closed) {
  boost::asio::io_context loop;
  node a(loop, "a");
  using boost::asio::ip::tcp;
  for (const std::string bytes :
       {"", "nonsense\r\n\r\n", "GET / HTTP/1.1\r\n"}) {
    tcp::socket raw(loop);
    raw.connect({boost::asio::ip::make_address("127.0.0.1"), a.port});
    boost::asio::write(raw, boost::asio::buffer(bytes));
    bool closed = false;
    std::array<char, 4096> buffer{};
    std::function<void()> read = [&] {
      raw.async_read_some(boost::asio::buffer(buffer),
                          [&](boost::system::error_code error, std::size_t) {
                            closed = closed || error;
                            if (!error) {
                              read();
                            }
                          });
    };
    read();
    BOOST_TEST(run_until(loop, [&] { return closed; }));
  }
  BOOST_TEST(a.changes.empty());
}

BOOST_AUTO_TEST_CASE(full_send_queue_returns_resource_exhausted) {
  boost::asio::io_context loop;
  node a(loop, "a");
  node b(loop, "b");
  a.hub->connect("b", b.address());
  BOOST_REQUIRE(
      run_until(loop, [&] { return a.hub->session_incarnation("b") == 1; }));
  tokens_message big;
  big.tokens.assign(1, std::string(100000, 'x'));
  absl::Status status;
  for (int count = 0; count < 1000 && status.ok(); ++count) {
    status = a.hub->send("b", make_frame(big));
  }
  BOOST_TEST(absl::IsResourceExhausted(status));
}
