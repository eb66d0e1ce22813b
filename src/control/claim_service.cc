#include "control/claim_service.h"

#include <chrono>
#include <utility>

#include "base/decode.h"
#include "entry/claims.h"

namespace citronwharf {

claim_service::claim_service(process_context& process, replica& log,
                             wall_clock now)
    : process_(process), log_(log), now_(std::move(now)) {
  peer_hub& peers = process_.peers;
  peers.on<claim_request>([this](const peer_id& from, const auto& in) {
    propose(from, in.id, to_command(claim_command{in, now_()}));
  });
  peers.on<claim_finish>([this](const peer_id& from, const auto& in) {
    propose(from, in.id, to_command(finish_command{in, now_()}));
  });
  peers.on_session([this](const peer_id& peer, bool up) {
    if (up) {
      send_hello(peer.name);
    }
  });
  process_.view.subscribe([this](const configuration& next) {
    for (const entry_member& member : next.entries) {
      send_hello(member.name);
    }
  });
}

// Sends to entries only; other processes do not handle this message.
void claim_service::send_hello(const std::string& entry) {
  const auto current = process_.view.current();
  for (const entry_member& member : current->entries) {
    if (member.name == entry) {
      process_.peers.send(entry, make_frame(claim_hello{log_.status().leader}))
          .IgnoreError();
    }
  }
}

void claim_service::propose(const peer_id& to, std::uint64_t id,
                            nlohmann::json command) {
  log_.propose(std::move(command),
               [this, to, id](const absl::StatusOr<proposal_result>& result) {
                 send_reply(to, id, result);
               });
}

void claim_service::send_reply(const peer_id& to, std::uint64_t id,
                               const absl::StatusOr<proposal_result>& result) {
  claim_reply out;
  if (result.ok()) {
    out = decode_value<claim_reply>(result->result).value_or(claim_reply{});
  } else if (absl::IsUnavailable(result.status())) {
    out.state = claim_state::not_leader;
    out.leader = log_.status().leader;
  }
  out.id = id;
  process_.peers.reply(to, make_frame(out)).IgnoreError();
}

claim_service::wall_clock system_wall_clock() {
  return [] {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  };
}

}  // namespace citronwharf
