#include "gateway/directory_sync.h"

#include <algorithm>
#include <random>
#include <utility>

#include "control/key.h"

namespace citronwharf {
namespace {

// Share of a pause by which it varies, so that processes that started together
// don't call the directory together.
constexpr double pause_jitter = 0.15;
constexpr duration fetch_timeout = seconds(2);
constexpr duration min_pause = milliseconds(20);

}  // namespace

directory_news directory_copy::take(const std::vector<listed_server>& listed) {
  directory_news out;
  out.base = digest_;
  std::map<std::string, listed_server> taken;
  for (const listed_server& each : listed) {
    const auto known = servers_.find(each.id);
    if (known == servers_.end()) {
      out.changed.push_back(each);
    } else if (known->second != each) {
      // Many may leave at once, and a whole entry takes ten times the bytes.
      listed_server left = known->second;
      left.leaving = true;
      if (left == each) {
        out.leaving.push_back(each.id);
      } else {
        out.changed.push_back(each);
      }
    }
    taken[each.id] = each;
  }
  for (const auto& [id, each] : servers_) {
    if (taken.count(id) == 0) {
      out.removed.push_back(id);
    }
  }
  // Most reads change nothing, and a digest of thousands takes milliseconds.
  if (digest_.empty() || taken != servers_) {
    servers_ = std::move(taken);
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
      leads ? read_at_ + leader_interval(pages)
            : std::max(read_at_ + options_.own_interval, trusts_until_);
  return std::max(duration{}, due - now);
}

directory_sync::directory_sync(process_context& process,
                               document_cluster& cluster,
                               const gateway_codec& codec, http_pool& pool,
                               directory_schedule_options options)
    : process_(process),
      cluster_(cluster),
      turn_(options),
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
          take_news(from, in);
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
        if (*alive && !wanted_.empty() && from.name != leader) {
          ask_for_list(leader);
        }
      });
  look();
}

void directory_sync::take_own(const std::vector<listed_server>& listed) {
  directory_news news = copy_.take(listed);
  if (cluster_.leads()) {
    // The next read takes as long as this one.
    const duration read = runtime_clock::now() - read_started_;
    news.next_us =
        to_microseconds(turn_.leader_interval(reader_.pages()) + read);
    cluster_.tell_everyone(news);
  }
  on_list_(copy_.list());
}

void directory_sync::take_news(const peer_id& from, const directory_news& in) {
  const bool of_leader = from.name == cluster_.follower().leader();
  const bool wanted = !wanted_.empty() && in.digest == wanted_;
  if (cluster_.leads() || (!of_leader && !wanted)) {
    return;
  }
  const bool known = in.digest == copy_.digest();
  if (!copy_.apply(in)) {
    fetch(in.digest);
    return;
  }
  wanted_.clear();
  turn_.heard(from_microseconds(in.next_us), runtime_clock::now());
  if (!known) {
    on_list_(copy_.list());
  }
}

void directory_sync::answer_fetch(const std::string& process,
                                  const directory_fetch& in) {
  // Who misses the answer asks again after later news.
  const frame out = in.digest == copy_.digest() ? make_frame(copy_.whole())
                                                : make_frame(directory_miss{});
  process_.peers.send(process, out).IgnoreError();
}

// Any member may have the list by now; the leader alone would need seconds to
// send a long one to hundreds of processes.
void directory_sync::fetch(const std::string& digest) {
  const time_point now = runtime_clock::now();
  if (!wanted_.empty() && now - fetched_at_ < fetch_timeout) {
    return;  // under way
  }
  wanted_ = digest;
  fetched_at_ = now;
  std::vector<std::string> sources{cluster_.follower().leader()};
  for (const control_member& each : cluster_.follower().members()) {
    if (each.process != process_.options.process) {
      sources.push_back(each.process);
    }
  }
  std::uniform_int_distribution<std::size_t> draw(0, sources.size() - 1);
  ask_for_list(sources[draw(random_)]);
}

void directory_sync::ask_for_list(const std::string& process) {
  // Without a session this process soon reads the directory itself.
  process_.peers.send(process, make_frame(directory_fetch{wanted_}))
      .IgnoreError();
}

// A long list takes longer to read than the pause.
void directory_sync::look() {
  const time_point now = runtime_clock::now();
  const auto pause = [&] {
    return turn_.pause(cluster_.leads(), reader_.pages(), now);
  };
  if (pause() == duration{} && !reader_.busy()) {
    turn_.reads(now);
    read_started_ = now;
    // A process that may lead insists; hundreds of others would leave it
    // nothing of what the directory takes.
    const bool insists = !process_.options.data_folder.empty();
    reader_.read(insists, [this](const std::vector<listed_server>& listed) {
      take_own(listed);
    });
  }
  look_after(std::max(pause(), min_pause));
}

void directory_sync::look_after(duration span) {
  std::uniform_real_distribution<double> spread(1, 1 + pause_jitter);
  timer_.expires_after(
      std::chrono::duration_cast<duration>(span * spread(random_)));
  when_expired(timer_, alive_, [this] { look(); });
}

}  // namespace citronwharf
