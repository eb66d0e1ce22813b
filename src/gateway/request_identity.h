/// The identity of a request that a caller sends again and again, under a new
/// id each time.
#ifndef CITRONWHARF_GATEWAY_REQUEST_IDENTITY_H_
#define CITRONWHARF_GATEWAY_REQUEST_IDENTITY_H_

#include <cstdint>
#include <functional>
#include <string>

#include "gateway/codec.h"

namespace citronwharf {

/// Returns a keyed hash of a text, in hex, the same in all processes of a
/// deployment.
using keyed_hash = std::function<std::string(const std::string& text)>;

/// Returns the first part of the identity, without the body: of the
/// organisation, the host, the method and the path with its query. Contains a
/// ':', which no id of a part of a prompt does.
std::string identity_prefix(const keyed_hash& hash,
                            const caller_request& request,
                            const std::string& organisation);
/// Returns the identity. It tells nothing of the caller or the body to those
/// who lack the key.
std::string identify_request(const keyed_hash& hash,
                             const caller_request& request,
                             const std::string& organisation);

/// Returns whether `id` is an identity of a request or the prefix of one.
bool is_request_identity(const std::string& id);

/// Returns the hash of a stream, from the id of the caller's attempt that began
/// it: the same in all processes of the deployment, and after restarts.
std::uint64_t hash_stream(const keyed_hash& hash,
                          const std::string& organisation,
                          const std::string& attempt);

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_REQUEST_IDENTITY_H_
