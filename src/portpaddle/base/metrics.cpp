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
    { "portpaddle_refusals_total", "Requests refused as not run." },
    { "portpaddle_retries_total", "Attempts after the first of a request." },
    { "portpaddle_resumes_total", "Streams that went on at another engine after a break." },
    { "portpaddle_sent_away_total", "Requests forwarded to another data centre." },
    { "portpaddle_received_from_peers_total", "Requests that other data centres forwarded to this daemon." },
    { "portpaddle_tokens_streamed_total", "Tokens passed on to callers." },
    { "portpaddle_claims_granted_total", "Claims acquired for calls that may not be repeated." },
    { "portpaddle_claims_refused_total", "Calls refused for want of a claim." },
    { "portpaddle_platform_reads_total", "Reads asked of the platform." },
    { "portpaddle_platform_writes_total", "Writes asked of the platform." },
    { "portpaddle_platform_watches_total", "Watches asked of the platform." },
    { "portpaddle_gossip_messages_sent_total", "Membership datagrams sent." },
    { "portpaddle_gossip_sent_bytes_total", "Bytes of membership datagrams sent." },
    { "portpaddle_gossip_received_bytes_total", "Bytes of membership datagrams received." },
    { "portpaddle_link_frames_sent_total", "Frames sent on links between daemons." },
    { "portpaddle_link_sent_bytes_total", "Bytes sent on links between daemons." },
    { "portpaddle_link_received_bytes_total", "Bytes received on links between daemons." },
    { "portpaddle_peers_rejected_total", "Datagrams and links refused for a wrong code or a broken protocol." },
    { "portpaddle_upstreams_ended_total", "Upstreams that this daemon found to have ended." },
    { "portpaddle_requests_quarantined_total", "Requests that this daemon held because upstreams ended under them." },
    { "portpaddle_quarantine_refusals_total", "Requests refused because they are held." },
    { "portpaddle_repeats_paid_total", "Repeats that the credit of this daemon paid for." },
    { "portpaddle_repeats_moved_total", "Runs that went on elsewhere; they are charged whatever is left of the retry budget." },
    { "portpaddle_repeats_unseen_total", "Attempts after one that no upstream saw; they cost no budget." },
    { "portpaddle_repeats_denied_total", "Repeats not made because the retry budget was spent." },
    { "portpaddle_upstream_limits_named_total", "Times that an upstream named a limit or changed it, as this daemon learned." },
    { "portpaddle_upstream_limits_ended_total", "Times that the limit of an upstream ended." },
    { "portpaddle_upstream_limits_unreadable_total", "Answers whose limit could not be read." },
    { "portpaddle_held_back_by_limits_total", "Requests refused because the upstreams that could run them named limits." },
    { "portpaddle_upstream_leavings_heard_total", "Upstreams that said in an answer that they leave." },
    { "portpaddle_upstream_backoffs_asked_total", "Answers in which an upstream asked not to be sent anything for a time." },
    { "portpaddle_upstream_notices_unreadable_total",
      "Answers in which an upstream said something of itself that could not be read." },
    { "portpaddle_sent_past_notice_total",
      "Requests sent to upstreams that had said that they leave, or within the time that they had asked for." },
} };

constexpr std::array<MetricDescription, static_cast<std::size_t>(Timer::Count)> timers{ {
    { "portpaddle_first_byte_ms", "Time from arrival to the first byte of the answer, in ms." },
    { "portpaddle_request_ms", "Time from arrival to the end of the answer, in ms." },
    { "portpaddle_decision_ms", "Time to decide where a request runs, in ms." },
    { "portpaddle_queue_wait_ms", "Time that a request waited in this daemon, in ms." },
    { "portpaddle_prediction_error_ms", "How far the predicted time to the first token was off, either way, in ms." },
    { "portpaddle_repeat_arrival_ms", "Time from the payment for a repeat until its upstream was heard, in ms." },
} };

} // namespace

/// Count, sum and running estimates of quantiles; they need no stored samples.
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
