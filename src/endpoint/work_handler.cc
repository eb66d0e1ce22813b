#include "endpoint/work_handler.h"

#include "base/configuration_json.h"

namespace citronwharf {

failure_reason check_work(const work_handler_context& context,
                          const work_header& header) {
  const bool has_incarnation = header.endpoint_incarnation != 0;
  if (has_incarnation && header.endpoint_incarnation != context.incarnation) {
    return failure_reason::wrong_incarnation;
  }
  if (context.leaving.leaving()) {
    return failure_reason::leaving;
  }
  return failure_reason::none;
}

void count_refusal(const work_handler_context& context, failure_reason reason) {
  context.metrics.add("citronwharf_endpoint_refusals_total",
                      {{"reason", to_string(reason)}});
}

service_class service_class_of(const std::string& service) {
  const nlohmann::json name(service);
  if (name == nlohmann::json(service_class::commit)) {
    return service_class::commit;
  }
  if (name == nlohmann::json(service_class::lookup)) {
    return service_class::lookup;
  }
  return service_class::summary;
}

std::int32_t engine_priority_of(const std::string& service) {
  return static_cast<std::int32_t>(service_class_of(service));
}

std::string to_string(failure_reason reason) {
  return nlohmann::json(reason).get<std::string>();
}

std::int32_t pieces_for(const engine_info& info, std::int32_t tokens) {
  if (info.piece_tokens <= 0) {
    return 0;
  }
  return (tokens + info.piece_tokens - 1) / info.piece_tokens;
}

}  // namespace citronwharf
