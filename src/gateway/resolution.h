/// Result of looking up a request in one configuration.
#ifndef CITRONWHARF_GATEWAY_RESOLUTION_H_
#define CITRONWHARF_GATEWAY_RESOLUTION_H_

#include <memory>
#include <string>
#include <utility>

#include "gateway/admission_filter.h"

namespace citronwharf {

/// Route, service and organisation of a request together with the table that
/// owns them, so that none outlives the table. Immutable. Two values are equal
/// if they refer to the same table and the same entries.
class resolution {
 public:
  /// Constructs the value of a request that has not been looked up yet.
  resolution() = default;
  /// Preconditions: `found` comes from `table`; `service` is "" or names a
  /// service in it.
  resolution(std::shared_ptr<const routing_table> table,
             const filter_result& found, const std::string& service)
      : table_(std::move(table)),
        route_(found.route),
        service_(table_->find_service(service)),
        organisation_(found.organisation) {}

  /// Returns the version of the configuration, or 0 before the lookup.
  std::uint64_t version() const { return table_ ? table_->version() : 0; }
  bool belongs_to(const std::shared_ptr<const routing_table>& table) const {
    return table_ == table;
  }
  /// Returns whether the request can be sent to a service.
  bool complete() const { return route_ != nullptr && service_ != nullptr; }

  /// Precondition of route() and service(): complete().
  const gateway_route& route() const { return *route_; }
  const gateway_service& service() const { return *service_; }

  /// Urgency among the requests of its organisation, and whether the routes of
  /// its service differ in rank. Precondition: complete().
  std::int64_t urgency() const {
    return table_->urgencies().of_route(service_->name, *route_);
  }
  /// Urgency among the requests of all organisations. Precondition: complete().
  std::int64_t fleet_urgency() const {
    return table_->urgencies().of_request(service_->name, *route_,
                                          organisation_);
  }
  bool has_ranks() const {
    return table_->urgencies().has_ranks(service_->name);
  }

  /// Names for logs; "" if not known.
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
