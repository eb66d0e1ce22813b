/// The prefix hash that placement uses, and a check whether any endpoint is
/// large enough for a request.
#ifndef CITRONWHARF_ENTRY_PLACE_H_
#define CITRONWHARF_ENTRY_PLACE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "citronwharf/configuration.h"
#include "entry/outcome.h"
#include "entry/route.h"
#include "wire/request_messages.h"

namespace citronwharf {

/// Number of leading prompt bytes that determine prefix affinity.
constexpr std::size_t affinity_prefix_bytes = 1024;

/// Returns a hash of the model and the leading bytes of the prompt; never 0.
/// Thread-safe.
std::uint64_t prefix_hash(const std::string& model, const std::string& prompt);

/// Records the token capacity of each endpoint's memory. Not thread-safe.
class endpoint_memory {
 public:
  void observe(const std::string& endpoint, const endpoint_load& load);
  /// Returns the largest token capacity among the endpoints of the pool that
  /// are not draining; nothing until all of them have reported theirs.
  std::optional<std::int64_t> largest_capacity(const configuration& current,
                                               const std::string& pool) const;

 private:
  std::map<std::string, std::int64_t> capacities_;
};

/// Refuses a pools call that exceeds the capacity of every endpoint of the
/// decode pool.
std::optional<problem> check_size(const routed_call& call,
                                  const configuration& current,
                                  const endpoint_memory& memory);

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_PLACE_H_
