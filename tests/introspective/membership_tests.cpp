// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Membership and gossip on a manual clock, with partitions, pauses and replaced VMs.

#include "support/gossip_network.h"

#include <doctest/doctest.h>

using namespace Portpaddle;

namespace {

MemberUpdate memberOf(const std::string &id, std::uint64_t incarnation, MemberState state)
{
    MemberUpdate update;
    update.id = id;
    update.dataCentre = "n1";
    update.linkAddress = update.entryAddress = "127.0.0.1:1";
    update.incarnation = incarnation;
    update.state = state;
    return update;
}

class GossipFixture
{
public:
    GossipFixture()
    {
        for (const char *id : { "n-a", "n-b", "n-c" }) {
            network.add(id, "n1");
        }
        for (const char *id : { "s-a", "s-b", "s-c" }) {
            network.add(id, "s1");
        }
        REQUIRE(network.passUntil(Millis{ 30'000 }, [&] { return network.allSeeAllAlive(); }));
    }

    static bool across(const std::string &from, const std::string &to)
    {
        return from.front() != to.front();
    }

    GossipNetwork network;
};

} // namespace

TEST_CASE("Member list, update that reports the own member as suspected or dead, is refuted by a higher incarnation")
{
    MemberList list(memberOf("self", 5, MemberState::Alive), Millis{ 1 });
    CHECK(list.apply(memberOf("self", 5, MemberState::Suspect), Millis{ 2 }) == UpdateEffect::RefutationNeeded);
    CHECK(list.self().incarnation == 6);
    CHECK(list.apply(memberOf("self", 5, MemberState::Dead), Millis{ 2 }) == UpdateEffect::Nothing);
    CHECK(list.apply(memberOf("self", 9, MemberState::Alive), Millis{ 2 }) == UpdateEffect::RefutationNeeded);
    CHECK(list.self().incarnation == 10);
}

TEST_CASE("Member list, leaving member, is not set back by a late alive update")
{
    MemberList list(memberOf("self", 1, MemberState::Alive), Millis{ 1 });
    list.apply(memberOf("x", 3, MemberState::Leaving), Millis{ 1 });
    list.apply(memberOf("x", 3, MemberState::Alive), Millis{ 2 });
    list.apply(memberOf("x", 3, MemberState::Suspect), Millis{ 2 });
    CHECK(list.find("x")->update.state == MemberState::Leaving);
    list.apply(memberOf("x", 4, MemberState::Alive), Millis{ 3 });
    CHECK(list.find("x")->update.state == MemberState::Alive);
}

TEST_CASE("Member list, leaving member refutes an update, stays leaving")
{
    MemberList list(memberOf("self", 1, MemberState::Alive), Millis{ 1 });
    list.leave();
    list.apply(memberOf("self", 1, MemberState::Dead), Millis{ 2 });
    CHECK(list.self().state == MemberState::Leaving);
    CHECK(list.self().incarnation == 2);
}

TEST_CASE("Gossip message, wrong key or any flipped byte, is not accepted")
{
    GossipMessage message;
    message.sender = "a";
    message.members.push_back(memberOf("a", 1, MemberState::Alive));
    const std::string bytes = encodeGossip(message, "cluster-key", Millis{ 10 });
    CHECK(decodeGossip(bytes, "cluster-key", Millis{ 10 }).has_value());
    CHECK(!decodeGossip(bytes, "other-key", Millis{ 10 }).has_value());
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        std::string flipped = bytes;
        flipped[index] = static_cast<char>(flipped[index] ^ 1);
        CHECK(!decodeGossip(flipped, "cluster-key", Millis{ 10 }).has_value());
    }
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK(!decodeGossip(bytes.substr(0, length), "cluster-key", Millis{ 10 }).has_value());
    }
}

TEST_CASE("Gossip message, report in transit, keeps its age whatever the clocks show")
{
    GossipMessage message;
    message.sender = "a";
    message.upstreams.push_back(UpstreamDigest{ shortKey("e1"), 4, Millis{ 1'000 }, 3, 2, 1, true, true });
    const std::string bytes = encodeGossip(message, "k", Millis{ 1'250 });
    const GossipMessage read = *decodeGossip(bytes, "k", Millis{ 900'000 });
    REQUIRE(read.upstreams.size() == 1);
    CHECK(read.upstreams[0].observedAt == Millis{ 899'750 });
    CHECK(read.upstreams[0].leaving);
    CHECK(read.upstreams[0].running == 3);
}

TEST_CASE_FIXTURE(GossipFixture, "Membership, daemon that dies, is suspected within seconds and then dead everywhere")
{
    network.remove("n-b");
    const Millis begin = network.now;
    REQUIRE(network.passUntil(Millis{ 10'000 },
                              [&] { return network.node("n-a").members().find("n-b")->update.state != MemberState::Alive; }));
    CHECK(network.now - begin <= Millis{ 4'000 });
    CHECK(network.passUntil(Millis{ 30'000 }, [&] { return network.allSee("n-b", MemberState::Dead); }));
}

TEST_CASE_FIXTURE(GossipFixture, "Membership, paused process resumes, refutes and is alive again everywhere")
{
    network.pause("n-b", true);
    REQUIRE(network.passUntil(Millis{ 30'000 },
                              [&] { return network.node("n-a").members().find("n-b")->update.state == MemberState::Dead; }));
    network.pause("n-b", false);
    CHECK(network.passUntil(Millis{ 60'000 }, [&] { return network.allSeeAllAlive(); }));
    CHECK(network.node("n-b").members().self().incarnation > 1);
}

TEST_CASE_FIXTURE(GossipFixture,
                  "Membership, regions partitioned, no member is declared dead and both sides detect the partition")
{
    network.lost = across;
    network.pass(Millis{ 120'000 });
    CHECK(network.allSeeAllAlive());
    CHECK(network.node("n-a").memberTable(network.now).partitioned);
    for (const MemberView &member : network.node("n-a").memberTable(network.now).members) {
        CHECK(member.suspected == (member.dataCentre == "s1"));
    }
    network.lost = [](const std::string &, const std::string &) { return false; };
    CHECK(network.passUntil(Millis{ 10'000 }, [&] { return !network.node("n-a").memberTable(network.now).partitioned; }));
}

TEST_CASE_FIXTURE(GossipFixture, "Membership, one-way cut between two daemons, neither is declared dead by a third one")
{
    network.lost = [](const std::string &from, const std::string &to) { return from == "n-a" && to == "n-b"; };
    for (int second = 0; second < 120; ++second) {
        network.pass(Millis{ 1'000 });
        CHECK(network.node("n-c").members().find("n-b")->update.state != MemberState::Dead);
        CHECK(network.node("n-c").members().find("n-a")->update.state != MemberState::Dead);
    }
}

TEST_CASE_FIXTURE(GossipFixture, "Membership, data centre partitioned internally, views converge after the partition ends")
{
    network.lost = [](const std::string &from, const std::string &to) { return (from == "n-c") != (to == "n-c"); };
    network.pass(Millis{ 60'000 });
    CHECK(network.node("n-a").members().find("n-c")->update.state == MemberState::Dead);
    network.lost = [](const std::string &, const std::string &) { return false; };
    CHECK(network.passUntil(Millis{ 120'000 }, [&] { return network.allSeeAllAlive(); }));
}

// Guards against halves that forgot each other as dead and that, since each knows other members, never ask a seed again.
TEST_CASE("Membership, data centre partitioned until the dead are forgotten, both halves find each other again")
{
    GossipNetwork network;
    network.config.deadRetention = Millis{ 20'000 };
    for (const char *id : { "n-a", "n-b", "x-a", "x-b" }) {
        network.add(id, "n1");
    }
    REQUIRE(network.passUntil(Millis{ 30'000 }, [&] { return network.allSeeAllAlive(); }));
    network.lost = GossipFixture::across;
    network.pass(Millis{ 120'000 });
    REQUIRE(network.node("n-a").members().find("x-a") == nullptr);
    REQUIRE(network.node("x-a").members().find("n-a") == nullptr);
    network.lost = [](const std::string &, const std::string &) { return false; };
    CHECK(network.passUntil(Millis{ 30'000 }, [&] { return network.allSeeAllAlive(); }));
}

// Guards against new members that found each other in a partition and were told of no member beyond it.
TEST_CASE_FIXTURE(GossipFixture, "Membership, all members of a region replaced in a partition, regions regain contact")
{
    network.lost = across;
    for (const char *id : { "s-a", "s-b", "s-c" }) {
        network.remove(id);
    }
    network.add("s-d", "s1");
    network.add("s-e", "s1");
    const SocketAddress beyond = network.node("n-a").members().self().gossip;
    network.node("s-d").setSeeds({ beyond, network.node("s-e").members().self().gossip });
    network.node("s-e").setSeeds({ beyond, network.node("s-d").members().self().gossip });
    network.pass(Millis{ 30'000 });
    REQUIRE(network.node("s-d").members().find("s-e") != nullptr);
    network.lost = [](const std::string &, const std::string &) { return false; };
    const auto know = [&](const char *id, const char *other) { return network.node(id).members().find(other) != nullptr; };
    CHECK(network.passUntil(Millis{ 30'000 }, [&] { return know("s-d", "n-a") && know("s-e", "n-b") && know("n-c", "s-d"); }));
}

TEST_CASE_FIXTURE(GossipFixture, "Membership, VM replaced at the same address under the same name, new incarnation is accepted")
{
    network.remove("n-b");
    network.pass(Millis{ 2'000 });
    network.add("n-b", "n1", 2);
    CHECK(network.passUntil(Millis{ 60'000 }, [&] { return network.allSeeAllAlive(); }));
}

TEST_CASE_FIXTURE(GossipFixture, "Membership, replaced VM with an earlier clock, supersedes the remembered incarnation")
{
    network.remove("n-b");
    network.pass(Millis{ 30'000 });
    network.add("n-b", "n1", 0);
    CHECK(network.passUntil(Millis{ 60'000 }, [&] { return network.allSeeAllAlive(); }));
    CHECK(network.node("n-b").members().self().incarnation >= 2);
}

TEST_CASE_FIXTURE(GossipFixture, "Membership, planned leave, is known everywhere within three seconds and persists")
{
    network.node("n-b").leave();
    CHECK(network.passUntil(Millis{ 3'000 }, [&] { return network.allSee("n-b", MemberState::Leaving); }));
    network.pass(Millis{ 30'000 });
    CHECK(network.allSee("n-b", MemberState::Leaving));
}

TEST_CASE_FIXTURE(GossipFixture, "Gossip, upstream digest, reaches its own data centre and no other")
{
    UpstreamReport report;
    report.upstream = "e1";
    report.sequence = 1;
    report.observedAt = network.now;
    report.load.running = 5;
    network.node("n-a").takeUpdates();
    network.node("n-b").takeUpdates();
    network.node("s-a").takeUpdates();
    network.node("n-a").announceUpstream(report);
    network.pass(Millis{ 5'000 });
    CHECK(network.node("n-b").takeUpdates().upstreams.size() == 1);
    for (const char *id : { "s-a", "s-b", "s-c" }) {
        CHECK(network.node(id).takeUpdates().upstreams.empty());
    }
}

TEST_CASE_FIXTURE(GossipFixture, "Gossip, summary of a data centre, reaches all others and older ones do not replace it")
{
    SummaryEntry entry;
    entry.dataCentre = "n1";
    entry.service = "m";
    entry.capacity = 40;
    for (int round = 1; round <= 5; ++round) {
        entry.busy = static_cast<unsigned>(round);
        for (const char *id : { "n-a", "n-b", "n-c" }) {
            network.node(id).announceSummaries({ entry }, network.now);
        }
        network.pass(Millis{ 1'000 });
    }
    network.pass(Millis{ 3'000 });
    for (auto &[id, node] : network.nodes()) {
        REQUIRE(node->summaries().count("n1") == 1);
        REQUIRE(node->summaries().at("n1").services.size() == 1);
        CHECK(node->summaries().at("n1").services[0].busy == 5);
    }
}

TEST_CASE_FIXTURE(GossipFixture, "Gossip, newer settings at a peer, are announced to all members")
{
    network.node("s-c").setSettingsVersion(9);
    for (const char *id : { "n-a", "n-b", "n-c", "s-a", "s-b" }) {
        CHECK(network.passUntil(Millis{ 30'000 }, [&] { return network.node(id).takeUpdates().settingsVersion == 9; }));
        network.node(id).setSettingsVersion(9);
    }
}

TEST_CASE("Gossip, ninety daemons, stay within the byte budget and the datagram size")
{
    GossipNetwork network;
    constexpr int daemons = 90;
    for (int index = 0; index < daemons; ++index) {
        network.add("daemon-" + std::to_string(index), "n1");
    }
    network.pass(Millis{ 30'000 });
    network.bytes = 0;
    std::uint64_t sequence = 0;
    for (int second = 0; second < 20; ++second) {
        ++sequence;
        for (int engine = 0; engine < 230; ++engine) {
            UpstreamReport report;
            report.upstream = "engine-" + std::to_string(engine);
            report.sequence = sequence;
            report.observedAt = network.now;
            network.node("daemon-" + std::to_string(engine % daemons)).announceUpstream(report);
        }
        network.pass(Millis{ 1'000 });
    }
    CHECK(network.bytes / daemons / 20 <= 3'000);
    CHECK(network.largest <= maxDatagramBytes);
}

TEST_CASE("Gossip, several random seeds and random partitions, always converges")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        GossipNetwork network(seed);
        SeededRandom chaos(seed * 31);
        for (int index = 0; index < 6; ++index) {
            network.add("d" + std::to_string(index), index < 4 ? "n1" : "s1");
        }
        network.pass(Millis{ 10'000 });
        for (int round = 0; round < 10; ++round) {
            const std::uint64_t cut = chaos.next();
            network.lost = [cut](const std::string &from, const std::string &to) {
                return ((cut >> ((from.back() - '0') * 6 + (to.back() - '0'))) & 1) != 0;
            };
            const std::string victim = "d" + std::to_string(chaos.below(6));
            network.pause(victim, true);
            network.pass(Millis{ static_cast<std::int64_t>(chaos.below(15'000)) });
            network.pause(victim, false);
        }
        network.lost = [](const std::string &, const std::string &) { return false; };
        CHECK(network.passUntil(Millis{ 300'000 }, [&] { return network.allSeeAllAlive(); }));
    }
}

TEST_CASE("Gossip, data centre of planned size among many, load digests arrive although summaries are sent everywhere")
{
    GossipNetwork network;
    constexpr int remotes = 12;
    for (int index = 0; index < 30; ++index) {
        network.add("daemon-" + std::to_string(index), "dc-00");
    }
    for (int index = 1; index <= remotes; ++index) {
        network.add("remote-" + std::to_string(index), "dc-" + std::to_string(index));
    }
    network.pass(Millis{ 30'000 });
    std::size_t arrived = 0;
    for (std::uint64_t second = 1; second <= 20; ++second) {
        std::vector<SummaryEntry> entries(9);
        for (std::size_t service = 0; service < entries.size(); ++service) {
            entries[service].service = "model-" + std::to_string(service);
        }
        for (auto &[id, node] : network.nodes()) {
            node->announceSummaries(entries, network.now);
        }
        for (int engine = 0; engine < 77; ++engine) {
            UpstreamReport report;
            report.upstream = "engine-" + std::to_string(engine);
            report.sequence = second;
            report.observedAt = network.now;
            network.node("daemon-" + std::to_string(engine % 30)).announceUpstream(report);
        }
        network.pass(Millis{ 1'000 });
        arrived += network.node("daemon-0").takeUpdates().upstreams.size();
    }
    CHECK(arrived >= 20 * 77 / 4);
}

TEST_CASE("Gossip, readers of the platform, are two in a data centre of any size and replaced when one dies")
{
    GossipNetwork network;
    constexpr int daemons = 12;
    for (int index = 0; index < daemons; ++index) {
        network.add("d" + std::to_string(index), "n1");
    }
    network.pass(Millis{ 20'000 });
    const auto readers = [&] {
        std::vector<std::string> result;
        for (auto &[id, node] : network.nodes()) {
            if (node->isResponsibleFor("settings", 2)) {
                result.push_back(id);
            }
        }
        return result;
    };
    const std::vector<std::string> before = readers();
    REQUIRE(before.size() == 2);
    network.remove(before.front());
    CHECK(network.passUntil(Millis{ 30'000 }, [&] { return readers().size() == 2; }));
    network.node(before.back()).leave();
    CHECK(network.passUntil(Millis{ 30'000 }, [&] {
        const std::vector<std::string> now = readers();
        return now.size() == 2 && std::find(now.begin(), now.end(), before.back()) == now.end();
    }));
}
