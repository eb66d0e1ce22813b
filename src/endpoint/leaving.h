/// Whether this endpoint leaves, and by whose word.
#ifndef CITRONWHARF_ENDPOINT_LEAVING_H_
#define CITRONWHARF_ENDPOINT_LEAVING_H_

#include <set>

namespace citronwharf {

/// Who can say that an endpoint leaves. Any one is enough.
enum class leaving_source {
  configuration,  ///< `draining` of the endpoint, by an operator's order
  platform_list,  ///< the platform's list of leaving VMs
  signal          ///< SIGTERM to the process
};

/// Returns the source's name for logs.
const char* to_string(leaving_source source);

/// Keeps the leaving state. A signal can't be taken back. No I/O. One thread.
class leaving_state {
 public:
  /// Takes one source's word. Returns whether leaving() changed.
  bool set(leaving_source source, bool leaves);
  bool leaving() const { return !sources_.empty(); }

 private:
  std::set<leaving_source> sources_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_LEAVING_H_
