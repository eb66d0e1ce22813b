/// HTTP interface for operators: publishing and reading the configuration, and
/// evacuating failure domains.
#ifndef CITRONWHARF_GATEWAY_OPERATOR_API_H_
#define CITRONWHARF_GATEWAY_OPERATOR_API_H_

#include "control/document_cluster.h"
#include "control/evacuation_orders.h"
#include "gateway/codec.h"
#include "net/http_server.h"

namespace citronwharf {

/// Returns the handler of the operators' listener. Preconditions: the arguments
/// outlive it.
http_server::handler make_operator_handler(const gateway_codec& codec,
                                           document_cluster& cluster,
                                           evacuation_orders& evacuations);

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_OPERATOR_API_H_
