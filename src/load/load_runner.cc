// The threads take calls one by one from a shared counter, in order of due time, so a
// slow answer delays only its own thread. If all threads are busy, calls are sent late,
// and the delay is part of their latency, which is measured from when they were due.

#include "load/load_runner.h"

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <thread>

#include "http/http_client.h"

namespace monsoonmux {
namespace {

using steady = std::chrono::steady_clock;

double ms_since(steady::time_point start) {
  return std::chrono::duration<double, std::milli>(steady::now() - start).count();
}

bool is_loopback(const std::string& address) {
  return address.rfind("127.", 0) == 0;
}

verdict verdict_of(const result<client_answer>& answer, bool direct) {
  if (answer.has_error()) {
    return answer.error().effect;
  }
  const std::string text = answer.value().header("X-Monsoonmux-Verdict");
  if (direct || text == to_string(verdict::answered)) {
    return verdict::answered;
  }
  return text == to_string(verdict::not_run) ? verdict::not_run : verdict::may_have_run;
}

client_request request_of(const call_stream& s, const planned_call& call, const std::string& server,
                          const std::string& id) {
  client_request out;
  out.method = s.method;
  out.url = "http://" + (s.direct.empty() ? server + "/v1/queues/" + s.queue + "/calls/load"
                                          : s.direct + "/load");
  if (!s.key.empty()) {
    out.headers.push_back({"Authorization", "Bearer " + s.key});
  }
  out.headers.push_back({"X-Work-Ms", std::to_string(call.work_ms)});
  out.headers.push_back({"X-Deadline-Ms", std::to_string(s.deadline.value)});
  if (!s.direct.empty()) {
    out.headers.push_back({"X-Call-Id", id});
  }
  out.body = s.method == "GET" ? "" : id + " " + std::string(s.body_bytes, 'x');
  constexpr millis timeout_margin{1'000};
  out.timeout = s.deadline + timeout_margin;
  return out;
}

}  // namespace

result<bool> load_runner::check_addresses() const {
  std::vector<std::string> all = this->spec.servers;
  bool need_server = false;
  for (const call_stream& s : this->spec.streams) {
    if (s.direct.empty()) {
      need_server = true;
    } else {
      all.push_back(s.direct);
    }
  }
  for (const std::string& address : all) {
    if (!is_loopback(address)) {
      return not_run(error_code::bad_request,
                     address + ": load is restricted to loopback addresses");
    }
  }
  if (need_server && this->spec.servers.empty()) {
    return not_run(error_code::bad_request, "servers: expected at least one");
  }
  return true;
}

load_runner::outcome load_runner::send(std::size_t index, const planned_call& call,
                                       http_client& client, const std::string& server,
                                       history& history_out) const {
  const call_stream& s = this->spec.streams[call.stream];
  const std::string id = "load-" + std::to_string(index) + "-";
  const auto answer = client.send(request_of(s, call, server, id));
  outcome out;
  out.effect = verdict_of(answer, !s.direct.empty());
  if (s.method != "GET") {
    history_event e;
    e.at_ms = this->time.wall_ms();
    e.kind = history_kind::call_answered;
    e.task = id;
    e.phase = to_string(out.effect);
    e.text = answer.has_value() ? answer.value().body.substr(0, id.size()) : "";
    history_out.push_back(e);
  }
  return out;
}

result<load_report> load_runner::run() {
  if (const auto checked = this->check_addresses(); checked.has_error()) {
    return checked.error();
  }
  const std::vector<planned_call> calls = make_plan(this->spec);
  std::vector<outcome> outcomes(calls.size());
  std::atomic<std::size_t> next{0};
  std::vector<history> thread_histories(static_cast<std::size_t>(this->spec.threads));
  std::vector<std::thread> threads;
  threads.reserve(thread_histories.size());
  const auto start = steady::now();
  for (history& thread_history : thread_histories) {
    threads.emplace_back([&] {
      std::map<std::string, http_client> clients;
      for (std::size_t i = next++; i < calls.size(); i = next++) {
        const planned_call& call = calls[i];
        const std::string& direct = this->spec.streams[call.stream].direct;
        const std::string server =
            direct.empty() ? this->spec.servers[i % this->spec.servers.size()] : direct;
        std::this_thread::sleep_until(start +
                                      std::chrono::duration_cast<steady::duration>(
                                          std::chrono::duration<double, std::milli>(call.at_ms)));
        outcomes[i] = this->send(i, call, clients[server], server, thread_history);
        outcomes[i].latency_ms = ms_since(start) - call.at_ms;
      }
    });
  }
  for (std::thread& t : threads) {
    t.join();
  }
  for (const history& thread_history : thread_histories) {
    this->events.insert(this->events.end(), thread_history.begin(), thread_history.end());
  }
  return this->report(calls, outcomes, ms_since(start) / 1'000);
}

load_report load_runner::report(const std::vector<planned_call>& calls,
                                const std::vector<outcome>& outcomes, double seconds) const {
  load_report out;
  out.seconds = seconds;
  for (std::size_t s = 0; s < this->spec.streams.size(); ++s) {
    stream_report r;
    r.name = this->spec.streams[s].name;
    std::vector<double> latencies;
    for (std::size_t i = 0; i < calls.size(); ++i) {
      if (calls[i].stream != s) {
        continue;
      }
      ++r.planned;
      r.answered += outcomes[i].effect == verdict::answered ? 1 : 0;
      r.not_run += outcomes[i].effect == verdict::not_run ? 1 : 0;
      r.may_have_run += outcomes[i].effect == verdict::may_have_run ? 1 : 0;
      if (outcomes[i].effect == verdict::answered) {
        latencies.push_back(outcomes[i].latency_ms);
      }
    }
    r.per_second = static_cast<double>(r.answered) / seconds;
    summarize(std::move(latencies), r);
    out.streams.push_back(std::move(r));
  }
  return out;
}

}  // namespace monsoonmux
