/// Whether this endpoint is leaving, and which sources requested it.
#ifndef CITRONWHARF_ENDPOINT_LEAVING_H_
#define CITRONWHARF_ENDPOINT_LEAVING_H_

#include <set>

namespace citronwharf {

/// Sources that can request that an endpoint leaves. One of them suffices.
enum class leaving_source {
  configuration,  ///< the endpoint is `draining`, set by an operator
  platform_list,  ///< the platform's list of leaving VMs
  signal          ///< SIGTERM to the process
};

/// Returns the name of the source for log events.
const char* to_string(leaving_source source);

/// The leaving state of an endpoint. A signal cannot be revoked. Performs no
/// I/O. Not thread-safe.
class leaving_state {
 public:
  /// Sets the request of one source. Returns whether leaving() changed.
  bool set(leaving_source source, bool requested);
  bool leaving() const { return !sources_.empty(); }

 private:
  std::set<leaving_source> sources_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_LEAVING_H_
