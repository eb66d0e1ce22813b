#include "net/buffer_budget.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace citronwharf {
namespace {

struct ranked {
  int rank = 0;  // lowest first
  double cost = 0;
  std::uint64_t connection = 0;
};

std::vector<std::uint64_t> in_order(std::vector<ranked> in) {
  std::sort(in.begin(), in.end(), [](const ranked& lhs, const ranked& rhs) {
    return std::tie(lhs.rank, rhs.cost, lhs.connection) <
           std::tie(rhs.rank, lhs.cost, rhs.connection);
  });
  std::vector<std::uint64_t> out;
  out.reserve(in.size());
  for (const ranked& each : in) {
    out.push_back(each.connection);
  }
  return out;
}

}  // namespace

std::size_t buffer_budget::limit(std::size_t bytes) const {
  if (bytes <= options_.small_bytes) {
    return options_.max_bytes;
  }
  return options_.max_bytes -
         static_cast<std::size_t>(static_cast<double>(options_.max_bytes) *
                                  options_.reserve);
}

bool buffer_budget::stalled(const holder& of, time_point now) const {
  return (of.use == buffer_use::unread_request ||
          of.use == buffer_use::response) &&
         now - of.progress >= options_.stall_time;
}

// Returns the connections that may be ended for another one, those that cost
// most first: stalled ones, then, for a response, those still being received,
// then those without a request, then, for a small request, small ones, that
// which has been received for longest first.
std::vector<std::uint64_t> buffer_budget::candidates(std::uint64_t asking,
                                                     std::size_t bytes,
                                                     buffer_use use,
                                                     time_point now) const {
  std::vector<ranked> found;
  for (const auto& [connection, each] : holders_) {
    if (connection == asking || each.bytes == 0) {
      continue;
    }
    const double cost =
        static_cast<double>(each.bytes) *
        std::chrono::duration<double>(now - each.progress).count();
    if (stalled(each, now)) {
      found.push_back({0, cost, connection});
    } else if (each.use == buffer_use::unread_request &&
               use == buffer_use::response) {
      found.push_back({1, cost, connection});
    } else if (each.use == buffer_use::unused &&
               now - each.began >= options_.stall_time) {
      found.push_back({2, cost, connection});
    } else if (each.use == buffer_use::idle) {
      found.push_back({3, cost, connection});
    } else if ((each.use == buffer_use::unused ||
                each.use == buffer_use::unread_request) &&
               std::max(bytes, each.bytes) <= options_.small_bytes) {
      const duration open = now - each.began;
      found.push_back(
          {4, std::chrono::duration<double>(open).count(), connection});
    }
  }
  return in_order(std::move(found));
}

// The lowest rank is the most dispensable one.
std::optional<int> buffer_budget::dispensable_rank(const holder& of,
                                                   time_point now) const {
  if (of.use == buffer_use::unused) {
    return 0;
  }
  if (of.use == buffer_use::idle) {
    return 1;
  }
  return stalled(of, now) ? std::optional<int>(2) : std::nullopt;
}

bool buffer_budget::is_dispensable(std::uint64_t connection,
                                   time_point now) const {
  const auto known = holders_.find(connection);
  return known != holders_.end() &&
         dispensable_rank(known->second, now).has_value();
}

std::vector<std::uint64_t> buffer_budget::dispensable(time_point now) const {
  std::vector<ranked> found;
  for (const auto& [connection, each] : holders_) {
    if (const auto rank = dispensable_rank(each, now)) {
      const double waited =
          std::chrono::duration<double>(now - each.progress).count();
      found.push_back({*rank, waited, connection});
    }
  }
  return in_order(std::move(found));
}

buffer_budget::decision buffer_budget::hold(std::uint64_t connection,
                                            std::size_t bytes, buffer_use use,
                                            time_point now) {
  const auto known = holders_.find(connection);
  const bool is_new = known == holders_.end();
  const std::size_t before = is_new ? 0 : known->second.bytes;
  const std::size_t others = held_bytes_ - before;
  const std::size_t free_for =
      use == buffer_use::response ? options_.max_bytes : limit(bytes);
  decision out;
  out.granted =
      bytes <= before || (bytes <= free_for && others <= free_for - bytes);
  if (!out.granted && bytes <= free_for) {
    std::size_t missing = others - (free_for - bytes);
    for (const std::uint64_t each : candidates(connection, bytes, use, now)) {
      const std::size_t freed = holders_.at(each).bytes;
      out.ended.push_back(each);
      out.granted = freed >= missing;
      if (out.granted) {
        break;
      }
      missing -= freed;
    }
  }
  if (!out.granted) {
    return {};
  }
  for (const std::uint64_t each : out.ended) {
    release(each);
  }
  held_bytes_ = held_bytes_ - before + bytes;
  holder& of = holders_[connection];
  if (is_new || of.use != use) {
    of.began = now;
    of.progress = now;
  }
  of.bytes = bytes;
  of.use = use;
  return out;
}

void buffer_budget::progress(std::uint64_t connection, time_point now) {
  const auto known = holders_.find(connection);
  if (known != holders_.end()) {
    known->second.progress = now;
  }
}

void buffer_budget::release(std::uint64_t connection) {
  const auto known = holders_.find(connection);
  if (known != holders_.end()) {
    held_bytes_ -= known->second.bytes;
    holders_.erase(known);
  }
}

}  // namespace citronwharf
