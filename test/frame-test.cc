// Frames between processes: what is sent is read, and nothing else is.
#include "wire/frame.h"

#include <boost/test/unit_test.hpp>

#include "control/log_check.h"
#include "control/log_members.h"
#include "wire/request_messages.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

BOOST_AUTO_TEST_CASE(a_message_survives_the_wire) {
  tokens_message sent{{"entry-1", 7, 8, 1}, 3, {"a", "b"}};
  const auto got = decode_frame(encode_frame(make_frame(sent)));
  BOOST_REQUIRE(got.ok());
  BOOST_TEST(got->type == "tokens");
  BOOST_TEST((decode_value<tokens_message>(got->body).value() == sent));
}

BOOST_AUTO_TEST_CASE(malformed_frames_are_errors) {
  const std::string good = encode_frame(make_frame(cancel_request{}));
  for (std::size_t length = 0; length < good.size(); ++length) {
    BOOST_TEST(!decode_frame(good.substr(0, length)).ok());
  }
  BOOST_TEST(!decode_frame("nonsense").ok());
  BOOST_TEST(!decode_value<tokens_message>({{"offset", "x"}}).ok());
}

BOOST_AUTO_TEST_CASE(
    malformed_log_entries_are_found_before_the_log_takes_them) {
  const std::string command{"\xa1\x64kind\x61k"};  // {"kind": "k"} in CBOR
  const std::string members = encode_members({{"id", "vm-1", "", true}});
  struct row {
    log_entry entry;
    bool good;
  };
  const std::vector<row> table{
      {{8, 1, log_entry_kind::noop, {}}, true},
      {{8, 1, log_entry_kind::command, {command}}, true},
      {{8, 1, log_entry_kind::members, {members}}, true},
      {{9, 1, log_entry_kind::noop, {}}, false},
      {{8, 1, log_entry_kind::command, {""}}, false},
      {{8, 1, log_entry_kind::command, {"\x01"}}, false},
      {{8, 1, log_entry_kind::members, {command}}, false},
      {{8, 1, log_entry_kind::members, {members + "x"}}, false},
  };
  for (const row& each : table) {
    append_request in;
    in.previous_index = 7;
    in.entries = {each.entry};
    BOOST_TEST(well_formed(in) == each.good);
  }
}
