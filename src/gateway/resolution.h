/// What one configuration says of a request.
#ifndef CITRONWHARF_GATEWAY_RESOLUTION_H_
#define CITRONWHARF_GATEWAY_RESOLUTION_H_

#include <memory>
#include <string>
#include <utility>

#include "gateway/admission_filter.h"

namespace citronwharf {

/// Route, service and organisation of a request with the table that holds them:
/// one value, so that none outlives the table. Immutable. Two are equal when
/// they are of the same table and say the same.
class resolution {
 public:
  /// Of a request that was not looked up yet.
  resolution() = default;
  /// Preconditions: `found` comes from `table`; `service` is "" or one of it.
  resolution(std::shared_ptr<const routing_table> table,
             const filter_result& found, const std::string& service)
      : table_(std::move(table)),
        route_(found.route),
        service_(table_->find_service(service)),
        organisation_(found.organisation) {}

  /// Returns the configuration's version, 0 before the lookup.
  std::uint64_t version() const { return table_ ? table_->version() : 0; }
  bool is_of(const std::shared_ptr<const routing_table>& table) const {
    return table_ == table;
  }
  /// Whether the request can be sent to its service.
  bool complete() const { return route_ != nullptr && service_ != nullptr; }

  /// Preconditions of the next two: complete().
  const gateway_route& route() const { return *route_; }
  const gateway_service& service() const { return *service_; }

  /// Names for logs, "" without one.
  std::string route_name() const { return route_ ? route_->name : ""; }
  std::string service_name() const { return service_ ? service_->name : ""; }
  std::string organisation() const {
    return organisation_ ? organisation_->name : "";
  }
  /// Returns "none", "stream" or "plain".
  const char* kind() const {
    return route_ == nullptr ? "none" : route_->stream ? "stream" : "plain";
  }

  friend bool operator==(const resolution& lhs, const resolution& rhs) {
    return lhs.table_ == rhs.table_ && lhs.route_ == rhs.route_ &&
           lhs.service_ == rhs.service_ &&
           lhs.organisation_ == rhs.organisation_;
  }

 private:
  std::shared_ptr<const routing_table> table_;
  const gateway_route* route_ = nullptr;
  const gateway_service* service_ = nullptr;
  const gateway_organisation* organisation_ = nullptr;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_RESOLUTION_H_
