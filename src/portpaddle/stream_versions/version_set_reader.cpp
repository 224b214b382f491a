// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/stream_versions/version_set_reader.h"

#include "portpaddle/base/log.h"

#include <utility>

namespace Portpaddle {

namespace {

// More streams than break at once; those beyond it are refused unless a daemon knows them.
constexpr std::size_t maxWaiting = 4'096;

} // namespace

VersionSetReader::VersionSetReader(VersionSetSource &source, Interval interval) : source_(source), interval_(std::move(interval))
{
}

VersionSetReader::~VersionSetReader()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wanted_.notify_one();
    thread_.join();
}

void VersionSetReader::start()
{
    thread_ = Thread("version_reads", [this] { run(); });
}

void VersionSetReader::read(Receive receive)
{
    {
        const std::lock_guard lock(mutex_);
        if (waiting_.size() < maxWaiting) {
            waiting_.push_back(std::move(receive));
            wanted_.notify_one();
            return;
        }
    }
    receive(std::nullopt);
}

void VersionSetReader::awaitDemand(std::unique_lock<std::mutex> &lock)
{
    wanted_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
    const auto left = nextReadAt_ - BootClock::now();
    if (left > SteadyTime::duration::zero()) {
        wanted_.wait_for(lock, left, [this] { return stopping_; });
    }
}

void VersionSetReader::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        awaitDemand(lock);
        const std::vector<Receive> receivers = std::exchange(waiting_, {});
        lock.unlock();
        if (!receivers.empty()) {
            nextReadAt_ = BootClock::now() + interval_();
            const Result<VersionSets> sets = source_.readVersionSets();
            if (!isOk(sets)) {
                logEvent(LogEvent::VersionSetUnreadable, { { "message", errorOf(sets).message } });
            }
            for (const Receive &receive : receivers) {
                receive(isOk(sets) ? std::optional(valueOf(sets)) : std::nullopt);
            }
        }
        lock.lock();
    }
}

} // namespace Portpaddle
