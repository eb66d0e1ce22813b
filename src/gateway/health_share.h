/// What gateways see of servers, brought together at the leader.
#ifndef CITRONWHARF_GATEWAY_HEALTH_SHARE_H_
#define CITRONWHARF_GATEWAY_HEALTH_SHARE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/process_context.h"
#include "control/document_cluster.h"
#include "gateway/outlier_detector.h"

namespace citronwharf {

/// Loop's thread only. Preconditions: the references outlive it.
class health_share {
 public:
  using listed_servers = std::function<std::vector<listed_server>()>;
  using notice_handler = std::function<void(const outlier_notice&)>;

  health_share(process_context& process, document_cluster& cluster,
               listed_servers listed);
  ~health_share();
  health_share(const health_share&) = delete;
  health_share& operator=(const health_share&) = delete;

  /// `on_notice` is called when the leader has found an outlier.
  void start(notice_handler on_notice);

  void good(const std::string& server) { ++seen_[server].good; }
  void error(const std::string& server) { ++seen_[server].errors; }
  void refused(const std::string& server) { ++seen_[server].refused; }
  /// Told at once: every request that goes there meanwhile may be lost too.
  void lost(const std::string& server);

 private:
  void report();
  void take(const outcome_report& in);
  void schedule();

  process_context& process_;
  document_cluster& cluster_;
  listed_servers listed_;
  notice_handler on_notice_;
  outlier_detector detector_;
  runtime_timer timer_;
  bool led_ = false;
  std::map<std::string, server_outcomes> seen_;  // since the last report
  // Shared with handlers that may come after the share is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_HEALTH_SHARE_H_
