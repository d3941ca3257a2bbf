#include "kernel/batch/agent_core.h"

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** A report also serves as heartbeat and requests the next grant, which lasts several intervals. */
constexpr millis kReportInterval{1000};

/** A change of the planner takes less; a longer absence is logged, and again at the interval. */
constexpr millis kMissingLogged{5000};
constexpr millis kMissingLogInterval{30000};

}  // namespace

agent_core::agent_core(std::string node, std::vector<std::string> entries)
    : entries_(node, std::move(entries)), lookup_(std::move(node)) {}

void agent_core::Decide(std::span<agent_event> events, millis now,
                        std::vector<agent_action>& actions) {
  out_ = &actions;
  for (const auto& event : events) {
    std::visit([&](const auto& e) { On(e, now); }, event);
  }
  std::vector<worker_call> calls;
  incarnations_.Tick(now, calls);
  for (auto& call : calls) {
    if (const auto* start = std::get_if<start_call>(&call)) sent_starts_.OnSent(*start, now);
    std::visit([&](auto& c) { out_->emplace_back(std::move(c)); }, call);
  }
  AdjustLinks(now);
  LookForEntries(now);
  LogPlannerMissing(now);
  ReportEndedWorkers(now);
  SendReports(now);
  out_ = nullptr;
}

void agent_core::On(const worker_heartbeat& heartbeat, millis now) {
  incarnations_.On(heartbeat, now);
}

void agent_core::On(const worker_departure& departure, millis now) {
  incarnations_.On(departure, now);
}

void agent_core::ReportEndedWorkers(millis now) {
  for (const auto& incarnation : incarnations_.TakeEnded()) ReportEndedWorker(incarnation, now);
}

void agent_core::ReportEndedWorker(const worker_identity& worker, millis now) {
  if (planner_.empty()) return;
  worker_report report;
  report.term = term_;
  report.sequence = ++report_sequence_;
  report.worker.self = worker;
  report.unanswered = sent_starts_.Unanswered(worker.id, now);
  out_->emplace_back(send_to_peer{planner_, std::move(report)});
}

void agent_core::On(const hold_answer& answer, millis now) {
  sent_starts_.On(answer);
  incarnations_.On(answer, now);
}

void agent_core::On(const start_answer& answer, millis now) {
  sent_starts_.On(answer, now);
  if (worker_controller* controller = incarnations_.Find(answer.worker.id)) {
    controller->On(answer, now);
  }
  if (answer.outcome != call_outcome::kNoAnswer) return;
  next_report_ = now;
  for (const auto& entry : entries_.connected()) SendUnanswered(entry.first, answer.worker.id, now);
}

/**
 * Any entry may plan next, when this agent may have ended. An entry that does not plan takes only
 * the unanswered starts from a report, and passes them on to the next planner.
 */
void agent_core::SendUnanswered(std::string_view entry, std::string_view worker, millis now) {
  const worker_controller* controller = incarnations_.Find(worker);
  if (entry == planner_ || controller == nullptr) return;
  worker_report report;
  report.worker = controller->profile();
  report.unanswered = sent_starts_.Unanswered(worker, now);
  if (report.unanswered.empty()) return;
  out_->emplace_back(send_to_peer{std::string(entry), std::move(report)});
}

void agent_core::On(const stop_answer& answer, millis now) {
  if (worker_controller* controller = incarnations_.Find(answer.worker.id)) {
    controller->On(answer, now);
  }
}

void agent_core::On(const pace_answer& answer, millis) {
  if (worker_controller* controller = incarnations_.Find(answer.worker.id)) controller->On(answer);
}

void agent_core::On(const peer_up& event, millis now) {
  if (event.peer.id == planner_) {
    next_report_ = millis(0);
    SendStatement(now);
  }
  entries_.OnConnected(event.peer.id, event.peer.address);
  for (const auto& [id, controller] : incarnations_.present()) {
    SendUnanswered(event.peer.id, id, now);
  }
}

void agent_core::On(const peer_down& event, millis) {
  entries_.OnDisconnected(event.peer);
  if (event.peer == planner_) log_event("planner-unreachable").With("planner", planner_);
}

void agent_core::On(const peer_said& event, millis now) {
  if (const auto* notice = std::get_if<planner_notice>(&event.message)) {
    return OnNotice(event.peer, *notice, now);
  }
  const auto* order = std::get_if<worker_order>(&event.message);
  if (order == nullptr || order->term < term_) return;
  entries_.OnOrder(event.peer, order->term);
  SetTerm(order->term, event.peer, now);
  if (worker_controller* controller = incarnations_.Find(order->worker.id)) {
    controller->On(*order, now);
  }
}

void agent_core::On(const store_reply& reply, millis now) {
  auto listed = lookup_.On(std::get<rows_result>(reply.answer), now);
  if (listed) entries_.SetListed(std::move(*listed));
}

void agent_core::On(const seeds_read& event, millis) { entries_.SetSeeds(event.seeds); }

void agent_core::OnNotice(std::string_view peer, const planner_notice& notice, millis now) {
  entries_.OnNotice(peer, notice);
  if (notice.term < term_ || notice.planner != peer) return;
  SetTerm(notice.term, notice.planner, now);
}

void agent_core::SetTerm(int64_t term, std::string_view planner, millis now) {
  if (term == term_ && planner == planner_) return;
  log_event("planner-changed").With("planner", planner).With("term", term).With("before", term_);
  term_ = term;
  planner_ = planner;
  next_report_ = now;
  incarnations_.SetTerm(term, now);
  SendStatement(now);
}

/** Tells the planner which calls are open: none that an earlier planner ordered will follow. */
void agent_core::SendStatement(millis now) {
  open_starts_notice statement;
  statement.term = term_;
  statement.workers = sent_starts_.Unanswered(now);
  for (auto& open : statement.workers) {
    const worker_controller* controller = incarnations_.Find(open.worker);
    if (controller == nullptr) continue;
    open.address = controller->address();
    open.vm = controller->profile().vm;
  }
  out_->emplace_back(send_to_peer{planner_, std::move(statement)});
}

void agent_core::SendReports(millis now) {
  if (planner_.empty()) return;
  const bool due = now >= next_report_;
  for (auto& [id, controller] : incarnations_.present()) {
    if (!due && !controller.changed()) continue;
    worker_report report = controller.Report(++report_sequence_, now);
    report.unanswered = sent_starts_.Unanswered(id, now);
    out_->emplace_back(send_to_peer{planner_, std::move(report)});
  }
  if (due) next_report_ = now + kReportInterval;
}

void agent_core::AdjustLinks(millis now) {
  link_changes changes = entries_.Next(now);
  for (auto& address : changes.dial) out_->emplace_back(dial_peer{std::move(address)});
  for (auto& address : changes.undial) out_->emplace_back(undial_peer{std::move(address)});
}

void agent_core::LookForEntries(millis now) {
  lookup_.Update(entries_.planner_missing_since(), now);
  if (auto call = lookup_.NextCall(now)) out_->emplace_back(std::move(*call));
  if (const auto reload = lookup_.NextReload(now)) out_->emplace_back(*reload);
}

void agent_core::LogPlannerMissing(millis now) {
  const auto since = entries_.planner_missing_since();
  if (!since) {
    if (!missing_logged_) return;
    log_event("planner-found")
        .With("planner", planner_)
        .With("missing_ms", (now - *missing_logged_).count());
    missing_logged_.reset();
    return;
  }
  if (now - *since < kMissingLogged || (missing_logged_ && now < next_missing_log_)) return;
  missing_logged_ = since;
  next_missing_log_ = now + kMissingLogInterval;
  log_event("planner-missing", log_level::kWarning)
      .With("missing_ms", (now - *since).count())
      .With("last", planner_)
      .With("connected", static_cast<int64_t>(entries_.connected().size()))
      .With("dialled", static_cast<int64_t>(entries_.dialled()))
      .With("readings", lookup_.completed())
      .With("failed", lookup_.failed());
}

agent_statistics agent_core::stats(millis now) const {
  agent_statistics stats;
  stats.connected_entries = static_cast<int64_t>(entries_.connected().size());
  stats.dialled_addresses = static_cast<int64_t>(entries_.dialled());
  const auto since = entries_.planner_missing_since();
  stats.planner_connected = !since.has_value();
  if (since) stats.planner_missing = now - *since;
  stats.entry_readings = lookup_.completed();
  stats.failed_readings = lookup_.failed();
  return stats;
}

}  // namespace eelgrass
