#include "cell/advice_dispatcher.h"

#include <catch2/catch.hpp>

#include "cell/testing/fake_cell.h"
#include "cell/testing/fake_loop.h"

namespace monsoonmux::cell {
namespace {

class sent_requests final : public peer_port {
 public:
  void send(const peer_message& message, const peer_address&) override {
    this->numbers.push_back(std::get<advice_request_message>(message.body).request);
  }

  std::vector<std::int64_t> numbers;
};

class unanswered_calls final : public advice_port {
 public:
  void advise(const std::string&, const std::vector<std::string>&, millis,
              std::function<void(result<std::vector<ticket>>)>) override {}
};

// A leader with seven peers, none of which has answered a query yet.
struct dispatcher_fixture {
  dispatcher_fixture() {
    for (int i = 0; i < 7; ++i) {
      this->dispatcher.on_hello("peer-" + std::to_string(i), {"peer", 1});
    }
  }

  bool ask(double duration_ms) {
    advice_query query;
    query.step = {job_id("job"), 0, this->next_step++};
    query.terms = advice_config{duration_ms, 0, millis{2'000}};
    query.runners = {"r"};
    return this->dispatcher.ask(query);
  }
  // Asks until no daemon takes the query; returns how many were taken.
  std::size_t ask_all(double duration_ms) {
    std::size_t taken = 0;
    while (this->ask(duration_ms)) {
      ++taken;
    }
    return taken;
  }

  fake_loop loop;
  sent_requests link;
  unanswered_calls service;
  advice_call_queue calls{service, loop};
  event_log events{fake_cell::log_descriptor(), loop, "test"};
  advice_dispatcher dispatcher{link,
                               calls,
                               loop,
                               events,
                               daemon_id("leader"),
                               [](const auto&, const auto&, bool, const auto&) {}};
  std::int32_t next_step = 0;
};

constexpr double long_ms = 400;
constexpr double short_ms = 40;

TEST_CASE("As many long advice queries are taken as the dispatcher says") {
  dispatcher_fixture fixture;
  fixture.ask(long_ms);
  const std::size_t said = fixture.dispatcher.capacity().daemons_for_long;
  REQUIRE(said > 0);
  CHECK(fixture.ask_all(long_ms) == said);
  CHECK(fixture.dispatcher.capacity().daemons_for_long == 0);
}

TEST_CASE("As many short advice queries are taken as the dispatcher says") {
  dispatcher_fixture fixture;
  fixture.ask(long_ms);
  fixture.ask(short_ms);
  const advice_capacity said = fixture.dispatcher.capacity();
  CHECK(said.daemons == 7);
  const double at_least_ms = static_cast<double>(said.backlog_left.value);
  const double at_most_ms = at_least_ms + short_ms * static_cast<double>(said.daemons);
  const double taken_ms = short_ms * static_cast<double>(fixture.ask_all(short_ms));
  CHECK(taken_ms > at_least_ms);
  CHECK(taken_ms <= at_most_ms);
  CHECK(fixture.dispatcher.capacity().daemons == 0);
}

TEST_CASE("An answer that waited while the leader was busy does not cost its daemon queries") {
  dispatcher_fixture fixture;
  fixture.ask(long_ms);  // By the leader itself.
  fixture.ask(long_ms);
  REQUIRE(fixture.link.numbers.size() == 1);
  const std::size_t before = fixture.dispatcher.daemons();
  constexpr millis busy{1'400};  // Longer than the query and the margin for its answer.
  fixture.loop.run_for(busy);
  for (int i = 0; i < 7; ++i) {
    fixture.dispatcher.on_hello("peer-" + std::to_string(i), {"peer", 1});
  }
  fixture.dispatcher.tick();
  fixture.dispatcher.answered({fixture.link.numbers.front(), true, {}});
  constexpr millis tick{50};
  fixture.loop.run_for(tick);
  fixture.dispatcher.tick();
  // The leader's own call has had no answer.
  CHECK(fixture.dispatcher.daemons() == before - 1);
}

}  // namespace
}  // namespace monsoonmux::cell
