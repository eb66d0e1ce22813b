#include "endpoint/platform_list.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>

#include "base/decode.h"

namespace citronwharf {

platform_source make_platform_file_source(std::string path) {
  return
      [path = std::move(path)]() -> absl::StatusOr<std::vector<platform_vm>> {
        std::ifstream in(path);
        if (!in) {
          return absl::NotFoundError(path);
        }
        const std::string text{std::istreambuf_iterator<char>(in), {}};
        const auto json = parse_json(text);
        if (!json.ok()) {
          return json.status();
        }
        return decode_value<std::vector<platform_vm>>(*json);
      };
}

bool lists_as_leaving(const std::vector<platform_vm>& list,
                      const std::string& name) {
  return std::any_of(list.begin(), list.end(), [&](const platform_vm& vm) {
    return vm.name == name && vm.leaving;
  });
}

}  // namespace citronwharf
