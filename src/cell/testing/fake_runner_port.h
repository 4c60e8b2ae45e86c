#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cell/runner_port.h"
#include "cell/testing/fake_loop.h"
#include "cell/testing/fake_runners.h"

namespace monsoonmux::cell {

// A daemon's connection to all runners.
class fake_runner_port final : public runner_port {
 public:
  fake_runner_port(fake_loop& loop, fake_process& process, std::string daemon,
                   std::vector<std::unique_ptr<fake_runner>>& runners, std::uint32_t seed)
      : loop(loop), process(process), daemon(std::move(daemon)), runners(runners), random(seed) {}

  void start(const start_command& command, std::function<void(command_answer)> on_answer) override {
    this->command(
        command.target, std::move(on_answer),
        [command](fake_runner& r, millis way) { return r.start(command, way); },
        [this](const fake_runner& r) { return this->is_late(r) || this->chance(r.late_starts); });
  }
  void stop(const stop_command& command, std::function<void(command_answer)> on_answer) override {
    this->command(
        command.target, std::move(on_answer),
        [command](fake_runner& r, millis) { return r.stop(command); },
        [this](const fake_runner& r) { return this->is_late(r); });
  }
  void poll(const poll_request& request, std::function<void(poll_answer)> on_answer) override {
    const millis timeout = request.wait + command_timeout;
    this->call<poll_answer>(
        request.target, timeout, std::move(on_answer), poll_answer{},
        poll_answer{command_status::not_sent, {}},
        [this, request](fake_runner& r, const auto& answer) {
          if (this->is_late(r) || this->chance(r.late_polls)) {
            this->execute_later(r, request.target,
                                [request](fake_runner& by, millis way) { by.poll(request, way); });
            return;
          }
          this->wait_for_end(r, request, {r.entry.incarnation, this->loop.now() + request.wait},
                             answer);
        });
  }

  std::int64_t sent = 0;  // Number of calls.
  std::int64_t lost = 0;  // Those that reached their runner, and got no answer from it.

 private:
  static constexpr millis latency{1};
  static constexpr millis command_timeout{300};

  // A call that names no instance is accepted by any.
  static bool accepts(const fake_runner& runner, const std::string& instance) {
    return instance.empty() || instance == runner.entry.id;
  }

  // The runner at the address: one that is up, if another one was there before it.
  fake_runner* find(const std::string& address) {
    fake_runner* out = nullptr;
    for (auto& runner : this->runners) {
      if (runner->entry.address == address && (out == nullptr || runner->up)) {
        out = runner.get();
      }
    }
    return out;
  }

  template <class Command, class Late>
  void command(const command_target& target, std::function<void(command_answer)> on_answer,
               Command execute, Late late) {
    this->call<command_answer>(target, command_timeout, std::move(on_answer), command_answer{},
                               command_answer{command_status::not_sent, {}},
                               [this, execute, late, target](fake_runner& r, const auto& answer) {
                                 if (late(r)) {
                                   this->execute_later(r, target, execute);
                                   return;
                                 }
                                 answer(execute(r, millis{0}));
                               });
  }

  bool is_late(const fake_runner& runner) { return this->chance(runner.late_commands); }
  bool chance(double rate) {
    return rate > 0 && std::uniform_real_distribution<double>(0, 1)(this->random) < rate;
  }
  // The command waits on its way, and reaches whatever incarnation is there by then.
  template <class Command>
  void execute_later(fake_runner& runner, const command_target& target, Command execute) {
    const auto span = static_cast<std::uint32_t>(runner.delay_span.value);
    const millis delay =
        runner.shortest_delay + millis{static_cast<std::int64_t>(this->random() % span)};
    const std::int64_t sent_to = runner.entry.incarnation;
    this->loop.after(delay, [&runner, execute, delay, sent_to, instance = target.instance] {
      if (!runner.up || !accepts(runner, instance)) {
        return;
      }
      runner.log_late_call(sent_to);
      if (runner.takes_calls_for(sent_to)) {
        execute(runner, delay);
      }
    });
  }

  template <class Answer, class Serve>
  void call(const command_target& target, millis timeout, std::function<void(Answer)> on_answer,
            Answer no_answer, Answer refused, Serve serve) {
    ++this->sent;
    auto open = std::make_shared<bool>(true);
    const std::uint64_t incarnation = this->process.current_incarnation();
    const auto settle = [open, on_answer](const Answer& value) {
      if (std::exchange(*open, false)) {
        on_answer(value);
      }
    };
    this->process.after(timeout, [settle, no_answer] { settle(no_answer); });
    fake_runner* const runner = this->find(target.address);
    if (runner == nullptr || (!runner->up && runner->reachable(this->daemon))) {
      this->process.after(latency, [settle, refused] { settle(refused); });
      return;
    }
    refused.status = command_status::other_instance;
    const std::int64_t sent_to = runner->entry.incarnation;
    this->loop.after(
        latency + this->delay(*runner), [this, runner, settle, serve, incarnation, no_answer,
                                         refused, sent_to, instance = target.instance] {
          if (!runner->up || !runner->reachable(this->daemon)) {
            return;
          }
          if (!accepts(*runner, instance) || !runner->takes_calls_for(sent_to)) {
            this->process.after(latency, [settle, refused] { settle(refused); });
            return;
          }
          const bool lost = this->loses_answer(*runner);
          this->lost += lost ? 1 : 0;
          serve(*runner, [this, runner, settle, incarnation, lost, no_answer](const Answer& value) {
            if ((lost && !runner->closes_unanswered) || !runner->reachable(this->daemon) ||
                this->process.current_incarnation() != incarnation) {
              return;
            }
            const Answer seen = lost ? no_answer : value;
            this->process.after(latency + this->delay(*runner), [settle, seen] { settle(seen); });
          });
        });
  }

  millis delay(const fake_runner& runner) {
    if (runner.slow_link == millis{0}) {
      return millis{0};
    }
    return millis{static_cast<std::int64_t>(this->random() % runner.slow_link.value)};
  }
  // True if the call that arrives now is executed, but its connection gives nothing further.
  bool loses_answer(const fake_runner& runner) {
    return runner.unanswered.contains(this->daemon) ||
           (runner.lost_answers > 0 &&
            std::uniform_real_distribution<double>(0, 1)(this->random) < runner.lost_answers);
  }

  // A poll that waits at a runner for a run to end.
  struct waiting_poll {
    std::int64_t incarnation = 0;  // That it was sent to.
    instant until;
  };
  template <class Answer>
  void wait_for_end(fake_runner& r, const poll_request& request, const waiting_poll& wait,
                    const Answer& answer) {
    if (!r.takes_calls_for(wait.incarnation)) {
      return;
    }
    const poll_answer now = r.poll(request);
    if (!r.up) {
      return;
    }
    if (now.status != command_status::done || r.has_ends() || this->loop.now() >= wait.until) {
      answer(now);
      return;
    }
    poll_request rest = request;
    rest.lease_until_ms.reset();
    this->loop.after(millis{10},
                     [this, &r, rest, wait, answer] { this->wait_for_end(r, rest, wait, answer); });
  }

  fake_loop& loop;
  fake_process& process;
  const std::string daemon;
  std::vector<std::unique_ptr<fake_runner>>& runners;
  std::mt19937 random;
};

}  // namespace monsoonmux::cell
