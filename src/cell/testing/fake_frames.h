#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "cell/frame_link.h"
#include "cell/runner_agent.h"
#include "cell/testing/fake_loop.h"
#include "cell/testing/fake_uplink.h"

namespace monsoonmux::cell {

// The host of an agent: the end of a connection at which commands arrive.
struct fake_agent_host {
  fake_process& process;
  std::unique_ptr<runner_agent>& agent;  // Null while the process is down.
};

// One direction of a connection: what is sent earlier arrives earlier, whatever the delays.
class ordered_delivery {
 public:
  // Reserves the next place in the order.
  std::int64_t place() { return this->next_place++; }
  // The message of this place is at its receiver, which takes it after all earlier ones.
  void arrive(std::int64_t place, std::function<void()> take) {
    this->arrived.emplace(place, std::move(take));
    for (auto it = this->arrived.begin();
         it != this->arrived.end() && it->first == this->next_taken; it = this->arrived.begin()) {
      auto message = this->arrived.extract(it);
      ++this->next_taken;
      message.mapped()();
    }
  }

 private:
  std::int64_t next_place = 0;
  std::int64_t next_taken = 0;
  std::map<std::int64_t, std::function<void()>> arrived;
};

// The network between daemons, for frames.
struct fake_frame_network {
  // False while what one of the two sends is lost without an error, as in a partition.
  std::function<bool(const std::string& from, const std::string& to)> reaches;
  // Fraction of frames with which their connection turns silent: it carries nothing further
  // in either direction and is not reset, while new connections work.
  double turns_silent = 0;
  std::mt19937 random;
};

// Connections from one fake process to the agents of others.
class fake_dialer final : public frame_dialer {
 public:
  using find_host = std::function<fake_agent_host*(const std::string& host)>;

  fake_dialer(fake_process& process, std::string self, fake_uplink& uplink,
              fake_frame_network& network, find_host find)
      : process(process),
        self(std::move(self)),
        uplink(uplink),
        network(network),
        find(std::move(find)) {}

  std::unique_ptr<frame_link> dial(const peer_address& to, frame_handlers on) override {
    fake_agent_host* const host = this->find(to.host);
    auto shared = std::make_shared<connection>(connection{
        this->process, *host, this->uplink, this->network, this->self, to.host, std::move(on)});
    shared->number = next_number()++;
    shared->answers.shared = shared.get();
    shared->incarnations = {this->process.current_incarnation(),
                            host->process.current_incarnation()};
    return std::make_unique<client_link>(std::move(shared));
  }

 private:
  static constexpr millis network_delay{1};

  static std::int64_t& next_number() {
    static std::int64_t number = 1;
    return number;
  }

  struct connection;

  // The link through which the agent answers.
  struct answer_link final : public frame_link {
    connection* shared = nullptr;
    void send(std::string frame) override {
      connection& c = *this->shared;
      if (c.loses_frame()) {
        return;
      }
      c.from.after(network_delay,
                   [s = c.self.lock(), frame = std::move(frame), place = c.to_leader.place()] {
                     if (!s) {
                       return;
                     }
                     s->to_leader.arrive(place, [&c = *s, frame] {
                       if (c.open) {
                         c.on.on_frame(frame);
                       }
                     });
                   });
    }
  };

  struct connection {
    fake_process& from;
    fake_agent_host& to;
    fake_uplink& uplink;  // Of the process that opened the connection.
    fake_frame_network& network;
    std::string from_name;
    std::string to_name;
    frame_handlers on;
    answer_link answers{};
    std::weak_ptr<connection> self{};
    std::int64_t number = 0;
    std::pair<std::uint64_t, std::uint64_t> incarnations{};
    ordered_delivery to_agent{};
    ordered_delivery to_leader{};
    bool open = true;
    bool announced = false;
    bool silent = false;

    // A frame is at the agent.
    void deliver(const std::string& frame) {
      if (!this->to.agent) {
        return;
      }
      if (!std::exchange(this->announced, true)) {
        this->to.agent->opened(this->number, this->answers);
      }
      // Frames that were sent before the leader closed the connection still arrive.
      (void)this->to.agent->received(this->number, frame);
    }
    // True if the next frame is lost.
    bool loses_frame() {
      const double rate = this->network.turns_silent;
      this->silent = this->silent || (rate > 0 && std::uniform_real_distribution<double>(
                                                      0, 1)(this->network.random) < rate);
      return this->silent || !this->network.reaches(this->from_name, this->to_name);
    }
  };

  struct client_link final : public frame_link {
    explicit client_link(std::shared_ptr<connection> c) : shared(std::move(c)) {
      this->shared->self = this->shared;
    }
    ~client_link() override {
      this->shared->open = false;
      fake_agent_host& host = this->shared->to;
      const std::int64_t place = this->shared->to_agent.place();
      // The closing follows the frames that were sent before.
      host.process.after(network_delay, [&host, s = this->shared, place] {
        s->to_agent.arrive(place, [&host, &c = *s] {
          if (host.agent && c.announced) {
            host.agent->closed(c.number);
          }
        });
      });
    }
    void send(std::string frame) override {
      const auto s = this->shared;
      if (s->loses_frame()) {
        return;
      }
      if (!s->to.agent || s->to.process.current_incarnation() != s->incarnations.second) {
        s->from.after(network_delay, [s] {
          if (std::exchange(s->open, false)) {
            s->on.on_disconnect();
          }
        });
        return;
      }
      const millis delay = s->uplink.transmit(frame.size()) + network_delay;
      s->to.process.after(delay, [s, frame = std::move(frame), place = s->to_agent.place()] {
        s->to_agent.arrive(place, [&c = *s, frame] { c.deliver(frame); });
      });
    }
    std::shared_ptr<connection> shared;
  };

  fake_process& process;
  const std::string self;
  fake_uplink& uplink;
  fake_frame_network& network;
  const find_host find;
};

}  // namespace monsoonmux::cell
