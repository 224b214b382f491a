// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/routing/upstream_table.h"

#include "portpaddle/base/log.h"

#include <algorithm>

namespace Portpaddle {

namespace {

constexpr unsigned failuresToEject = 3;
constexpr Millis minEjectionTime{ 1'000 };
constexpr Millis maxEjectionTime{ 30'000 };
/// After an ejection or an outage, the share of the slots that may be used grows linearly to all of them over this time.
constexpr Millis slowStartTime{ 10'000 };
constexpr double minAdmittedShare = 0.1;
/// A lower sequence number is accepted after this time without a report: the upstream or its observer may have restarted.
constexpr Millis sequenceResetTime{ 10'000 };

double admittedShare(const UpstreamState &state, Millis now)
{
    if (state.readmittedAt == Millis{ 0 } || now >= state.readmittedAt + slowStartTime) {
        return 1;
    }
    const double elapsed = static_cast<double>((now - state.readmittedAt).count());
    return std::clamp(elapsed / static_cast<double>(slowStartTime.count()), minAdmittedShare, 1.0);
}

LeavingSignal leavingSignal(const UpstreamState &state, LeavingSignal settingsSignal)
{
    if (settingsSignal != LeavingSignal::None) {
        return settingsSignal;
    }
    if (state.leavingByReport) {
        return LeavingSignal::OwnReport;
    }
    return state.leavingByVmList ? LeavingSignal::VmList : LeavingSignal::None;
}

} // namespace

void DispatchCounter::started(Millis at)
{
    const std::lock_guard lock(mutex_);
    times_.push_back(at);
    count_.store(static_cast<std::uint32_t>(times_.size()), std::memory_order_relaxed);
}

void DispatchCounter::ended(Millis startedAt)
{
    const std::lock_guard lock(mutex_);
    const auto found = std::find(times_.begin(), times_.end(), startedAt);
    if (found != times_.end()) {
        times_.erase(found);
    }
    count_.store(static_cast<std::uint32_t>(times_.size()), std::memory_order_relaxed);
}

void DispatchCounter::reported(Millis observedAt)
{
    const std::lock_guard lock(mutex_);
    std::erase_if(times_, [&](Millis at) { return at < observedAt; });
    count_.store(static_cast<std::uint32_t>(times_.size()), std::memory_order_relaxed);
}

std::uint32_t DispatchCounter::count() const
{
    return count_.load(std::memory_order_relaxed);
}

bool UpstreamTable::takeReport(const UpstreamReport &report)
{
    const std::lock_guard lock(mutex_);
    UpstreamState &state = states_[report.upstream];
    const bool sequenceApplies = report.observedAt < state.observedAt + sequenceResetTime;
    if (sequenceApplies && report.sequence <= state.sequence) {
        return false;
    }
    state.sequence = report.sequence;
    state.observedAt = report.observedAt;
    state.load = report.load;
    state.leavingByReport = report.leaving;
    if (report.reachable && !state.reachable) {
        state.readmittedAt = report.observedAt;
    }
    state.reachable = report.reachable;
    state.dispatches->reported(report.observedAt);
    return true;
}

void UpstreamTable::markLeavingByVmList(const std::vector<std::string> &upstreams)
{
    const std::lock_guard lock(mutex_);
    for (auto &[id, state] : states_) {
        state.leavingByVmList = false;
    }
    for (const std::string &id : upstreams) {
        states_[id].leavingByVmList = true;
    }
}

void UpstreamTable::recordSuccess(const std::string &upstream)
{
    const std::lock_guard lock(mutex_);
    UpstreamState &state = states_[upstream];
    state.consecutiveFailures = 0;
    state.ejections = 0;
}

void UpstreamTable::recordFailure(const std::string &upstream, Millis now)
{
    const std::lock_guard lock(mutex_);
    UpstreamState &state = states_[upstream];
    if (++state.consecutiveFailures < failuresToEject || now < state.ejectedUntil) {
        return;
    }
    const Millis ejection = std::min(maxEjectionTime, minEjectionTime * (1 << std::min(state.ejections, 5U)));
    ++state.ejections;
    state.ejectedUntil = now + ejection;
    state.readmittedAt = state.ejectedUntil;
    // The first failure after the readmission ejects the upstream again, unless a request has succeeded before.
    state.consecutiveFailures = failuresToEject - 1;
    logEvent(LogEvent::UpstreamEjected, { { "upstream", upstream }, { "for_ms", std::to_string(ejection.count()) } });
}

std::shared_ptr<DispatchCounter> UpstreamTable::dispatches(const std::string &upstream)
{
    const std::lock_guard lock(mutex_);
    return states_[upstream].dispatches;
}

void UpstreamTable::describe(std::vector<UpstreamView> &views, Millis now) const
{
    const std::lock_guard lock(mutex_);
    for (UpstreamView &view : views) {
        const auto found = states_.find(view.id);
        if (found == states_.end()) {
            continue;
        }
        const UpstreamState &state = found->second;
        view.load = state.load;
        view.observedAt = state.observedAt;
        view.leaving = leavingSignal(state, view.leaving);
        view.healthy = state.reachable && now >= state.ejectedUntil;
        view.admitted = admittedShare(state, now);
    }
}

std::vector<UpstreamReport> UpstreamTable::reports() const
{
    const std::lock_guard lock(mutex_);
    std::vector<UpstreamReport> result;
    for (const auto &[id, state] : states_) {
        result.push_back(
            UpstreamReport{ id, state.sequence, state.observedAt, state.load, state.leavingByReport, state.reachable });
    }
    return result;
}

void UpstreamTable::keepOnly(const std::vector<std::string> &known)
{
    const std::lock_guard lock(mutex_);
    std::erase_if(states_, [&](const auto &entry) { return std::find(known.begin(), known.end(), entry.first) == known.end(); });
}

} // namespace Portpaddle
