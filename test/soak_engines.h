// Engines of the soak test, with faults that are switched on and off.
#ifndef CITRONWHARF_TEST_SOAK_ENGINES_H_
#define CITRONWHARF_TEST_SOAK_ENGINES_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "raw_server.h"
#include "soak_generations.h"

namespace citronwharf::test {

enum class engine_fault {
  refuses_holds,
  answers_late,    // holds and prefills, in two parts
  refuses_runs,    // 503 and Not-Run
  breaks_streams,  // in the middle of an event
  goes_silent,
  repeats_answers,
};
constexpr int engine_fault_count = 6;

inline const char* to_text(engine_fault in) {
  static constexpr const char* names[engine_fault_count] = {
      "refuses holds",  "answers late", "refuses runs",
      "breaks streams", "goes silent",  "repeats answers"};
  return names[static_cast<int>(in)];
}

/// A prefill or decode engine. An active fault affects half of the requests.
class soak_engine {
 public:
  soak_engine(boost::asio::io_context& loop, std::string id,
              std::string service, bool prefills, generation_book& book,
              std::mt19937_64& random)
      : loop_(loop),
        id_(std::move(id)),
        service_(std::move(service)),
        prefills_(prefills),
        book_(book),
        random_(random),
        server_(loop,
                [this](const std::string& request, const connection& from) {
                  handle(request, from);
                }) {}

  /// Returns the directory's entry.
  nlohmann::json entry() const {
    return {{"id", id_},
            {"service", service_},
            {"zone", "z1"},
            {"version", version()},
            {"addr", server_.address()},
            {"slots", 64},
            {"stage", prefills_ ? "prefill" : "decode"},
            {"state", "ready"}};
  }
  const std::string& id() const { return id_; }
  /// Engines with odd and even numbers have different software.
  std::string version() const { return id_.back() % 2 == 0 ? "v2" : "v1"; }

  /// Returns whether the fault is now active.
  bool toggle(engine_fault in) {
    const bool started = faults_.insert(in).second;
    if (!started) {
      faults_.erase(in);
    }
    return started;
  }
  void clear_faults() { faults_.clear(); }

 private:
  using connection = std::shared_ptr<raw_connection>;
  using milliseconds = std::chrono::milliseconds;

  struct stream {
    std::string request;
    connection caller;
    int run = 0;
    int next_event = 1;
    bool chunked = true;
    int breaks_in = 0;      // event, 0: never
    int silent_before = 0;  // event, 0: never
  };

  bool affected_by(engine_fault in) {
    return faults_.count(in) > 0 && random_below(random_, 2) == 0;
  }

  void handle(const std::string& request, const connection& from) {
    write_repeat(from);
    const std::string id = raw_header(request, "Citronwharf-Request-Id");
    if (id.empty()) {
      answer_auxiliary(request, from);
      return;
    }
    book_.reach(id, service_ != steady_engine_service);
    const bool prefill = raw_header(request, "Citronwharf-Stage") == "prefill";
    if (raw_header(request, "Citronwharf-Expect-Instance") != id_ ||
        prefill != prefills_) {
      refuse(421, id, from);
    } else if (affected_by(engine_fault::refuses_runs)) {
      refuse(503, id, from);
    } else if (prefill) {
      answer_prefill(id, from);
    } else {
      run(id, request, from);
    }
  }

  void answer_auxiliary(const std::string& request, const connection& from) {
    if (request.find("/-/hold-take") != std::string::npos) {
      if (affected_by(engine_fault::goes_silent)) {
        return;
      }
      const bool refused = affected_by(engine_fault::refuses_holds);
      respond(from,
              refused ? raw_reply("", "{}", 503)
                      : raw_reply("", R"({"hold":"m1"})"),
              hold_timeouts_ms_);
    } else if (request.rfind("DELETE ", 0) == 0) {
      from->write(raw_reply("", "{}"));
    } else {
      // No reports, so that no stage is switched.
      from->write(raw_reply("", "", 404));
    }
  }

  void answer_prefill(const std::string& id, const connection& from) {
    book_.note(id, "is read by " + id_);
    if (affected_by(engine_fault::goes_silent)) {
      return;
    }
    if (affected_by(engine_fault::breaks_streams)) {
      break_off(from);
      return;
    }
    const std::string answer = raw_reply(
        request_id_line(id), R"({"handle":"h1","tokens":1000,"version":1})");
    respond(from, answer, prefill_timeouts_ms_);
  }

  void refuse(int status, const std::string& id, const connection& from) {
    book_.note(id, fmt::format("is refused by {}, {}", id_, status));
    const std::string answer = raw_reply(
        request_id_line(id) + "Citronwharf-Not-Run: 1\r\n", "", status);
    from->write(answer);
    repeat_late(answer, from);
  }

  // Writes a response; if the engine answers late, its body around the timeout
  // of the call and its head some time before.
  void respond(const connection& to, const std::string& answer,
               const std::vector<int>& timeouts_ms) {
    if (!affected_by(engine_fault::answers_late)) {
      to->write(answer);
      return;
    }
    const auto body_at = answer.find("\r\n\r\n") + 4;
    const milliseconds span = random_time_around(random_, timeouts_ms);
    const milliseconds head_span(
        random_below(random_, static_cast<int>(span.count())));
    call_after(loop_, head_span,
               [to, part = answer.substr(0, body_at)] { to->write(part); });
    call_after(loop_, span,
               [to, part = answer.substr(body_at)] { to->write(part); });
  }

  // Sends the response once more, where the next one is expected or while the
  // connection is idle. It names the request that it belongs to.
  void repeat_late(const std::string& answer, const connection& to) {
    if (!affected_by(engine_fault::repeats_answers)) {
      return;
    }
    repeats_[to] = answer;
    call_after(loop_, milliseconds(random_below(random_, 60)),
               [this, to] { write_repeat(to); });
  }

  void write_repeat(const connection& to) {
    const auto found = repeats_.find(to);
    if (found != repeats_.end()) {
      to->write(found->second);
      repeats_.erase(found);
    }
  }

  void run(const std::string& id, const std::string& request,
           const connection& from) {
    const std::string last_event = raw_header(request, "Last-Event-Id");
    const auto out = std::make_shared<stream>();
    out->request = id;
    out->caller = from;
    out->next_event = last_event.empty() ? 1 : std::stoi(last_event) + 1;
    out->run = book_.begin_run(id, id_, version(), out->next_event);
    out->chunked = random_below(random_, 4) != 0;
    if (affected_by(engine_fault::breaks_streams)) {
      out->breaks_in = 1 + random_below(random_, stream_events);
    }
    if (affected_by(engine_fault::goes_silent)) {
      out->silent_before = 1 + random_below(random_, stream_events + 1);
    }
    if (out->breaks_in == 1 && random_below(random_, 2) == 0) {
      break_off(from);  // before the head
      return;
    }
    from->write(
        fmt::format("HTTP/1.1 200 -\r\nCitronwharf-Server-Stamp: s\r\n{}"
                    "Content-Type: text/event-stream\r\n{}\r\n",
                    request_id_line(id),
                    out->chunked ? "Transfer-Encoding: chunked\r\n"
                                 : "Connection: close\r\n"));
    write_next_event(out);
  }

  void write_next_event(const std::shared_ptr<stream>& to) {
    const int id = to->next_event;
    if (id == to->silent_before) {
      book_.note(to->request, id_ + " goes silent");
      return;
    }
    if (id > stream_events) {
      finish(*to);
      return;
    }
    const std::string event = soak_event(id, to->request, to->run);
    if (id == to->breaks_in) {
      book_.note(to->request, fmt::format("{} breaks off in {}", id_, id));
      const std::string part = event.substr(
          0, 1 + random_below(random_, static_cast<int>(event.size()) - 1));
      to->caller->write(to->chunked ? chunk(part) : part);
      break_off(to->caller);
      return;
    }
    to->caller->write(to->chunked ? chunk(event) : event);
    ++to->next_event;
    // Mostly steady, now and then a pause.
    const int pause_ms = random_below(random_, 8) == 0 ? 400 : 40;
    call_after(loop_, milliseconds(random_below(random_, pause_ms)),
               [this, to] { write_next_event(to); });
  }

  void finish(stream& in) {
    if (!in.chunked) {
      in.caller->close();
      return;
    }
    in.caller->write("0\r\n\r\n");
    repeat_late(raw_reply(request_id_line(in.request), ""), in.caller);
  }

  void break_off(const connection& from) {
    if (random_below(random_, 2) == 0) {
      from->close();
    } else {
      from->reset();
    }
  }

  static std::string request_id_line(const std::string& id) {
    return fmt::format("Citronwharf-Request-Id: {}\r\n", id);
  }
  static std::string chunk(const std::string& bytes) {
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
  }

  // Timeouts of gateways that pass while they wait for a response.
  const std::vector<int> hold_timeouts_ms_{80, 150, 200};
  const std::vector<int> prefill_timeouts_ms_{200, 450};
  boost::asio::io_context& loop_;
  std::string id_;
  std::string service_;
  bool prefills_;
  generation_book& book_;
  std::mt19937_64& random_;
  std::set<engine_fault> faults_;
  std::map<connection, std::string> repeats_;  // not sent yet
  raw_server server_;
};

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_SOAK_ENGINES_H_
