/// Typed builders for operators' own programs. They print the document that
/// `citronwharf apply` takes, and check it by the daemon's own rules.
#ifndef CITRONWHARF_BUILDER_H_
#define CITRONWHARF_BUILDER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "citronwharf/configuration.h"

namespace citronwharf {

/// Builds an organisation. Each method returns the builder, so that calls
/// chain. Not thread-safe, as all builders.
/// Example: organisation_builder("importers").weight(2).limit(4000, 40000)
class organisation_builder {
 public:
  explicit organisation_builder(std::string name) {
    value_.name = std::move(name);
  }
  /// Share where the scarce thing is. Precondition: weight > 0.
  organisation_builder& weight(double weight) {
    value_.weight = weight;
    return *this;
  }
  /// Tokens a second over the whole fleet, and the burst in tokens.
  organisation_builder& limit(double tokens_per_second, double burst_tokens) {
    value_.limit = {tokens_per_second, burst_tokens};
    return *this;
  }
  const organisation& value() const { return value_; }

 private:
  organisation value_;
};

/// What routes of both kinds have. Use pools_route or plain_route.
template <typename Derived>
class route_builder {
 public:
  /// Lets callers without a key use the route.
  Derived& open_to_all() {
    value_.access = route_access::open;
    return self();
  }
  /// The class of its requests: commit, lookup or summary.
  Derived& service(service_class service) {
    value_.service = service;
    return self();
  }
  /// Its requests run at most once and are never sent again.
  Derived& not_idempotent() {
    value_.idempotent = false;
    return self();
  }
  /// HTTP methods that callers may use.
  Derived& methods(std::vector<std::string> methods) {
    value_.methods = std::move(methods);
    return self();
  }
  /// The longest life of a request.
  Derived& deadline(std::chrono::milliseconds deadline) {
    value_.deadline_ms = deadline.count();
    return self();
  }
  Derived& max_body_bytes(std::int64_t bytes) {
    value_.max_body_bytes = bytes;
    return self();
  }
  const route& value() const { return value_; }

 protected:
  explicit route_builder(std::string name, route_kind kind) {
    value_.name = std::move(name);
    value_.kind = kind;
  }
  route& edit() { return value_; }

 private:
  Derived& self() { return static_cast<Derived&>(*this); }
  route value_;
};

/// Builds a route that a prefill and a decode pool serve.
class pools_route : public route_builder<pools_route> {
 public:
  explicit pools_route(std::string name)
      : route_builder(std::move(name), route_kind::pools) {}
  pools_route& model(std::string model) {
    edit().model = std::move(model);
    return *this;
  }
  pools_route& pools(std::string prefill, std::string decode) {
    edit().prefill_pool = std::move(prefill);
    edit().decode_pool = std::move(decode);
    return *this;
  }
  /// Latency targets: to the first token, and between two tokens.
  pools_route& targets(std::chrono::milliseconds first_token,
                       std::chrono::milliseconds between_tokens) {
    edit().first_token_target_ms = first_token.count();
    edit().between_tokens_target_ms = between_tokens.count();
    return *this;
  }
  pools_route& max_output_tokens(std::int64_t tokens) {
    edit().max_output_tokens = tokens;
    return *this;
  }
};

/// Builds a route that a pool of plain services serves.
class plain_route : public route_builder<plain_route> {
 public:
  explicit plain_route(std::string name)
      : route_builder(std::move(name), route_kind::plain) {}
  plain_route& pool(std::string pool) {
    edit().plain_pool = std::move(pool);
    return *this;
  }
  /// What one call costs of the organisation's allowance.
  plain_route& cost(std::int64_t tokens) {
    edit().plain_cost_tokens = tokens;
    return *this;
  }
};

/// Builds an endpoint. Address is "ip:port" of its endpoint process.
/// Example: endpoint_builder("d1", "10.0.1.4:7002").decode("pool", "model")
class endpoint_builder {
 public:
  endpoint_builder(std::string name, std::string address) {
    value_.name = std::move(name);
    value_.address = std::move(address);
  }
  endpoint_builder& prefill(std::string pool, std::string model) {
    return serve(endpoint_role::prefill, std::move(pool), std::move(model));
  }
  endpoint_builder& decode(std::string pool, std::string model) {
    return serve(endpoint_role::decode, std::move(pool), std::move(model));
  }
  endpoint_builder& plain(std::string pool) {
    return serve(endpoint_role::plain, std::move(pool), "");
  }
  endpoint_builder& adapter(std::string adapter) {
    value_.adapter = std::move(adapter);
    return *this;
  }
  endpoint_builder& model_version(std::string version) {
    value_.model_version = std::move(version);
    return *this;
  }
  endpoint_builder& at(std::string region, std::string failure_domain) {
    value_.region = std::move(region);
    value_.failure_domain = std::move(failure_domain);
    return *this;
  }
  /// The engine itself refuses an order with an old fencing token.
  endpoint_builder& checks_fencing() {
    value_.checks_fencing = true;
    return *this;
  }
  const endpoint& value() const { return value_; }

 private:
  endpoint_builder& serve(endpoint_role role, std::string pool,
                          std::string model) {
    value_.role = role;
    value_.pool = std::move(pool);
    value_.model = std::move(model);
    return *this;
  }
  endpoint value_;
};

/// Builds a document. A whole one replaces all but the keys; a partial one
/// (`apply --partial`) changes what it names.
/// Example:
///   configuration_builder all;
///   all.add(organisation_builder("importers").limit(4000, 40000));
///   std::cout << all.document();
class configuration_builder {
 public:
  /// Names the version that the document builds on; else use --base.
  configuration_builder& based_on(std::uint64_t version);
  configuration_builder& add(const organisation_builder& in);
  template <typename Derived>
  configuration_builder& add(const route_builder<Derived>& in) {
    return add_route(in.value());
  }
  configuration_builder& add(const endpoint_builder& in);
  /// Adds an entry process; the address is "ip:port" for peers.
  configuration_builder& add_entry(std::string name, std::string address,
                                   std::string failure_domain);

  /// Returns the faults that the daemon would find in a whole document, as
  /// "pointer: message". Empty when there is none.
  std::vector<std::string> faults() const;
  /// Returns the document as JSON text.
  std::string document() const;

 private:
  configuration_builder& add_route(const route& in);

  bool based_ = false;
  configuration value_;
};

}  // namespace citronwharf

#endif  // CITRONWHARF_BUILDER_H_
