/// Distribution of the platform's list of servers: the leading gateway reads it
/// from the directory and sends it to all gateways.
#ifndef CITRONWHARF_GATEWAY_DIRECTORY_SYNC_H_
#define CITRONWHARF_GATEWAY_DIRECTORY_SYNC_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/process_context.h"
#include "control/document_cluster.h"
#include "gateway/directory_reader.h"

namespace citronwharf {

/// Sent by the leader to all gateways after each read of the directory.
struct directory_news {
  static constexpr const char* type_name = "directory_news";
  std::string digest;                  ///< of the list
  std::string base;                    ///< digest it builds on; "": whole list
  std::vector<listed_server> changed;  ///< new or different from the base
  std::vector<std::string> leaving;    ///< ids of servers that began to leave
  std::vector<std::string> removed;    ///< ids
  std::int64_t next_us = 0;            ///< longest time until the next news
};
CITRONWHARF_VALUE(directory_news, digest, base, changed, leaving, removed,
                  next_us)

/// A process's copy of the list of servers. Processes compare their copies by
/// digest.
class directory_copy {
 public:
  /// Replaces the list. Returns the changes as news for processes that have the
  /// previous list.
  directory_news take(const std::vector<listed_server>& listed);
  /// Applies news. Returns false, and changes nothing, if the news builds on
  /// another list.
  bool apply(const directory_news& in);
  /// Returns the whole list as news for processes without it.
  directory_news whole() const;

  const std::string& digest() const { return digest_; }
  std::vector<listed_server> list() const;

 private:
  void refresh_digest();

  void keep_cold_time(listed_server& listed);

  std::map<std::string, listed_server> servers_;  // by id
  // For which cold servers stay so, as last read; by id.
  std::map<std::string, std::int64_t> cold_left_ms_;
  std::string digest_;
};

/// Asks a process for the whole list with this digest.
struct directory_fetch {
  static constexpr const char* type_name = "directory_fetch";
  std::string digest;
};
CITRONWHARF_VALUE(directory_fetch, digest)

/// Reply to a directory_fetch: the process has another list or none.
struct directory_miss {
  static constexpr const char* type_name = "directory_miss";
};
CITRONWHARF_EMPTY_VALUE(directory_miss)

struct directory_schedule_options {
  /// Interval between the leader's reads. Leaving servers must get no new work
  /// after a few seconds, one of which is the platform's own lag.
  duration leader_interval = milliseconds(600);
  /// Added to the interval for each page of the list, so that long lists don't
  /// need more calls per second than the directory accepts.
  duration page_interval = milliseconds(10);
  /// A gateway reads the directory itself if news is overdue by this much. The
  /// margin allows for one failed read by the leader.
  duration overdue_margin = milliseconds(600);
  /// Interval between reads by a gateway that gets no news from the leader.
  duration fallback_interval = milliseconds(1200);
};

/// Decides when a process reads the directory. Designed for this load: the
/// directory accepts only a few calls per second from all processes together.
/// Performs no I/O and reads no clock; the caller passes `now`. Not
/// thread-safe.
class directory_schedule {
 public:
  explicit directory_schedule(directory_schedule_options options)
      : options_(options) {}

  /// Records news from the leader, which announced the next within `next`.
  void on_leader_news(duration next, time_point now) {
    news_valid_until_ = now + next + options_.overdue_margin;
  }
  /// Records the start of a read by this process, whether it succeeds or not.
  void on_read_started(time_point now) { last_read_at_ = now; }
  /// Returns the time until the next read of a list of `pages` pages; zero if
  /// it is due.
  duration pause(bool leads, std::size_t pages, time_point now) const;
  /// Returns the interval between the leader's reads of a list of `pages`
  /// pages.
  duration leader_interval(std::size_t pages) const {
    return options_.leader_interval +
           options_.page_interval * static_cast<std::int64_t>(pages);
  }

 private:
  directory_schedule_options options_;
  time_point news_valid_until_{};
  time_point last_read_at_{};
};

/// Keeps one process's list of servers up to date. Not thread-safe; use from
/// the event loop thread only. Preconditions: the references outlive it.
class directory_sync {
 public:
  using list_handler = std::function<void(const std::vector<listed_server>&)>;

  directory_sync(process_context& process, document_cluster& cluster,
                 const gateway_codec& codec, http_pool& pool,
                 directory_schedule_options options);
  ~directory_sync();
  directory_sync(const directory_sync&) = delete;
  directory_sync& operator=(const directory_sync&) = delete;

  /// Starts reading. Calls `on_list` with each whole list, read by this process
  /// or received from another one.
  void start(list_handler on_list);

 private:
  void on_list_read(std::vector<listed_server> listed, bool whole);
  void answer_fetch(const std::string& process, const directory_fetch& in);
  void on_news(const peer_id& from, const directory_news& in);
  void check_schedule();
  void schedule_check(duration span);
  void fetch(const std::string& digest);
  void request_list(const std::string& process);

  process_context& process_;
  document_cluster& cluster_;
  directory_schedule schedule_;
  directory_reader reader_;
  runtime_timer timer_;
  std::mt19937_64 random_;
  list_handler on_list_;
  directory_copy list_copy_;
  time_point read_started_{};
  time_point requested_at_{};
  std::string requested_digest_;  // of the list requested from another process
  // Shared with handlers, which may run after this object was destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_DIRECTORY_SYNC_H_
