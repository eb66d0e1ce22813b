// Until homes are in: one bucket an organisation in each entry process.
#include "entry/allowance_service.h"

#include <boost/asio/post.hpp>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "policy/token_bucket.h"

namespace citronwharf {
namespace {

struct waiting_acquire {
  std::uint64_t id = 0;
  double tokens = 0;
  time_point deadline{};
  allowance_service::acquired done;
};

// One organisation's bucket and who waits for it, first come first served.
struct local_bucket {
  token_bucket bucket;
  std::deque<waiting_acquire> waiting;
  double waiting_tokens = 0;
};

const organisation* find_organisation(const configuration& in,
                                      const std::string& name) {
  for (const organisation& each : in.organisations) {
    if (each.name == name) return &each;
  }
  return nullptr;
}

class local_allowance_service final : public allowance_service {
 public:
  explicit local_allowance_service(process_context& process)
      : process_(process), timer_(process.loop) {}

  std::uint64_t acquire(const std::string& organisation, double tokens,
                        time_point deadline, acquired done) override {
    const std::uint64_t id = ++last_id_;
    local_bucket* mine = bucket_of(organisation);
    if (mine == nullptr) {
      answer(std::move(done), {true, true, duration::zero()});
      return id;
    }
    const time_point now = runtime_clock::now();
    const duration wait =
        tokens > mine->bucket.limit().burst_tokens
            ? duration::max()
            : mine->bucket.wait_for(tokens + mine->waiting_tokens, now);
    const bool never = wait == duration::max();
    if (never || now + wait > deadline) {
      answer(std::move(done), {false, false, never ? seconds(1) : wait});
      return id;
    }
    mine->waiting.push_back({id, tokens, deadline, std::move(done)});
    mine->waiting_tokens += tokens;
    serve();
    return id;
  }

  void abandon(std::uint64_t id) override {
    for (auto& [name, mine] : buckets_) {
      for (auto each = mine.waiting.begin(); each != mine.waiting.end();
           ++each) {
        if (each->id != id) continue;
        mine.waiting_tokens -= each->tokens;
        mine.waiting.erase(each);
        return;
      }
    }
  }

  void give_back(const std::string& organisation, double tokens) override {
    const auto found = buckets_.find(organisation);
    if (found == buckets_.end()) return;
    found->second.bucket.put_back(tokens, runtime_clock::now());
    serve();
  }

 private:
  // Nothing for an organisation without a rate: it is not limited.
  local_bucket* bucket_of(const std::string& name) {
    const auto* known = find_organisation(*process_.view.current(), name);
    if (known == nullptr || known->limit.tokens_per_second <= 0) {
      return nullptr;
    }
    const time_point now = runtime_clock::now();
    const auto made = buckets_.try_emplace(
        name,
        local_bucket{
            token_bucket(known->limit, known->limit.burst_tokens, now), {}, 0});
    local_bucket& mine = made.first->second;
    if (mine.bucket.limit() != known->limit) {
      mine.bucket.set_limit(known->limit, now);
    }
    return &mine;
  }

  void answer(acquired done, allowance_decision decision) {
    boost::asio::post(process_.loop,
                      [done = std::move(done), decision] { done(decision); });
  }

  // Answers all that can be and sets the timer for the next.
  void serve() {
    const time_point now = runtime_clock::now();
    std::optional<time_point> next;
    for (auto& [name, mine] : buckets_) {
      const duration wait = serve_one(mine, now);
      if (wait == duration::max()) continue;
      next = next ? std::min(*next, now + wait) : now + wait;
    }
    if (!next) return;
    timer_.expires_at(*next);
    timer_.async_wait([this](boost::system::error_code error) {
      if (!error) serve();
    });
  }

  // Returns the wait of the first that is left.
  duration serve_one(local_bucket& mine, time_point now) {
    while (!mine.waiting.empty()) {
      waiting_acquire& first = mine.waiting.front();
      const bool granted = mine.bucket.take(first.tokens, now);
      const bool late = now >= first.deadline;
      if (!granted && !late) {
        return mine.bucket.wait_for(first.tokens, now);
      }
      const duration wait =
          granted ? duration::zero() : mine.bucket.wait_for(first.tokens, now);
      mine.waiting_tokens -= first.tokens;
      answer(std::move(first.done), {granted, granted, wait});
      mine.waiting.pop_front();
    }
    return duration::max();
  }

  process_context& process_;
  runtime_timer timer_;
  std::map<std::string, local_bucket> buckets_;
  std::uint64_t last_id_ = 0;
};

}  // namespace

std::unique_ptr<allowance_service> make_allowance_service(
    process_context& process) {
  return std::make_unique<local_allowance_service>(process);
}

}  // namespace citronwharf
