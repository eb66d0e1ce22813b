/// Limits how many requests wait in an entry, in total and per organisation.
#ifndef CITRONWHARF_ENTRY_WAITING_LIMITER_H_
#define CITRONWHARF_ENTRY_WAITING_LIMITER_H_

#include <cstddef>
#include <map>
#include <string>

namespace citronwharf {

/// Counts requests that are accepted and not yet running. Not thread-safe.
class waiting_limiter {
 public:
  waiting_limiter(std::size_t max_waiting,
                  std::size_t max_waiting_per_organisation)
      : max_waiting_(max_waiting),
        max_waiting_per_organisation_(max_waiting_per_organisation) {}

  /// Counts a request as waiting; returns false when a limit is reached.
  bool enter(const std::string& organisation);
  /// Ends the waiting of a request. Precondition: enter() returned true for it.
  void leave(const std::string& organisation);
  std::size_t size() const { return waiting_; }

 private:
  std::size_t max_waiting_;
  std::size_t max_waiting_per_organisation_;
  std::size_t waiting_ = 0;
  std::map<std::string, std::size_t> waiting_per_organisation_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_WAITING_LIMITER_H_
