/// Server side of configuration distribution, run by control replicas: answers
/// polls and sends deltas or snapshots.
#ifndef CITRONWHARF_CONTROL_CONFIGURATION_SOURCE_H_
#define CITRONWHARF_CONTROL_CONFIGURATION_SOURCE_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/process_context.h"
#include "control/configuration_machine.h"
#include "control/control_members.h"
#include "control/replica.h"
#include "wire/control_messages.h"

namespace citronwharf {

/// Not thread-safe; use from the event loop thread only. Preconditions:
/// process, log and machine outlive it.
class configuration_source {
 public:
  configuration_source(process_context& process, replica& log,
                       const configuration_machine& machine);

  /// Returns the processes that polled within the last `span`.
  std::set<std::string> polled_within(duration span, time_point now) const;

 private:
  void answer_poll(const peer_id& from, const config_poll& poll);
  void answer_fetch(const peer_id& from, const config_fetch& fetch);
  void queue_snapshot(const std::string& to);
  void send_next_part();
  void send_members_to_all();

  process_context& process_;
  replica& log_;
  const configuration_machine& machine_;
  std::set<std::string> sessions_;
  std::vector<control_member> members_;
  std::map<std::string, time_point> polled_at_;
  // Outgoing snapshots of the same version share their text, which stays alive
  // until the last one is sent.
  struct snapshot_text {
    std::uint64_t version = 0;
    std::string json;
  };
  struct outgoing_snapshot {
    std::string to;
    std::shared_ptr<const snapshot_text> text;
    std::uint32_t next = 0;
  };
  std::shared_ptr<const snapshot_text> latest_text_;
  std::deque<outgoing_snapshot> outgoing_snapshots_;
  runtime_timer part_timer_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_CONTROL_CONFIGURATION_SOURCE_H_
