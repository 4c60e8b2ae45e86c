#include "cell/owner_relay.h"

#include <catch2/catch.hpp>
#include <vector>

#include "cell/advice_dispatcher.h"
#include "cell/testing/fake_cell.h"
#include "cell/testing/fake_loop.h"

namespace monsoonmux::cell {
namespace {

// Keeps what is sent.
class sent_messages final : public peer_port {
 public:
  void send(const peer_message& message, const peer_address&) override {
    if (const auto* const wanted = std::get_if<store_request_message>(&message.body)) {
      this->requests.push_back(*wanted);
    } else {
      this->questions.push_back(std::get<advice_request_message>(message.body));
    }
  }
  std::vector<store_request_message> requests;
  std::vector<advice_request_message> questions;
};

// A log that takes nothing, and says so.
class refusing_writer final : public record_writer {
 public:
  void write(write_request, on_outcome done) override {
    ++this->written;
    done({write_fate::not_stored, {}});
  }
  bool can_relay() const override { return false; }
  int written = 0;
};

class nobody final : public local_owner {
 public:
  bool can_store() const override { return false; }
  void store(keyed_record, std::function<void()>) override {}
};

// An advice service that is still deciding.
class silent_advice final : public advice_port {
 public:
  void advise(const std::string&, const std::vector<std::string>&, millis,
              reply<std::vector<ticket>>) override {}
};

// One life of a daemon's relay, which hears the owner of an epoch.
struct relay_life {
  fake_loop& loop;
  sent_messages link;
  refusing_writer own;
  nobody local;
  owner_relay relay;
  std::optional<write_outcome> outcome;

  explicit relay_life(fake_loop& on)
      : loop(on), relay(on, this->link, this->own, on, daemon_id("a"), this->local) {
    this->relay.beat(epoch{3}, {"owner", 1});
  }
  void write(std::size_t bytes = 10) {
    this->relay.write({{"jx", std::string(bytes, 'x')}, this->loop.now() + millis{1'000}, {}},
                      [this](const write_outcome& what) { this->outcome = what; });
  }
};

TEST_CASE("A record that fits into no datagram is written here") {
  fake_loop loop;
  relay_life life(loop);
  life.write(20'000);
  CHECK(life.link.requests.empty());
  CHECK(life.own.written == 1);
}

TEST_CASE("An answer to a former life of the daemon settles nothing") {
  fake_loop loop;
  relay_life former(loop);
  former.write();
  relay_life present(loop);
  present.write();
  REQUIRE(former.link.requests.size() == 1);
  present.relay.answered({former.link.requests[0].request, true, {}, {}});
  CHECK_FALSE(present.outcome.has_value());
  present.relay.answered({present.link.requests[0].request, true, {}, {}});
  REQUIRE(present.outcome.has_value());
  CHECK(present.outcome->fate == write_fate::stored);
}

TEST_CASE("What was sent to an owner is never said not to be stored") {
  fake_loop loop;
  relay_life life(loop);
  life.write();
  loop.run_for(millis{500});  // No beat any more: the record is written here, in vain.
  CHECK(life.own.written == 1);
  REQUIRE(life.outcome.has_value());
  CHECK(life.outcome->fate == write_fate::unknown);
}

TEST_CASE("A former owner that still beats is not asked") {
  fake_loop loop;
  relay_life life(loop);
  life.relay.beat(epoch{2}, {"former", 1});
  CHECK(life.relay.heard_epoch() == epoch{3});
}

TEST_CASE("Advice for a former owner's question is not taken for another step's") {
  fake_loop loop;
  sent_messages link;
  silent_advice service;
  advice_desk desk(service, loop);
  event_log events(fake_cell::log_descriptor(), loop, "test");
  int delivered = 0;
  const auto deliver = [&delivered](const step_ref&, const std::vector<std::string>&, bool,
                                    const std::vector<ticket>&) { ++delivered; };
  // The own desk has enough to do after one question, so the next goes to the peer.
  const auto ask = [&](advice_dispatcher& dispatcher, const std::string& job) {
    dispatcher.heard("peer", {"peer", 1});
    dispatcher.ask({{job_id(job), 0, 0}, advice_config{500, 0, millis{2'000}}, {"r"}});
    dispatcher.ask({{job_id(job), 0, 1}, advice_config{500, 0, millis{2'000}}, {"r"}});
  };
  advice_dispatcher former(link, desk, loop, events, daemon_id("a"), deliver);
  ask(former, "x");
  advice_dispatcher present(link, desk, loop, events, daemon_id("a"), deliver);
  ask(present, "y");
  REQUIRE_FALSE(link.questions.empty());
  delivered = 0;
  present.answered({link.questions[0].request, true, {}});
  CHECK(delivered == 0);
}

}  // namespace
}  // namespace monsoonmux::cell
