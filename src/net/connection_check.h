/// Finds out whether a process still listens at an address.
#ifndef CITRONWHARF_NET_CONNECTION_CHECK_H_
#define CITRONWHARF_NET_CONNECTION_CHECK_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "base/clock.h"

namespace citronwharf {

/// Opens a connection to `address` ("ip:port") and closes it. Calls `done`
/// once, not from within this call, with whether the connection was refused;
/// false also if there is no answer within `timeout`. Not thread-safe; use from
/// the event loop thread only.
void check_refused(boost::asio::io_context& loop, const std::string& address,
                   duration timeout, std::function<void(bool refused)> done);

}  // namespace citronwharf

#endif  // CITRONWHARF_NET_CONNECTION_CHECK_H_
