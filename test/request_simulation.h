// A stand-in for the endpoints around one request's life, under virtual time,
// with faults at numbered frames.
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
  drop,        // the frame is lost
  twice,       // the frame arrives twice, the second time late
  late,        // the frame arrives after later ones
  crossed,     // the frame carries another attempt's key
  cut,         // the session is lost with the frame, and comes back soon
  cut_long,    // as cut, but back after the resume window
  restart,     // the endpoint process restarts, the frame is lost
  refuse,      // the endpoint answers that nothing ran
  fail,        // the endpoint answers that the engine broke off
  freeze,      // nothing is heard of the endpoint from here on
  leave,       // the caller leaves
  withdraw,    // the key is withdrawn
  wrong_count  // the count of tokens is wrong
};
extern const std::vector<fault_kind> all_faults;

// A fault at the `nth` frame of a type, counted from 0.
struct fault {
  std::string type;
  int nth = 0;
  fault_kind kind = fault_kind::drop;
};
std::string describe(const std::vector<fault>& faults);

// What one run showed.
struct run_report {
  int finishes = 0;
  bool after_finish = false;  // an answer after the final one
  std::optional<problem> why;
  std::int32_t total = 0;
  std::vector<std::string> relayed;
  std::optional<plain_answer_action> answer;
  int prefills_run = 0;
  int generations = 0;  // decodes started in an engine, or plain calls run
  int sent_after_withdrawal = 0;  // runnable work
  int leaked = 0;                 // held when every lease has run out
  int held_after_end = 0;         // held soon after the end
  int swept_in_use = 0;  // freed by the lease while the life still wanted it
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
  struct node {
    std::uint64_t incarnation = 100;
    bool up = true;
    bool frozen = false;
    int epoch = 0;                                // of its session
    std::map<attempt_key, time_point> held;       // with the last claim
    std::set<attempt_key> seen;                   // work that was taken
    std::map<attempt_key, std::int32_t> streams;  // tokens generated so far
    std::map<attempt_key, std::int32_t> first;    // offset of the stream
    std::set<attempt_key> over;                   // streams that are whole
  };
  using step = std::function<void()>;

  run_report run(const std::function<request_actions()>& start);
  void at(duration in, step what);
  request_hooks hooks();
  void perform(const request_actions& actions);
  void send(const send_action& out);
  template <typename Message>
  void arrive(const std::string& from, const Message& message);
  int count_held() const;
  template <typename Message>
  void to_entry(const std::string& from, Message message, duration in);
  bool strike(const std::string& type, const std::string& node_name,
              fault_kind& out);
  void session_lost(const std::string& name, duration back, bool restart);
  void serve(const std::string& name, const endpoint_message& in,
             std::optional<fault_kind> struck);
  void serve_reserve(const std::string& name, const reserve_request& in,
                     std::optional<fault_kind> struck);
  void serve_prefill(const std::string& name, const prefill_request& in,
                     std::optional<fault_kind> struck);
  void serve_decode(const std::string& name, const decode_request& in,
                    std::optional<fault_kind> struck);
  void serve_resume(const std::string& name, const resume_request& in);
  void serve_plain(const std::string& name, const plain_request& in,
                   std::optional<fault_kind> struck);
  void generate(const std::string& name, const attempt_key& key);
  void claim_and_sweep();
  request_actions session_event(const std::string& name, std::uint64_t up);
  bool finished() const;
  std::vector<held_attempt> held() const;
  void caller_leaves();

  std::vector<fault> faults_;
  bool idempotent_;
  std::mt19937_64 random_;
  time_point now_{seconds(1000)};
  time_point deadline_;
  std::multimap<std::pair<time_point, std::uint64_t>, step> steps_;
  std::uint64_t order_ = 0;
  std::map<std::string, int> counts_;
  std::map<std::string, node> nodes_;
  std::map<std::string, time_point> exports_;
  std::optional<pools_state_machine> pools_;
  std::optional<plain_state_machine> plain_;
  duration token_time_ = milliseconds(20);
  bool withdrawn_ = false;
  run_report report_;
};

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_REQUEST_SIMULATION_H_
