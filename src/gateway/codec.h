/// How a gateway speaks to callers, servers, the directory and operators of a
/// platform: typed values here, their names on the wire in the platform's own
/// folder. Decisions belong to the gateway, names to the codec.
#ifndef CITRONWHARF_GATEWAY_CODEC_H_
#define CITRONWHARF_GATEWAY_CODEC_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/gateway_configuration.h"
#include "net/http.h"

namespace citronwharf {

/// A part of a prompt, which other prompts may begin with too.
struct prompt_part {
  std::string id;
  std::int64_t tokens = 0;
};
CITRONWHARF_VALUE(prompt_part, id, tokens)

/// A caller's request as the gateway's filters see it.
struct caller_request {
  http_request message;  ///< as received
  std::string id;        ///< drawn by the caller for this attempt
  std::string host;
  std::string path;  ///< without the query
  std::string key;   ///< secret of the organisation, "" without one
  std::optional<milliseconds> deadline;  ///< from the moment of sending
  std::optional<std::int64_t> prompt_tokens;
  std::optional<std::int64_t> max_output_tokens;
  /// The caller's estimate, right at the median and often far off.
  std::optional<std::int64_t> expected_output_tokens;
  std::vector<prompt_part> prompt;
  /// Where the caller resumes a stream that broke off.
  std::optional<std::int64_t> last_event;
};

/// Which part of a generation a server is asked for.
enum class generation_stage { whole, prefill };

/// What the gateway adds to a request that it sends to a server.
struct server_call {
  std::string organisation;  ///< "" on routes without organisations
  std::string instance;      ///< any other server refuses
  milliseconds deadline{0};  ///< what is left of it
  generation_stage stage = generation_stage::whole;
  std::string kv_source;  ///< "ip:port/handle" to fetch the KV cache from
  /// "ip:port" of an engine that may keep parts of the prompt, to fetch them
  /// from; "" without.
  std::string cache_source;
  std::string hold;  ///< id of reserved memory, "" without
  std::optional<std::int64_t> last_event;  ///< the stream goes on after this
  std::optional<int> priority;             ///< 0 is first
};

/// Load that a server reports about itself.
struct server_load {
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  std::int64_t slots = 0;
};
CITRONWHARF_VALUE(server_load, running, waiting, slots)

/// Head of a server's response.
struct server_answer {
  int status = 0;
  bool not_run = false;    ///< the server states that it ran nothing
  bool signed_by = false;  ///< carries the server's signature
  std::string request_id;  ///< echoed
  std::optional<server_load> load;
  bool leaving = false;  ///< the server is about to stop
  /// The server refused and wants no requests of this process for so long.
  std::optional<duration> retry_after;
  std::string unreadable;  ///< name and value of a header that was ignored
};

/// A prompt's KV cache on the engine that made it.
struct exported_prefill {
  std::string handle;
  std::int64_t tokens = 0;
};
CITRONWHARF_VALUE(exported_prefill, handle, tokens)

enum class engine_stage { none, prefill, decode };
NLOHMANN_JSON_SERIALIZE_ENUM(engine_stage, {{engine_stage::none, "none"},
                                            {engine_stage::prefill, "prefill"},
                                            {engine_stage::decode, "decode"}})

/// A switch of an engine's stage that was announced. The directory shows it
/// only a while after its end. Immutable.
struct announced_switch {
  engine_stage to = engine_stage::none;  ///< none: no switch
  time_point until{};                    ///< the engine takes nothing

  /// Returns the stage of an engine that the directory lists like this.
  engine_stage stage_now(engine_stage listed, time_point now) const {
    // The platform's lag and some reads of the list.
    constexpr duration list_lag = seconds(3);
    const bool unseen = now >= until && now < until + list_lag;
    return to != engine_stage::none && unseen ? to : listed;
  }
};

/// What an engine tells of itself on request.
struct engine_report {
  std::uint64_t orders = 0;  ///< accepted since it started
  bool busy = false;         ///< with an order
  engine_stage stage = engine_stage::none;
};

/// An order to switch an engine's stage.
struct engine_switch {
  engine_stage stage = engine_stage::none;
  std::string instance;  ///< any other server refuses
  std::string holder;    ///< process that orders
  std::uint64_t fencing_token = 0;
  std::uint64_t orders = 0;  ///< refused when the engine accepted another since
};

/// A server as the directory lists it.
struct listed_server {
  std::string id;
  std::string service;
  std::string address;  ///< "ip:port"
  std::string failure_domain;
  std::int64_t slots = 0;
  bool leaving = false;
  engine_stage stage = engine_stage::none;
};
bool operator==(const listed_server& lhs, const listed_server& rhs);
bool operator!=(const listed_server& lhs, const listed_server& rhs);
/// As an array, since lists of thousands travel to hundreds of processes.
void to_json(nlohmann::json& out, const listed_server& value);
void from_json(const nlohmann::json& in, listed_server& value);

/// One page of the directory.
struct directory_page {
  std::vector<listed_server> servers;
  std::size_t unreadable = 0;  ///< entries that name no server to use
  std::string next;            ///< token of the following page, or ""
};

/// What an operator asks.
struct operator_request {
  enum class verb { publish, read, unknown };
  verb what = verb::unknown;
};

/// Hooks of a platform's adapter. All are pure and thread-safe.
struct gateway_codec {
  std::function<caller_request(http_request)> read_request;
  std::function<http_request(const caller_request&, const server_call&)>
      make_call;
  std::function<server_answer(const http_response& head)> read_answer;
  /// Returns the response as a caller gets it: without headers that concern
  /// one connection only.
  std::function<http_response(http_response)> make_answer;
  /// Returns the gateway's own response to a caller.
  std::function<http_response(int status, const std::string& reason,
                              std::optional<duration> retry_after)>
      make_refusal;
  std::function<absl::StatusOr<exported_prefill>(const std::string& body)>
      read_prefill;
  std::function<http_request(const std::string& handle)> drop_prefill;
  std::function<http_request(std::int64_t tokens, milliseconds lifetime)>
      take_hold;
  std::function<absl::StatusOr<std::string>(const std::string& body)> read_hold;
  std::function<http_request(const std::string& hold)> drop_hold;
  std::function<http_request()> ask_report;
  std::function<absl::StatusOr<engine_report>(const std::string& body)>
      read_report;
  std::function<http_request(const engine_switch&)> make_switch;
  std::function<http_request(const std::string& page_token)> list_servers;
  std::function<absl::StatusOr<directory_page>(const std::string& body)>
      read_servers;
  std::function<operator_request(const http_request&)> read_operator;
  /// Reads and checks a configuration; the error says what is wrong with it.
  std::function<absl::StatusOr<gateway_configuration>(const std::string& body)>
      read_configuration;
  std::function<bool(const http_request&)> asks_readiness;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_CODEC_H_
