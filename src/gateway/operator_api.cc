#include "gateway/operator_api.h"

#include <memory>
#include <utility>

#include "observe/event.h"

namespace citronwharf {
namespace {

constexpr int status_ok = 200;
constexpr int status_invalid = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;

// Shared because std::function requires copyable closures.
using shared_exchange = std::shared_ptr<http_exchange>;

void respond_with(const gateway_codec& codec, const shared_exchange& exchange,
                  const char* request, std::uint64_t version, int status,
                  const std::string& reason) {
  log_event(events::operator_answered, request, version, status, reason);
  exchange->respond(codec.make_refusal(status, reason, std::nullopt));
}

void publish(const gateway_codec& codec, document_cluster& cluster,
             http_request request, const shared_exchange& exchange) {
  const auto read = codec.read_new_configuration(request.body);
  if (!read.ok()) {
    respond_with(codec, exchange, "publish", 0, status_invalid,
                 std::string(read.status().message()));
    return;
  }
  const std::uint64_t version = read->version;
  cluster.publish(
      version, std::move(request.body),
      [&codec, exchange, version](const absl::Status& published) {
        respond_with(
            codec, exchange, "publish", version,
            published.ok() ? status_ok : status_unavailable,
            published.ok() ? "accepted" : std::string(published.message()));
      });
}

void read(const gateway_codec& codec, document_cluster& cluster,
          const shared_exchange& exchange) {
  cluster.follower().read([&codec, &cluster, exchange](bool is_newest) {
    const published_document& current = cluster.follower().current();
    if (!is_newest || current.version == 0) {
      respond_with(codec, exchange, "read", current.version, status_unavailable,
                   is_newest
                       ? "no configuration yet"
                       : "no majority confirmed the newest configuration");
      return;
    }
    log_event(events::operator_answered, "read", current.version, status_ok,
              "newest");
    exchange->respond(json_response(status_ok, current.text));
  });
}

void answer_order(const gateway_codec& codec, const shared_exchange& exchange,
                  const operator_request& request, int status,
                  const std::string& outcome) {
  const bool starts = request.what == operator_request::verb::start_evacuation;
  log_event(events::evacuation_ordered, starts ? "evacuate" : "end evacuation",
            request.domain, status, outcome);
  exchange->respond(codec.make_refusal(status, outcome, std::nullopt));
}

// Operators repeat an order without a clear answer, so every outcome that
// leaves an accepted order possible is answered with 503.
void order_evacuation(const gateway_codec& codec,
                      evacuation_orders& evacuations,
                      const operator_request& request,
                      const shared_exchange& exchange) {
  const bool starts = request.what == operator_request::verb::start_evacuation;
  const std::uint64_t id = evacuations.submit(
      request.domain, starts,
      [&codec, exchange, request](evacuation_outcome outcome) {
        switch (outcome) {
          case evacuation_outcome::accepted:
            answer_order(codec, exchange, request, status_ok, "accepted");
            return;
          case evacuation_outcome::too_many:
            answer_order(codec, exchange, request, status_conflict,
                         "too many failure domains are evacuated");
            return;
          case evacuation_outcome::unknown:
            answer_order(codec, exchange, request, status_unavailable,
                         "no majority confirmed the order in time");
            return;
          case evacuation_outcome::outdated:
          case evacuation_outcome::not_taken:
            answer_order(codec, exchange, request, status_unavailable,
                         "no leader took the order in time");
            return;
        }
      });
  // An order is not sent again once its caller has gone.
  if (exchange->open()) {
    exchange->on_closed([&evacuations, id] { evacuations.cancel(id); });
  }
}

}  // namespace

http_server::handler make_operator_handler(const gateway_codec& codec,
                                           document_cluster& cluster,
                                           evacuation_orders& evacuations) {
  return [&codec, &cluster, &evacuations](
             http_request request, std::unique_ptr<http_exchange> exchange) {
    const shared_exchange shared = std::move(exchange);
    const operator_request order = codec.read_operator(request);
    switch (order.what) {
      case operator_request::verb::publish:
        publish(codec, cluster, std::move(request), shared);
        return;
      case operator_request::verb::read:
        read(codec, cluster, shared);
        return;
      case operator_request::verb::start_evacuation:
      case operator_request::verb::end_evacuation:
        order_evacuation(codec, evacuations, order, shared);
        return;
      case operator_request::verb::invalid:
        respond_with(codec, shared, "invalid", 0, status_invalid,
                     "invalid name of a failure domain");
        return;
      case operator_request::verb::unknown:
        respond_with(codec, shared, "unknown", 0, status_not_found,
                     "unknown path " + request.target);
        return;
    }
  };
}

}  // namespace citronwharf
