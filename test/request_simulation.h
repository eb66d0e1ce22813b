// Simulates the endpoints that one request uses, in virtual time. Faults are
// injected at the nth frame of a type.
#ifndef CITRONWHARF_TEST_REQUEST_SIMULATION_H_
#define CITRONWHARF_TEST_REQUEST_SIMULATION_H_

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "entry/plain_state_machine.h"
#include "entry/pools_state_machine.h"

namespace citronwharf::test {

enum class fault_kind {
  drop,           // the frame is lost
  deliver_twice,  // the frame arrives again after a delay
  deliver_late,   // the frame arrives after later frames
  wrong_attempt,  // a corrupt frame with another attempt's key arrives first
  session_loss,   // session and frame are lost; short outage
  long_session_loss,  // the same; outage exceeds the resume window
  restart,            // the endpoint restarts; the frame is lost
  refuse,             // the endpoint replies that nothing ran
  fail,               // the endpoint replies that the engine was lost
  freeze,             // the endpoint sends nothing from now on
  caller_disconnect,  // the caller disconnects
  withdraw_key,       // the caller's key is withdrawn
  wrong_count         // the total token count is wrong
};
extern const std::vector<fault_kind> all_faults;

// A fault at the nth frame of a type, counted from 0.
struct fault {
  std::string type;
  int nth = 0;
  fault_kind kind = fault_kind::drop;
};
std::string describe(const std::vector<fault>& faults);

// Observations of one run.
struct run_report {
  int finishes = 0;
  bool answered_after_finish = false;  // output after the final answer
  std::optional<problem> failure;
  std::int32_t total = 0;
  std::vector<std::string> relayed_tokens;
  std::optional<plain_answer_action> answer;
  int prefills_run = 0;
  int generations = 0;  // decodes started in an engine, or plain calls run
  int sent_after_withdrawal = 0;  // runnable work
  int leaked = 0;                 // still held after all leases expired
  int held_after_end = 0;         // still held after cleanup_time
  int expired_in_use = 0;         // lease expired while the request needed it
  time_point ended_at{};
  std::string trace;
};

class request_simulation {
 public:
  static constexpr std::int32_t max_tokens = 12;
  static const std::string prompt;

  request_simulation(std::vector<fault> faults, bool idempotent,
                     std::uint64_t seed);
  // Time between two generated tokens.
  void set_token_time(duration span) { token_time_ = span; }
  run_report run_pools();
  run_report run_plain();

 private:
  struct fake_endpoint {
    std::uint64_t incarnation = 100;
    bool up = true;
    bool frozen = false;
    int epoch = 0;                           // incremented by each session loss
    std::map<attempt_key, time_point> held;  // time of the last claim
    std::set<attempt_key> accepted_work;     // attempts that were accepted
    std::map<attempt_key, std::int32_t> streams;  // tokens generated so far
    std::map<attempt_key, std::int32_t>
        stream_offsets;                      // first offset of each stream
    std::set<attempt_key> finished_streams;  // streams that are complete
  };
  using step = std::function<void()>;

  run_report run(const std::function<request_actions()>& start);
  void schedule(duration delay, step callback);
  request_hooks hooks();
  void perform(const request_actions& actions);
  void send(const send_action& out);
  template <typename Message>
  void deliver(const std::string& from, const Message& message);
  int count_held() const;
  template <typename Message>
  void send_to_entry(const std::string& from, Message message, duration delay);
  bool apply_fault(const std::string& type, const std::string& endpoint,
                   fault_kind& out);
  void lose_session(const std::string& name, duration outage, bool restart);
  void serve(const std::string& name, const endpoint_message& in,
             std::optional<fault_kind> injected);
  void serve_reserve(const std::string& name, const reserve_request& in,
                     std::optional<fault_kind> injected);
  void serve_prefill(const std::string& name, const prefill_request& in,
                     std::optional<fault_kind> injected);
  void serve_decode(const std::string& name, const decode_request& in,
                    std::optional<fault_kind> injected);
  void serve_resume(const std::string& name, const resume_request& in);
  void serve_plain(const std::string& name, const plain_request& in,
                   std::optional<fault_kind> injected);
  void generate(const std::string& name, const attempt_key& key);
  void renew_and_expire_leases();
  request_actions session_event(const std::string& name, std::uint64_t up);
  bool finished() const;
  std::vector<held_attempt> held() const;
  void disconnect_caller();

  std::vector<fault> faults_;
  bool idempotent_;
  std::mt19937_64 random_;
  time_point now_{seconds(1000)};
  time_point deadline_;
  std::multimap<std::pair<time_point, std::uint64_t>, step> steps_;
  std::uint64_t step_count_ = 0;
  std::map<std::string, int> frame_counts_;
  std::map<std::string, fake_endpoint> endpoints_;
  std::map<std::string, time_point> exports_;
  std::optional<pools_state_machine> pools_;
  std::optional<plain_state_machine> plain_;
  duration token_time_ = milliseconds(20);
  bool withdrawn_ = false;
  run_report report_;
};

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_REQUEST_SIMULATION_H_
