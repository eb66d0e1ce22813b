#include "control/control_role.h"

#include <absl/strings/match.h>
#include <absl/strings/strip.h>
#include <fmt/format.h>

#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <utility>

#include "base/decode.h"
#include "control/admin_api.h"
#include "control/admin_forwarder.h"
#include "control/claim_service.h"
#include "control/configuration_machine.h"
#include "control/configuration_source.h"
#include "control/key.h"
#include "control/load_turn_service.h"
#include "control/replica.h"
#include "entry/claims.h"
#include "observe/event.h"

namespace citronwharf {
namespace {

constexpr const char* api_prefix = "/admin/v1/";
constexpr const char* retry_after_seconds = "1";
constexpr std::size_t min_token_bytes = 16;

// Stateless; its log entries order reads relative to other commands.
class barrier_machine final : public state_machine {
 public:
  nlohmann::json apply(std::uint64_t /*index*/,
                       const nlohmann::json& /*command*/) override {
    return nlohmann::json::object();
  }
  nlohmann::json snapshot() const override { return nlohmann::json::object(); }
  void restore(const nlohmann::json& /*state*/) override {}
};

absl::StatusOr<std::string> read_token(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  const std::string token(absl::StripAsciiWhitespace(text.str()));
  if (token.size() < min_token_bytes) {
    return absl::InvalidArgumentError(
        fmt::format("{}: operator token must have at least {} bytes", path,
                    min_token_bytes));
  }
  return token;
}

http_response to_http(const admin_response& in) {
  http_response out = json_response(in.status, write_json(in.body));
  if (in.status == 503) {
    out.headers.push_back({"Retry-After", retry_after_seconds});
  }
  return out;
}

class control_role final : public process_role {
 public:
  explicit control_role(process_context& process)
      : process_(process),
        log_(make_replica(process, {{configuration_command::kind, &machine_},
                                    {turn_command::kind, &turns_},
                                    {claim_command::kind, &claims_},
                                    {"barrier", &barrier_}})),
        api_(*log_, machine_),
        forwarder_(process, api_),
        source_(process, *log_, machine_),
        turn_service_(process, *log_, turns_, source_),
        claim_service_(process, *log_, system_wall_clock()) {}

  absl::Status start() override {
    auto token = read_token(process_.options.operator_token_file);
    if (!token.ok()) {
      return token.status();
    }
    token_digest_ = digest_of(*token);
    process_.metrics.before_page(
        [this](metric_registry& page) { set_log_gauges(page); });
    return log_->open();
  }

  void drain(time_point /*end*/, std::function<void()> done) override {
    done();
  }

  bool ready() const override { return log_->status().fault.empty(); }

  bool handle_admin_request(const http_request& request,
                            std::unique_ptr<http_exchange>& exchange) override {
    if (!absl::StartsWith(request.target, api_prefix)) {
      return false;
    }
    if (!is_authorised(request)) {
      log_event(events::administration_refused, request.method, request.target,
                request.remote);
      exchange->respond(to_http(admin_error(
          401, "unauthorised", "needs the operators' bearer token")));
      exchange.reset();
      return true;
    }
    dispatch(request, std::move(exchange));
    return true;
  }

 private:
  void set_log_gauges(metric_registry& page) const {
    const replica_status now = log_->status();
    const auto set = [&page](const char* name, std::uint64_t value) {
      page.set(name, {}, static_cast<double>(value));
    };
    set("citronwharf_log_term", now.term);
    set("citronwharf_log_last_index", now.last_index);
    set("citronwharf_log_commit_index", now.commit_index);
    set("citronwharf_log_leads", now.role == "leader" ? 1 : 0);
    set("citronwharf_log_failed", now.fault.empty() ? 0 : 1);
  }

  bool is_authorised(const http_request& request) const {
    const std::string header = find_header(request.headers, "Authorization");
    absl::string_view token = header;
    return absl::ConsumePrefix(&token, "Bearer ") &&
           same_digest(digest_of(std::string(token)), token_digest_);
  }

  void dispatch(const http_request& request,
                std::unique_ptr<http_exchange> exchange) {
    const admin_request in{
        request.method, request.target.substr(std::string(api_prefix).size()),
        request.body};
    // Shared because std::function requires copyable closures.
    const std::shared_ptr<http_exchange> shared_exchange = std::move(exchange);
    route(in, [shared_exchange, method = request.method,
               target = request.target](const admin_response& out) {
      log_event(events::administration_done, method, target, out.status);
      shared_exchange->respond(to_http(out));
    });
  }

  void route(const admin_request& in, const admin_api::done& answer) {
    const replica_status status = log_->status();
    if (status.role == "leader" || admin_api::answered_anywhere(in)) {
      api_.handle(in, answer);
    } else if (status.leader.empty() ||
               status.leader == process_.options.process) {
      answer(admin_error(503, "not_leader", "no leader is known"));
    } else {
      forwarder_.forward(status.leader, in, answer);
    }
  }

  process_context& process_;
  configuration_machine machine_;
  load_turns turns_{machine_};
  barrier_machine barrier_;
  claims claims_;
  std::string token_digest_;
  std::unique_ptr<replica> log_;
  admin_api api_;
  admin_forwarder forwarder_;
  configuration_source source_;
  load_turn_service turn_service_;
  claim_service claim_service_;
};

}  // namespace

std::unique_ptr<process_role> make_control_role(process_context& process) {
  return std::make_unique<control_role>(process);
}

}  // namespace citronwharf
