/// Bounds how many requests wait in an entry, in total and per organisation.
#ifndef CITRONWHARF_ENTRY_WAITING_LIMITER_H_
#define CITRONWHARF_ENTRY_WAITING_LIMITER_H_

#include <cstddef>
#include <map>
#include <string>

namespace citronwharf {

/// Counts requests that are accepted and not yet running. One thread.
class waiting_limiter {
 public:
  waiting_limiter(std::size_t most, std::size_t most_per_organisation)
      : most_(most), most_per_organisation_(most_per_organisation) {}

  /// Takes a place; false when a bound is reached.
  bool enter(const std::string& organisation);
  /// Gives a place back. Precondition: taken by enter().
  void leave(const std::string& organisation);
  std::size_t size() const { return size_; }

 private:
  std::size_t most_;
  std::size_t most_per_organisation_;
  std::size_t size_ = 0;
  std::map<std::string, std::size_t> per_organisation_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_WAITING_LIMITER_H_
