/// Relays an answer to the caller: a stream of events or one whole body, and
/// exactly one end.
#ifndef CITRONWHARF_ENTRY_RELAY_H_
#define CITRONWHARF_ENTRY_RELAY_H_

#include <memory>
#include <string>
#include <vector>

#include "entry/outcome.h"
#include "net/http_server.h"

namespace citronwharf {

/// The caller's side of one request. Loop's thread only. After the end every
/// further call does nothing.
class relay {
 public:
  /// Precondition: nothing was sent on `exchange`.
  relay(std::unique_ptr<http_exchange> exchange, std::string request_id);

  void set_stream(bool stream) { stream_ = stream; }
  /// Keeps the text of a stream too, to be stored.
  void keep_text() { keep_text_ = true; }
  /// Adds tokens to the answer; the first ones start a stream.
  void tokens(const std::vector<std::string>& next);
  /// Ends the answer of a pools route as whole.
  void whole();
  /// Ends with a plain service's answer.
  void plain(int status, const std::vector<header_field>& headers,
             std::string body);
  /// Ends with an answer that was stored under the caller's Idempotency-Key.
  void replay(const std::string& text, std::int32_t tokens);
  void replay_plain(int status, const std::vector<header_field>& headers,
                    std::string body);
  /// Ends with a problem: as the answer, or as the last event of a stream.
  void broken(const problem& why);
  /// Nothing more is sent. The exchange lives as long as the relay, since this
  /// may be called by its own handler.
  void drop() { open_ = false; }

  bool open() const { return open_; }
  std::int32_t count() const { return count_; }
  const std::string& text() const { return text_; }
  const std::string& request_id() const { return request_id_; }
  /// Calls `handler` once when the caller's connection closes early.
  void on_closed(std::function<void()> handler);

 private:
  void start();
  http_response mark(http_response out) const;

  std::unique_ptr<http_exchange> exchange_;
  std::string request_id_;
  bool open_ = true;
  bool stream_ = false;
  bool started_ = false;
  bool keep_text_ = false;
  bool replayed_ = false;
  std::int32_t count_ = 0;
  std::string text_;  ///< when the answer does not stream or is to be kept
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENTRY_RELAY_H_
