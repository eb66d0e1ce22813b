/// Inner parts of the stand-in engine, shared by its source files.
#ifndef CITRONWHARF_FAKE_ENGINE_IMPL_H_
#define CITRONWHARF_FAKE_ENGINE_IMPL_H_

#include <boost/asio/post.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/decode.h"
#include "fake/engine_state.h"
#include "fake/tokens.h"

namespace citronwharf::fake {

/// A struct of the engine's parts: engine.cc (life and faults),
/// engine_routes.cc (HTTP), engine_prefill.cc, engine_decode.cc.
class engine::impl {
 public:
  using exchange_ptr = std::unique_ptr<http_exchange>;

  impl(boost::asio::io_context& loop, engine_options options);
  ~impl();
  impl(const impl&) = delete;
  impl& operator=(const impl&) = delete;

  absl::StatusOr<std::uint16_t> listen();
  void close();
  std::size_t held() const;
  job* find(const std::string& id);
  /// Frees what the job holds and drops its calls.
  void forget(const std::string& id);
  static void refuse(exchange_ptr exchange, int status,
                     const std::string& error);
  /// Lets a fault strike the call; returns whether it took the exchange.
  bool strike(const std::string& at, const http_request& request,
              exchange_ptr& exchange);

  // engine_routes.cc
  void route(const http_request& request, exchange_ptr exchange);
  void dispatch(const http_request& request, exchange_ptr exchange);
  void answer_held(exchange_ptr exchange);
  void answer_load(exchange_ptr exchange);
  void answer_info(exchange_ptr exchange);
  void take_order(const nlohmann::json& body, exchange_ptr exchange);
  void take_fault(const nlohmann::json& body, exchange_ptr exchange);
  void cancel(const nlohmann::json& body, exchange_ptr exchange);
  nlohmann::json load_now() const;

  // engine_prefill.cc
  void prefill(const nlohmann::json& body, exchange_ptr exchange);
  void start_prefill();
  void end_prefill(const std::string& id);
  void send_export(const std::string& export_id, exchange_ptr exchange);
  void send_part(const std::string& id, std::int64_t left);

  // engine_decode.cc
  void import(const nlohmann::json& body, exchange_ptr exchange);
  void end_import(const std::string& id, const std::string& head, int status,
                  time_point started);
  void decode(const nlohmann::json& body, exchange_ptr exchange);
  void start_step();
  void step();
  void stream_to(job& one);

  boost::asio::io_context& loop;
  engine_options options;
  piece_pool pieces;
  prefix_cache cache;
  fault_list faults;
  std::string role;
  std::string model;
  std::string adapter;
  std::string version;
  std::uint64_t fencing = 0;
  std::int64_t orders_taken = 0;
  std::int64_t incarnation;  ///< differs after each start
  std::string address;
  std::string received;
  std::int64_t prefilled = 0;
  std::int64_t wasted = 0;
  std::uint64_t arrivals = 0;
  time_point link_free_at{};
  time_point load_at{};
  nlohmann::json load;
  std::map<std::string, job> jobs;
  std::vector<exchange_ptr> hanging;
  std::string prefilling;  ///< id, "" when idle
  bool stepping = false;
  runtime_timer prefill_timer;
  runtime_timer step_timer;
  std::unique_ptr<http_server> server;
  std::function<void()> die;
  // Delayed answers watch it, since they may outlive the engine.
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace citronwharf::fake

#endif  // CITRONWHARF_FAKE_ENGINE_IMPL_H_
