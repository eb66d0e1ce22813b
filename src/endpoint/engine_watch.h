/// Learns what the engine is, what it holds from before this process started,
/// and when it restarts.
#ifndef CITRONWHARF_ENDPOINT_ENGINE_WATCH_H_
#define CITRONWHARF_ENDPOINT_ENGINE_WATCH_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "endpoint/engine_client.h"

namespace citronwharf {

/// Reads an id in an engine back into the key it was made from; nothing when
/// it is not one of ours. Thread-safe.
std::optional<attempt_key> parse_attempt_key(const std::string& text);

/// What the watch reports.
struct engine_watch_handlers {
  /// The engine is known for the first time, and this is what it holds.
  std::function<void(const engine_info&, const std::vector<engine_held>&)>
      on_found;
  /// The engine changed, or restarted when its incarnation differs.
  std::function<void(const engine_info&)> on_changed;
  std::function<void(const engine_load&)> on_load;
};

/// Polls the engine. Loop's thread only.
class engine_watch {
 public:
  engine_watch(boost::asio::io_context& loop, engine_client& engine,
               engine_watch_handlers handlers);
  void start();
  void stop();

 private:
  void ask_info();
  void ask_held(const engine_info& info);
  void ask_load();
  void again();

  engine_client& engine_;
  engine_watch_handlers handlers_;
  engine_info known_;
  engine_client::call call_;
  runtime_timer timer_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_ENDPOINT_ENGINE_WATCH_H_
