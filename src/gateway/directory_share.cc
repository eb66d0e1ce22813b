#include "gateway/directory_share.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>

namespace citronwharf {
namespace {

// Share of a pause by which it varies, so that processes that started together
// don't call the directory together.
constexpr double pause_jitter = 0.15;

}  // namespace

duration directory_turn::pause(bool leads, time_point now) const {
  const time_point due = leads ? read_at_ + options_.leader_interval
                               : std::max(read_at_ + options_.own_interval,
                                          heard_at_ + options_.trust);
  return std::max(duration{}, due - now);
}

directory_share::directory_share(process_context& process,
                                 document_cluster& cluster,
                                 const gateway_codec& codec, http_pool& pool,
                                 directory_turn_options options)
    : process_(process),
      cluster_(cluster),
      turn_(options),
      reader_(process.loop, codec, pool, process.options.gateway.directory),
      timer_(process.loop),
      random_(process.incarnation) {}

directory_share::~directory_share() {
  *alive_ = false;
}

void directory_share::start(list_handler on_list) {
  on_list_ = std::move(on_list);
  process_.peers.on<directory_news>(
      [this, alive = alive_](const peer_id& from, const directory_news& in) {
        if (*alive) {
          take_news(from, in);
        }
      });
  process_.peers.on<directory_fetch>(
      [this, alive = alive_](const peer_id& from, const directory_fetch&) {
        if (*alive && cluster_.leads()) {
          // Who misses it asks again after the next news.
          process_.peers
              .send(from.name,
                    make_frame(directory_news{revision_, true, listed_}))
              .IgnoreError();
        }
      });
  look();
}

void directory_share::take_own(const std::vector<listed_server>& listed) {
  if (listed != listed_ || revision_ == 0) {
    listed_ = listed;
    ++revision_;
  }
  news_from_.clear();
  if (cluster_.leads()) {
    cluster_.tell_everyone(directory_news{revision_, false, {}});
  }
  on_list_(listed_);
}

void directory_share::take_news(const peer_id& from, const directory_news& in) {
  if (cluster_.leads() || from.name != cluster_.follower().leader()) {
    return;
  }
  const std::string sender = fmt::format("{}/{}", from.name, from.incarnation);
  if (in.whole) {
    news_from_ = sender;
    news_revision_ = in.revision;
    turn_.heard(runtime_clock::now());
    on_list_(in.servers);
    return;
  }
  if (sender == news_from_ && in.revision == news_revision_) {
    turn_.heard(runtime_clock::now());
    return;
  }
  // Without an answer this process soon reads the directory itself.
  process_.peers.send(from.name, make_frame(directory_fetch{})).IgnoreError();
}

void directory_share::look() {
  const time_point now = runtime_clock::now();
  const duration pause = turn_.pause(cluster_.leads(), now);
  if (pause > duration{}) {
    look_after(pause);
    return;
  }
  turn_.reads(now);
  reader_.read(
      [this](const std::vector<listed_server>& listed) { take_own(listed); });
  look_after(turn_.pause(cluster_.leads(), now));
}

void directory_share::look_after(duration span) {
  std::uniform_real_distribution<double> spread(1, 1 + pause_jitter);
  timer_.expires_after(
      std::chrono::duration_cast<duration>(span * spread(random_)));
  timer_.async_wait([this, alive = alive_](boost::system::error_code error) {
    if (!error && *alive) {
      look();
    }
  });
}

}  // namespace citronwharf
