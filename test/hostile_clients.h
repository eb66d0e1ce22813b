// Clients that send more than the limits allow or never finish, and the memory
// and descriptors that a process uses meanwhile.
#ifndef CITRONWHARF_TEST_HOSTILE_CLIENTS_H_
#define CITRONWHARF_TEST_HOSTILE_CLIENTS_H_

#include <fmt/format.h>
#include <sys/types.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "net/address.h"

namespace citronwharf::test {

// What a client sends: `first`, then `part` again and again up to `bytes`.
struct client_input {
  std::string first;
  std::string part = std::string(16U << 10U, 'x');
  std::size_t bytes = 0;  // of parts
  bool reads = true;
  duration pause{};    // between parts
  std::string last{};  // after the parts
  duration stagger{};  // between the starts of two clients
};

using boost::asio::ip::tcp;
using boost::system::error_code;

// Sends its input and then stays connected. Ends when the gateway closes.
// Pending handlers keep it alive.
class hostile_client : public std::enable_shared_from_this<hostile_client> {
 public:
  hostile_client(boost::asio::io_context& loop, client_input input)
      : input_(std::move(input)), socket_(loop), pause_(loop) {}
  void start(const std::string& address, duration after) {
    pause_.expires_after(after);
    pause_.async_wait(
        [this, self = shared_from_this(), address](error_code error) {
          if (!error) {
            connect(address);
          }
        });
  }
  void connect(const std::string& address) {
    socket_.async_connect(*parse_address(address),
                          [this, self = shared_from_this()](error_code error) {
                            if (error) {
                              ended_ = true;
                              return;
                            }
                            if (input_.reads) {
                              read();
                            }
                            write(input_.first);
                          });
  }
  void close() {
    error_code ignored;
    socket_.close(ignored);
    pause_.cancel();
  }
  bool ended() const { return ended_; }
  bool all_sent() const { return sent_all_; }

 private:
  void write(const std::string& bytes) {
    boost::asio::async_write(socket_, boost::asio::buffer(bytes),
                             [this, self = shared_from_this()](
                                 error_code error, std::size_t /*size*/) {
                               if (error) {
                                 ended_ = true;
                                 return;
                               }
                               write_part();
                             });
  }
  void write_part() {
    if (input_.bytes == 0) {
      sent_all_ = input_.last.empty();
      if (!sent_all_) {
        input_.first = std::move(input_.last);
        input_.last.clear();
        write(input_.first);
      }
      return;
    }
    if (input_.part.size() > input_.bytes) {
      input_.part.resize(input_.bytes);
    }
    input_.bytes -= input_.part.size();
    if (input_.pause == duration{}) {
      write(input_.part);
      return;
    }
    pause_.expires_after(input_.pause);
    pause_.async_wait([this, self = shared_from_this()](error_code /*error*/) {
      write(input_.part);
    });
  }
  void read() {
    socket_.async_read_some(boost::asio::buffer(buffer_),
                            [this, self = shared_from_this()](
                                error_code error, std::size_t /*size*/) {
                              if (error) {
                                ended_ = true;
                              } else {
                                read();
                              }
                            });
  }

  client_input input_;
  tcp::socket socket_;
  boost::asio::steady_timer pause_;
  std::array<char, 4096> buffer_{};
  bool ended_ = false;
  bool sent_all_ = false;
};

// Clients that all send the same. Closes them on destruction.
class crowd {
 public:
  crowd(boost::asio::io_context& loop, std::string address, std::size_t count,
        client_input input)
      : loop_(loop), address_(std::move(address)), input_(std::move(input)) {
    for (std::size_t i = 0; i < count; ++i) {
      clients_.push_back(start(input_.stagger * i));
    }
  }
  ~crowd() {
    for (const auto& each : clients_) {
      each->close();
    }
  }
  crowd(const crowd&) = delete;
  crowd& operator=(const crowd&) = delete;

  // Lets a new client come for each one that has ended. Returns their number.
  std::size_t replace_ended() {
    std::size_t replaced = 0;
    for (auto& each : clients_) {
      if (each->ended()) {
        each->close();
        each = start({});
        ++replaced;
      }
    }
    return replaced;
  }

  const std::vector<std::shared_ptr<hostile_client>>& clients() const {
    return clients_;
  }

 private:
  std::shared_ptr<hostile_client> start(duration after) {
    auto out = std::make_shared<hostile_client>(loop_, input_);
    out->start(address_, after);
    return out;
  }

  boost::asio::io_context& loop_;
  std::string address_;
  client_input input_;
  std::vector<std::shared_ptr<hostile_client>> clients_;
};

/// Returns a figure in KB of the memory of a process, -1 if there is none.
/// Example: memory_kb(pid, "VmHWM:")
inline long memory_kb(pid_t process, const std::string& name) {
  std::ifstream status(fmt::format("/proc/{}/status", process));
  for (std::string line; std::getline(status, line);) {
    if (line.rfind(name, 0) == 0) {
      return std::stol(line.substr(name.size() + 1));
    }
  }
  return -1;
}

/// Returns the number of descriptors that a process has open.
inline std::size_t open_descriptors(pid_t process) {
  const std::filesystem::directory_iterator open(
      fmt::format("/proc/{}/fd", process));
  return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

}  // namespace citronwharf::test

#endif  // CITRONWHARF_TEST_HOSTILE_CLIENTS_H_
