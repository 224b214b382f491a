// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Counters and distributions, exported in the Prometheus text format.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace Portpaddle {

/// The counters; their names are in counterCatalogue().
enum class Counter {
    Requests,
    Refusals,
    Retries,
    Resumes,
    SentAway,
    ReceivedFromPeers,
    TokensStreamed,
    ClaimsGranted,
    ClaimsRefused,
    PlatformReads,
    PlatformWrites,
    PlatformWatches,
    GossipMessagesSent,
    GossipBytesSent,
    GossipBytesReceived,
    LinkFramesSent,
    LinkBytesSent,
    LinkBytesReceived,
    PeersRejected,
    SentBeside,
    UpstreamsEnded,
    RequestsQuarantined,
    QuarantineRefusals,
    RepeatsPaid,
    RepeatsMoved,
    RepeatsUnseen,
    RepeatsDenied,
    LimitsNamed,
    LimitsEnded,
    LimitsUnreadable,
    HeldBackByLimit,
    LeavingsHeard,
    BackoffsAsked,
    NoticesUnreadable,
    SentPastNotice,
    LoadReportsReceived,
    LoadReportsUnreadable,
    LoadReportsFromDaemons,
    LimitAdmittedUrgent,
    LimitAdmittedUsual,
    LimitAdmittedPatient,
    LimitRefusedUrgent,
    LimitRefusedUsual,
    LimitRefusedPatient,
    StreamsTakenUp,
    StreamsOfUnknownVersion,
    StreamsAnnounced,
    BrittleRejections,
    PlacesDenied,
    SilentUpstreamsLeft,
    StandbysDropped,
    SessionsRejected,
    ConnectionsRefused,
    RestsRejected,
    Count,
};

/// The durations measured as distributions, in milliseconds; their names are in timerCatalogue().
enum class Timer { FirstByte, WholeRequest, Decision, QueueWait, PredictionError, RepeatArrival, Count };

/// The name and the help text of one metric.
struct MetricDescription
{
    std::string_view name;
    std::string_view meaning;
};

std::span<const MetricDescription> counterCatalogue();
std::span<const MetricDescription> timerCatalogue();

/// The values of all metrics of a daemon. Thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    void count(Counter counter, std::uint64_t amount = 1);
    void observe(Timer timer, double milliseconds);
    std::uint64_t value(Counter counter) const;
    std::string text() const;

private:
    class Distribution;

    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Counter::Count)> counters_{};
    std::array<std::unique_ptr<Distribution>, static_cast<std::size_t>(Timer::Count)> timers_;
};

} // namespace Portpaddle
