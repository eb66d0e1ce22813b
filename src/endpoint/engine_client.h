/// Client of the engine beside this process; docs/ENGINE.md describes the
/// protocol.
#ifndef CITRONWHARF_ENDPOINT_ENGINE_CLIENT_H_
#define CITRONWHARF_ENDPOINT_ENGINE_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/value.h"
#include "net/http_client.h"
#include "wire/control_messages.h"
#include "wire/request_messages.h"

namespace citronwharf {

/// GET /v1/info: identity and size of the engine.
struct engine_info {
  std::int64_t incarnation = 0;  ///< differs after each start of the engine
  std::string role;
  std::string model;
  std::string adapter;
  std::string model_version;
  std::int32_t pieces_total = 0;
  std::int32_t piece_tokens = 0;
  std::int32_t max_batch = 0;
};
CITRONWHARF_VALUE(engine_info, incarnation, role, model, adapter, model_version,
                  pieces_total, piece_tokens, max_batch)

/// GET /v1/load: the engine's load. The values lag behind the actual load.
struct engine_load {
  std::int64_t incarnation = 0;
  std::int32_t pieces_free = 0;
  std::int32_t running = 0;
  std::int64_t wasted_tokens = 0;  ///< total prefilled but never pulled
};
CITRONWHARF_VALUE(engine_load, incarnation, pieces_free, running, wasted_tokens)

/// POST /v1/prefill: request and response.
struct engine_prefill {
  std::string id;
  std::string model;
  std::string prompt;
  std::int32_t prompt_tokens = 0;
  std::int32_t priority = 0;  ///< lower is more urgent
};
CITRONWHARF_VALUE(engine_prefill, id, model, prompt, prompt_tokens, priority)
struct engine_export {
  std::string id;
  std::string export_id;
  std::string address;
  std::int64_t kv_bytes = 0;
  std::int64_t expires_in_us = 0;
};
CITRONWHARF_VALUE(engine_export, id, export_id, address, kv_bytes,
                  expires_in_us)

/// POST /v1/import: request and response.
struct engine_import {
  std::string id;
  std::string export_id;
  std::string from;  ///< "ip:port" of the exporting engine
  std::int32_t prompt_tokens = 0;
  std::int32_t max_tokens = 0;
  std::int32_t offset = 0;
  std::int32_t priority = 0;
};
CITRONWHARF_VALUE(engine_import, id, export_id, from, prompt_tokens, max_tokens,
                  offset, priority)
struct engine_imported {
  std::string id;
  std::int64_t transfer_us = 0;
};
CITRONWHARF_VALUE(engine_imported, id, transfer_us)

/// GET /v1/held: one request that the engine holds.
struct engine_held {
  std::string id;
  std::string state;
  std::int32_t pieces = 0;
};
CITRONWHARF_VALUE(engine_held, id, state, pieces)

/// Why a call failed, and whether the engine may have run the request.
struct engine_error {
  failure_reason reason =
      failure_reason::none;  ///< `none` if the call succeeded
  bool ran = false;
  int status = 0;  ///< HTTP status, 0 without a response
};

/// Client of one engine. Callbacks run once, after the function has returned,
/// unless the returned call is destroyed first. A response that names another
/// request is reported as engine_lost. Not thread-safe; use from the event loop
/// thread only.
class engine_client {
 public:
  template <typename Answer>
  using callback = std::function<void(const engine_error&, const Answer&)>;
  using call = std::unique_ptr<http_call>;

  engine_client(boost::asio::io_context& loop, std::string address);
  ~engine_client();
  engine_client(const engine_client&) = delete;
  engine_client& operator=(const engine_client&) = delete;

  call prefill(const engine_prefill& params, duration timeout,
               callback<engine_export> done);
  call import(const engine_import& params, duration timeout,
              callback<engine_imported> done);
  /// Streams the tokens from `offset` on. The stream ends with engine_lost if
  /// no data arrives for `stall`.
  call decode(const std::string& id, std::int32_t offset,
              duration stall_timeout,
              const std::function<void(std::vector<std::string>)>& on_tokens,
              const std::function<void(const engine_error&)>& on_end);
  call info(callback<engine_info> done);
  call load(callback<engine_load> done);
  call held(callback<std::vector<engine_held>> done);
  /// POST /v1/orders. Status 409 means that the engine refused an outdated
  /// fencing token.
  call order(const engine_order& params, callback<engine_info> done);

  /// Releases what the engine holds for `id`. Retries until the engine
  /// confirms, then calls `done`. A repeated call joins the pending cancel.
  void cancel(const std::string& id, std::function<void()> done = {});
  /// Returns the number of cancels that the engine has not confirmed yet.
  std::size_t pending_cancels() const { return cancels_.size(); }
  const std::string& address() const { return address_; }

 private:
  struct pending_cancel {
    call running;
    runtime_timer retry_timer;
    duration retry_wait;
    std::vector<std::function<void()>> done;
  };
  call send(const std::string& method, const std::string& target,
            const std::string& body, duration timeout,
            std::function<void(const engine_error&, const nlohmann::json&)>);
  void send_cancel(const std::string& id);
  void on_cancel_answered(const std::string& id, const engine_error& error);

  boost::asio::io_context& loop_;
  std::string address_;
  std::map<std::string, pending_cancel> cancels_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_ENGINE_CLIENT_H_
