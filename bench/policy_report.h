/// Reports of bench_policy: measures, JSON lines, a table and an SVG plot.
#ifndef CITRONWHARF_BENCH_POLICY_REPORT_H_
#define CITRONWHARF_BENCH_POLICY_REPORT_H_

#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "policy_model.h"

namespace citronwharf::bench {

/// One line of the report: a variant at a load, over some seeds.
struct report_line {
  std::string size;
  std::string name;
  double load = 0;
  bool flood = false;
  bool faults = false;
  double goodput = 0;  ///< requests a second within both targets
  double wasted = 0;   ///< share of prefilled tokens
  double worst = 0;    ///< worst-served organisation: good over fair share
  double refused_within = 0;  ///< share, of organisations within their rate
  double late = 0;            ///< share of what was offered
  double failed = 0;
};

/// Returns the goodput of the worst-served organisation over its max-min fair
/// share, by weight, of the goodput of all.
inline double worst_share(const std::vector<organisation_result>& all) {
  double left = 0;
  for (const auto& each : all) left += each.good;
  std::vector<double> fair(all.size(), 0);
  std::vector<bool> met(all.size(), false);
  for (std::size_t round = 0; round < all.size(); ++round) {
    double weights = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
      if (!met[i]) weights += all[i].weight;
    }
    bool any = false;
    for (std::size_t i = 0; i < all.size(); ++i) {
      if (met[i] || all[i].offered > left * all[i].weight / weights) continue;
      met[i] = any = true;
      fair[i] = all[i].offered;
    }
    double taken = 0;
    for (std::size_t i = 0; i < all.size(); ++i) taken += met[i] ? fair[i] : 0;
    double good = 0;
    for (const auto& each : all) good += each.good;
    left = good - taken;
    if (any) continue;
    for (std::size_t i = 0; i < all.size(); ++i) {
      if (!met[i]) fair[i] = left * all[i].weight / weights;
    }
    break;
  }
  double worst = 1;
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (fair[i] > 0) worst = std::min(worst, all[i].good / fair[i]);
  }
  return worst;
}

inline report_line summarise(const variant& way, const scenario& what,
                             const std::vector<result>& runs) {
  report_line line;
  line.size = what.size.name;
  line.name = way.name;
  line.load = what.load;
  line.flood = what.flood;
  line.faults = what.faults;
  double span = 0;
  double good = 0;
  double offered = 0;
  double prefilled = 0;
  double wasted = 0;
  double within = 0;
  double refused = 0;
  for (const result& each : runs) {
    span += each.seconds;
    good += each.good;
    offered += each.offered;
    prefilled += each.prefilled;
    wasted += each.wasted;
    line.late += each.late;
    line.failed += each.failed;
    line.worst += worst_share(each.organisations) / double(runs.size());
    for (std::size_t i = 0; i < each.organisations.size(); ++i) {
      if (what.flood && i + 1 == each.organisations.size()) continue;
      within += each.organisations[i].offered;
      refused += each.organisations[i].refused;
    }
  }
  line.goodput = good / span;
  line.wasted = prefilled > 0 ? wasted / prefilled : 0;
  line.refused_within = refused / within;
  line.late /= offered;
  line.failed /= offered;
  return line;
}

inline void print_json(const report_line& line) {
  const nlohmann::json out = {{"deployment", line.size},
                              {"policy", line.name},
                              {"load", line.load},
                              {"flood", line.flood},
                              {"faults", line.faults},
                              {"goodput_per_s", line.goodput},
                              {"wasted_prefill", line.wasted},
                              {"worst_share", line.worst},
                              {"refused_within_rate", line.refused_within},
                              {"late", line.late},
                              {"failed", line.failed}};
  std::printf("%s\n", out.dump().c_str());
}

inline void print_table(const std::vector<report_line>& lines) {
  std::printf(
      "\n| deployment | policy | load | goodput/s | wasted %% | worst share | "
      "refused %% | late %% | failed %% "
      "|\n|---|---|---|---|---|---|---|---|---|"
      "\n");
  for (const report_line& each : lines) {
    const std::string load =
        fmt::format("{}{}{}", each.load, each.flood ? " flood" : "",
                    each.faults ? " faults" : "");
    fmt::print(
        "| {} | {} | {} | {:.1f} | {:.2f} | {:.3f} | {:.2f} | {:.2f} | "
        "{:.2f} |\n",
        each.size, each.name, load, each.goodput, each.wasted * 100, each.worst,
        each.refused_within * 100, each.late * 100, each.failed * 100);
  }
}

/// Writes goodput over load for each policy of one deployment, faults and
/// flood aside.
inline void write_plot(const std::string& path, const std::string& size,
                       const std::vector<report_line>& lines) {
  constexpr double width = 640;
  constexpr double height = 400;
  constexpr double margin = 50;
  std::map<std::string, std::vector<report_line>> curves;
  double most = 1;
  for (const report_line& each : lines) {
    if (each.size != size || each.flood || each.faults) continue;
    curves[each.name].push_back(each);
    most = std::max(most, each.goodput);
  }
  const auto x = [&](double load) {
    return margin + load / 3 * (width - 2 * margin - 120);
  };
  const auto y = [&](double goodput) {
    return height - margin - goodput / most * (height - 2 * margin);
  };
  std::string out = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {} {}\" "
      "font-family=\"sans-serif\" font-size=\"11\">\n"
      "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
      "<text x=\"{}\" y=\"20\">{}: goodput (requests/s) over load (times "
      "capacity)</text>\n",
      width, height, margin, size);
  for (const double load : {0.0, 0.5, 1.0, 1.5, 2.0, 3.0}) {
    out += fmt::format("<text x=\"{:.0f}\" y=\"{}\">{}</text>\n", x(load),
                       height - margin + 16, load);
  }
  for (const double part : {0.0, 0.5, 1.0}) {
    out += fmt::format("<text x=\"8\" y=\"{:.0f}\">{:.0f}</text>\n",
                       y(part * most), part * most);
  }
  int number = 0;
  for (const auto& [name, curve] : curves) {
    const std::string colour =
        fmt::format("hsl({},70%,42%)", number * 360 / int(curves.size()));
    std::string points;
    for (const report_line& each : curve) {
      points += fmt::format("{:.1f},{:.1f} ", x(each.load), y(each.goodput));
    }
    out += fmt::format(
        "<polyline fill=\"none\" stroke=\"{0}\" stroke-width=\"1.5\" "
        "points=\"{1}\"/>\n<text x=\"{2}\" y=\"{3}\" fill=\"{0}\">{4}</text>\n",
        colour, points, width - margin - 110, margin + 16 * number, name);
    ++number;
  }
  out += "</svg>\n";
  if (std::FILE* file = std::fopen(path.c_str(), "w")) {
    std::fputs(out.c_str(), file);
    std::fclose(file);
  }
}

}  // namespace citronwharf::bench

#endif  // CITRONWHARF_BENCH_POLICY_REPORT_H_
