/// Calls to servers that carry no request id, such as those about memory.
#ifndef CITRONWHARF_GATEWAY_CALL_WITHOUT_ID_H_
#define CITRONWHARF_GATEWAY_CALL_WITHOUT_ID_H_

#include <string>

#include "gateway/codec.h"
#include "net/http_pool.h"

namespace citronwharf {

/// Returns the parameters of a call that carries no request id to the server at
/// `address` ("ip:port"). A response that names a request, such as a late copy,
/// is not taken for the response to it. Thread-safe. Precondition: `codec`
/// outlives the call.
inline pooled_call make_call_without_id(const gateway_codec& codec,
                                        const std::string& address) {
  pooled_call out;
  out.address = address;
  out.match = [&codec](const http_response& head) {
    return codec.read_answer(head).request_id.empty()
               ? response_match::unidentified
               : response_match::other_call;
  };
  return out;
}

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_CALL_WITHOUT_ID_H_
