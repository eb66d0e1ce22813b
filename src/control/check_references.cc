// Validates references between the items of a configuration and the members
// that each kind of item requires.
#include <fmt/format.h>

#include <map>
#include <set>
#include <utility>

#include "base/configuration_json.h"
#include "control/validate.h"

namespace citronwharf {
namespace {

using nlohmann::json;

// JSON pointers of the items in the operator's document.
class item_pointers {
 public:
  explicit item_pointers(const json& document) {
    for_each_list([&](const char* list, auto /*member*/) {
      if (document.contains(list)) {
        add_items(list, document.at(list));
      }
    });
    if (document.contains("remove")) {
      add_removals(document.at("remove"));
    }
  }

  // Returns the pointer of a member, or of its list if the document does not
  // contain the item.
  std::string member(const std::string& list, const std::string& item,
                     const std::string& name) const {
    const auto found = pointers_.find({list, item});
    return found == pointers_.end() ? "/" + list : found->second + "/" + name;
  }
  // Returns whether the document sets or removes the item.
  bool has(const std::string& list, const std::string& item) const {
    return pointers_.count({list, item}) != 0;
  }
  // Returns the pointer of an item, or of its list if the document does not
  // contain the item.
  std::string item(const std::string& list, const std::string& name) const {
    const auto found = pointers_.find({list, name});
    return found == pointers_.end() ? "/" + list : found->second;
  }

 private:
  void add_items(const std::string& list, const json& items) {
    for (std::size_t index = 0; index < items.size(); ++index) {
      const auto name = items[index].at(name_member(list)).get<std::string>();
      pointers_[{list, name}] = fmt::format("/{}/{}", list, index);
    }
  }
  void add_removals(const json& removed) {
    for (const auto& [list, names] : removed.items()) {
      for (std::size_t index = 0; index < names.size(); ++index) {
        pointers_[{list, names[index].get<std::string>()}] =
            fmt::format("/remove/{}/{}", list, index);
      }
    }
  }

  std::map<std::pair<std::string, std::string>, std::string> pointers_;
};

// Role and models of the endpoints in a pool.
struct pool_summary {
  endpoint_role role = endpoint_role::plain;
  std::set<std::string> models;
};

class reference_checker {
 public:
  reference_checker(const configuration& present, const configuration& next,
                    const json& document)
      : present_(present), next_(next), pointers_(document) {}

  std::vector<configuration_fault> run() {
    check_organisations();
    check_keys();
    check_endpoints();
    check_entries();
    check_routes();
    return std::move(faults_);
  }

 private:
  void add_fault(const std::string& list, const std::string& item,
                 const std::string& member, const std::string& message) {
    faults_.push_back({pointers_.member(list, item, member),
                       fmt::format("{}: {}", item, message)});
  }

  // Reports a dangling reference: at the referring member if the document
  // contains its item, else at the removal of the target.
  void add_dangling_reference(const std::string& list, const std::string& item,
                              const std::string& member,
                              const std::string& target_list,
                              const std::string& target) {
    const std::string pointer = pointers_.has(list, item)
                                    ? pointers_.member(list, item, member)
                                    : pointers_.item(target_list, target);
    faults_.push_back({pointer, fmt::format("{}: {} {} does not exist", item,
                                            member, target)});
  }

  void check_organisations() {
    for (const organisation& in : next_.organisations) {
      organisations_.insert(in.name);
      if (in.limit.tokens_per_second <= 0 || in.limit.burst_tokens <= 0) {
        add_fault("organisations", in.name, "limit",
                  "tokens_per_second and burst_tokens must be greater than 0");
      }
    }
  }

  void check_keys() {
    std::set<std::string> withdrawn;
    for (const api_key& key : present_.keys) {
      if (key.withdrawn) {
        withdrawn.insert(key.id);
      }
    }
    std::set<std::string> digests;
    for (const api_key& key : next_.keys) {
      if (organisations_.count(key.organisation) == 0) {
        add_dangling_reference("keys", key.id, "organisation", "organisations",
                               key.organisation);
      }
      if (key.digest.empty()) {
        add_fault("keys", key.id, "digest", "digest is required");
      } else if (!digests.insert(key.digest).second) {
        add_fault("keys", key.id, "digest",
                  "duplicate digest: another key has the same one");
      }
      if (!key.withdrawn && withdrawn.count(key.id) != 0) {
        add_fault("keys", key.id, "withdrawn",
                  "a withdrawn key cannot be reactivated");
      }
    }
  }

  void check_endpoints() {
    for (const endpoint& in : next_.endpoints) {
      check_process("endpoints", in.name, in.address);
      if (in.pool.empty()) {
        add_fault("endpoints", in.name, "pool", "pool is required");
        continue;
      }
      if ((in.role == endpoint_role::plain) != in.model.empty()) {
        add_fault(
            "endpoints", in.name, "model",
            "model is required for role prefill or decode and must be empty "
            "for role plain");
      }
      const auto [pool, added] = pools_.try_emplace(in.pool);
      if (added) {
        pool->second.role = in.role;
      } else if (pool->second.role != in.role) {
        add_fault("endpoints", in.name, "role",
                  fmt::format("pool {} has endpoints with a different role",
                              in.pool));
      }
      pool->second.models.insert(in.model);
    }
  }

  void check_entries() {
    for (const entry_member& in : next_.entries) {
      check_process("entries", in.name, in.address);
    }
  }

  void check_process(const std::string& list, const std::string& name,
                     const std::string& address) {
    if (!processes_.insert(name).second) {
      add_fault(list, name, "name",
                "duplicate name: another process has the same one");
    }
    if (address.empty()) {
      add_fault(list, name, "address", "address is required");
    } else if (!addresses_.insert(address).second) {
      add_fault(list, name, "address",
                "duplicate address: another process has the same one");
    }
  }

  void check_routes() {
    for (const route& in : next_.routes) {
      if (in.methods.empty()) {
        add_fault("routes", in.name, "methods",
                  "at least one method is required");
      }
      if (in.kind == route_kind::plain) {
        check_plain_route(in);
      } else {
        check_pools_route(in);
      }
    }
  }

  void check_plain_route(const route& in) {
    check_unused(in, "model", in.model);
    check_unused(in, "prefill_pool", in.prefill_pool);
    check_unused(in, "decode_pool", in.decode_pool);
    check_pool(in, "plain_pool", in.plain_pool, endpoint_role::plain);
  }

  void check_pools_route(const route& in) {
    if (in.model.empty()) {
      add_fault("routes", in.name, "model", "model is required");
    }
    check_unused(in, "plain_pool", in.plain_pool);
    check_pool(in, "prefill_pool", in.prefill_pool, endpoint_role::prefill);
    check_pool(in, "decode_pool", in.decode_pool, endpoint_role::decode);
  }

  void check_unused(const route& in, const std::string& member,
                    const std::string& value) {
    if (!value.empty()) {
      add_fault(
          "routes", in.name, member,
          fmt::format("{} must be empty for a route of this kind", member));
    }
  }

  void check_pool(const route& in, const std::string& member,
                  const std::string& name, endpoint_role role) {
    if (name.empty()) {
      add_fault("routes", in.name, member,
                fmt::format("{} is required", member));
      return;
    }
    const auto pool = pools_.find(name);
    if (pool == pools_.end()) {
      add_dangling_reference("routes", in.name, member, "endpoints", name);
      return;
    }
    if (pool->second.role != role) {
      add_fault(
          "routes", in.name, member,
          fmt::format("pool {} has endpoints with a different role", name));
    } else if (pool->second.models.count(in.model) == 0) {
      add_fault(
          "routes", in.name, member,
          fmt::format("pool {} has no endpoint with model {}", name, in.model));
    }
  }

  const configuration& present_;
  const configuration& next_;
  item_pointers pointers_;
  std::vector<configuration_fault> faults_;
  std::set<std::string> organisations_;
  std::set<std::string> processes_;
  std::set<std::string> addresses_;
  std::map<std::string, pool_summary> pools_;
};

}  // namespace

std::vector<configuration_fault> check_references(const configuration& present,
                                                  const configuration& next,
                                                  const json& document) {
  return reference_checker(present, next, document).run();
}

}  // namespace citronwharf
