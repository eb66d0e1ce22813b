// Servers of a gateway process send bytes that are no answer, without end,
// until the gateway closes. Guards against a process that keeps them all: it
// would run out of memory, and the requests of other callers would end with it.
#include <fmt/format.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <fstream>
#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "gateway_fixture.h"

using namespace citronwharf::test;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

constexpr int status_ok = 200;
constexpr int callers_at_once = 150;
// Memory of a process on the smallest machines.
constexpr std::size_t max_memory_mb = 88;
constexpr std::size_t piece_bytes = 64U << 10U;
constexpr auto observed_time = seconds(3);

enum class answer_to { plain_request, generation, prefill, hold };

// What a server sends before its endless bytes, and these.
struct endless_answer {
  std::string name;
  answer_to to = answer_to::plain_request;
  std::string begin;
  std::string endless;
};

std::ostream& operator<<(std::ostream& out, const endless_answer& of) {
  return out << of.name;
}

const std::string stream_head =
    "HTTP/1.1 200 OK\r\nCitronwharf-Server-Stamp: s\r\n"
    "Content-Type: text/event-stream\r\n\r\n";
const std::string chunked_head =
    "HTTP/1.1 200 OK\r\nCitronwharf-Server-Stamp: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

const endless_answer answers[] = {
    {"blank_lines", answer_to::generation, stream_head, "\n"},
    {"comments", answer_to::generation, stream_head, ":k\n\n"},
    {"blank_lines_after_an_event", answer_to::generation,
     stream_head + event(1), "\n"},
    {"event_without_end", answer_to::generation, stream_head + "data: ", "x"},
    {"events", answer_to::generation, stream_head, "data: x\n\n"},
    {"error_of_a_stream", answer_to::generation, "HTTP/1.1 500 E\r\n\r\n", "x"},
    {"head_of_a_stream", answer_to::generation, "HTTP/1.1 200 OK\r\nA: ", "x"},
    {"fields_of_a_stream", answer_to::generation, "HTTP/1.1 200 OK\r\n",
     "A: x\r\n"},
    {"interim_answers", answer_to::plain_request, "",
     "HTTP/1.1 100 Continue\r\n\r\n"},
    {"head", answer_to::plain_request, "HTTP/1.1 200 OK\r\nA: ", "x"},
    {"status_line", answer_to::plain_request, "HTTP/1.1 200 ", "x"},
    {"body_without_length", answer_to::plain_request,
     "HTTP/1.1 200 OK\r\nCitronwharf-Server-Stamp: s\r\n\r\n", "x"},
    {"chunks", answer_to::plain_request, chunked_head, "1\r\nx\r\n"},
    {"chunk_extension", answer_to::plain_request, chunked_head + "1;", "x"},
    {"trailers", answer_to::plain_request, chunked_head + "1\r\nx\r\n0\r\n",
     "A: x\r\n"},
    {"after_the_answer", answer_to::plain_request,
     "HTTP/1.1 200 OK\r\nCitronwharf-Server-Stamp: s\r\n"
     "Content-Length: 1\r\n\r\nx",
     "x"},
    {"no_http", answer_to::plain_request, "", "x"},
    {"prefill", answer_to::prefill, "HTTP/1.1 200 OK\r\n\r\n", "x"},
    {"head_of_a_prefill", answer_to::prefill, "HTTP/1.1 200 OK\r\nA: ", "x"},
    {"hold", answer_to::hold, "HTTP/1.1 200 OK\r\n\r\n", "x"},
    {"head_of_a_hold", answer_to::hold, "HTTP/1.1 200 OK\r\nA: ", "x"},
};

std::string repeat(const std::string& text) {
  std::string out;
  while (out.size() < piece_bytes) {
    out += text;
  }
  return out;
}

// Sends `begin` and then `piece` until the connection is closed.
class pouring_server {
 public:
  pouring_server(boost::asio::io_context& loop, const endless_answer& of)
      : acceptor_(loop, {boost::asio::ip::tcp::v4(), 0}),
        grants_holds_(of.to != answer_to::hold),
        begin_(of.begin),
        piece_(repeat(of.endless)) {
    accept();
  }
  std::string address() const {
    return fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port());
  }

 private:
  struct connection {
    explicit connection(boost::asio::ip::tcp::socket socket)
        : socket(std::move(socket)) {}
    boost::asio::ip::tcp::socket socket;
    std::array<char, 16384> request{};
  };
  void accept() {
    acceptor_.async_accept([this](boost::system::error_code error,
                                  boost::asio::ip::tcp::socket socket) {
      if (error) {
        return;
      }
      read(std::make_shared<connection>(std::move(socket)));
      accept();
    });
  }
  void read(const std::shared_ptr<connection>& from) {
    from->socket.async_read_some(
        boost::asio::buffer(from->request),
        [this, from](boost::system::error_code error, std::size_t bytes) {
          if (error) {
            return;
          }
          const std::string request(from->request.data(), bytes);
          const bool hold = request.find("/-/") != std::string::npos;
          if (!hold || !grants_holds_) {
            pour(from, begin_.empty() ? piece_ : begin_);
            return;
          }
          static const std::string taken =
              "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"hold\":\"m1\"}";
          boost::asio::async_write(
              from->socket, boost::asio::buffer(taken),
              [this, from](boost::system::error_code failed, std::size_t) {
                if (!failed) {
                  read(from);
                }
              });
        });
  }
  void pour(const std::shared_ptr<connection>& to, const std::string& bytes) {
    boost::asio::async_write(
        to->socket, boost::asio::buffer(bytes),
        [this, to](boost::system::error_code error, std::size_t) {
          if (!error) {
            pour(to, piece_);
          }
        });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  bool grants_holds_;
  std::string begin_;
  std::string piece_;
};

std::string raw_request(bool stream, int number) {
  return fmt::format(
      "POST /{}/{} HTTP/1.1\r\nHost: a.example\r\n"
      "Authorization: Token k1\r\nCitronwharf-Request-Id: w{}\r\n"
      "Citronwharf-Deadline-Ms: {}\r\nCitronwharf-Token-Count: 100,80\r\n"
      "Content-Length: 0\r\n\r\n",
      stream ? (number % 2 == 0 ? "r" : "s") : "l", number, number,
      milliseconds(observed_time).count());
}

std::size_t resident_mb(pid_t process) {
  std::ifstream in(fmt::format("/proc/{}/statm", process));
  std::size_t pages = 0;
  in >> pages >> pages;
  constexpr std::size_t page_bytes = 4096;
  return pages * page_bytes >> 20U;
}

// A caller that doesn't read what it gets.
class waiting_caller {
 public:
  waiting_caller(boost::asio::io_context& loop, const std::string& address,
                 const std::string& request)
      : socket_(loop) {
    const auto port = std::stoi(address.substr(address.rfind(':') + 1));
    socket_.connect({boost::asio::ip::make_address("127.0.0.1"),
                     static_cast<std::uint16_t>(port)});
    boost::asio::write(socket_, boost::asio::buffer(request));
  }

 private:
  boost::asio::ip::tcp::socket socket_;
};

}  // namespace

BOOST_DATA_TEST_CASE_F(gateway_fixture, endless_bytes_take_bounded_memory,
                       boost::unit_test::data::make(answers), of) {
  engine_slots = callers_at_once;
  timeout_ms = static_cast<int>(milliseconds(observed_time).count());
  pouring_server faulty(loop, of);
  for (json& each : instances) {
    const std::string id = each["id"];
    const char kind = of.to == answer_to::plain_request ? 's'
                      : of.to == answer_to::prefill     ? 'p'
                                                        : 'd';
    if (id.front() == kind) {
      each["addr"] = faulty.address();
    }
  }
  BOOST_REQUIRE(publish(1).status == status_ok);
  wait_until_ready();
  std::vector<std::unique_ptr<waiting_caller>> waiting;
  waiting.reserve(callers_at_once);
  for (int i = 0; i < callers_at_once; ++i) {
    waiting.push_back(std::make_unique<waiting_caller>(
        loop, callers, raw_request(of.to != answer_to::plain_request, i)));
  }
  std::size_t peak = 0;
  const auto end = steady_clock::now() + observed_time;
  while (steady_clock::now() < end) {
    loop.restart();
    loop.run_one_for(milliseconds(20));
    peak = std::max(peak, resident_mb(gateway->pid()));
  }
  BOOST_TEST_MESSAGE(of.name << ": " << peak << " MB");
  BOOST_TEST(peak < max_memory_mb);
  // Other callers are still served.
  BOOST_TEST(call(readiness, {"GET", "/-/ready", {}, "", ""}).status ==
             status_ok);
}
