/// Messages about the software versions of streams: a gateway has the leader
/// store at which version a stream begins, and asks at which one a stream began
/// that its caller resumes.
#ifndef CITRONWHARF_WIRE_STREAM_VERSION_MESSAGES_H_
#define CITRONWHARF_WIRE_STREAM_VERSION_MESSAGES_H_

#include <cstdint>
#include <string>

#include "base/value.h"

namespace citronwharf {

/// The software version at which a stream begins. `stream` is a hash of the
/// organisation and of the id of the caller's attempt.
struct stream_version {
  std::uint64_t stream = 0;
  /// Random number of the request. Callers may use the id of an attempt twice.
  std::uint64_t request = 0;
  /// Counts the versions stored for the request; the highest is valid.
  std::int64_t number = 0;
  std::string service;
  std::string version;
  std::int64_t lifetime_ms = 0;  ///< how long the caller may resume the stream
};
CITRONWHARF_VALUE(stream_version, stream, request, number, service, version,
                  lifetime_ms)

/// Gateway to leader: store this, before the stream's first event is sent to
/// the caller. Repeated until it is answered.
struct stream_version_store {
  static constexpr const char* type_name = "stream_version_store";
  std::uint64_t id = 0;  ///< counter of the sender
  stream_version record;
};
CITRONWHARF_VALUE(stream_version_store, id, record)

struct stream_version_stored {
  static constexpr const char* type_name = "stream_version_stored";
  std::uint64_t id = 0;
  bool done = false;  ///< if false, it may or may not be stored
  /// Version of the streams of the service of which none is stored, or "".
  std::string base;
};
CITRONWHARF_VALUE(stream_version_stored, id, done, base)

/// A stream that a caller resumes.
struct resumed_stream {
  std::uint64_t stream = 0;
  bool identified = false;  ///< if false, the caller does not name the stream
  std::string service;
};
CITRONWHARF_VALUE(resumed_stream, stream, identified, service)

/// Gateway to leader: at which version did this stream begin? Repeated until it
/// is answered.
struct stream_version_find {
  static constexpr const char* type_name = "stream_version_find";
  std::uint64_t id = 0;  ///< counter of the sender
  resumed_stream wanted;
};
CITRONWHARF_VALUE(stream_version_find, id, wanted)

struct stream_version_found {
  static constexpr const char* type_name = "stream_version_found";
  std::uint64_t id = 0;
  bool done = false;    ///< if false, ask again
  std::string version;  ///< "": not known
};
CITRONWHARF_VALUE(stream_version_found, id, done, version)

}  // namespace citronwharf

#endif  // CITRONWHARF_WIRE_STREAM_VERSION_MESSAGES_H_
