#include "control/placement_lease_manager.h"

#include <catch2/catch.hpp>
#include <map>

#include "right/elector.h"

namespace monsoonmux {
namespace {

// Two placement lease managers that compete for the same electors, without message delays.
struct contention_fixture {
  contention_fixture() : a(domain_id("d"), "a", {}), b(domain_id("d"), "b", {}) {
    for (const char* name : {"x", "y", "z"}) {
      this->names.emplace_back(name);
      this->electors.emplace(worker_id(name), elector(instant{0}));
    }
    this->a.configure(this->names, this->now);
    this->b.configure(this->names, this->now);
  }

  void send_requests(placement_lease_manager& k, bool candidate = true) {
    for (const placement_lease_manager::elector_request& sent_request :
         k.due_requests(this->now, candidate)) {
      const auto it = this->electors.find(sent_request.elector);
      if (it != this->electors.end()) {
        k.on_answer(sent_request, it->second.on_request(sent_request.request, this->now),
                    this->now);
      }
    }
  }

  bool step() {
    this->now = this->now + millis{100};
    this->send_requests(this->a);
    this->send_requests(this->b);
    REQUIRE_FALSE((this->a.held(this->now) && this->b.held(this->now)));
    return this->a.held(this->now) || this->b.held(this->now);
  }

  instant now{1'000'000};
  std::vector<worker_id> names;
  std::map<worker_id, elector> electors;
  placement_lease_manager a;
  placement_lease_manager b;
};

}  // namespace

TEST_CASE("two candidates that split the electors do not block each other for good") {
  contention_fixture d;
  const placement_lease_request mine{domain_id("d"), "a", {4'000}, {}};
  const placement_lease_request other{domain_id("d"), "b", {4'000}, {}};
  d.electors.at(worker_id("x")).on_request(mine, d.now);
  d.electors.at(worker_id("y")).on_request(other, d.now);
  d.electors.erase(worker_id("z"));
  int steps = 0;
  while (!d.step() && steps < 600) {
    ++steps;
  }
  CHECK(steps < 300);
}

TEST_CASE("the previous set of electors is required beside the new one for an hour") {
  contention_fixture d;
  for (int i = 0; i < 5; ++i) {
    d.step();
  }
  REQUIRE(d.a.held(d.now));
  for (const char* name : {"p", "q", "r"}) {
    d.electors.emplace(worker_id(name), elector(instant{0}));
  }
  const std::vector<worker_id> new_electors = {worker_id("p"), worker_id("q"), worker_id("r")};
  d.a.configure(new_electors, d.now);
  for (int i = 0; i < 20; ++i) {
    d.step();
  }
  CHECK(d.a.held(d.now));
  for (const char* name : {"x", "y"}) {
    d.electors.erase(worker_id(name));
  }
  for (int i = 0; i < 60; ++i) {
    d.now = d.now + millis{100};
    d.send_requests(d.a);
  }
  CHECK_FALSE(d.a.held(d.now));
}

}  // namespace monsoonmux
