#include "cell/peer_request_handler.h"

#include <catch2/catch.hpp>
#include <vector>

#include "cell/testing/fake_cell.h"
#include "cell/testing/recorded_log.h"

namespace monsoonmux::cell {
namespace {

// Records the answers to requests to store a record.
class recorded_answers final : public peer_port {
 public:
  void send(const peer_message& message, const peer_address&) override {
    this->answers.push_back(std::get<store_answer_message>(message.body));
  }
  std::vector<store_answer_message> answers;
};

// A leader whose log has not answered yet.
class recorded_leader final : public local_leader {
 public:
  bool can_store() const override { return true; }
  void store(keyed_record, std::function<void()> on_stored) override {
    this->on_stored.push_back(std::move(on_stored));
  }
  std::vector<std::function<void()>> on_stored;
};

class unused_writer final : public record_writer {
 public:
  void write(write_request, on_outcome) override {}
  bool can_forward() const override { return false; }
};

class unused_states final : public state_source {
 public:
  void phase(const job_id&, instant, reply<std::optional<job_phase>>) override {}
  void pending(const queue_id&, instant, reply<std::int64_t>) override {}
};

class unused_advice final : public advice_port {
 public:
  void advise(const std::string&, const std::vector<std::string>&, millis,
              reply<std::vector<ticket>>) override {}
};

// The handler of a leader; the request's daemon has authorized its caller by the first
// configuration.
struct handler_fixture {
  fake_loop loop;
  event_log events{fake_cell::log_descriptor(), loop, "test"};
  metric_registry metrics;
  recorded_answers link;
  recorded_leader leader;
  unused_writer writer;
  unused_states states;
  unused_advice service;
  recorded_log log;
  job_handler jobs{writer, states, loop, events, metrics};
  work_follower work{loop, log, loop, events, follow_policy("a", 1, loop.now()), {}, {}};
  advice_call_queue calls{service, loop};
  peer_request_handler handler{link, events, daemon_id("a"), jobs,
                               work, calls,  leader,         [] { return true; }};

  handler_fixture() { this->configure(1, {"key"}); }
  void configure(std::int64_t version, const std::vector<std::string>& keys) {
    cell_config config;
    config.version = config_version{version};
    queue_config queue;
    queue.name = queue_id("q");
    queue.host = "h";
    queue.path_prefix = "/q/";
    config.queues.push_back(queue);
    config.teams.push_back({team_id("t"), keys, 1, {}});
    this->jobs.configure(config);
  }
  // A copy of the one request arrives.
  void receive() {
    this->handler.store("b",
                        {1, key_of(record_kind::submission, job_id("job")), "record", "h", "/q/job",
                         "key", config_version{1}},
                        {"b", 1});
  }
};

TEST_CASE("A repeat of a job that may be stored is not refused by a later epoch of its leader") {
  handler_fixture f;
  f.receive();
  REQUIRE(f.leader.on_stored.size() == 1);
  f.handler.leadership_lost();
  f.configure(2, {});
  f.receive();
  CHECK(f.link.answers.empty());
}

TEST_CASE("A job that was refused is not stored when another copy of its request arrives late") {
  handler_fixture f;
  f.configure(2, {});
  f.receive();
  REQUIRE(f.link.answers.size() == 1);
  REQUIRE_FALSE(f.link.answers.back().stored);
  f.configure(3, {"key"});
  f.receive();
  CHECK(f.leader.on_stored.empty());
  REQUIRE(f.link.answers.size() == 2);
  CHECK_FALSE(f.link.answers.back().stored);
  CHECK(f.link.answers.back().code == error_code::unauthorized);
}

}  // namespace
}  // namespace monsoonmux::cell
