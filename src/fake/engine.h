/// A stand-in for a model engine: continuous batching, fixed pieces of KV
/// memory, exports that expire, orders, faults. docs/ENGINE.md describes its
/// protocol. For tests, the quick start and measurements only.
#ifndef CITRONWHARF_FAKE_ENGINE_H_
#define CITRONWHARF_FAKE_ENGINE_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/value.h"

namespace citronwharf::fake {

/// What the engine is and how long its work takes.
struct engine_options {
  std::string listen = "127.0.0.1:0";
  std::string role = "decode";  ///< prefill or decode; an order changes it
  std::string model = "model";
  std::int32_t pieces_total = 320;  ///< 20 requests of 4096 tokens
  std::int32_t piece_tokens = 256;
  duration prefill_base = milliseconds(2);
  duration prefill_per_token = microseconds(20);
  duration token_interval = milliseconds(5);       ///< of a batch of one
  duration token_interval_per_request{};           ///< added for each further
  std::int32_t max_batch = 32;                     ///< requests in one step
  duration export_life = milliseconds(800);        ///< under a second
  double link_bytes_per_second = 1e9;              ///< of all transfers out
  std::int64_t kv_bytes_per_token = 64;            ///< sent in a transfer
  duration load_lag = milliseconds(200);           ///< of GET /v1/load
  bool checks_fencing = true;                      ///< refuses old orders
  std::int32_t cache_tokens = 65536;               ///< prefix cache
  duration cache_event_delay = milliseconds(300);  ///< events come late
  std::int32_t cache_event_gap = 0;  ///< every n-th event is lost, 0: none
};

/// A fault switched on by POST /fake/faults.
struct engine_fault {
  std::string at;    ///< prefill, transfer, import, decode, cancel, load, order
  std::string kind;  ///< hang, refuse, slow, cross, cut, expire, die
  std::int32_t count = 1;         ///< calls that it hits, -1: all
  std::int32_t after_tokens = 0;  ///< decode: tokens sent before it strikes
  std::int64_t delay_us = 0;      ///< of slow
};
CITRONWHARF_VALUE(engine_fault, at, kind, count, after_tokens, delay_us)

/// One engine in the caller's loop. Loop's thread only.
/// Example: fake::engine one(loop, {}); auto port = one.listen();
class engine {
 public:
  engine(boost::asio::io_context& loop, engine_options options);
  ~engine();
  engine(const engine&) = delete;
  engine& operator=(const engine&) = delete;

  /// Binds and serves. Returns the port.
  absl::StatusOr<std::uint16_t> listen();
  /// Breaks off every connection and forgets all, as a killed process would.
  void close();
  /// Switches a fault on, as POST /fake/faults does.
  void add_fault(const engine_fault& fault);
  /// Sets what the fault `die` does; by default close().
  void on_die(std::function<void()> die);

  std::int32_t pieces_free() const;
  /// Returns how many requests and exports it holds memory for.
  std::size_t held() const;
  /// Returns how many prompt tokens it ran, and how many of these in exports
  /// that nobody pulled.
  std::int64_t prefilled_tokens() const;
  std::int64_t wasted_tokens() const;
  /// Returns all headers and bodies it received, a line each.
  std::string received() const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace citronwharf::fake

#endif  // CITRONWHARF_FAKE_ENGINE_H_
