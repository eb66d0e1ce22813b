/// The handler of decode work: imports KV caches and streams tokens.
#ifndef CITRONWHARF_ENDPOINT_DECODE_HANDLER_H_
#define CITRONWHARF_ENDPOINT_DECODE_HANDLER_H_

#include <map>
#include <optional>
#include <string>

#include "endpoint/reservation_manager.h"
#include "endpoint/stream_tokens.h"
#include "endpoint/work_handler.h"

namespace citronwharf {

/// Takes decode_request and resume_request, answers with tokens_message and
/// one decode_finished. Engine memory is freed when the stream ends, whatever
/// ends it; the tokens stay a while for a resume. Loop's thread only.
class decode_handler final : public work_handler {
 public:
  decode_handler(work_handler_context& parts, reservation_manager& manager);

  void take(const decode_request& request);
  void resume(const resume_request& request);
  /// Forgets finished streams that their holder doesn't want any more.
  void claimed(const wanted_attempts& claims);
  void drop(const attempt_key& key) override;
  void tick(time_point now) override;
  void session_lost(const std::string& entry) override;
  bool idle() const override;
  void add_load(endpoint_load& load) const override { manager_.add_load(load); }

 private:
  enum class stream_state { waiting, importing, cancelling, running, finished };
  struct stream {
    explicit stream(const decode_request& what)
        : request(what), tokens(what.offset) {}
    decode_request request;
    stream_tokens tokens;
    stream_state state = stream_state::waiting;
    std::int32_t pieces = 0;
    bool has_memory = false;
    bool ran = false;
    /// Why there is no transfer yet, told when the export's life is over.
    failure_reason last_failure = failure_reason::export_expired;
    int reattached = 0;  ///< times without a token between
    time_point export_until{};
    time_point deadline{};
    time_point last_token{};
    time_point again_at{};  ///< not before this
    time_point ended{};
    std::int64_t transfer_us = 0;
    engine_client::call call;
    std::optional<decode_finished> end;
    bool end_sent = false;
    active_span hop;
  };

  failure_reason admit(const decode_request& request);
  /// Goes on with a stream that an earlier process started in the engine.
  void take_over(const resume_request& request);
  void import(stream& one);
  void imported(const attempt_key& key, const engine_error& error,
                const engine_imported& got);
  void retry_import(stream& one, failure_reason why);
  void attach(stream& one);
  void add_tokens(const attempt_key& key, std::vector<std::string> tokens);
  void stream_ended(const attempt_key& key, const engine_error& error);
  void finish(stream& one, failure_reason reason, bool in_engine);
  void free_memory(const attempt_key& key, bool in_engine);
  void flush(stream& one);
  void refuse(const attempt_key& key, failure_reason reason, bool ran);
  stream* find(const attempt_key& key);

  work_handler_context& parts_;
  reservation_manager& manager_;
  std::map<attempt_key, stream> streams_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_DECODE_HANDLER_H_
