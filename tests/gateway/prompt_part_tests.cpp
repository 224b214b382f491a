// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Parts of prompts that crash upstreams, and those that are only present. crashing_parts_tests.py tests all of it with real
// processes.

#include "portpaddle/crashes/completed_parts.h"
#include "portpaddle/crashes/part_guard.h"
#include "portpaddle/crashes/prompt_part_fingerprint.h"
#include "portpaddle/store_following/fleet_view.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

const SteadyTime start{ 1h };

/// Daemons of two regions whose digests arrive at once, one interval of 100 ms after the other.
class PartFleet
{
public:
    explicit PartFleet(std::size_t daemons)
    {
        for (std::size_t index = 0; index < daemons; ++index) {
            DaemonRecord daemon;
            daemon.id = fmt::format("d{}", index);
            daemon.region = index % 2 == 0 ? "north" : "south";
            daemon.linkAddress = daemon.id;
            view.daemons.push_back(daemon);
            guards.emplace(daemon.id, PartGuard(daemon.id));
        }
    }

    /// Returns how many daemons found @p part to be to blame in this interval.
    std::size_t turn(const RequestFingerprint &part)
    {
        now += 100ms;
        std::size_t accusers = 0;
        for (auto &[id, guard] : guards) {
            Wire::LoadDigestT header;
            header.daemon = id;
            for (const OutgoingDigest &outgoing : guard.due(view, header, now)) {
                for (const std::string &link : outgoing.to) {
                    if (!silent.contains(link)) {
                        guards.at(link).takeNews(view, outgoing.digest, now);
                    }
                }
            }
        }
        for (auto &[id, guard] : guards) {
            const std::vector<RequestFingerprint> guilty = guard.takeGuilty(view, now);
            accusers += std::count(guilty.begin(), guilty.end(), part);
        }
        return accusers;
    }

    std::size_t turnsFor(std::chrono::milliseconds time, const RequestFingerprint &part)
    {
        std::size_t accusers = 0;
        for (const SteadyTime end = now + time; now < end;) {
            accusers += turn(part);
        }
        return accusers;
    }

    /// All daemons but the first complete requests with @p part.
    void complete(const RequestFingerprint &part, unsigned requests = 10)
    {
        for (auto &[id, guard] : guards) {
            for (unsigned request = 0; request < requests; ++request) {
                guard.recordCompleted({ part }, now);
            }
        }
    }

    void endUpstreams(std::uint64_t first, std::uint64_t count, const std::vector<RequestFingerprint> &parts)
    {
        for (std::uint64_t upstream = first; upstream < first + count; ++upstream) {
            guards.at(fmt::format("d{}", upstream % guards.size())).upstreamEnded(upstream, parts, now);
        }
    }

    FleetView view;
    std::map<std::string, PartGuard> guards;
    std::set<std::string> silent;
    SteadyTime now = start;
};

const std::vector<RequestFingerprint> parts = sharedPartsOf("s", "aa:10,dead:20,own:5");
const RequestFingerprint shared = parts.at(0);
const RequestFingerprint deadly = parts.at(1);

} // namespace

TEST_CASE("Parts of a prompt, the last belongs to its request, others are the same in any prompt for the service")
{
    CHECK(parts.size() == 2);
    CHECK(sharedPartsOf("s", "dead:7,other:1").at(0) == deadly);
    CHECK(sharedPartsOf("t", "dead:7,other:1").at(0) != deadly);
    CHECK(sharedPartsOf("s", "dead:7").empty());
    CHECK(sharedPartsOf("s", "").empty());
}

TEST_CASE("Part of prompts, three upstreams ended under it and no request with it completed, is to blame; a shared one is not")
{
    for (const std::size_t daemons : { 1U, 4U, 60U }) {
        CAPTURE(daemons);
        PartFleet fleet(daemons);
        fleet.endUpstreams(1, 3, parts);
        fleet.turn(deadly);
        fleet.complete(shared);
        std::size_t accusersOfShared = 0;
        std::size_t accusersOfDeadly = 0;
        for (int turns = 0; turns < 20; ++turns) {
            accusersOfDeadly += fleet.turn(deadly);
            fleet.complete(shared);
        }
        accusersOfShared += fleet.turnsFor(2s, shared);
        CHECK(accusersOfDeadly >= 1);
        CHECK(accusersOfShared == 0);
    }
}

TEST_CASE("Part of prompts, the same upstream reported by several daemons, counts once")
{
    PartFleet fleet(4);
    for (auto &[id, guard] : fleet.guards) {
        guard.upstreamEnded(1, parts, fleet.now);
        guard.upstreamEnded(2, parts, fleet.now);
    }
    fleet.turn(deadly);
    fleet.complete(shared);
    CHECK(fleet.turnsFor(3s, deadly) == 0);
}

TEST_CASE("Part of prompts, nothing is completed anywhere, is not accused")
{
    PartFleet fleet(4);
    fleet.endUpstreams(1, 5, parts);
    CHECK(fleet.turnsFor(3s, deadly) == 0);
}

TEST_CASE("Part of prompts, most daemons do not answer, is not accused")
{
    PartFleet fleet(9);
    fleet.endUpstreams(1, 5, parts);
    fleet.turn(deadly);
    fleet.complete(shared, 30);
    for (int daemon = 0; daemon < 6; ++daemon) {
        fleet.silent.insert(fmt::format("d{}", daemon));
    }
    CHECK(fleet.turnsFor(3s, deadly) == 0);
}

TEST_CASE("Part of prompts, completed by a single daemon of another region while upstreams ended, is not accused")
{
    PartFleet fleet(10);
    fleet.endUpstreams(1, 3, parts);
    fleet.turn(deadly);
    fleet.complete(shared);
    fleet.guards.at("d7").recordCompleted({ deadly }, fleet.now);
    CHECK(fleet.turnsFor(3s, deadly) == 0);
}

TEST_CASE("Part of prompts, held by requests that end with a data centre and take long, is not accused")
{
    for (const std::size_t daemons : { 1U, 8U, 60U }) {
        CAPTURE(daemons);
        PartFleet fleet(daemons);
        fleet.complete(shared);
        fleet.turnsFor(300ms, shared);
        fleet.endUpstreams(1, 4, { shared });
        std::size_t accusers = 0;
        for (int turns = 0; turns < 20; ++turns) {
            fleet.complete(sharedPartsOf("s", "bb:10,own:5").at(0));
            accusers += fleet.turn(shared);
        }
        CHECK(accusers == 0);
    }
}

TEST_CASE("Part of prompts, ends upstreams from some time on, is accused within the time that the users allow")
{
    PartFleet fleet(8);
    fleet.complete(deadly);
    std::size_t accusers = 0;
    for (std::uint64_t upstream = 1; upstream <= 20 && accusers == 0; ++upstream) {
        fleet.endUpstreams(upstream, 1, { deadly });
        fleet.complete(shared);
        accusers += fleet.turnsFor(300ms, deadly);
    }
    CHECK(accusers >= 1);
}

TEST_CASE("Inquiries, callers invent parts, keep a bounded number")
{
    PartInquiries inquiries;
    for (std::uint64_t part = 0; part < 10'000; ++part) {
        inquiries.noteEnd({ part, part }, part, start);
    }
    CHECK(inquiries.size() <= 2'048);
}
