#include "gateway/directory_sync.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

#include "control/key.h"

namespace citronwharf {
namespace {

// Largest random extension of a pause, as a share of it. Keeps processes that
// started together from calling the directory together.
constexpr double pause_jitter = 0.15;
constexpr duration fetch_timeout = seconds(2);
constexpr duration min_pause = milliseconds(20);

}  // namespace

// The time left shrinks with each read. Copies keep the value that they have
// until it grows, since the server has become cold again, or the server is
// warm: each change is sent to hundreds of processes.
void directory_copy::keep_cold_time(listed_server& listed) {
  const auto known = servers_.find(listed.id);
  if (listed.cold_left_ms == 0) {
    cold_left_ms_.erase(listed.id);
    return;
  }
  const std::int64_t known_ms =
      known == servers_.end() ? 0 : known->second.cold_left_ms;
  const auto [last, is_new] = cold_left_ms_.try_emplace(listed.id, known_ms);
  const bool shrinks = listed.cold_left_ms <= last->second;
  last->second = listed.cold_left_ms;
  if (known_ms != 0 && shrinks) {
    listed.cold_left_ms = known_ms;
  }
}

directory_news directory_copy::take(const std::vector<listed_server>& listed) {
  directory_news out;
  out.base = digest_;
  // The list may have two entries with one id, if it changed between pages.
  std::map<std::string, listed_server> listed_by_id;
  for (const listed_server& each : listed) {
    listed_by_id[each.id] = each;
  }
  for (auto& [id, each] : listed_by_id) {
    keep_cold_time(each);
  }
  for (const auto& [id, each] : listed_by_id) {
    const auto known = servers_.find(id);
    if (known == servers_.end()) {
      out.changed.push_back(each);
    } else if (known->second != each) {
      // Many servers may start leaving at once, and a whole entry takes ten
      // times as many bytes as an id.
      listed_server now_leaving = known->second;
      now_leaving.leaving = true;
      if (now_leaving == each) {
        out.leaving.push_back(each.id);
      } else {
        out.changed.push_back(each);
      }
    }
  }
  for (const auto& [id, each] : servers_) {
    if (listed_by_id.count(id) == 0) {
      out.removed.push_back(id);
      cold_left_ms_.erase(id);
    }
  }
  // Most reads change nothing, and computing the digest of a list of thousands
  // takes milliseconds.
  if (digest_.empty() || listed_by_id != servers_) {
    servers_ = std::move(listed_by_id);
    refresh_digest();
  }
  out.digest = digest_;
  return out;
}

bool directory_copy::apply(const directory_news& in) {
  if (in.digest == digest_) {
    return true;
  }
  if (in.base.empty()) {
    servers_.clear();
  } else if (in.base != digest_) {
    return false;
  }
  for (const listed_server& each : in.changed) {
    servers_[each.id] = each;
  }
  for (const std::string& id : in.leaving) {
    servers_[id].leaving = true;
  }
  for (const std::string& id : in.removed) {
    servers_.erase(id);
  }
  refresh_digest();
  return true;
}

directory_news directory_copy::whole() const {
  directory_news out;
  out.digest = digest_;
  out.changed = list();
  return out;
}

std::vector<listed_server> directory_copy::list() const {
  std::vector<listed_server> out;
  out.reserve(servers_.size());
  for (const auto& [id, each] : servers_) {
    out.push_back(each);
  }
  return out;
}

void directory_copy::refresh_digest() {
  const std::vector<std::uint8_t> bytes =
      nlohmann::json::to_cbor(nlohmann::json(list()));
  digest_ = digest_of(std::string(bytes.begin(), bytes.end()));
}

duration directory_schedule::pause(bool leads, std::size_t pages,
                                   time_point now) const {
  const time_point due =
      leads ? last_read_at_ + leader_interval(pages)
            : std::max(last_read_at_ + options_.fallback_interval,
                       news_valid_until_);
  return std::max(duration{}, due - now);
}

directory_sync::directory_sync(process_context& process,
                               document_cluster& cluster,
                               const gateway_codec& codec, http_pool& pool,
                               directory_schedule_options options)
    : process_(process),
      cluster_(cluster),
      schedule_(options),
      reader_(process.loop, codec, pool, process.options.gateway.directory),
      timer_(process.loop),
      random_(process.incarnation) {}

directory_sync::~directory_sync() {
  *alive_ = false;
}

void directory_sync::start(list_handler on_list) {
  on_list_ = std::move(on_list);
  process_.peers.on<directory_news>(
      [this, alive = alive_](const peer_id& from, const directory_news& in) {
        if (*alive) {
          on_news(from, in);
        }
      });
  process_.peers.on<directory_fetch>(
      [this, alive = alive_](const peer_id& from, const directory_fetch& in) {
        if (*alive) {
          answer_fetch(from.name, in);
        }
      });
  process_.peers.on<directory_miss>(
      [this, alive = alive_](const peer_id& from, const directory_miss&) {
        const std::string& leader = cluster_.follower().leader();
        if (*alive && !requested_digest_.empty() && from.name != leader) {
          request_list(leader);
        }
      });
  check_schedule();
}

void directory_sync::on_list_read(std::vector<listed_server> listed,
                                  bool whole) {
  if (!whole) {
    // A server that isn't seen may be on a page that couldn't be read. Later
    // entries replace earlier ones.
    std::vector<listed_server> known = list_copy_.list();
    listed.insert(listed.begin(), std::make_move_iterator(known.begin()),
                  std::make_move_iterator(known.end()));
  }
  directory_news news = list_copy_.take(listed);
  if (cluster_.leads()) {
    // Assumes that the next read takes as long as this one.
    const duration read_time = runtime_clock::now() - read_started_;
    news.next_us =
        to_microseconds(schedule_.leader_interval(reader_.pages()) + read_time);
    cluster_.broadcast(news);
  }
  on_list_(list_copy_.list());
}

void directory_sync::on_news(const peer_id& from, const directory_news& in) {
  const bool from_leader = from.name == cluster_.follower().leader();
  const bool was_requested =
      !requested_digest_.empty() && in.digest == requested_digest_;
  if (cluster_.leads() || (!from_leader && !was_requested)) {
    return;
  }
  const bool is_known = in.digest == list_copy_.digest();
  if (!list_copy_.apply(in)) {
    fetch(in.digest);
    return;
  }
  requested_digest_.clear();
  schedule_.on_leader_news(from_microseconds(in.next_us), runtime_clock::now());
  if (!is_known) {
    on_list_(list_copy_.list());
  }
}

void directory_sync::answer_fetch(const std::string& process,
                                  const directory_fetch& in) {
  // A process that doesn't get the reply asks again after later news.
  const frame out = in.digest == list_copy_.digest()
                        ? make_frame(list_copy_.whole())
                        : make_frame(directory_miss{});
  process_.peers.send(process, out).IgnoreError();
}

// Asks a random member, which may have the list by now: the leader alone would
// need seconds to send a long list to hundreds of processes.
void directory_sync::fetch(const std::string& digest) {
  const time_point now = runtime_clock::now();
  if (!requested_digest_.empty() && now - requested_at_ < fetch_timeout) {
    return;  // already requested
  }
  requested_digest_ = digest;
  requested_at_ = now;
  std::vector<std::string> sources{cluster_.follower().leader()};
  for (const control_member& each : cluster_.follower().members()) {
    if (each.process != process_.options.process) {
      sources.push_back(each.process);
    }
  }
  std::uniform_int_distribution<std::size_t> draw(0, sources.size() - 1);
  request_list(sources[draw(random_)]);
}

void directory_sync::request_list(const std::string& process) {
  // If the message is lost for want of a session, this process soon reads the
  // directory itself.
  process_.peers.send(process, make_frame(directory_fetch{requested_digest_}))
      .IgnoreError();
}

// A read may still be under way, as a long list takes longer to read than the
// pause.
void directory_sync::check_schedule() {
  const time_point now = runtime_clock::now();
  const auto pause = [&] {
    return schedule_.pause(cluster_.leads(), reader_.pages(), now);
  };
  if (pause() == duration{} && !reader_.busy()) {
    schedule_.on_read_started(now);
    read_started_ = now;
    // Only a process that may lead retries refused calls. If hundreds of others
    // did, they would use up the calls that the directory accepts.
    const bool retries_refusals = !process_.options.data_folder.empty();
    reader_.read(retries_refusals,
                 [this](const std::vector<listed_server>& listed, bool whole) {
                   on_list_read(listed, whole);
                 });
  }
  schedule_check(std::max(pause(), min_pause));
}

void directory_sync::schedule_check(duration span) {
  std::uniform_real_distribution<double> jitter(1, 1 + pause_jitter);
  timer_.expires_after(
      std::chrono::duration_cast<duration>(span * jitter(random_)));
  when_expired(timer_, alive_, [this] { check_schedule(); });
}

}  // namespace citronwharf
