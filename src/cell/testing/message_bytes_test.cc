// Guards the encoding of messages between daemons and of agents' frames: daemons of
// two builds must understand each other. The expected bytes were written by the build
// of commit fa5b4ab.

#include <catch2/catch.hpp>

#include "base/testing/hex.h"
#include "cell/agent_message.h"
#include "cell/peer_message.h"

namespace monsoonmux::cell {
namespace {

std::vector<peer_body> all_bodies() {
  hello_message hello;
  hello.backlog_ms = 12;
  hello.domain = domain_id("zone-1");
  hello.relative_capacity = 0.75;
  hello.wall_ms = 1'700'000'000'123;

  advice_request_message question;
  question.request = 21;
  question.step = "job.0.1";
  question.expected_ms = 32;
  question.runners = {"runner-a", "runner-b"};

  advice_answer_message advice;
  advice.request = 22;
  advice.answered = true;
  advice.tickets = {{"runner-a", "ticket"}};

  leader_heartbeat_message heartbeat;
  heartbeat.leader_epoch = {31};
  heartbeat.standbys = {{"daemon-1", "daemon-2"}};
  heartbeat.standby_addresses = {{"127.0.0.1", 7'001}};
  heartbeat.standbys_unchanged = true;
  heartbeat.phases = {{job_id("job-1"), job_phase::completed}};
  heartbeat.peers = {{"daemon-3", "127.0.0.2", 7'002, domain_id("zone-2"), 0.5}};

  store_request_message store;
  store.request = 41;
  store.record_key = "key";
  store.record_value = "value";
  store.host = "host";
  store.path = "/path";
  store.caller_key = "secret";
  store.version = {42};

  store_answer_message stored;
  stored.request = 51;
  stored.stored = true;
  stored.code = error_code::overloaded;
  stored.detail = "detail";

  phase_request_message ask_phase;
  ask_phase.request = 61;
  ask_phase.job = job_id("job-2");

  phase_answer_message phase;
  phase.request = 62;
  phase.known = true;
  phase.phase = job_phase::failed;

  pending_request_message ask_pending;
  ask_pending.request = 71;
  ask_pending.queue = queue_id("queue-1");

  pending_answer_message pending;
  pending.request = 72;
  pending.pending = 73;
  return {hello,  question,  advice, heartbeat,   store,
          stored, ask_phase, phase,  ask_pending, pending};
}

const std::vector<std::string> body_bytes = {
    "03060000000000000073656e646572000000000c0000000000000006000000000000007a6f6e652d"
    "31000000000000e83f7b68e5cf8b010000",
    "03060000000000000073656e64657201000000150000000000000007000000000000006a6f622e30"
    "2e3120000000000000000200000000000000080000000000000072756e6e65722d61080000000000"
    "000072756e6e65722d62",
    "03060000000000000073656e64657202000000160000000000000001010000000000000008000000"
    "0000000072756e6e65722d6106000000000000007469636b6574",
    "03060000000000000073656e646572030000001f0000000000000000020000000000000008000000"
    "000000006461656d6f6e2d3108000000000000006461656d6f6e2d32010000000000000009000000"
    "000000003132372e302e302e31591b01010000000000000005000000000000006a6f622d31020100"
    "00000000000008000000000000006461656d6f6e2d3309000000000000003132372e302e302e325a"
    "1b06000000000000007a6f6e652d32000000000000e03f",
    "03060000000000000073656e64657204000000290000000000000003000000000000006b65790500"
    "00000000000076616c75650400000000000000686f737405000000000000002f7061746806000000"
    "000000007365637265742a00000000000000",
    "03060000000000000073656e64657205000000330000000000000001060000000600000000000000"
    "64657461696c",
    "03060000000000000073656e646572060000003d0000000000000005000000000000006a6f622d32",
    "03060000000000000073656e646572070000003e000000000000000103",
    "03060000000000000073656e64657208000000470000000000000007000000000000007175657565"
    "2d31",
    "03060000000000000073656e6465720900000048000000000000004900000000000000",
};

command_batch full_commands() {
  const command_target target{"127.0.0.1:9000", "instance", {81}};
  start_command start;
  start.target = target;
  start.task = "job.0.0.1";
  start.run = 3;
  start.payload = "payload";
  start.lease_until_ms = 82;
  start.checkpoint = "checkpoint";
  start.ticket = "ticket";
  stop_command stop;
  stop.target = target;
  stop.task = "job.0.0.2";
  stop.run = 4;
  poll_request poll;
  poll.target = target;
  poll.lease_until_ms = 83;
  poll.acked_up_to = 84;
  poll.wait = {85};
  command_batch out;
  out.execute_until = {86};
  out.commands = {{1, start}, {2, stop}, {3, poll}};
  return out;
}

answer_batch full_responses() {
  poll_answer held;
  held.status = command_status::done;
  held.report.incarnation = 91;
  held.report.clock_ms = 92;
  held.report.running = {{"job.0.0.1", 3, "checkpoint", 40}};
  held.report.finished = {{5, "job.0.0.2", 4, run_outcome::broken, "last"}};
  answer_batch out;
  out.agent_time = {93};
  out.answers = {{1, command_answer{command_status::no_ticket, 94}}, {3, held}};
  return out;
}

const std::string command_bytes =
    "01560000000000000003000000000000000100000000000000000000000e00000000000000313237"
    "2e302e302e313a393030300800000000000000696e7374616e636551000000000000000900000000"
    "0000006a6f622e302e302e310300000007000000000000007061796c6f616452000000000000000a"
    "00000000000000636865636b706f696e7406000000000000007469636b6574020000000000000001"
    "0000000e000000000000003132372e302e302e313a393030300800000000000000696e7374616e63"
    "65510000000000000009000000000000006a6f622e302e302e320400000003000000000000000200"
    "00000e000000000000003132372e302e302e313a393030300800000000000000696e7374616e6365"
    "510000000000000000530000000000000054000000000000005500000000000000";
const std::string answer_bytes =
    "015d00000000000000020000000000000001000000000000000000000005000000005e0000000000"
    "0000030000000000000001000000000000005b000000000000005c00000000000000010000000000"
    "000009000000000000006a6f622e302e302e31030000000a00000000000000636865636b706f696e"
    "74280000000100000000000000050000000000000009000000000000006a6f622e302e302e320400"
    "00000400000004000000000000006c617374";

TEST_CASE("Messages between daemons have the bytes that format 3 wrote") {
  const std::vector<peer_body> bodies = all_bodies();
  REQUIRE(bodies.size() == std::variant_size_v<peer_body>);
  REQUIRE(body_bytes.size() == bodies.size());
  for (std::size_t i = 0; i < bodies.size(); ++i) {
    INFO("alternative " << i);
    CHECK(bodies[i].index() == i);
    CHECK(to_hex(encode(peer_message{"sender", bodies[i]})) == body_bytes[i]);
    const auto read = decode_peer_message(from_hex(body_bytes[i]));
    REQUIRE(read.has_value());
    CHECK(read->sender == "sender");
    CHECK(read->body.index() == i);
    CHECK(to_hex(encode(*read)) == body_bytes[i]);
  }
}

TEST_CASE("Orders to an agent have the bytes that format 1 wrote") {
  CHECK(to_hex(encode(full_commands())) == command_bytes);
  const auto read = decode_commands(from_hex(command_bytes));
  REQUIRE(read.has_value());
  CHECK(read->execute_until == instant{86});
  REQUIRE(read->commands.size() == 3);
  const auto& poll = std::get<poll_request>(read->commands[2].command);
  CHECK(poll.lease_until_ms == 83);
  CHECK(poll.acked_up_to == 84);
  CHECK(poll.wait == millis{85});
  CHECK(to_hex(encode(*read)) == command_bytes);
}

TEST_CASE("Answers of an agent have the bytes that format 1 wrote") {
  CHECK(to_hex(encode(full_responses())) == answer_bytes);
  const auto read = decode_answers(from_hex(answer_bytes));
  REQUIRE(read.has_value());
  CHECK(read->agent_time == instant{93});
  REQUIRE(read->answers.size() == 2);
  CHECK(std::get<command_answer>(read->answers[0].answer).clock_ms == 94);
  const auto& report = std::get<poll_answer>(read->answers[1].answer).report;
  CHECK(report.incarnation == 91);
  CHECK(report.running.at(0).percent == 40);
  CHECK(report.finished.at(0).how == run_outcome::broken);
  CHECK(to_hex(encode(*read)) == answer_bytes);
}

// The numbers of enumerators that are sent; a new one goes to the end.
TEST_CASE("Enumerators that are sent keep their numbers") {
  CHECK(static_cast<int>(command_status::done) == 0);
  CHECK(static_cast<int>(command_status::fenced) == 1);
  CHECK(static_cast<int>(command_status::stale_run) == 2);
  CHECK(static_cast<int>(command_status::lease_expired) == 3);
  CHECK(static_cast<int>(command_status::no_capacity) == 4);
  CHECK(static_cast<int>(command_status::no_ticket) == 5);
  CHECK(static_cast<int>(command_status::refused) == 6);
  CHECK(static_cast<int>(command_status::other_instance) == 7);
  CHECK(static_cast<int>(command_status::not_sent) == 8);
  CHECK(static_cast<int>(command_status::unknown) == 9);
  CHECK(static_cast<int>(run_outcome::done) == 0);
  CHECK(static_cast<int>(run_outcome::failed) == 1);
  CHECK(static_cast<int>(run_outcome::stopped) == 2);
  CHECK(static_cast<int>(run_outcome::lapsed) == 3);
  CHECK(static_cast<int>(run_outcome::broken) == 4);
  CHECK(static_cast<int>(run_outcome::alone) == 5);
  CHECK(static_cast<int>(run_outcome::lost) == 6);
  CHECK(static_cast<int>(job_phase::queued) == 0);
  CHECK(static_cast<int>(job_phase::cancelled) == 4);
  CHECK(static_cast<int>(error_code::bad_request) == 0);
  CHECK(static_cast<int>(error_code::unauthorized) == 1);
  CHECK(static_cast<int>(error_code::forbidden) == 2);
  CHECK(static_cast<int>(error_code::not_found) == 3);
  CHECK(static_cast<int>(error_code::conflict) == 4);
  CHECK(static_cast<int>(error_code::too_large) == 5);
  CHECK(static_cast<int>(error_code::overloaded) == 6);
  CHECK(static_cast<int>(error_code::deadline_exceeded) == 7);
  CHECK(static_cast<int>(error_code::unavailable) == 8);
  CHECK(static_cast<int>(error_code::refused) == 9);
  CHECK(static_cast<int>(error_code::shutting_down) == 14);
}

}  // namespace
}  // namespace monsoonmux::cell
