// fake_engine: a stand-in for a model engine.
#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

#include "fake/engine.h"
#include "fake/main_support.h"

DEFINE_string(listen, "127.0.0.1:0", "ip:port to serve at");
DEFINE_string(port_file, "", "the bound port is written here as JSON");
DEFINE_string(role, "decode", "prefill or decode");
DEFINE_string(model, "model", "model that is loaded");
DEFINE_int32(pieces, 320, "pieces of KV memory");
DEFINE_int32(piece_tokens, 256, "tokens that a piece holds");
DEFINE_int32(max_batch, 32, "requests in one decode step");
DEFINE_int64(prefill_base_us, 2000, "time of an empty prefill");
DEFINE_int64(prefill_token_us, 20, "time of each prompt token");
DEFINE_int64(token_interval_us, 5000, "time of a step for one request");
DEFINE_int64(token_interval_per_request_us, 0,
             "added to a step for each further request");
DEFINE_int64(export_life_ms, 800, "life of an exported KV cache");
DEFINE_double(link_bytes_per_second, 1e9, "rate of transfers out");
DEFINE_int64(kv_bytes_per_token, 64, "size of a KV cache");
DEFINE_int64(load_lag_ms, 200, "lag of the load report");
DEFINE_bool(checks_fencing, true, "refuse orders with an old fencing token");
DEFINE_int32(cache_tokens, 65536, "size of the prefix cache");
DEFINE_int64(cache_event_delay_ms, 300, "cache events come so late");
DEFINE_int32(cache_event_gap, 0, "every n-th cache event is lost, 0: none");

namespace {

citronwharf::fake::engine_options options_from_flags() {
  citronwharf::fake::engine_options options;
  options.listen = FLAGS_listen;
  options.role = FLAGS_role;
  options.model = FLAGS_model;
  options.pieces_total = FLAGS_pieces;
  options.piece_tokens = FLAGS_piece_tokens;
  options.max_batch = FLAGS_max_batch;
  options.prefill_base = citronwharf::microseconds(FLAGS_prefill_base_us);
  options.prefill_per_token = citronwharf::microseconds(FLAGS_prefill_token_us);
  options.token_interval = citronwharf::microseconds(FLAGS_token_interval_us);
  options.token_interval_per_request =
      citronwharf::microseconds(FLAGS_token_interval_per_request_us);
  options.export_life = citronwharf::milliseconds(FLAGS_export_life_ms);
  options.link_bytes_per_second = FLAGS_link_bytes_per_second;
  options.kv_bytes_per_token = FLAGS_kv_bytes_per_token;
  options.load_lag = citronwharf::milliseconds(FLAGS_load_lag_ms);
  options.checks_fencing = FLAGS_checks_fencing;
  options.cache_tokens = FLAGS_cache_tokens;
  options.cache_event_delay =
      citronwharf::milliseconds(FLAGS_cache_event_delay_ms);
  options.cache_event_gap = FLAGS_cache_event_gap;
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("a stand-in for a model engine");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  boost::asio::io_context loop;
  citronwharf::fake::engine engine(loop, options_from_flags());
  engine.on_die([] { std::_Exit(1); });
  const auto port = engine.listen();
  if (!port.ok()) {
    std::cerr << port.status().message() << '\n';
    return 1;
  }
  if (!citronwharf::fake::write_port_file(FLAGS_port_file, *port)) {
    std::cerr << "cannot write " << FLAGS_port_file << '\n';
    return 1;
  }
  return citronwharf::fake::run_until_signal(loop);
}
