/// The filter before the endpoints: what placement needs to know of a request,
/// and whether any endpoint can ever hold it.
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

/// Bytes of a prompt's head that decide its affinity.
constexpr std::size_t prefix_bytes = 1024;

/// Returns the hash of the prompt's head under its model, never 0.
/// Thread-safe.
std::uint64_t prefix_hash(const std::string& model, const std::string& prompt);

/// Remembers how many tokens each endpoint's memory holds. One thread.
class endpoint_memory {
 public:
  void observe(const std::string& endpoint, const endpoint_load& load);
  /// Returns the tokens that the largest endpoint of the pool holds; nothing
  /// while one of them has not told.
  std::optional<std::int64_t> largest(const configuration& current,
                                      const std::string& pool) const;

 private:
  std::map<std::string, std::int64_t> tokens_;
};

/// Refuses a pools call that no endpoint of the decode pool can ever hold.
std::optional<problem> check_size(const routed_call& call,
                                  const configuration& current,
                                  const endpoint_memory& memory);

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_PLACE_H_
