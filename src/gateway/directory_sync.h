/// One gateway reads the platform's list of servers for all of them.
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

/// The leader to all gateways, after each read of the directory.
struct directory_news {
  static constexpr const char* type_name = "directory_news";
  std::string digest;                  ///< of the list
  std::string base;                    ///< of the list before; "": whole list
  std::vector<listed_server> changed;  ///< new or other than in the base
  std::vector<std::string> leaving;    ///< ids of those that only now leave
  std::vector<std::string> removed;    ///< ids
  std::int64_t next_us = 0;            ///< until the next news, at the latest
};
CITRONWHARF_VALUE(directory_news, digest, base, changed, leaving, removed,
                  next_us)

/// A list of servers, by id, that processes compare by its digest.
class directory_copy {
 public:
  /// Takes a whole list. Returns what changed, as news for those who had the
  /// list before.
  directory_news take(const std::vector<listed_server>& listed);
  /// Takes news. Returns false, and changes nothing, when the news builds on
  /// another list.
  bool apply(const directory_news& in);
  /// Returns the list as news for those who have none.
  directory_news whole() const;

  const std::string& digest() const { return digest_; }
  std::vector<listed_server> list() const;

 private:
  void refresh_digest();

  std::map<std::string, listed_server> servers_;  // by id
  std::string digest_;
};

/// Asks a process for the whole list, if it has the one with this digest.
struct directory_fetch {
  static constexpr const char* type_name = "directory_fetch";
  std::string digest;
};
CITRONWHARF_VALUE(directory_fetch, digest)

/// The process asked has another list, or none.
struct directory_miss {
  static constexpr const char* type_name = "directory_miss";
};
CITRONWHARF_EMPTY_VALUE(directory_miss)

struct directory_schedule_options {
  /// Between the leader's reads. Servers that leave get no new work after a
  /// few seconds, of which the platform's lag takes one.
  duration leader_interval = milliseconds(600);
  /// Beyond that for each page of the list, so that long lists cost the
  /// directory no more calls a second than it takes.
  duration page_interval = milliseconds(10);
  /// Without news for this much longer than the leader said, a gateway reads
  /// the directory itself: one read of the leader may fail.
  duration trust_margin = milliseconds(600);
  /// Between a gateway's own reads.
  duration own_interval = milliseconds(1200);
};

/// Decides when a process reads the directory. Load it answers: a directory
/// that takes few calls a second from all processes together. No I/O, no clock
/// of its own. One thread.
class directory_schedule {
 public:
  explicit directory_schedule(directory_schedule_options options)
      : options_(options) {}

  /// The leader's news came, and more will within the span.
  void heard(duration next, time_point now) {
    trusts_until_ = now + next + options_.trust_margin;
  }
  /// This process reads the directory, successfully or not.
  void reads(time_point now) { read_at_ = now; }
  /// Returns how long to wait before the next look at a list of so many pages;
  /// zero: read now.
  duration pause(bool leads, std::size_t pages, time_point now) const;
  /// Returns the span between the leader's reads of so many pages.
  duration leader_interval(std::size_t pages) const {
    return options_.leader_interval +
           options_.page_interval * static_cast<std::int64_t>(pages);
  }

 private:
  directory_schedule_options options_;
  time_point trusts_until_{};
  time_point read_at_{};
};

/// Loop's thread only. Preconditions: the references outlive it.
class directory_sync {
 public:
  using list_handler = std::function<void(const std::vector<listed_server>&)>;

  directory_sync(process_context& process, document_cluster& cluster,
                 const gateway_codec& codec, http_pool& pool,
                 directory_schedule_options options);
  ~directory_sync();
  directory_sync(const directory_sync&) = delete;
  directory_sync& operator=(const directory_sync&) = delete;

  /// Starts to read; `on_list` is called with each whole list, of its own or of
  /// the leader.
  void start(list_handler on_list);

 private:
  void take_own(const std::vector<listed_server>& listed);
  void answer_fetch(const std::string& process, const directory_fetch& in);
  void take_news(const peer_id& from, const directory_news& in);
  void look();
  void look_after(duration span);
  void fetch(const std::string& digest);
  void ask_for_list(const std::string& process);

  process_context& process_;
  document_cluster& cluster_;
  directory_schedule turn_;
  directory_reader reader_;
  runtime_timer timer_;
  std::mt19937_64 random_;
  list_handler on_list_;
  directory_copy copy_;
  time_point read_started_{};
  time_point fetched_at_{};
  std::string wanted_;  // digest of a list that was asked for
  // Shared with handlers that may come after the share is gone.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace citronwharf

#endif  // CITRONWHARF_GATEWAY_DIRECTORY_SYNC_H_
