/// The control role: a replica of the configuration log and the
/// administration API.
#ifndef CITRONWHARF_CONTROL_CONTROL_ROLE_H_
#define CITRONWHARF_CONTROL_CONTROL_ROLE_H_

#include <memory>

#include "base/process_context.h"

namespace citronwharf {

/// Makes the control role. Precondition: `process` outlives it.
std::unique_ptr<process_role> make_control_role(process_context& process);

/// Updates the process's configuration_view from the control replicas and
/// extends its freshness. Every process has one, in addition to its roles.
class configuration_follower {
 public:
  configuration_follower() = default;
  virtual ~configuration_follower() = default;
  configuration_follower(const configuration_follower&) = delete;
  configuration_follower& operator=(const configuration_follower&) = delete;
};

/// Makes and starts the follower. Precondition: `process` outlives it.
std::unique_ptr<configuration_follower> make_configuration_follower(
    process_context& process);

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_CONTROL_ROLE_H_
