/// What gateways see of servers, brought together at the leader.
#ifndef CITRONWHARF_GATEWAY_HEALTH_SYNC_H_
#define CITRONWHARF_GATEWAY_HEALTH_SYNC_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/process_context.h"
#include "control/document_cluster.h"
#include "gateway/outlier_detector.h"

namespace citronwharf {

/// A gateway to the leader: a server said that it is about to stop.
struct leaving_report {
  static constexpr const char* type_name = "leaving_report";
  std::string server;
};
CITRONWHARF_VALUE(leaving_report, server)

/// The leader to all gateways.
struct leaving_notice {
  static constexpr const char* type_name = "leaving_notice";
  std::string server;
};
CITRONWHARF_VALUE(leaving_notice, server)

/// Loop's thread only. Preconditions: the references outlive it.
class health_sync {
 public:
  using listed_servers = std::function<std::vector<listed_server>()>;
  using notice_handler = std::function<void(const outlier_notice&)>;
  /// Returns whether that was news.
  using leaving_handler = std::function<bool(const std::string& server)>;

  health_sync(process_context& process, document_cluster& cluster,
              listed_servers listed);
  ~health_sync();
  health_sync(const health_sync&) = delete;
  health_sync& operator=(const health_sync&) = delete;

  /// `on_notice` is called when the leader has found an outlier, `on_leaving`
  /// when any gateway has heard that a server leaves.
  void start(notice_handler on_notice, leaving_handler on_leaving);

  void good(const std::string& server) { ++seen_[server].good; }
  void error(const std::string& server) { ++seen_[server].errors; }
  void refused(const std::string& server) { ++seen_[server].refused; }
  /// Told at once: every request that goes there meanwhile may be lost too.
  void lost(const std::string& server);
  /// The server said that it is about to stop.
  void leaving(const std::string& server);

 private:
  void tell_all(const std::string& server);
  void report();
  void take(const outcome_report& in);
  void schedule();

  process_context& process_;
  document_cluster& cluster_;
  listed_servers listed_;
  notice_handler on_notice_;
  leaving_handler on_leaving_;
  outlier_detector detector_;
  runtime_timer timer_;
  bool led_ = false;
  std::map<std::string, server_outcomes> seen_;  // since the last report
  // Shared with handlers that may come after the share is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_HEALTH_SYNC_H_
