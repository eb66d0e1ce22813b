#include "base/cbor.h"

#include <fmt/format.h>

#include <cstdint>
#include <vector>

namespace citronwharf {
namespace {

// Walks over the bytes of one CBOR item without recursion and without decoding
// its values. Accepts what nlohmann::json::from_cbor accepts, or more.
class cbor_walk {
 public:
  explicit cbor_walk(const std::string& bytes) : bytes_(bytes) {}

  absl::Status check() {
    do {
      if (!read_item()) {
        return absl::InvalidArgumentError(
            fmt::format("malformed CBOR before byte {}", at_));
      }
      if (open_.size() > max_cbor_nesting) {
        return absl::InvalidArgumentError(
            fmt::format("nested more than {} levels deep", max_cbor_nesting));
      }
    } while (!open_.empty());
    return absl::OkStatus();
  }

 private:
  // An array, map or chunked string that has not ended. A map counts as twice
  // its number of members.
  struct container {
    std::uint64_t missing_items;
    bool until_break;
  };
  enum major_type : std::uint8_t {
    byte_string = 2,
    text_string = 3,
    array = 4,
    map = 5,
    tag = 6
  };
  static constexpr std::uint8_t break_byte = 0xFF;
  static constexpr std::uint8_t info_mask = 0x1F;
  static constexpr unsigned major_shift = 5;
  static constexpr std::uint8_t first_long_info = 24;
  static constexpr std::uint8_t last_long_info = 27;
  static constexpr std::uint8_t indefinite_info = 31;

  std::uint64_t left() const { return bytes_.size() - at_; }

  // Reads the head of an item and, for a string, its content.
  bool read_item() {
    if (left() == 0) {
      return false;
    }
    const auto head = static_cast<std::uint8_t>(bytes_[at_++]);
    if (head == break_byte) {
      return read_break();
    }
    std::uint64_t argument = 0;
    const std::uint8_t info = head & info_mask;
    return read_argument(info, argument) &&
           read_content(head >> major_shift, info == indefinite_info, argument);
  }

  bool read_break() {
    if (open_.empty() || !open_.back().until_break) {
      return false;
    }
    open_.pop_back();
    end_item();
    return true;
  }

  bool read_argument(std::uint8_t info, std::uint64_t& argument) {
    argument = info;
    if (info < first_long_info || info == indefinite_info) {
      return true;
    }
    const std::uint64_t size = std::uint64_t{1} << (info - first_long_info);
    if (info > last_long_info || left() < size) {
      return false;
    }
    argument = 0;
    for (std::uint64_t i = 0; i < size; ++i) {
      argument = argument << 8U | static_cast<std::uint8_t>(bytes_[at_++]);
    }
    return true;
  }

  bool read_content(int major, bool indefinite, std::uint64_t argument) {
    const bool is_string = major == byte_string || major == text_string;
    const bool is_container = major == array || major == map;
    if (major == tag || (indefinite && !is_string && !is_container)) {
      return false;
    }
    if (indefinite) {
      open_.push_back({0, true});
      return true;
    }
    // Each item of a container takes at least one byte.
    if ((is_string || is_container) && argument > left()) {
      return false;
    }
    if (is_container && argument != 0) {
      open_.push_back({major == map ? 2 * argument : argument, false});
      return true;
    }
    at_ += is_string ? argument : 0;
    end_item();
    return true;
  }

  void end_item() {
    while (!open_.empty() && !open_.back().until_break &&
           --open_.back().missing_items == 0) {
      open_.pop_back();
    }
  }

  const std::string& bytes_;
  std::size_t at_ = 0;
  std::vector<container> open_;
};

}  // namespace

absl::StatusOr<nlohmann::json> parse_cbor(const std::string& bytes) {
  absl::Status nesting = cbor_walk(bytes).check();
  if (!nesting.ok()) {
    return nesting;
  }
  try {
    return nlohmann::json::from_cbor(bytes);
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

}  // namespace citronwharf
