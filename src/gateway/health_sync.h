/// Exchange of server health between gateways: each one reports outcomes of
/// requests to the leader, which announces outliers, leaving and cold servers
/// and the limits of servers to all.
#ifndef CITRONWHARF_GATEWAY_HEALTH_SYNC_H_
#define CITRONWHARF_GATEWAY_HEALTH_SYNC_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/process_context.h"
#include "control/document_cluster.h"
#include "gateway/outlier_detector.h"
#include "gateway/server_limits.h"
#include "gateway/warm_up.h"

namespace citronwharf {

/// Sent by a gateway to the leader: a server announced that it is about to
/// stop.
struct leaving_report {
  static constexpr const char* type_name = "leaving_report";
  std::string server;
};
CITRONWHARF_VALUE(leaving_report, server)

/// Sent by the leader to all gateways: a server is about to stop.
struct leaving_notice {
  static constexpr const char* type_name = "leaving_notice";
  std::string server;
};
CITRONWHARF_VALUE(leaving_notice, server)

/// Sent by a gateway to the leader: a server named a limit or ceased to.
struct limit_report {
  static constexpr const char* type_name = "limit_report";
  server_limit_state limit;
};
CITRONWHARF_VALUE(limit_report, limit)

/// Sent by the leader to all gateways: the limits that changed, or now and then
/// all of them.
struct limit_notice {
  static constexpr const char* type_name = "limit_notice";
  std::vector<server_limit_state> limits;
};
CITRONWHARF_VALUE(limit_notice, limits)

/// Sent by a gateway to the leader: what it learned about cold servers, or to a
/// new leader all that it learned.
struct cold_report {
  static constexpr const char* type_name = "cold_report";
  std::vector<cold_state> servers;
};
CITRONWHARF_VALUE(cold_report, servers)

/// Sent by the leader to all gateways: cold servers that it learned about, or
/// now and then all of them.
struct cold_notice {
  static constexpr const char* type_name = "cold_notice";
  std::vector<cold_state> servers;
};
CITRONWHARF_VALUE(cold_notice, servers)

/// Not thread-safe; use from the event loop thread only. Preconditions: the
/// references outlive it.
class health_sync {
 public:
  using listed_servers = std::function<std::vector<listed_server>()>;
  using notice_handler = std::function<void(const outlier_notice&)>;
  /// Returns whether the server was not yet known to be leaving.
  using leaving_handler = std::function<bool(const std::string& server)>;

  health_sync(process_context& process, document_cluster& cluster,
              listed_servers listed, server_limits& limits, warm_up& warm_up);
  ~health_sync();
  health_sync(const health_sync&) = delete;
  health_sync& operator=(const health_sync&) = delete;

  /// Starts the exchange. Calls `on_notice` when the leader has found an
  /// outlier, and `on_leaving` when a server announced to any gateway that it
  /// is leaving.
  void start(notice_handler on_notice, leaving_handler on_leaving);

  void good(const std::string& server) { ++outcomes_[server].good; }
  void error(const std::string& server) { ++outcomes_[server].errors; }
  void refused(const std::string& server) { ++outcomes_[server].refused; }
  /// Counts a lost request and reports it at once, since every request sent to
  /// the server meanwhile may be lost too.
  void lost(const std::string& server);
  /// Announces that the server is about to stop.
  void leaving(const std::string& server);
  /// Records what a response said about the limit of its server, and tells the
  /// fleet if that is news. `rate` is empty if it named none.
  void limit(const std::string& server, response_kind kind,
             std::optional<double> rate, time_point sent_at);
  /// Records that a server refused a connection, and tells the fleet if that is
  /// news.
  void refused_connection(const std::string& server);
  /// Records a response to a request that was sent at `sent_at`, and tells the
  /// fleet what it says about how long the server stays cold.
  void answered(const std::string& server, std::optional<duration> cold_left,
                time_point sent_at);

 private:
  void notify_all(const std::string& server);
  void send_report();
  void on_report(const outcome_report& in);
  void schedule_report();
  void on_limits(const std::string& from,
                 const std::vector<server_limit_state>& in);
  void share_limit(const server_limit_state& in);
  void share_cold(const std::optional<cold_state>& news);
  void on_cold(const std::string& from, const std::vector<cold_state>& in);
  void announce_limits();
  void announce_cold();

  process_context& process_;
  document_cluster& cluster_;
  listed_servers list_servers_;
  notice_handler on_notice_;
  leaving_handler on_leaving_;
  outlier_detector detector_;
  server_limits& limits_;
  warm_up& warm_up_;
  std::string told_leader_;  // the last one that got all cold servers
  time_point limits_announced_at_{};
  runtime_timer report_timer_;
  bool was_leading_ = false;
  std::map<std::string, server_outcomes> outcomes_;  // since the last report
  // Shared with handlers, which may run after this object was destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_HEALTH_SYNC_H_
