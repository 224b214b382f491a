// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Claims on at-most-once calls, and the audit trail, while the platform is down or loses replies.

#include "portpaddle/base/system_clock.h"
#include "portpaddle/claims/claim_store.h"
#include "portpaddle/control/audit_trail.h"
#include "portpaddle/platform/memory_platform.h"
#include "support/manual_clock.h"

#include <thread>

#include <doctest/doctest.h>

using namespace Portpaddle;

namespace {

class ClaimFixture
{
public:
    Result<Claim> acquire(ClaimStore &store)
    {
        return store.acquire("o", "s", "key-1");
    }

    ManualClock clock;
    MemoryPlatform platform{ clock };
    SeededRandom random{ 3 };
    ClaimStore first{ platform, clock, random, "d1" };
    ClaimStore second{ platform, clock, random, "d2", [this](const std::string &daemon, const std::string &key) {
                          return daemon == "d1" && first.ranHere(key);
                      } };
};

} // namespace

TEST_CASE_FIXTURE(ClaimFixture, "Claim, same key through two daemons, is granted once")
{
    REQUIRE(isOk(acquire(first)));
    const Result<Claim> refused = acquire(second);
    REQUIRE(!isOk(refused));
    CHECK(errorOf(refused).code == ErrorCode::DuplicateRequest);
    CHECK(errorOf(refused).run == RunState::MayHaveRun);
    CHECK(isOk(second.acquire("other", "s", "key-1")));
}

TEST_CASE_FIXTURE(ClaimFixture, "Claim, call has run, second acquisition is refused as already run")
{
    const Result<Claim> claim = acquire(first);
    first.markRan(valueOf(claim));
    CHECK(errorOf(acquire(second)).run == RunState::Ran);
}

TEST_CASE_FIXTURE(ClaimFixture, "Claim, released as not run, may be acquired again")
{
    first.release(valueOf(acquire(first)));
    CHECK(isOk(acquire(second)));
}

TEST_CASE_FIXTURE(ClaimFixture, "Claim, reply of the write lost, is recognised by its id")
{
    platform.setFaults(PlatformFaults{ .down = false, .losesReplies = true });
    CHECK(isOk(acquire(first)));
    CHECK(errorOf(acquire(second)).code == ErrorCode::DuplicateRequest);
}

TEST_CASE_FIXTURE(ClaimFixture, "Claim, platform down, is refused as not run with a retry time")
{
    platform.setFaults(PlatformFaults{ .down = true, .losesReplies = false });
    const Result<Claim> refused = acquire(first);
    REQUIRE(!isOk(refused));
    CHECK(errorOf(refused).code == ErrorCode::ClaimUnavailable);
    CHECK(errorOf(refused).run == RunState::NotRun);
    CHECK(errorOf(refused).retryAfter.has_value());
}

TEST_CASE_FIXTURE(ClaimFixture, "Claim, holder paused for a day, send deadline passes before the claim record expires")
{
    const Result<Claim> claim = acquire(first);
    clock.advance(Millis{ 24 * 3'600'000 });
    CHECK(clock.monotonic() >= valueOf(claim).sendBefore);
    CHECK(errorOf(acquire(second)).code == ErrorCode::DuplicateRequest);
    clock.advance(Millis{ 3 * 3'600'000 });
    CHECK(isOk(acquire(second)));
}

TEST_CASE_FIXTURE(ClaimFixture, "Claim, sixteen threads at once, exactly one is granted")
{
    std::atomic<int> granted{ 0 };
    std::vector<std::thread> threads;
    for (int index = 0; index < 16; ++index) {
        threads.emplace_back([&, index] { granted += isOk(acquire(index % 2 == 0 ? first : second)) ? 1 : 0; });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(granted == 1);
}

TEST_CASE_FIXTURE(ClaimFixture, "Audit trail, platform down, keeps entries and writes them once the platform is available")
{
    AuditTrail trail(platform, clock, "d1");
    platform.setFaults(PlatformFaults{ .down = true, .losesReplies = false });
    AuditEntry entry;
    entry.author = "op";
    entry.action = "drain";
    trail.record(entry);
    CHECK(trail.waiting() == 1);
    platform.setFaults(PlatformFaults{ .down = false, .losesReplies = true });
    trail.flush();
    platform.setFaults({});
    trail.flush();
    CHECK(trail.waiting() == 0);
    const Result<std::vector<AuditEntry>> entries = trail.newest(10);
    REQUIRE(isOk(entries));
    CHECK(valueOf(entries).size() == 1);
    CHECK(valueOf(entries).front().action == "drain");
}

namespace {

/// Becomes unavailable right after a write whose reply is lost, so that the writer cannot read back whether it succeeded.
class UnavailableAfterWritePlatform : public MemoryPlatform
{
public:
    using MemoryPlatform::MemoryPlatform;

    Result<std::uint64_t> put(const std::string &key, const std::string &value, std::uint64_t expected,
                              std::uint64_t lease) override
    {
        if (!failsAfterWrite) {
            return MemoryPlatform::put(key, value, expected, lease);
        }
        setFaults(PlatformFaults{ .down = false, .losesReplies = true });
        Result<std::uint64_t> result = MemoryPlatform::put(key, value, expected, lease);
        setFaults(PlatformFaults{ .down = true, .losesReplies = false });
        return result;
    }

    bool failsAfterWrite = true;
};

} // namespace

TEST_CASE("Claim, write with unknown outcome, is refused, and only the same daemon acquires the key again, once")
{
    ManualClock clock;
    UnavailableAfterWritePlatform platform(clock);
    SeededRandom random(1);
    ClaimStore store(platform, clock, random, "d1");
    const Result<Claim> unconfirmed = store.acquire("o", "s", "key-1");
    REQUIRE(!isOk(unconfirmed));
    CHECK(errorOf(unconfirmed).code == ErrorCode::ClaimUnavailable);
    CHECK(errorOf(unconfirmed).run == RunState::NotRun);
    platform.failsAfterWrite = false;
    platform.setFaults({});
    ClaimStore other(platform, clock, random, "d2");
    CHECK(errorOf(other.acquire("o", "s", "key-1")).code == ErrorCode::DuplicateRequest);
    CHECK(isOk(store.acquire("o", "s", "key-1")));
    CHECK(errorOf(store.acquire("o", "s", "key-1")).code == ErrorCode::DuplicateRequest);
}
