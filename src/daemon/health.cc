#include "daemon/health.h"

#include <algorithm>
#include <utility>

namespace citronwharf {
namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

http_response text_response(int status, std::string body) {
  return http_response{
      status, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(body)};
}

void set_process_gauges(process_context& process) {
  metric_registry& metrics = process.metrics;
  const configuration_view& view = process.view;
  const time_point now = runtime_clock::now();
  const double fresh_for = to_seconds(view.fresh_until() - now);
  metrics.set("citronwharf_configuration_version", {},
              static_cast<double>(view.current()->version));
  metrics.set("citronwharf_configuration_fresh_seconds", {},
              view.fresh(now) ? fresh_for : 0);
  metrics.set("citronwharf_trace_spans_dropped", {},
              static_cast<double>(process.traces.dropped()));
}

}  // namespace

http_server::handler make_health_handler(process_context& process,
                                         std::vector<process_role*> roles,
                                         const bool& draining) {
  return [&process, roles = std::move(roles), &draining](
             const http_request& request,
             std::unique_ptr<http_exchange> exchange) {
    if (request.target == "/healthz") {
      exchange->respond(text_response(status_ok, "ok\n"));
      return;
    }
    if (request.target == "/readyz") {
      const bool ready = !draining && std::all_of(roles.begin(), roles.end(),
                                                  [](const process_role* role) {
                                                    return role->ready();
                                                  });
      exchange->respond(ready ? text_response(status_ok, "ready\n")
                              : text_response(status_unavailable, "not\n"));
      return;
    }
    if (request.target == "/metrics") {
      set_process_gauges(process);
      exchange->respond(text_response(status_ok, process.metrics.page()));
      return;
    }
    const bool taken =
        std::any_of(roles.begin(), roles.end(), [&](process_role* role) {
          return role->handle_admin_request(request, exchange);
        });
    if (!taken) {
      exchange->respond(text_response(status_not_found, "unknown path\n"));
    }
  };
}

}  // namespace citronwharf
