// Frames between processes: what is sent is read, and nothing else is.
#include "wire/frame.h"

#include <boost/test/unit_test.hpp>

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
