// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// When version sets are read: a read proves something only of what happened before it began.

#include "portpaddle/stream_versions/version_set_reader.h"

#include <doctest/doctest.h>

#include <future>

using namespace Portpaddle;

namespace {

/// A source whose reads end when the test says so, and which counts them.
class HeldSource : public VersionSetSource
{
public:
    Result<VersionSets> readVersionSets() override
    {
        std::unique_lock lock(mutex_);
        const unsigned read = ++begun_;
        changed_.notify_all();
        changed_.wait(lock, [&] { return released_ >= read; });
        if (failing) {
            return Error{ ErrorCode::PlatformUnavailable, "down", RunState::NotRun, {} };
        }
        VersionSets sets;
        sets["s"]["north"].revision = read;
        return sets;
    }

    void awaitRead(unsigned read)
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [&] { return begun_ >= read; });
    }

    void release(unsigned reads)
    {
        const std::lock_guard lock(mutex_);
        released_ = reads;
        changed_.notify_all();
    }

    bool failing = false;

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    unsigned begun_ = 0;
    unsigned released_ = 0;
};

class ReaderFixture
{
public:
    ReaderFixture() : reader(source, [] { return Millis(0); })
    {
        reader.start();
    }

    /// Asks for a read; the result is the number of the one that was used, zero if it failed.
    std::future<std::uint64_t> ask()
    {
        const auto answer = std::make_shared<std::promise<std::uint64_t>>();
        reader.read([answer](const std::optional<VersionSets> &sets) {
            answer->set_value(sets ? sets->at("s").at("north").revision : 0);
        });
        return answer->get_future();
    }

    HeldSource source;
    VersionSetReader reader;
};

} // namespace

TEST_CASE_FIXTURE(ReaderFixture, "Version set reader, asked while a read is under way, answers with a later one")
{
    std::future<std::uint64_t> first = ask();
    source.awaitRead(1);
    std::future<std::uint64_t> second = ask();
    std::future<std::uint64_t> third = ask();
    source.release(2);
    CHECK(first.get() == 1);
    CHECK(second.get() == 2);
    CHECK(third.get() == 2);
}

TEST_CASE_FIXTURE(ReaderFixture, "Version set reader, the store does not answer, says so and reads again when asked")
{
    source.failing = true;
    source.release(1);
    CHECK(ask().get() == 0);
    source.failing = false;
    source.release(2);
    CHECK(ask().get() == 2);
}
