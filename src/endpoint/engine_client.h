/// Calls to the engine beside this process, by the protocol of docs/ENGINE.md.
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

/// GET /v1/info: what the engine is.
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

/// GET /v1/load: what the engine says of its load, with a lag.
struct engine_load {
  std::int64_t incarnation = 0;
  std::int32_t pieces_free = 0;
  std::int32_t running = 0;
  std::int64_t wasted_tokens = 0;  ///< prefilled and never pulled, in sum
};
CITRONWHARF_VALUE(engine_load, incarnation, pieces_free, running, wasted_tokens)

/// POST /v1/prefill and its answer.
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

/// POST /v1/import and its answer.
struct engine_import {
  std::string id;
  std::string export_id;
  std::string from;  ///< "ip:port" of the engine that exports
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

/// GET /v1/held: one request in the engine.
struct engine_held {
  std::string id;
  std::string state;
  std::int32_t pieces = 0;
};
CITRONWHARF_VALUE(engine_held, id, state, pieces)

/// Why a call failed, and whether the engine may have run it.
struct engine_error {
  failure_reason reason = failure_reason::none;  ///< none: it did not fail
  bool ran = false;
  int status = 0;  ///< of HTTP, 0 without an answer
};

/// Loop's thread only. Handlers are called once, later, unless the returned
/// call is destroyed before. Answers for another request are engine_lost.
class engine_client {
 public:
  template <typename Answer>
  using handler = std::function<void(const engine_error&, const Answer&)>;
  using call = std::unique_ptr<http_call>;

  engine_client(boost::asio::io_context& loop, std::string address);
  ~engine_client();
  engine_client(const engine_client&) = delete;
  engine_client& operator=(const engine_client&) = delete;

  call prefill(const engine_prefill& what, duration limit,
               handler<engine_export> done);
  call import(const engine_import& what, duration limit,
              handler<engine_imported> done);
  /// Streams the tokens from `offset` on; a token later than `stall` after
  /// the one before ends the stream as lost.
  call decode(const std::string& id, std::int32_t offset, duration stall,
              const std::function<void(std::vector<std::string>)>& on_tokens,
              const std::function<void(const engine_error&)>& on_end);
  call info(handler<engine_info> done);
  call load(handler<engine_load> done);
  call held(handler<std::vector<engine_held>> done);
  /// POST /v1/orders. A 409 says that the engine refused an old token.
  call order(const engine_order& what, handler<engine_info> done);

  /// Frees what the engine holds for `id`. Tried again until the engine
  /// answers; then `done` is called. A repeat joins the one under way.
  void cancel(const std::string& id, std::function<void()> done = {});
  /// Returns how many cancels the engine hasn't answered yet.
  std::size_t pending_cancels() const { return cancels_.size(); }
  const std::string& address() const { return address_; }

 private:
  struct pending_cancel {
    call running;
    runtime_timer again;
    duration wait;
    std::vector<std::function<void()>> done;
  };
  call send(const std::string& method, const std::string& target,
            const std::string& body, duration limit,
            std::function<void(const engine_error&, const nlohmann::json&)>);
  void send_cancel(const std::string& id);
  void end_cancel(const std::string& id, const engine_error& error);

  boost::asio::io_context& loop_;
  std::string address_;
  std::map<std::string, pending_cancel> cancels_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_ENGINE_CLIENT_H_
