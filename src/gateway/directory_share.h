/// One gateway reads the platform's list of servers for all of them.
#ifndef CITRONWHARF_GATEWAY_DIRECTORY_SHARE_H_
#define CITRONWHARF_GATEWAY_DIRECTORY_SHARE_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/process_context.h"
#include "control/document_cluster.h"
#include "gateway/directory_reader.h"

namespace citronwharf {

/// The leader to all gateways, after each read of the directory.
struct directory_news {
  static constexpr const char* type_name = "directory_news";
  std::uint64_t revision = 0;  ///< counts changes that the sender has seen
  bool whole = false;          ///< the servers follow
  std::vector<listed_server> servers;
};
CITRONWHARF_VALUE(directory_news, revision, whole, servers)

/// Asks the leader for the whole list.
struct directory_fetch {
  static constexpr const char* type_name = "directory_fetch";
};
CITRONWHARF_EMPTY_VALUE(directory_fetch)

struct directory_turn_options {
  /// Between the leader's reads. Servers that leave get no new work after a
  /// few seconds, of which the platform's lag takes one.
  duration leader_interval = milliseconds(600);
  /// Without news for so long a gateway reads the directory itself: two reads
  /// of the leader.
  duration trust = milliseconds(1300);
  /// Between a gateway's own reads.
  duration own_interval = milliseconds(1200);
};

/// Decides when a process reads the directory. Load it answers: a directory
/// that takes few calls a second from all processes together. No I/O, no clock
/// of its own. One thread.
class directory_turn {
 public:
  explicit directory_turn(directory_turn_options options) : options_(options) {}

  /// The leader's news came.
  void heard(time_point now) { heard_at_ = now; }
  /// This process reads the directory, successfully or not.
  void reads(time_point now) { read_at_ = now; }
  /// Returns how long to wait before the next look; zero: read now.
  duration pause(bool leads, time_point now) const;

 private:
  directory_turn_options options_;
  time_point heard_at_{};
  time_point read_at_{};
};

/// Loop's thread only. Preconditions: the references outlive it.
class directory_share {
 public:
  using list_handler = std::function<void(const std::vector<listed_server>&)>;

  directory_share(process_context& process, document_cluster& cluster,
                  const gateway_codec& codec, http_pool& pool,
                  directory_turn_options options);
  ~directory_share();
  directory_share(const directory_share&) = delete;
  directory_share& operator=(const directory_share&) = delete;

  /// Starts to read; `on_list` is called with each whole list, of its own or of
  /// the leader.
  void start(list_handler on_list);

 private:
  void take_own(const std::vector<listed_server>& listed);
  void take_news(const peer_id& from, const directory_news& in);
  void look();
  void look_after(duration span);

  process_context& process_;
  document_cluster& cluster_;
  directory_turn turn_;
  directory_reader reader_;
  runtime_timer timer_;
  std::mt19937_64 random_;
  list_handler on_list_;
  std::vector<listed_server> listed_;  // that this process read last
  std::uint64_t revision_ = 0;         // of that
  std::string news_from_;              // leader whose list is in use
  std::uint64_t news_revision_ = 0;
  // Shared with handlers that may come after the share is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_DIRECTORY_SHARE_H_
