// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Gossip nodes on one manual clock; their links count bytes and can be cut by tests.
#pragma once

#include "portpaddle/base/system_clock.h"
#include "portpaddle/membership/gossip_node.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Portpaddle {

/// Delivers datagrams one tick after they were sent.
class GossipNetwork
{
public:
    static constexpr Millis tickLength{ 50 };

    explicit GossipNetwork(std::uint64_t seed = 1) : random_(seed)
    {
    }

    GossipNode &add(const std::string &id, const std::string &dataCentre, std::uint64_t incarnation = 1)
    {
        MemberUpdate self;
        self.id = id;
        self.region = "region-" + dataCentre;
        self.dataCentre = dataCentre;
        self.gossip = SocketAddress{ "10.0.0.1", static_cast<std::uint16_t>(1000 + addresses_.size()) };
        const auto known = addresses_.find(id);
        if (known != addresses_.end()) {
            self.gossip = known->second;
        }
        self.linkAddress = self.entryAddress = "127.0.0.1:1";
        self.incarnation = incarnation;
        addresses_[id] = self.gossip;
        byPort_[self.gossip.port] = id;
        nodes_[id] = std::make_unique<GossipNode>(config, self, "cluster-key", random_, now);
        if (!firstAddress_) {
            firstAddress_ = self.gossip;
        }
        nodes_[id]->setSeeds({ *firstAddress_ });
        return *nodes_[id];
    }

    void remove(const std::string &id)
    {
        nodes_.erase(id);
    }

    GossipNode &node(const std::string &id)
    {
        return *nodes_.at(id);
    }

    std::map<std::string, std::unique_ptr<GossipNode>> &nodes()
    {
        return nodes_;
    }

    /// Pauses or resumes a node. Paused nodes neither send nor receive; datagrams sent to them are lost.
    void pause(const std::string &id, bool paused)
    {
        paused_[id] = paused;
    }

    void pass(Millis time)
    {
        for (const Millis end = now + time; now < end; now += tickLength) {
            std::deque<Packet> arriving;
            arriving.swap(inFlight_);
            for (const Packet &packet : arriving) {
                deliver(packet);
            }
            for (auto &[id, node] : nodes_) {
                if (!paused_[id]) {
                    send(id, node->tick(now));
                }
            }
        }
    }

    /// Advances the clock until @p condition holds; returns false after @p limit.
    bool passUntil(Millis limit, const std::function<bool()> &condition)
    {
        for (const Millis end = now + limit; now < end;) {
            if (condition()) {
                return true;
            }
            pass(tickLength);
        }
        return condition();
    }

    /// Returns whether every node sees @p id in @p state.
    bool allSee(const std::string &id, MemberState state) const
    {
        for (const auto &[name, node] : nodes_) {
            const MemberRecord *record = node->members().find(id);
            if (record == nullptr || record->update.state != state) {
                return false;
            }
        }
        return true;
    }

    bool allSeeAllAlive() const
    {
        for (const auto &[id, node] : nodes_) {
            if (!allSee(id, MemberState::Alive)) {
                return false;
            }
        }
        return true;
    }

    GossipConfig config;
    Millis now{ 1'000'000 };
    /// Whether a datagram between two nodes is lost.
    std::function<bool(const std::string &from, const std::string &to)> lost
        = [](const std::string &, const std::string &) { return false; };
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
    std::map<std::string, std::uint64_t> bytesBySender;
    std::size_t largest = 0;

private:
    struct Packet
    {
        std::string from;
        std::string to;
        std::string bytes;
    };

    void send(const std::string &from, const std::vector<Datagram> &datagrams)
    {
        for (const Datagram &datagram : datagrams) {
            bytes += datagram.bytes.size();
            bytesBySender[from] += datagram.bytes.size();
            ++messages;
            largest = std::max(largest, datagram.bytes.size());
            const auto to = byPort_.find(datagram.to.port);
            if (to != byPort_.end() && !lost(from, to->second)) {
                inFlight_.push_back(Packet{ from, to->second, datagram.bytes });
            }
        }
    }

    void deliver(const Packet &packet)
    {
        const auto target = nodes_.find(packet.to);
        if (target != nodes_.end() && !paused_[packet.to]) {
            send(packet.to, target->second->receive(addresses_[packet.from], packet.bytes, now));
        }
    }

    SeededRandom random_;
    std::map<std::string, std::unique_ptr<GossipNode>> nodes_;
    std::map<std::string, SocketAddress> addresses_;
    std::map<std::uint16_t, std::string> byPort_;
    std::map<std::string, bool> paused_;
    std::deque<Packet> inFlight_;
    std::optional<SocketAddress> firstAddress_;
};

} // namespace Portpaddle
