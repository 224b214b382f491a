// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/part_guard.h"

#include "portpaddle/crashes/crash_digests.h"
#include "portpaddle/placement/load_digest.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace Portpaddle {

namespace {

// One datagram in ten may be lost; all three are lost once in a thousand cases.
constexpr unsigned sendsPerEnd = 3;
// Upper bounds of the entries waiting to be sent.
constexpr std::size_t maxPendingEnds = 1'024;
constexpr std::size_t maxPendingAnswers = 1'024;

bool takesPart(const DaemonRecord &daemon)
{
    return !daemon.leaving;
}

} // namespace

PartGuard::PartGuard(std::string ownId) : ownId_(std::move(ownId))
{
}

void PartGuard::recordCompleted(const std::vector<RequestFingerprint> &parts, SteadyTime now)
{
    completed_.add(parts, now);
}

// A daemon counts the ends that it saw itself as well, in case it cannot reach those that count for the part.
void PartGuard::upstreamEnded(std::uint64_t upstream, const std::vector<RequestFingerprint> &parts, SteadyTime now)
{
    for (const RequestFingerprint &part : parts) {
        inquiries_.noteEnd(part, upstream, now);
        if (ends_.size() < maxPendingEnds) {
            ends_.push_back({ Wire::EndedUnder(toWire(part), upstream), sendsPerEnd });
        }
    }
}

Wire::PartAnswer PartGuard::answerTo(const RequestFingerprint &part, SteadyTime since) const
{
    const auto completions = static_cast<std::uint16_t>(completed_.completionsSince(since));
    return { toWire(part), completions, completed_.containsSince(part, since) };
}

void PartGuard::takeNews(const FleetView &view, const Wire::LoadDigestT &digest, SteadyTime now)
{
    const bool concerns = !digest.parts_ended.empty() || !digest.part_questions.empty() || !digest.part_answers.empty();
    const auto sender = !concerns ? view.daemons.end()
                                  : std::find_if(view.daemons.begin(), view.daemons.end(),
                                                 [&](const DaemonRecord &one) { return one.id == digest.daemon; });
    if (sender == view.daemons.end()) {
        return;
    }
    for (const Wire::EndedUnder &ended : digest.parts_ended) {
        inquiries_.noteEnd(fromWire(ended.request()), ended.upstream(), now);
    }
    for (const Wire::PartQuestion &question : digest.part_questions) {
        if (answers_.size() < maxPendingAnswers) {
            const SteadyTime since = now - std::chrono::milliseconds(question.since_ms());
            answers_.push_back({ sender->linkAddress, answerTo(fromWire(question.part()), since) });
        }
    }
    for (const Wire::PartAnswer &answer : digest.part_answers) {
        inquiries_.answered(fromWire(answer.part()), digest.daemon, answer.completed(), answer.completions(), now);
    }
}

std::vector<OutgoingDigest> PartGuard::due(const FleetView &view, const Wire::LoadDigestT &header, SteadyTime now)
{
    std::vector<OutgoingDigest> out;
    Wire::LoadDigestT digest = header;
    digest.kind = Wire::DigestKind::Crashes;
    addEnds(view, digest, out);
    addQuestions(view, digest, now, out);
    addAnswers(digest, out);
    return out;
}

void PartGuard::addEnds(const FleetView &view, const Wire::LoadDigestT &header, std::vector<OutgoingDigest> &out)
{
    std::map<std::string, std::vector<Wire::EndedUnder>> byLink;
    for (PendingEnd &pending : ends_) {
        --pending.sendsLeft;
        for (const std::string &link : countingLinks(view, ownId_, fromWire(pending.end.request()))) {
            byLink[link].push_back(pending.end);
        }
    }
    std::erase_if(ends_, [](const PendingEnd &pending) { return pending.sendsLeft == 0; });
    for (const auto &[link, ends] : byLink) {
        forEachChunk(std::span<const Wire::EndedUnder>(ends), [&, &to = link](std::vector<Wire::EndedUnder> chunk) {
            out.push_back({ { to }, header });
            out.back().digest.parts_ended = std::move(chunk);
        });
    }
}

void PartGuard::addQuestions(const FleetView &view, const Wire::LoadDigestT &header, SteadyTime now,
                             std::vector<OutgoingDigest> &out)
{
    std::vector<Wire::PartQuestion> questions;
    for (const PartInquiries::Question &question : inquiries_.dueQuestions(now)) {
        const Wire::PartAnswer own = answerTo(question.part, question.since);
        inquiries_.answered(question.part, ownId_, own.completed(), own.completions(), now);
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - question.since).count();
        questions.emplace_back(toWire(question.part), static_cast<std::uint32_t>(age));
    }
    std::vector<std::string> links;
    for (const DaemonRecord &daemon : view.daemons) {
        if (daemon.id != ownId_ && takesPart(daemon)) {
            links.push_back(daemon.linkAddress);
        }
    }
    forEachChunk(std::span<const Wire::PartQuestion>(questions), [&](std::vector<Wire::PartQuestion> chunk) {
        out.push_back({ links, header });
        out.back().digest.part_questions = std::move(chunk);
    });
}

void PartGuard::addAnswers(const Wire::LoadDigestT &header, std::vector<OutgoingDigest> &out)
{
    std::map<std::string, std::vector<Wire::PartAnswer>> byLink;
    for (const PendingAnswer &pending : std::exchange(answers_, {})) {
        byLink[pending.link].push_back(pending.answer);
    }
    for (const auto &[link, answers] : byLink) {
        forEachChunk(std::span<const Wire::PartAnswer>(answers), [&, &to = link](std::vector<Wire::PartAnswer> chunk) {
            out.push_back({ { to }, header });
            out.back().digest.part_answers = std::move(chunk);
        });
    }
}

std::vector<RequestFingerprint> PartGuard::takeGuilty(const FleetView &view, SteadyTime now)
{
    const auto listed = std::count_if(view.daemons.begin(), view.daemons.end(), takesPart);
    return inquiries_.takeGuilty(static_cast<std::size_t>(listed), now);
}

} // namespace Portpaddle
