#include "cell/record_forwarder.h"

#include <catch2/catch.hpp>
#include <vector>

#include "cell/advice_dispatcher.h"
#include "cell/testing/fake_cell.h"
#include "cell/testing/fake_loop.h"

namespace monsoonmux::cell {
namespace {

// Records the messages that are sent.
class recorded_messages final : public peer_port {
 public:
  void send(const peer_message& message, const peer_address&) override {
    if (const auto* const wanted = std::get_if<store_request_message>(&message.body)) {
      this->requests.push_back(*wanted);
    } else {
      this->advice_requests.push_back(std::get<advice_request_message>(message.body));
    }
  }
  std::vector<store_request_message> requests;
  std::vector<advice_request_message> advice_requests;
};

// A writer whose log refuses all records.
class refusing_writer final : public record_writer {
 public:
  void write(write_request, on_outcome done) override {
    ++this->written;
    done({write_status::not_stored, {}});
  }
  bool can_forward() const override { return false; }
  int written = 0;
};

class no_local_leader final : public local_leader {
 public:
  bool can_store() const override { return false; }
  void store(keyed_record, std::function<void()>) override {}
};

// An advice service that does not answer yet.
class unanswered_advice final : public advice_port {
 public:
  void advise(const std::string&, const std::vector<std::string>&, millis,
              reply<std::vector<ticket>>) override {}
};

// The forwarder of one incarnation of a daemon, which has received a heartbeat of the
// leader of epoch 3.
struct forwarder_fixture {
  fake_loop& loop;
  recorded_messages link;
  refusing_writer direct;
  no_local_leader local;
  record_forwarder forwarder;
  std::optional<write_outcome> outcome;

  explicit forwarder_fixture(fake_loop& on)
      : loop(on), forwarder(on, this->link, this->direct, on, daemon_id("a"), this->local) {
    this->forwarder.heartbeat(epoch{3}, {"leader", 1});
  }
  void write(std::size_t bytes = 10) {
    this->forwarder.write({{"jx", std::string(bytes, 'x')}, this->loop.now() + millis{1'000}, {}},
                          [this](const write_outcome& what) { this->outcome = what; });
  }
};

TEST_CASE("A record that is too large for a datagram is written directly") {
  fake_loop loop;
  forwarder_fixture fixture(loop);
  fixture.write(20'000);
  CHECK(fixture.link.requests.empty());
  CHECK(fixture.direct.written == 1);
}

TEST_CASE("An answer to a previous incarnation of the daemon is ignored") {
  fake_loop loop;
  forwarder_fixture previous(loop);
  previous.write();
  forwarder_fixture present(loop);
  present.write();
  REQUIRE(previous.link.requests.size() == 1);
  present.forwarder.answered({previous.link.requests[0].request, true, {}, {}});
  CHECK_FALSE(present.outcome.has_value());
  present.forwarder.answered({present.link.requests[0].request, true, {}, {}});
  REQUIRE(present.outcome.has_value());
  CHECK(present.outcome->status == write_status::stored);
}

TEST_CASE("The outcome of a record that was sent to a leader is never not_stored") {
  fake_loop loop;
  forwarder_fixture fixture(loop);
  fixture.write();
  loop.run_for(millis{500});  // Without heartbeats, the record is written directly, which fails.
  CHECK(fixture.direct.written == 1);
  REQUIRE(fixture.outcome.has_value());
  CHECK(fixture.outcome->status == write_status::unknown);
}

TEST_CASE("Heartbeats of a previous leader are ignored") {
  fake_loop loop;
  forwarder_fixture fixture(loop);
  fixture.forwarder.heartbeat(epoch{2}, {"previous", 1});
  CHECK(fixture.forwarder.latest_epoch() == epoch{3});
}

TEST_CASE("Advice for a query of a previous leader is not used for another step") {
  fake_loop loop;
  recorded_messages link;
  unanswered_advice service;
  advice_call_queue calls(service, loop);
  event_log events(fake_cell::log_descriptor(), loop, "test");
  int delivered = 0;
  const auto deliver = [&delivered](const step_ref&, const std::vector<std::string>&, bool,
                                    const std::vector<ticket>&) { ++delivered; };
  // The first query occupies this daemon's own advice calls, so the next goes to the peer.
  const auto ask = [&](advice_dispatcher& dispatcher, const std::string& job) {
    dispatcher.on_hello("peer", {"peer", 1});
    advice_query query;
    query.terms = advice_config{500, 0, millis{2'000}};
    query.runners = {"r"};
    for (const std::int32_t step : {0, 1}) {
      query.step = {job_id(job), 0, step};
      dispatcher.ask(query);
    }
  };
  advice_dispatcher previous(link, calls, loop, events, daemon_id("a"), deliver);
  ask(previous, "x");
  advice_dispatcher present(link, calls, loop, events, daemon_id("a"), deliver);
  ask(present, "y");
  REQUIRE_FALSE(link.advice_requests.empty());
  delivered = 0;
  present.answered({link.advice_requests[0].request, true, {}});
  CHECK(delivered == 0);
}

}  // namespace
}  // namespace monsoonmux::cell
