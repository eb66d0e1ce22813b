// Routes of the soak test that every version of the configuration changes, so
// that they change while requests wait for their allowance or for memory.
#ifndef CITRONWHARF_TEST_SOAK_ROUTES_H_
#define CITRONWHARF_TEST_SOAK_ROUTES_H_

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <string>

namespace citronwharf::test {

constexpr const char* resumable_prefix = "/r/";
constexpr const char* moved_plain_prefix = "/m/";
constexpr const char* moved_stream_prefix = "/n/";
constexpr const char* moved_key = "Token k3";
// Engines of the routes that stay.
constexpr const char* steady_engine_service = "models";
constexpr int moved_service_count = 2;  // of each of the two routes

inline std::string moved_service(const std::string& prefix, int index) {
  return fmt::format("moved{}{}", prefix == moved_plain_prefix ? "-plain" : "",
                     index);
}

/// Adds the routes as they are in `version`: to the first service, the second,
/// both or none. Services without a route are left out.
inline void add_moved_routes(nlohmann::json& routes, nlohmann::json& services,
                             int version) {
  const int used = version % (1 << moved_service_count);  // a bit each
  if (used == 0) {
    return;
  }
  for (const std::string prefix : {moved_plain_prefix, moved_stream_prefix}) {
    const bool stream = prefix == moved_stream_prefix;
    nlohmann::json split = nlohmann::json::array();
    for (int index = 0; index < moved_service_count; ++index) {
      if ((used >> index) % 2 == 0) {
        continue;
      }
      const std::string name = moved_service(prefix, index);
      split.push_back({{"service", name}, {"weight", 1}});
      services.push_back({{"name", name}});
      if (stream) {
        // Memory for one generation, so that the others wait.
        services.back()["engine"] = {{"slots", 64},
                                     {"kvTokens", 2000},
                                     {"handleS", 0.5},
                                     {"holdMs", 2000}};
      }
    }
    routes.push_back({{"name", prefix},
                      {"host", "a.example"},
                      {"pathPrefix", prefix},
                      {"kind", stream ? "stream" : "unsafe"},
                      {"timeoutMs", 1200 + 200 * used},
                      {"goalMs", 500},
                      {"split", split},
                      {"attempts", 2},
                      {"gapTargetMs", 300}});
  }
}

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_SOAK_ROUTES_H_
