// Tests that a frame is decoded as it was encoded and that malformed frames and
// log entries are rejected.
#include "wire/frame.h"

#include <boost/test/unit_test.hpp>

#include "base/cbor.h"
#include "control/log_check.h"
#include "control/log_members.h"
#include "wire/request_messages.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_CASE(message_round_trips_through_a_frame) {
  tokens_message sent{{"entry-1", 7, 8, 1}, 3, {"a", "b"}};
  const auto received = decode_frame(encode_frame(make_frame(sent)));
  BOOST_REQUIRE(received.ok());
  BOOST_TEST(received->type == "tokens");
  BOOST_TEST((decode_value<tokens_message>(received->body).value() == sent));
}

BOOST_AUTO_TEST_CASE(malformed_frames_are_rejected) {
  const std::string valid_frame = encode_frame(make_frame(cancel_request{}));
  for (std::size_t length = 0; length < valid_frame.size(); ++length) {
    BOOST_TEST(!decode_frame(valid_frame.substr(0, length)).ok());
  }
  BOOST_TEST(!decode_frame("nonsense").ok());
  BOOST_TEST(!decode_value<tokens_message>({{"offset", "x"}}).ok());
}

BOOST_AUTO_TEST_CASE(deeply_nested_frames_do_not_overflow_the_stack) {
  constexpr std::size_t levels = 4U << 20U;
  // One array, chunked array, map or chunked string inside another.
  for (const char* opened : {"\x81", "\x9f", "\xa1\x61k", "\x7f", "\x5f"}) {
    std::string bytes;
    while (bytes.size() < levels) {
      bytes += opened;
    }
    BOOST_TEST(!decode_frame(bytes).ok());
  }
}

BOOST_AUTO_TEST_CASE(frames_may_nest_up_to_the_limit) {
  for (const std::size_t levels : {max_cbor_nesting - 1, max_cbor_nesting}) {
    nlohmann::json body = 1;
    for (std::size_t level = 0; level < levels; ++level) {
      body = nlohmann::json::array({std::move(body), "", 2.5, nullptr, true});
    }
    // The frame is itself a level.
    const auto read = decode_frame(encode_frame({"t", body}));
    BOOST_TEST(read.ok() == (levels < max_cbor_nesting));
    BOOST_TEST((!read.ok() || read->body == body));
  }
}

BOOST_AUTO_TEST_CASE(
    malformed_log_entries_are_detected_before_they_are_appended) {
  const std::string command{"\xa1\x64kind\x61k"};  // {"kind": "k"} in CBOR
  const std::string members = encode_members({{"id", "vm-1", "", true}});
  struct test_case {
    log_entry entry;
    bool is_valid;
  };
  const std::vector<test_case> cases{
      {{8, 1, log_entry_kind::noop, {}}, true},
      {{8, 1, log_entry_kind::command, {command}}, true},
      {{8, 1, log_entry_kind::members, {members}}, true},
      {{9, 1, log_entry_kind::noop, {}}, false},
      {{8, 1, log_entry_kind::command, {""}}, false},
      {{8, 1, log_entry_kind::command, {"\x01"}}, false},
      {{8, 1, log_entry_kind::members, {command}}, false},
      {{8, 1, log_entry_kind::members, {members + "x"}}, false},
  };
  for (const test_case& each : cases) {
    append_request in;
    in.previous_index = 7;
    in.entries = {each.entry};
    BOOST_TEST(well_formed(in) == each.is_valid);
  }
}
