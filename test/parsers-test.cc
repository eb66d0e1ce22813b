// Parsers that face callers, engines, operators and peers: damaged input gives
// an error or a value, never a crash or an exception.
#include <boost/test/unit_test.hpp>
#include <random>

#include "base/configuration_json.h"
#include "base/settings.h"
#include "observe/trace.h"
#include "wire/allowance_messages.h"
#include "wire/frame.h"
#include "wire/log_messages.h"
#include "wire/request_messages.h"

using namespace citronwharf;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::uint64_t seeds = 3000;

// Flips, inserts, removes or repeats a few bytes.
std::string damaged(std::string bytes, std::mt19937_64& random) {
  const auto at = [&] { return random() % (bytes.size() + 1); };
  for (std::uint64_t change = random() % 4 + 1; change > 0; --change) {
    const std::size_t place = at();
    switch (random() % 4) {
      case 0:
        bytes.insert(place, 1, static_cast<char>(random() % 256));
        break;
      case 1:
        bytes.erase(place, random() % 4);
        break;
      case 2:
        bytes.insert(place, bytes.substr(at()));
        break;
      default:
        if (place < bytes.size()) {
          bytes[place] = static_cast<char>(random() % 256);
        }
    }
  }
  return bytes;
}

template <typename Message>
void read_as(const frame& in) {
  (void)decode_value<Message>(in.body);
}

}  // namespace

BOOST_AUTO_TEST_CASE(damaged_frames_are_errors_or_values) {
  const std::vector<std::string> good{
      encode_frame(make_frame(reserve_request{})),
      encode_frame(make_frame(tokens_message{{"e", 1, 2, 3}, 4, {"a", "b"}})),
      encode_frame(make_frame(plain_reply{})),
      encode_frame(make_frame(append_request{})),
      encode_frame(make_frame(allowance_grant{}))};
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    std::mt19937_64 random(seed);
    const std::string bytes = damaged(good[seed % good.size()], random);
    BOOST_TEST_CONTEXT("seed " << seed) {
      const auto in = decode_frame(bytes);
      if (in.ok()) {
        BOOST_CHECK_NO_THROW(read_as<reserve_request>(*in));
        BOOST_CHECK_NO_THROW(read_as<tokens_message>(*in));
        BOOST_CHECK_NO_THROW(read_as<plain_reply>(*in));
        BOOST_CHECK_NO_THROW(read_as<append_request>(*in));
        BOOST_CHECK_NO_THROW(read_as<allowance_grant>(*in));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(damaged_documents_are_errors_or_values) {
  configuration made;
  made.version = 3;
  made.organisations = {{"o", 1, {10, 20}}};
  made.keys = {{"k", "o", std::string(64, 'a'), false}};
  const std::string document = nlohmann::json(made).dump();
  const std::string options = nlohmann::json(settings{}).dump();
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    std::mt19937_64 random(seed);
    const auto text = parse_json(damaged(document, random));
    const auto other = parse_json(damaged(options, random));
    BOOST_TEST_CONTEXT("seed " << seed) {
      if (text.ok()) {
        BOOST_CHECK_NO_THROW((void)decode_value<configuration>(*text));
      }
      if (other.ok() && other->is_object() && seed % 10 == 0) {
        BOOST_CHECK_NO_THROW((void)check_settings(*other));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(damaged_trace_contexts_are_none_or_well_formed) {
  const std::string good =
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    std::mt19937_64 random(seed);
    const std::string text = damaged(good, random);
    const auto read = parse_traceparent(text);
    BOOST_TEST((!read || format_traceparent(*read) == text), "seed " << seed);
  }
}
