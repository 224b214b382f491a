// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/link/peer_links.h"

#include "portpaddle/base/log.h"
#include "portpaddle/interfaces/clock.h"
#include "portpaddle/link/call_frame.h"
#include "portpaddle/routing/rendezvous.h"

#include <algorithm>

#include <fmt/format.h>

namespace Portpaddle {

namespace {

constexpr Millis connectTimeout{ 800 };
constexpr Millis askTimeout{ 2'000 };
/// A daemon to which connecting failed is not tried again within this time.
constexpr Millis reconnectDelay{ 1'000 };
/// Number of daemons of a data centre that are tried for one call.
constexpr std::size_t maxTriedCandidates = 2;

Error unreachable(const std::string &what)
{
    return Error{ ErrorCode::PeerUnreachable, fmt::format("{} cannot be reached", what), RunState::NotRun, Millis{ 1000 } };
}

} // namespace

PeerLinks::PeerLinks(PeerIdentity self, std::string clusterKey, Blackboard &board, const Clock &clock, Metrics &metrics)
    : self_(std::move(self)), clusterKey_(std::move(clusterKey)), board_(board), clock_(clock), metrics_(metrics)
{
}

AttemptResult PeerLinks::forward(const std::string &dataCentre, const Call &call, const RequestPolicy &policy, Millis timeLeft,
                                 AnswerSink &sink)
{
    const Millis begin = clock_.monotonic();
    std::size_t tried = 0;
    for (const MemberView &member : candidates(dataCentre)) {
        if (tried++ == maxTriedCandidates) {
            break;
        }
        const Result<std::shared_ptr<PeerConnection>> link = connection(member);
        if (isOk(link)) {
            const Millis left = timeLeft - (clock_.monotonic() - begin);
            return valueOf(link)->run(openFrame(call, policy, board_.settings.read()->version(), left), left, sink);
        }
    }
    return AttemptResult{ AttemptEnd::NotRun, unreachable(dataCentre) };
}

Result<std::optional<std::string>> PeerLinks::ask(const std::string &daemon, const std::string &kind, const std::string &argument)
{
    const std::shared_ptr<const MemberTable> table = board_.members.read();
    for (const MemberView &member : table->members) {
        if (member.id != daemon || !member.alive) {
            continue;
        }
        const Result<std::shared_ptr<PeerConnection>> link = connection(member);
        if (!isOk(link)) {
            return errorOf(link);
        }
        return valueOf(link)->ask(kind, argument, askTimeout);
    }
    return unreachable(daemon);
}

void PeerLinks::closeAll()
{
    const std::lock_guard lock(mutex_);
    connections_.clear();
}

std::vector<MemberView> PeerLinks::candidates(const std::string &dataCentre) const
{
    std::vector<MemberView> result;
    for (const MemberView &member : board_.members.read()->members) {
        if (member.dataCentre == dataCentre && member.alive && !member.suspected && !member.leaving) {
            result.push_back(member);
        }
    }
    // Each daemon has its own order: together they use all daemons of the data centre with few links each.
    const std::uint64_t key = stableHash(self_.node);
    std::sort(result.begin(), result.end(), [&](const MemberView &left, const MemberView &right) {
        return rendezvousScore(key, stableHash(left.id), 1) > rendezvousScore(key, stableHash(right.id), 1);
    });
    return result;
}

Result<std::shared_ptr<PeerConnection>> PeerLinks::connection(const MemberView &member)
{
    {
        const std::lock_guard lock(mutex_);
        const auto found = connections_.find(member.id);
        if (found != connections_.end() && found->second->isOpen()) {
            return found->second;
        }
        const auto failed = failedAt_.find(member.id);
        if (failed != failedAt_.end() && clock_.monotonic() < failed->second + reconnectDelay) {
            return unreachable(member.id);
        }
    }
    // Connecting happens outside the lock: a peer that does not answer must not delay links to others.
    const auto fail = [&]() -> Error {
        const std::lock_guard lock(mutex_);
        failedAt_[member.id] = clock_.monotonic();
        return unreachable(member.id);
    };
    const Result<SocketAddress> address = parseSocketAddress(member.linkAddress);
    if (!isOk(address)) {
        return fail();
    }
    const Result<int> descriptor = FrameSocket::connectTo(valueOf(address), connectTimeout);
    if (!isOk(descriptor)) {
        return fail();
    }
    auto socket = std::make_unique<FrameSocket>(valueOf(descriptor), metrics_);
    socket->setReadTimeout(connectTimeout);
    const std::optional<PeerIdentity> peer = offerHandshake(*socket, self_, clusterKey_);
    // The address may belong to another daemon by now; requests must not go to a daemon other than the chosen one.
    if (!peer || peer->node != member.id || peer->dataCentre != member.dataCentre) {
        logEvent(LogEvent::LinkRejected, { { "peer", member.id } });
        return fail();
    }
    socket->setReadTimeout(Millis{ 0 });
    auto link = std::make_shared<PeerConnection>(std::move(socket), *peer, clock_);
    logEvent(LogEvent::LinkOpened, { { "peer", member.id } });
    const std::lock_guard lock(mutex_);
    std::shared_ptr<PeerConnection> &kept = connections_[member.id];
    // Two requests may have connected at once: the first link is kept, the second is used by its own request only.
    if (kept && kept->isOpen()) {
        return link;
    }
    kept = link;
    return link;
}

} // namespace Portpaddle
