/// Relays an answer to the caller, as an event stream or as one body. Each
/// answer ends exactly once.
#ifndef CITRONWHARF_ENTRY_RELAY_H_
#define CITRONWHARF_ENTRY_RELAY_H_

#include <memory>
#include <string>
#include <vector>

#include "entry/outcome.h"
#include "net/http_server.h"

namespace citronwharf {

/// The caller's side of one request. Calls after the end of the answer have no
/// effect. Not thread-safe; use from the event loop thread only.
class relay {
 public:
  /// Precondition: nothing has been sent on `exchange`.
  relay(std::unique_ptr<http_exchange> exchange, std::string request_id);

  void set_streaming(bool stream) { streaming_ = stream; }
  /// Accumulates the text of a stream too, so that it can be stored.
  void store_text() { store_text_ = true; }
  /// Appends tokens to the answer. On a streaming answer the first call starts
  /// the stream.
  void append(const std::vector<std::string>& new_tokens);
  /// Completes the answer of a pools route.
  void complete();
  /// Completes with the answer of a plain service.
  void respond_plain(int status, const std::vector<header_field>& headers,
                     std::string body);
  /// Completes with the answer stored under the caller's Idempotency-Key.
  void replay(const std::string& text, std::int32_t tokens);
  void replay_plain(int status, const std::vector<header_field>& headers,
                    std::string body);
  /// Ends with a problem, sent as the response or as a stream's last event.
  void fail(const problem& failure);
  /// Stops sending. The exchange is not destroyed before the relay, because
  /// this may be called from the exchange's own handler.
  void close() { open_ = false; }

  bool open() const { return open_; }
  std::int32_t token_count() const { return token_count_; }
  const std::string& text() const { return text_; }
  const std::string& request_id() const { return request_id_; }
  /// Calls `handler` once if the caller's connection closes early.
  void on_closed(std::function<void()> handler);

 private:
  void begin_stream();
  http_response mark_replayed(http_response out) const;

  std::unique_ptr<http_exchange> exchange_;
  std::string request_id_;
  bool open_ = true;
  bool streaming_ = false;
  bool stream_started_ = false;
  bool store_text_ = false;
  bool replayed_ = false;
  std::int32_t token_count_ = 0;
  std::string text_;  ///< unless streaming without store_text()
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_RELAY_H_
