#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "cell/frame_link.h"
#include "cell/runner_agent.h"
#include "cell/testing/fake_loop.h"

namespace monsoonmux::cell {

// The end of a connection where orders arrive.
struct fake_agent_host {
  fake_process& process;
  std::unique_ptr<runner_agent>& agent;  // Null while the process is down.
};

// Connections from one fake process to the agents of others. Frames of a process that
// exchanges nothing are lost without a sign, as behind a partition.
class fake_dialer final : public frame_dialer {
 public:
  using find_host = std::function<fake_agent_host*(const std::string& host)>;

  fake_dialer(fake_process& process, std::string self, std::set<std::string>& deaf, find_host find)
      : process(process), self(std::move(self)), deaf(deaf), find(std::move(find)) {}

  std::unique_ptr<frame_link> dial(const peer_address& to, frame_handlers on) override {
    fake_agent_host* const host = this->find(to.host);
    auto shared = std::make_shared<connection>(
        connection{this->process, *host, this->deaf, this->self, to.host, std::move(on)});
    shared->number = next_number()++;
    shared->answers.shared = shared.get();
    shared->lives = {this->process.current_life(), host->process.current_life()};
    return std::make_unique<client_link>(std::move(shared));
  }

 private:
  static constexpr millis travel{1};

  static std::int64_t& next_number() {
    static std::int64_t number = 1;
    return number;
  }

  struct connection;

  // What the agent answers into.
  struct answer_link final : public frame_link {
    connection* shared = nullptr;
    void send(std::string frame) override {
      connection& c = *this->shared;
      if (c.cut()) {
        return;
      }
      c.from.after(travel, [s = c.self.lock(), frame = std::move(frame)] {
        if (s && s->open) {
          s->on.on_frame(frame);
        }
      });
    }
  };

  struct connection {
    fake_process& from;
    fake_agent_host& to;
    std::set<std::string>& deaf;
    std::string from_name;
    std::string to_name;
    frame_handlers on;
    answer_link answers{};
    std::weak_ptr<connection> self{};
    std::int64_t number = 0;
    std::pair<std::uint64_t, std::uint64_t> lives{};
    bool open = true;
    bool greeted = false;

    bool cut() const {
      return this->deaf.contains(this->from_name) || this->deaf.contains(this->to_name);
    }
  };

  struct client_link final : public frame_link {
    explicit client_link(std::shared_ptr<connection> c) : shared(std::move(c)) {
      this->shared->self = this->shared;
    }
    ~client_link() override {
      this->shared->open = false;
      fake_agent_host& host = this->shared->to;
      host.process.after(travel, [&host, s = this->shared] {
        if (host.agent && s->greeted) {
          host.agent->closed(s->number);
        }
      });
    }
    void send(std::string frame) override {
      const auto s = this->shared;
      if (s->cut()) {
        return;
      }
      if (!s->to.agent || s->to.process.current_life() != s->lives.second) {
        s->from.after(travel, [s] {
          if (std::exchange(s->open, false)) {
            s->on.on_broken();
          }
        });
        return;
      }
      s->to.process.after(travel, [s, frame = std::move(frame)] {
        if (!s->to.agent) {
          return;
        }
        if (!std::exchange(s->greeted, true)) {
          s->to.agent->opened(s->number, s->answers);
        }
        // What was sent before the owner closed the connection still arrives.
        (void)s->to.agent->received(s->number, frame);
      });
    }
    std::shared_ptr<connection> shared;
  };

  fake_process& process;
  const std::string self;
  std::set<std::string>& deaf;
  const find_host find;
};

}  // namespace monsoonmux::cell
