/// Handles decode work: imports KV caches and streams tokens.
#ifndef CITRONWHARF_ENDPOINT_DECODE_HANDLER_H_
#define CITRONWHARF_ENDPOINT_DECODE_HANDLER_H_

#include <map>
#include <optional>
#include <string>

#include "endpoint/reservation_manager.h"
#include "endpoint/stream_tokens.h"
#include "endpoint/work_handler.h"

namespace citronwharf {

/// Handles decode_request and resume_request, and replies with tokens_message
/// and one decode_finished. Engine memory is released when the stream ends for
/// any reason; the tokens are retained for a while so that the stream can be
/// resumed. Not thread-safe; use from the event loop thread only.
class decode_handler final : public work_handler {
 public:
  decode_handler(work_handler_context& context, reservation_manager& manager);

  void handle(const decode_request& request);
  void resume(const resume_request& request);
  /// Removes finished streams that their holder no longer claims.
  void on_claims(const wanted_attempts& claims);
  void cancel_attempt(const attempt_key& key) override;
  void tick(time_point now) override;
  void session_lost(const std::string& entry) override;
  bool idle() const override;
  void add_load(endpoint_load& load) const override { manager_.add_load(load); }

 private:
  enum class stream_state { waiting, importing, cancelling, running, finished };
  struct decode_stream {
    explicit decode_stream(const decode_request& original)
        : request(original), tokens(original.offset) {}
    decode_request request;
    stream_tokens tokens;
    stream_state state = stream_state::waiting;
    std::int32_t pieces = 0;
    bool has_memory = false;
    bool ran = false;
    /// Reason of the last failed import attempt; reported if the export expires
    /// before an import succeeds.
    failure_reason last_failure = failure_reason::export_expired;
    int reattach_count = 0;  ///< reattachments since the last token
    time_point export_expires_at{};
    time_point deadline{};
    time_point last_token_at{};
    time_point retry_at{};  ///< earliest time of the next attempt
    time_point finished_at{};
    std::int64_t transfer_us = 0;
    engine_client::call call;
    std::optional<decode_finished> end;
    bool end_sent = false;
    active_span span;
  };

  failure_reason admit(const decode_request& request);
  /// Continues a stream that an earlier process started in the engine.
  void adopt_stream(const resume_request& request);
  void import(decode_stream& stream);
  void on_imported(const attempt_key& key, const engine_error& error,
                   const engine_imported& result);
  void retry_import(decode_stream& stream, failure_reason cause);
  void attach_to_engine(decode_stream& stream);
  void on_tokens(const attempt_key& key, std::vector<std::string> tokens);
  void on_stream_end(const attempt_key& key, const engine_error& error);
  void finish(decode_stream& stream, failure_reason reason,
              bool held_by_engine);
  void release_memory(const attempt_key& key, bool held_by_engine);
  void send_unsent(decode_stream& stream);
  void refuse(const attempt_key& key, failure_reason reason, bool ran);
  decode_stream* find(const attempt_key& key);

  work_handler_context& context_;
  reservation_manager& manager_;
  std::map<attempt_key, decode_stream> streams_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_DECODE_HANDLER_H_
