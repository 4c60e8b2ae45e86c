#include "cell/command_gate.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "cell/testing/fake_loop.h"

namespace monsoonmux::cell {
namespace {

// Counts commands and never answers them.
class counted_commands final : public runner_port {
 public:
  void start(const start_command&, std::function<void(command_answer)>) override { ++this->starts; }
  void stop(const stop_command&, std::function<void(command_answer)>) override { ++this->stops; }
  void poll(const poll_request&, std::function<void(poll_answer)>) override { ++this->polls; }
  int starts = 0;
  int stops = 0;
  int polls = 0;
};

// The event log writes to one end, and the test reads from the other.
struct log_pipe {
  log_pipe() { REQUIRE(::pipe(this->ends) == 0); }
  ~log_pipe() {
    ::close(this->ends[0]);
    ::close(this->ends[1]);
  }
  log_pipe(const log_pipe&) = delete;
  log_pipe& operator=(const log_pipe&) = delete;

  int ends[2] = {};
};

struct gate_fixture {
  // Sends one command of each kind.
  void send_all() {
    this->gate.start({}, [this](const command_answer& a) { this->answers.push_back(a.status); });
    this->gate.stop({}, [this](const command_answer& a) { this->answers.push_back(a.status); });
    this->gate.poll({}, [this](const poll_answer& a) { this->answers.push_back(a.status); });
  }
  // How many lines of the log so far name the event.
  int logged(const std::string& event) {
    std::string bytes(1 << 16, '\0');
    this->events.write("end_of_test_read", {});
    const ssize_t size = ::read(this->pipe.ends[0], bytes.data(), bytes.size());
    this->text.append(bytes, 0, size > 0 ? static_cast<std::size_t>(size) : 0);
    int count = 0;
    for (auto at = this->text.find(event); at != std::string::npos;
         at = this->text.find(event, at + 1)) {
      ++count;
    }
    return count;
  }

  log_pipe pipe;
  std::string text;
  fake_loop loop;
  bool open = true;
  event_log events{pipe.ends[1], loop, "test"};
  metric_registry metrics;
  counted_commands sent;
  std::vector<command_status> answers;
  bool starts_allowed = true;
  command_gate gate{loop,
                    sent,
                    loop,
                    events,
                    metrics,
                    [this] { return this->open; },
                    [this] { return this->starts_allowed; }};
};

TEST_CASE("No start, stop or poll passes the gate after the end of the command window") {
  gate_fixture f;
  f.send_all();
  f.open = false;
  f.send_all();
  f.loop.run_for(millis{1});
  CHECK(f.sent.starts == 1);
  CHECK(f.sent.stops == 1);
  CHECK(f.sent.polls == 1);
  CHECK(f.answers == std::vector<command_status>(3, command_status::not_sent));
  CHECK(f.metrics.counts_of("commands_withheld")["commands_withheld"] == 3);
}

TEST_CASE("Only starts are withheld between the end of the start window and the command window") {
  gate_fixture f;
  f.starts_allowed = false;
  f.send_all();
  f.loop.run_for(millis{1});
  CHECK(f.sent.starts == 0);
  CHECK(f.sent.stops == 1);
  CHECK(f.sent.polls == 1);
  CHECK(f.answers == std::vector<command_status>{command_status::not_sent});
}

TEST_CASE("A withheld command is not answered from inside the call that sent it") {
  gate_fixture f;
  f.open = false;
  f.send_all();
  CHECK(f.answers.empty());
  f.loop.run_for(millis{1});
  CHECK(f.answers.size() == 3);
}

TEST_CASE("The end and the reopening of a command window are logged once each") {
  gate_fixture f;
  f.open = false;
  f.send_all();
  f.send_all();
  CHECK(f.logged("command_window_ended") == 1);
  CHECK(f.logged("command_window_reopened") == 0);
  f.open = true;
  f.send_all();
  f.send_all();
  CHECK(f.logged("command_window_ended") == 1);
  CHECK(f.logged("command_window_reopened") == 1);
  CHECK(f.text.find("\"withheld\":6") != std::string::npos);
  CHECK(f.sent.polls == 2);
}

}  // namespace
}  // namespace monsoonmux::cell
