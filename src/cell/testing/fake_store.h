#pragma once

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cell/shared_log.h"
#include "cell/testing/fake_loop.h"
#include "cell/testing/fake_uplink.h"
#include "cell/topics.h"

namespace monsoonmux::cell {

// The shared log as the platform documents it, with faults that a test can inject.
class fake_store {
 public:
  fake_store(fake_loop& loop, std::uint32_t seed) : loop(loop), random(seed) {}

  millis latency{2};        // In each direction.
  bool down = false;        // No call is executed or answered.
  double lost_answers = 0;  // Fraction of appends that are executed but not answered.
  double late_appends = 0;  // Fraction of appends that are executed seconds later and not answered.
  std::set<std::string> partitioned;  // Daemons whose calls and answers are lost.
  std::set<std::string> cut_off;      // Daemons of a failure domain that is cut off.
  // Topics of which a daemon's reads get no answer, by daemon.
  std::map<std::string, std::set<std::string>> withheld;
  std::map<std::string, int> appends;  // Number of append calls, by daemon.

  // Epoch of the newest leader claim; each takeover increments it.
  std::int64_t newest_claim_epoch() {
    const auto& records = this->topics[leader_topic].records;
    const auto newest = records.empty() ? std::nullopt : decode_claim(records.back().record.value);
    return newest ? newest->leader_epoch.value : 0;
  }

  void append(const std::string& from, fake_process& process, append_request request,
              std::function<void(append_answer)> on_answer) {
    ++this->appends[from];
    this->call(from, process, append_timeout, on_answer,
               append_answer{append_status::unknown, 0, 0, 0}, [this, request](const auto& answer) {
                 if (this->chance(this->late_appends)) {
                   this->loop.after(
                       millis{1'000 + static_cast<std::int64_t>(this->random() % 5'000)},
                       [this, request] { this->apply(request); });
                   return;
                 }
                 const append_answer result = this->apply(request);
                 if (!this->chance(this->lost_answers)) {
                   answer(result);
                 }
               });
  }

  void read(const std::string& from, fake_process& process, const std::string& topic,
            std::int64_t offset, millis wait, reply<read_answer> on_answer) {
    this->call<result<read_answer>>(
        from, process, wait + append_timeout, on_answer,
        may_have_run(error_code::deadline_exceeded, "no answer"),
        [this, from, topic, offset, wait](const auto& answer) {
          const auto unless_withheld = [this, from, topic, answer](const auto& value) {
            if (!this->withheld[from].contains(topic)) {
              answer(value);
            }
          };
          this->wait_for(topic, offset, this->loop.now() + wait, unless_withheld);
        });
  }

  void newest(const std::string& from, fake_process& process, const std::string& topic,
              reply<newest_answer> on_answer) {
    this->call<result<newest_answer>>(from, process, append_timeout, on_answer,
                                      may_have_run(error_code::deadline_exceeded, "no answer"),
                                      [this, topic](const auto& answer) {
                                        newest_answer out;
                                        for (const auto& [key, r] : this->latest(topic)) {
                                          if (!r.record.value.empty()) {
                                            out.records.push_back(r);
                                          }
                                        }
                                        out.end = this->end(topic);
                                        answer(out);
                                      });
  }

  const std::vector<logged_record>& records(const std::string& topic) {
    return this->topics[topic].records;
  }
  // The newest record of each key.
  std::map<std::string, logged_record> latest(const std::string& topic) {
    std::map<std::string, logged_record> out;
    for (const logged_record& r : this->topics[topic].records) {
      out[r.record.key] = r;
    }
    return out;
  }
  // Writes of the platform itself.
  void put(const std::string& topic, const std::string& key, const std::string& value) {
    this->add(topic, {key, value});
  }
  std::int64_t end(const std::string& topic) {
    return static_cast<std::int64_t>(this->topics[topic].records.size());
  }

 private:
  static constexpr millis append_timeout{1'000};

  struct topic_state {
    std::vector<logged_record> records;
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> producers;  // Epoch, sequence.
    std::deque<std::pair<std::pair<std::int64_t, std::int64_t>, append_answer>> recent;
  };

  bool serves(const std::string& daemon) const {
    return !this->down && !this->partitioned.contains(daemon) && !this->cut_off.contains(daemon);
  }
  bool chance(double fraction) {
    return fraction > 0 && std::uniform_real_distribution<double>(0, 1)(this->random) < fraction;
  }

  // Simulates one call: the request's latency, `serve`, the answer's latency, and a time-out.
  template <class Answer, class Serve>
  void call(const std::string& from, fake_process& process, millis timeout,
            std::function<void(Answer)> on_answer, Answer no_answer, Serve serve) {
    auto open = std::make_shared<bool>(true);
    const std::uint64_t incarnation = process.current_incarnation();
    process.after(timeout, [open, on_answer, no_answer] {
      if (std::exchange(*open, false)) {
        on_answer(no_answer);
      }
    });
    const std::function<void(Answer)> answer = [this, from, open, on_answer, &process,
                                                incarnation](Answer value) {
      if (!this->serves(from) || process.current_incarnation() != incarnation) {
        return;
      }
      process.after(this->latency, [open, on_answer, value] {
        if (std::exchange(*open, false)) {
          on_answer(value);
        }
      });
    };
    this->loop.after(this->latency, [this, from, serve, answer] {
      if (this->serves(from)) {
        serve(answer);
      }
    });
  }

  template <class Answer>
  void wait_for(const std::string& topic, std::int64_t offset, instant until,
                const Answer& answer) {
    if (this->end(topic) > offset || this->loop.now() >= until) {
      read_answer out;
      out.next = std::max(offset, this->end(topic));
      out.end = this->end(topic);
      for (std::int64_t i = offset; i < this->end(topic); ++i) {
        out.records.push_back(this->topics[topic].records[static_cast<std::size_t>(i)]);
      }
      answer(out);
      return;
    }
    this->loop.after(millis{5}, [this, topic, offset, until, answer] {
      this->wait_for(topic, offset, until, answer);
    });
  }

  void add(const std::string& topic, const keyed_record& record) {
    this->topics[topic].records.push_back({this->end(topic), record});
  }

  append_answer apply(const append_request& request) {
    topic_state& topic = this->topics[request.topic];
    append_answer out{append_status::done, this->end(request.topic), 0, 0};
    out.first = out.end;
    if (request.expected_end && *request.expected_end != out.end) {
      out.status = append_status::end_mismatch;
      return out;
    }
    if (request.producer) {
      const std::pair<std::int64_t, std::int64_t> stamp{request.producer->at.value,
                                                        request.producer->sequence};
      auto& last = topic.producers[request.producer->name];
      if (stamp.first < last.first) {
        out.status = append_status::fenced;
        return out;
      }
      for (const auto& [stored_stamp, answer] : topic.recent) {
        if (stored_stamp == stamp) {
          return answer;
        }
      }
      if (stamp.first == last.first && stamp.second != last.second + 1) {
        out.status = append_status::out_of_sequence;
        out.expected_sequence = last.second + 1;
        return out;
      }
      last = stamp;
    }
    for (const keyed_record& record : request.records) {
      this->add(request.topic, record);
    }
    out.end = this->end(request.topic);
    if (request.producer) {
      constexpr std::size_t remembered = 5;
      topic.recent.push_back({{request.producer->at.value, request.producer->sequence}, out});
      if (topic.recent.size() > remembered) {
        topic.recent.pop_front();
      }
    }
    return out;
  }

  fake_loop& loop;
  std::mt19937 random;
  std::map<std::string, topic_state> topics;
};

// The connection of one daemon to the fake store.
class fake_store_port final : public shared_log {
 public:
  fake_store_port(fake_store& store, fake_process& process, fake_uplink& uplink, std::string daemon)
      : store(store), process(process), uplink(uplink), daemon(std::move(daemon)) {}

  void append(append_request request, std::function<void(append_answer)> on_answer) override {
    std::size_t bytes = 0;
    for (const keyed_record& record : request.records) {
      bytes += record.key.size() + record.value.size();
    }
    const millis delay = this->uplink.transmit(bytes);
    if (delay == millis{0}) {
      this->store.append(this->daemon, this->process, std::move(request), std::move(on_answer));
      return;
    }
    this->process.after(
        delay, [this, request = std::move(request), on_answer = std::move(on_answer)]() mutable {
          this->store.append(this->daemon, this->process, std::move(request), std::move(on_answer));
        });
  }
  void read(const std::string& topic, std::int64_t from, millis wait,
            reply<read_answer> on_answer) override {
    this->store.read(this->daemon, this->process, topic, from, wait, std::move(on_answer));
  }
  void newest(const std::string& topic, const std::string&,
              reply<newest_answer> on_answer) override {
    this->store.newest(this->daemon, this->process, topic, std::move(on_answer));
  }

 private:
  fake_store& store;
  fake_process& process;
  fake_uplink& uplink;
  const std::string daemon;
};

}  // namespace monsoonmux::cell
