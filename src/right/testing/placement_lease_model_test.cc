// A model check of the placement lease on the real classes. Explores every order of
// sending, delivery, elector restarts and passing of time for two candidates and
// three electors, up to a bound on time and on requests. Pauses and message loss
// need no steps of their own: a paused candidate is one that takes no step, and a
// lost message is one that is never delivered. Candidate x asks electors a and b,
// candidate y asks b and c. Any two different majorities of three electors overlap
// like this, and two majorities that share two electors are only safer.

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <unordered_set>

#include "right/elector.h"
#include "right/placement_lease.h"

namespace monsoonmux {
namespace {

constexpr int candidates = 2;
constexpr int electors = 3;
constexpr placement_lease_options options{{2}, {0}};
constexpr instant begin{100};

struct message {
  int candidate = 0;
  int elector = 0;
  std::int64_t round = 0;
  instant sent;
  placement_lease_request request;

  std::string describe() const {
    return std::to_string(this->candidate) + std::to_string(this->elector) + "/" +
           std::to_string(this->round) + "/" + std::to_string(this->sent.value) + "/" +
           std::to_string(this->request.number.value);
  }
};

worker_id name(int e) {
  return worker_id(std::string(1, static_cast<char>('a' + e)));
}

struct model_state {
  instant now = begin;
  std::vector<placement_lease> leases;
  std::vector<elector> elector_states;
  std::vector<message> in_flight;
  int requests_left[candidates] = {};
  int restarts_left = 0;

  std::string key() const {
    std::string out =
        std::to_string(this->now.value) + "," + std::to_string(this->requests_left[0]) + "," +
        std::to_string(this->requests_left[1]) + "," + std::to_string(this->restarts_left);
    for (const auto& r : this->leases) {
      out += "|" + r.describe();
    }
    for (const auto& v : this->elector_states) {
      out += "|" + v.describe();
    }
    std::vector<std::string> messages;
    for (const auto& m : this->in_flight) {
      messages.push_back(m.describe());
    }
    std::sort(messages.begin(), messages.end());
    for (const auto& f : messages) {
      out += ";" + f;
    }
    return out;
  }

  int holders() const {
    int n = 0;
    for (const auto& r : this->leases) {
      n += r.held_until() > this->now ? 1 : 0;
    }
    return n;
  }

  bool same_epoch() const {
    return this->leases[0].number().value != 0 && this->leases[0].held_until().value != 0 &&
           this->leases[1].held_until().value != 0 &&
           this->leases[0].number() == this->leases[1].number();
  }
};

struct exploration {
  std::size_t states = 0;
  std::size_t states_with_holder = 0;
  bool two_holders = false;
  bool shared_epoch = false;
};

class explorer {
 public:
  explorer(instant end, bool trust_restarted) : end(end), trust_restarted(trust_restarted) {}

  exploration run(int requests, int restarts) {
    model_state first;
    std::vector<worker_id> names;
    for (int e = 0; e < electors; ++e) {
      names.push_back(name(e));
      first.elector_states.emplace_back(instant{0});
    }
    first.leases.assign(candidates, placement_lease(names, options));
    for (int& left : first.requests_left) {
      left = requests;
    }
    first.restarts_left = restarts;
    this->push(first);
    while (!this->frontier.empty()) {
      const model_state w = this->frontier.back();
      this->frontier.pop_back();
      this->expand(w);
    }
    return this->found;
  }

 private:
  void push(const model_state& w) {
    if (!this->visited.insert(w.key()).second) {
      return;
    }
    ++this->found.states;
    this->found.states_with_holder += w.holders() > 0 ? 1 : 0;
    this->found.two_holders = this->found.two_holders || w.holders() > 1;
    this->found.shared_epoch = this->found.shared_epoch || w.same_epoch();
    this->frontier.push_back(w);
  }

  void expand(const model_state& w) {
    if (w.now < this->end) {
      model_state next = w;
      next.now = w.now + millis{1};
      this->push(next);
    }
    for (int c = 0; c < candidates; ++c) {
      if (w.requests_left[c] > 0) {
        this->send_all(w, c);
      }
    }
    for (std::size_t i = 0; i < w.in_flight.size(); ++i) {
      this->deliver(w, i);
    }
    for (int e = 0; e < electors && w.restarts_left > 0; ++e) {
      model_state next = w;
      next.elector_states[static_cast<std::size_t>(e)] = elector(w.now);
      --next.restarts_left;
      this->push(next);
    }
  }

  // One step: the candidate sends a request to each of its two electors.
  void send_all(const model_state& w, int c) {
    model_state next = w;
    --next.requests_left[c];
    placement_lease& lease = next.leases[static_cast<std::size_t>(c)];
    const epoch number = lease.proposal(w.now);
    for (int e = c; e < c + 2; ++e) {
      message m;
      m.candidate = c;
      m.elector = e;
      m.round = lease.round();
      m.sent = w.now;
      m.request = {domain_id("d"), std::string(1, static_cast<char>('x' + c)), options.ttl, number};
      next.in_flight.push_back(m);
    }
    this->push(next);
  }

  // One step: the elector processes the request, and its answer arrives at once or
  // never. Later arrivals need not be explored: a late answer carries the same end of
  // the grant, so every state that it leads to is also reached from the state in which
  // the answer arrived at once and the candidate acted later.
  void deliver(const model_state& w, std::size_t i) {
    model_state lost = w;
    const message m = lost.in_flight[i];
    lost.in_flight.erase(lost.in_flight.begin() + static_cast<std::ptrdiff_t>(i));
    placement_lease_answer answer =
        lost.elector_states[static_cast<std::size_t>(m.elector)].on_request(m.request, w.now);
    if (this->trust_restarted) {
      answer.uptime = options.ttl;
    }
    model_state answered = lost;
    answered.leases[static_cast<std::size_t>(m.candidate)].on_answer(name(m.elector), m.round,
                                                                     m.sent, answer);
    this->push(lost);
    this->push(answered);
  }

  instant end;
  bool trust_restarted;
  std::unordered_set<std::string> visited;
  std::vector<model_state> frontier;
  exploration found;
};

}  // namespace

TEST_CASE("no two candidates ever hold the lease, over all interleavings") {
  explorer e(begin + millis{2}, false);
  const exploration v = e.run(2, 0);
  WARN("states explored: " << v.states);
  CHECK(v.states_with_holder > 0);
  CHECK_FALSE(v.two_holders);
  CHECK_FALSE(v.shared_epoch);
}

TEST_CASE("an elector's restart never causes a second holder, over all interleavings") {
  explorer e(begin + millis{1}, false);
  const exploration v = e.run(2, 1);
  WARN("states explored: " << v.states);
  CHECK(v.states_with_holder > 0);
  CHECK_FALSE(v.two_holders);
}

TEST_CASE("the model finds a second holder if a restarted elector is trusted") {
  explorer e(begin + millis{1}, true);
  CHECK(e.run(2, 1).two_holders);
}

}  // namespace monsoonmux
