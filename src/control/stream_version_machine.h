/// Replicated state machine that stores at which software version streams
/// began.
#ifndef CITRONWHARF_CONTROL_STREAM_VERSION_MACHINE_H_
#define CITRONWHARF_CONTROL_STREAM_VERSION_MACHINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "control/state_machine.h"
#include "wire/stream_version_messages.h"

namespace citronwharf {

/// A change of the base version of a service. It has no effect if the base
/// version is no longer `from`; "": none yet.
struct base_version_change {
  std::string from;
  std::string to;
};
CITRONWHARF_VALUE(base_version_change, from, to)

/// A command of the machine.
struct stream_version_command {
  /// Time since the previous command of the same leader.
  std::int64_t elapsed_ms = 0;
  std::map<std::string, base_version_change> bases;  ///< by service
  std::vector<stream_version> stored;
  std::vector<resumed_stream> wanted;
};
CITRONWHARF_VALUE(stream_version_command, elapsed_ms, bases, stored, wanted)

/// Results of a command, in the order of its lists.
struct stream_version_result {
  std::vector<bool> stored;           ///< false: there are too many streams
  std::vector<std::string> versions;  ///< of `wanted`; "": not known
};
CITRONWHARF_VALUE(stream_version_result, stored, versions)

/// Each service has a base version. A stream that began at the base version is
/// not stored, so that nothing is stored while all servers have one version. A
/// stream of any other version must be stored before its first event is sent.
/// The base version may only change once no stream that began at it can be
/// resumed any more.
///
/// Time advances with commands only, so a record lives at least as long as it
/// should. Not thread-safe; use from the event loop thread only.
class stream_version_machine final : public state_machine {
 public:
  static constexpr const char* kind = "stream_versions";
  /// Limit of the records, which take some 100 bytes each.
  static constexpr std::size_t max_streams = 250000;

  static nlohmann::json make_command(const stream_version_command& in);

  /// Returns a stream_version_result. What a command looks up is looked up
  /// after what it stores.
  nlohmann::json apply(std::uint64_t index,
                       const nlohmann::json& command) override;
  nlohmann::json snapshot() const override;
  void restore(const nlohmann::json& state) override;

  /// Returns the base version of a service, or "" if it has none yet.
  std::string base(const std::string& service) const;
  std::size_t size() const { return streams_.size(); }

 private:
  // A service and the version of its servers.
  using service_version = std::pair<std::string, std::string>;

  struct stream {
    std::uint64_t request = 0;
    std::int64_t number = 0;
    std::size_t began_at = 0;  // index of began_at_
    std::int64_t expires_ms = 0;
    bool shared = false;     // by several requests with its id
    bool ambiguous = false;  // these began at several versions
  };

  bool store(const stream_version& in);
  std::string find(const resumed_stream& in) const;
  std::size_t index_of(const service_version& in);
  void remove_expired();

  std::int64_t now_ms_ = 0;
  std::int64_t swept_ms_ = 0;
  std::map<std::string, std::string> bases_;  // by service
  std::vector<service_version> began_at_;
  std::map<std::uint64_t, stream> streams_;  // by hash
};

/// Returns the state without any stream or service, for restore().
nlohmann::json empty_stream_versions();

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_STREAM_VERSION_MACHINE_H_
