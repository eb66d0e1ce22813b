/// The servers that the directory lists, with those of evacuated failure
/// domains marked.
#ifndef CITRONWHARF_GATEWAY_EVACUATED_SERVERS_H_
#define CITRONWHARF_GATEWAY_EVACUATED_SERVERS_H_

#include <cstddef>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/codec.h"

namespace citronwharf {

/// Every component of a gateway reads the list from here, so a server of an
/// evacuated domain counts as leaving everywhere. Designed for this load: a
/// list of some thousand servers that changes every second, and a set of
/// domains that changes a few times a day. Performs no I/O. Not thread-safe.
class evacuated_servers {
 public:
  void set_listed(std::vector<listed_server> listed) {
    listed_ = std::move(listed);
  }
  /// Returns whether the set differs from the former one.
  bool set_domains(const std::set<std::string>& domains) {
    const bool changed = domains != domains_;
    domains_ = domains;
    return changed;
  }

  const std::set<std::string>& domains() const { return domains_; }
  /// Returns the list; servers of evacuated domains are `leaving` and
  /// `evacuated`.
  std::vector<listed_server> marked() const;

 private:
  std::vector<listed_server> listed_;
  std::set<std::string> domains_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_EVACUATED_SERVERS_H_
