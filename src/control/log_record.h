/// Checksummed records in the log's files. A record holds one synced write.
#ifndef CITRONWHARF_CONTROL_LOG_RECORD_H_
#define CITRONWHARF_CONTROL_LOG_RECORD_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace citronwharf {

/// Bytes before a record's payload: magic, payload size, payload checksum,
/// checksum of these three; each 4 bytes, little-endian, CRC32C.
constexpr std::size_t record_header_bytes = 16;

/// Disks write sectors of this size atomically.
constexpr std::size_t sector_bytes = 512;

/// Encodes the payload as a record. Precondition: under 4 GiB. Thread-safe.
std::string encode_record(const std::string& payload);

/// Result of scanning a file of records.
struct record_scan {
  std::vector<std::string> payloads;
  std::uint64_t size = 0;  ///< bytes up to the torn tail, if there is one
};

/// Reads the records of a file. An incomplete last record, which a crash leaves
/// behind and which was never acknowledged, is a torn tail. Any other damage is
/// a DataLoss error that names `file` and the offset. Thread-safe.
///
/// A record is incomplete if the file ends within it or a whole sector of it
/// reads as zeros, and no complete record follows.
absl::StatusOr<record_scan> scan_records(const std::string& file,
                                         const std::string& bytes);

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_LOG_RECORD_H_
