/// Interface between a gateway and the protocols of a platform, for callers,
/// servers, the directory and operators. The gateway works with the typed
/// values declared here and makes all decisions; the codec in the folder of the
/// platform maps them to names on the wire.
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

/// A part of a prompt; other prompts may begin with the same part.
struct prompt_part {
  std::string id;
  std::int64_t tokens = 0;
};
CITRONWHARF_VALUE(prompt_part, id, tokens)

/// A request of a caller, decoded.
struct caller_request {
  http_request message;  ///< as received
  std::string id;        ///< chosen by the caller for this attempt
  std::string host;
  std::string path;                      ///< without the query
  std::string key;                       ///< API key of the organisation, or ""
  std::optional<milliseconds> deadline;  ///< counted from sending
  std::optional<std::int64_t> prompt_tokens;
  std::optional<std::int64_t> max_output_tokens;
  /// Estimate of the caller: right at the median, often far off.
  std::optional<std::int64_t> expected_output_tokens;
  std::vector<prompt_part> prompt;
  /// Last event received, if the caller resumes an interrupted stream.
  std::optional<std::int64_t> last_event;
  /// Id of the caller's attempt that brought the first event of the stream that
  /// it resumes, or "".
  std::string resumes;
};

/// Part of a generation that a server is asked to run.
enum class generation_stage { whole, prefill };

/// What the gateway adds to a request sent to a server.
struct server_call {
  std::string organisation;  ///< "" on routes without organisations
  std::string instance;      ///< id of the addressed server; others refuse
  milliseconds deadline{0};  ///< remaining time
  generation_stage stage = generation_stage::whole;
  std::string kv_source;  ///< "ip:port/handle" of the KV cache to fetch
  /// "ip:port" of an engine that may have parts of the prompt cached, to fetch
  /// them from, or "".
  std::string cache_source;
  std::string hold;  ///< id of the memory reservation, or ""
  std::optional<std::int64_t> last_event;  ///< event to resume after
  std::optional<int> priority;             ///< 0 is the highest
};

/// Load that a server reports about itself.
struct server_load {
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  std::int64_t slots = 0;
};
CITRONWHARF_VALUE(server_load, running, waiting, slots)

/// Decoded head of a server response.
struct server_answer {
  int status = 0;
  bool not_run = false;    ///< the server states that it ran nothing
  bool is_signed = false;  ///< has the signature of the server
  std::string request_id;  ///< echoed by the server
  std::optional<server_load> load;
  bool leaving = false;  ///< the server is shutting down
  /// Back-off that the server requested: it accepts no requests of this process
  /// for this long.
  std::optional<duration> retry_after;
  /// Requests a second that the server takes from all gateways together.
  std::optional<double> limit;
  bool names_limit = false;  ///< also if it can't be read
  /// Time for which the server stays cold.
  std::optional<duration> cold_left;
  std::string ignored_header;  ///< name and value of an invalid header
};

/// The KV cache of a prompt, exported by the engine that computed it.
struct exported_prefill {
  std::string handle;
  std::int64_t tokens = 0;
};
CITRONWHARF_VALUE(exported_prefill, handle, tokens)

enum class engine_stage { none, prefill, decode };
NLOHMANN_JSON_SERIALIZE_ENUM(engine_stage, {{engine_stage::none, "none"},
                                            {engine_stage::prefill, "prefill"},
                                            {engine_stage::decode, "decode"}})

/// An announced switch of an engine's stage. The directory only shows the new
/// stage some time after the switch has ended. Immutable.
struct announced_switch {
  engine_stage to = engine_stage::none;  ///< none: no switch
  time_point until{};                    ///< no requests are taken before

  /// Returns the current stage of an engine whose directory entry shows
  /// `listed`.
  engine_stage stage_now(engine_stage listed, time_point now) const {
    // Lag of the directory, plus a few reads of it.
    constexpr duration directory_lag = seconds(3);
    const bool not_yet_listed = now >= until && now < until + directory_lag;
    return to != engine_stage::none && not_yet_listed ? to : listed;
  }
};

/// Status that an engine reports on request.
struct engine_report {
  std::uint64_t orders = 0;  ///< number accepted since it started
  bool busy = false;         ///< executing an order
  engine_stage stage = engine_stage::none;
};

/// An order to an engine to switch its stage.
struct engine_switch {
  engine_stage stage = engine_stage::none;
  std::string instance;  ///< id of the addressed server; others refuse
  std::string holder;    ///< process that issues the order
  std::uint64_t fencing_token = 0;
  std::uint64_t orders = 0;  ///< refused if the engine accepted another since
};

/// A server as listed by the directory.
struct listed_server {
  std::string id;
  std::string service;
  std::string address;  ///< "ip:port"
  std::string failure_domain;
  std::int64_t slots = 0;
  bool leaving = false;
  engine_stage stage = engine_stage::none;
  /// Of the server's software, not of its weights. Versions have no order.
  std::string software_version;
  /// Set by the gateway, never by the directory: its failure domain is
  /// evacuated, which also makes it `leaving`. Not serialised.
  bool evacuated = false;
  /// Time for which the server stays cold, when the directory was read.
  std::int64_t cold_left_ms = 0;
};
bool operator==(const listed_server& lhs, const listed_server& rhs);
bool operator!=(const listed_server& lhs, const listed_server& rhs);
/// Serialised as an array to keep lists of thousands of servers small, since
/// they are sent to hundreds of processes. Entries of warm servers have the
/// form of earlier releases, whose processes compute the same digest of the
/// list.
void to_json(nlohmann::json& out, const listed_server& value);
void from_json(const nlohmann::json& in, listed_server& value);

/// One page of the directory list.
struct directory_page {
  std::vector<listed_server> servers;
  std::size_t unreadable = 0;  ///< entries without a usable server
  std::string next;            ///< token of the following page, or ""
  bool rest_unknown = false;   ///< more pages may follow, but can't be found
};

/// A decoded operator request.
struct operator_request {
  enum class verb {
    publish,
    read,
    start_evacuation,
    end_evacuation,
    invalid,  ///< a known verb with an invalid argument
    unknown
  };
  verb what = verb::unknown;
  std::string domain;  ///< failure domain, of the evacuation verbs
};

/// Functions of a platform adapter. All are pure and thread-safe. Those that
/// return an http_request build one; read_* decode a message.
struct gateway_codec {
  std::function<caller_request(http_request)> read_request;
  std::function<http_request(const caller_request&, const server_call&)>
      make_call;
  std::function<server_answer(const http_response& head)> read_answer;
  /// Returns the response to be sent to the caller, without hop-by-hop headers.
  std::function<http_response(http_response)> make_answer;
  /// Returns a response that the gateway itself generates.
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
  std::function<http_request()> make_report_request;
  std::function<absl::StatusOr<engine_report>(const std::string& body)>
      read_report;
  std::function<http_request(const engine_switch&)> make_switch;
  std::function<http_request(const std::string& page_token)> list_servers;
  std::function<absl::StatusOr<directory_page>(const std::string& body)>
      read_servers;
  std::function<operator_request(const http_request&)> read_operator;
  /// Decodes and validates a configuration; the error describes the fault.
  std::function<absl::StatusOr<gateway_configuration>(const std::string& body)>
      read_configuration;
  /// Like read_configuration, for a configuration that an operator publishes:
  /// null, or any other value, in place of a list is an error. Earlier releases
  /// accepted such configurations, so read_configuration still reads those that
  /// are stored.
  std::function<absl::StatusOr<gateway_configuration>(const std::string& body)>
      read_new_configuration;
  std::function<bool(const http_request&)> asks_readiness;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_CODEC_H_
