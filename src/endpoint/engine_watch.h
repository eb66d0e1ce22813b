/// Polls the engine to find out its info, the requests that it has held since
/// before this process started, its load, and when it restarts.
#ifndef CITRONWHARF_ENDPOINT_ENGINE_WATCH_H_
#define CITRONWHARF_ENDPOINT_ENGINE_WATCH_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "endpoint/engine_client.h"

namespace citronwharf {

/// Parses a request id of the engine into the attempt key that it was made
/// from. Returns nullopt for ids that are not attempt keys. Thread-safe.
std::optional<attempt_key> parse_attempt_key(const std::string& text);

/// Callbacks of engine_watch.
struct engine_watch_handlers {
  /// The engine answered for the first time; the list is what it holds.
  std::function<void(const engine_info&, const std::vector<engine_held>&)>
      on_found;
  /// The engine's info changed; a different incarnation means a restart.
  std::function<void(const engine_info&)> on_changed;
  std::function<void(const engine_load&)> on_load;
};

/// Polls one engine. Not thread-safe; use from the event loop thread only.
class engine_watch {
 public:
  engine_watch(boost::asio::io_context& loop, engine_client& engine,
               engine_watch_handlers handlers);
  void start();
  void stop();

 private:
  void request_info();
  void request_held(const engine_info& info);
  void request_load();
  void schedule_next_poll();

  engine_client& engine_;
  engine_watch_handlers handlers_;
  engine_info last_info_;
  engine_client::call call_;
  runtime_timer timer_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_ENGINE_WATCH_H_
