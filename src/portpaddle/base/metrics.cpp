// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/base/metrics.h"

#include <mutex>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <fmt/format.h>

namespace Portpaddle {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{ 0.5, 0.95, 0.99 };

constexpr std::array<MetricDescription, static_cast<std::size_t>(Counter::Count)> counters{ {
    { "portpaddle_requests_total", "Requests that callers sent to this daemon." },
    { "portpaddle_refusals_total", "Requests refused with the run state not_run." },
    { "portpaddle_retries_total", "Attempts after the first of a request." },
    { "portpaddle_resumes_total", "Streams continued on another engine after they broke." },
    { "portpaddle_sent_away_total", "Requests forwarded to another data centre." },
    { "portpaddle_received_from_peers_total", "Requests that other data centres forwarded to this daemon." },
    { "portpaddle_tokens_streamed_total", "Tokens forwarded to callers." },
    { "portpaddle_claims_granted_total", "Claims acquired for calls that may not be repeated." },
    { "portpaddle_claims_refused_total", "Calls refused because no claim could be acquired." },
    { "portpaddle_platform_reads_total", "Read operations sent to the platform." },
    { "portpaddle_platform_writes_total", "Write operations sent to the platform." },
    { "portpaddle_platform_watches_total", "Watch operations sent to the platform." },
    { "portpaddle_gossip_messages_sent_total", "Membership datagrams sent." },
    { "portpaddle_gossip_sent_bytes_total", "Bytes of membership datagrams sent." },
    { "portpaddle_gossip_received_bytes_total", "Bytes of membership datagrams received." },
    { "portpaddle_link_frames_sent_total", "Frames sent on links between daemons." },
    { "portpaddle_link_sent_bytes_total", "Bytes sent on links between daemons." },
    { "portpaddle_link_received_bytes_total", "Bytes received on links between daemons." },
    { "portpaddle_peers_rejected_total",
      "Datagrams and links rejected because of a wrong authentication code or a protocol violation." },
    { "portpaddle_sent_beside_total",
      "Attempts sent to another daemon of the own region, because this one does not reach the upstreams." },
    { "portpaddle_upstreams_ended_total", "Upstreams that this daemon found to have ended." },
    { "portpaddle_requests_quarantined_total",
      "Requests that this daemon quarantined because upstreams ended while they ran them." },
    { "portpaddle_quarantine_refusals_total", "Requests refused because they are quarantined." },
    { "portpaddle_repeats_paid_total", "Retries paid for with the retry credit of this daemon." },
    { "portpaddle_repeats_moved_total", "Runs continued elsewhere; they are charged to the retry budget even when it is spent." },
    { "portpaddle_repeats_unseen_total",
      "Attempts after one that reached no upstream; they are not charged to the retry budget." },
    { "portpaddle_repeats_denied_total", "Retries not made because the retry budget was spent." },
    { "portpaddle_upstream_limits_named_total", "Times that this daemon learned of a new or changed limit of an upstream." },
    { "portpaddle_upstream_limits_ended_total", "Times that the limit of an upstream ended." },
    { "portpaddle_upstream_limits_unreadable_total", "Answers with a limit that could not be parsed." },
    { "portpaddle_held_back_by_limits_total",
      "Requests refused because of the limits announced by the upstreams that could run them." },
    { "portpaddle_upstream_leavings_heard_total", "Upstreams that announced in an answer that they are leaving." },
    { "portpaddle_upstream_backoffs_asked_total", "Answers in which an upstream asked for a backoff." },
    { "portpaddle_upstream_notices_unreadable_total", "Answers with a notice about their upstream that could not be parsed." },
    { "portpaddle_sent_past_notice_total",
      "Requests sent to upstreams that had announced that they are leaving, or within a backoff that they had asked for." },
    { "portpaddle_upstream_load_reports_total", "Answers in which an upstream reported its load." },
    { "portpaddle_upstream_load_reports_unreadable_total", "Answers with a reported load that could not be parsed." },
    { "portpaddle_upstream_load_reports_from_daemons_total",
      "Reported loads received from other daemons that were newer than those known." },
    { "portpaddle_limit_admitted_urgent_total", "Urgent requests admitted by the limit of their organisation." },
    { "portpaddle_limit_admitted_usual_total", "Usual requests admitted by the limit of their organisation." },
    { "portpaddle_limit_admitted_patient_total", "Patient requests admitted by the limit of their organisation." },
    { "portpaddle_limit_refused_urgent_total", "Urgent requests refused by the limit of their organisation." },
    { "portpaddle_limit_refused_usual_total", "Usual requests refused by the limit of their organisation." },
    { "portpaddle_limit_refused_patient_total", "Patient requests refused by the limit of their organisation." },
    { "portpaddle_streams_taken_up_total", "Streams that callers took up and whose version was known." },
    { "portpaddle_streams_of_unknown_version_total", "Streams not taken up because no daemon knew the version that began them." },
    { "portpaddle_streams_announced_total", "Streams of which other daemons were told the version that began them." },
    { "portpaddle_brittle_rejections_total", "Requests that brittle upstreams rejected for want of room." },
    { "portpaddle_places_denied_total", "Places at brittle upstreams that were asked for and not granted." },
    { "portpaddle_silent_upstreams_left_total", "Attempts that took over from one whose upstream had fallen silent." },
    { "portpaddle_standbys_dropped_total", "Attempts prepared beside a silent upstream and given up." },
    { "portpaddle_sessions_rejected_total",
      "Connections closed because a request on them broke the protocol or a bound of what peers may send." },
    { "portpaddle_connections_refused_total",
      "Connections closed on arrival because their listener had as many as it may have." },
    { "portpaddle_rests_rejected_total", "Answers that were to be the rest of a stream and do not go on after its last event." },
} };

constexpr std::array<MetricDescription, static_cast<std::size_t>(Timer::Count)> timers{ {
    { "portpaddle_first_byte_ms", "Time from arrival to the first byte of the answer, in ms." },
    { "portpaddle_request_ms", "Time from arrival to the end of the answer, in ms." },
    { "portpaddle_decision_ms", "Time to decide where a request runs, in ms." },
    { "portpaddle_queue_wait_ms", "Time that a request waited in this daemon, in ms." },
    { "portpaddle_prediction_error_ms", "Absolute error of the predicted time to the first token, in ms." },
    { "portpaddle_repeat_arrival_ms", "Time from the payment for a retry until its upstream was heard from, in ms." },
} };

} // namespace

/// Count, sum and quantiles of the observed values. The quantiles are running estimates, which need no stored samples.
class Metrics::Distribution
{
public:
    Distribution() : values_(acc::extended_p_square_probabilities = quantiles)
    {
    }

    void add(double value)
    {
        const std::lock_guard lock(mutex_);
        values_(value);
    }

    std::string text(std::string_view name) const
    {
        const std::lock_guard lock(mutex_);
        std::string result;
        for (std::size_t index = 0; index < quantiles.size() && acc::count(values_) > 0; ++index) {
            result
                += fmt::format("{}{{quantile=\"{}\"}} {:.4f}\n", name, quantiles[index], acc::extended_p_square(values_)[index]);
        }
        return result + fmt::format("{0}_sum {1:.4f}\n{0}_count {2}\n", name, acc::sum(values_), acc::count(values_));
    }

private:
    using Features = acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>;

    mutable std::mutex mutex_;
    acc::accumulator_set<double, Features> values_;
};

std::span<const MetricDescription> counterCatalogue()
{
    return counters;
}

std::span<const MetricDescription> timerCatalogue()
{
    return timers;
}

Metrics::Metrics()
{
    for (auto &timer : timers_) {
        timer = std::make_unique<Distribution>();
    }
}

Metrics::~Metrics() = default;

void Metrics::count(Counter counter, std::uint64_t amount)
{
    counters_.at(static_cast<std::size_t>(counter)).fetch_add(amount, std::memory_order_relaxed);
}

void Metrics::observe(Timer timer, double milliseconds)
{
    timers_.at(static_cast<std::size_t>(timer))->add(milliseconds);
}

std::uint64_t Metrics::value(Counter counter) const
{
    return counters_.at(static_cast<std::size_t>(counter)).load(std::memory_order_relaxed);
}

std::string Metrics::text() const
{
    std::string result;
    for (std::size_t index = 0; index < counters.size(); ++index) {
        const MetricDescription &row = counters[index];
        result += fmt::format("# HELP {0} {1}\n# TYPE {0} counter\n{0} {2}\n", row.name, row.meaning, counters_[index].load());
    }
    for (std::size_t index = 0; index < timers.size(); ++index) {
        result += fmt::format("# HELP {0} {1}\n# TYPE {0} summary\n", timers[index].name, timers[index].meaning);
        result += timers_[index]->text(timers[index].name);
    }
    return result;
}

} // namespace Portpaddle
