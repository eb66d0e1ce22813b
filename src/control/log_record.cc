#include "control/log_record.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/crc.hpp>
#include <optional>

namespace citronwharf {
namespace {

constexpr std::uint32_t record_magic = 0x314c5743;  // "CWL1"
constexpr std::size_t field_bytes = 4;

// CRC-32C (Castagnoli).
using crc32c =
    boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;

std::uint32_t checksum(const char* bytes, std::size_t size) {
  crc32c sum;
  sum.process_bytes(bytes, size);
  return sum.checksum();
}

void put(std::string& out, std::uint32_t value) {
  for (std::size_t i = 0; i < field_bytes; ++i) {
    out.push_back(static_cast<char>(value >> (8 * i) & 0xFFU));
  }
}

std::uint32_t get(const std::string& in, std::size_t at) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < field_bytes; ++i) {
    value |= std::uint32_t{static_cast<unsigned char>(in[at + i])} << (8 * i);
  }
  return value;
}

struct record_header {
  std::uint32_t size;
  std::uint32_t payload_checksum;
};

std::optional<record_header> read_header(const std::string& in,
                                         std::size_t at) {
  if (in.size() - at < record_header_bytes || get(in, at) != record_magic ||
      get(in, at + 3 * field_bytes) !=
          checksum(in.data() + at, 3 * field_bytes)) {
    return std::nullopt;
  }
  return record_header{get(in, at + field_bytes),
                       get(in, at + 2 * field_bytes)};
}

bool payload_fits(const std::string& in, std::size_t at,
                  const record_header& header) {
  return in.size() - at - record_header_bytes >= header.size;
}

bool is_whole_record(const std::string& in, std::size_t at) {
  const auto header = read_header(in, at);
  return header && payload_fits(in, at, *header) &&
         checksum(in.data() + at + record_header_bytes, header->size) ==
             header->payload_checksum;
}

bool record_follows(const std::string& in, std::size_t at) {
  for (++at; in.size() - at >= record_header_bytes; ++at) {
    if (get(in, at) == record_magic && is_whole_record(in, at)) {
      return true;
    }
  }
  return false;
}

// Returns whether the part of some sector from `at` on is all zeros.
bool has_zero_sector(const std::string& in, std::size_t at) {
  while (at < in.size()) {
    const std::size_t end =
        std::min(in.size(), (at / sector_bytes + 1) * sector_bytes);
    const auto* first = in.data() + at;
    if (std::all_of(first, in.data() + end, [](char c) { return c == 0; })) {
      return true;
    }
    at = end;
  }
  return false;
}

bool is_torn_tail(const std::string& in, std::size_t at) {
  if (record_follows(in, at)) {
    return false;
  }
  if (in.size() - at < record_header_bytes) {
    return true;
  }
  const auto header = read_header(in, at);
  return (header && !payload_fits(in, at, *header)) || has_zero_sector(in, at);
}

}  // namespace

std::string encode_record(const std::string& payload) {
  std::string out;
  out.reserve(record_header_bytes + payload.size());
  put(out, record_magic);
  put(out, static_cast<std::uint32_t>(payload.size()));
  put(out, checksum(payload.data(), payload.size()));
  put(out, checksum(out.data(), out.size()));
  return out + payload;
}

absl::StatusOr<record_scan> scan_records(const std::string& file,
                                         const std::string& bytes) {
  record_scan out;
  std::size_t at = 0;
  while (at < bytes.size() && is_whole_record(bytes, at)) {
    const std::uint32_t size = read_header(bytes, at)->size;
    out.payloads.push_back(bytes.substr(at + record_header_bytes, size));
    at += record_header_bytes + size;
  }
  if (at < bytes.size() && !is_torn_tail(bytes, at)) {
    return absl::DataLossError(
        fmt::format("{}: damaged record at offset {}", file, at));
  }
  out.size = at;
  return out;
}

}  // namespace citronwharf
