// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/part_inquiry.h"

#include <algorithm>
#include <numeric>

namespace Portpaddle {

namespace {

// Callers choose the names of parts, so that what is kept of them is bounded.
constexpr std::size_t maxInquiries = 2'048;
constexpr std::chrono::minutes retention{ 10 };
// A part that others complete is not asked about again sooner.
constexpr std::chrono::milliseconds pause{ 1'000 };
// Daemons of other regions answer within some hundred milliseconds; a question is repeated in each digest interval.
constexpr std::chrono::milliseconds minInquiryTime{ 300 };
constexpr std::chrono::milliseconds maxInquiryTime{ 1'500 };
// A part that ends each upstream that begins to answer on it was not completed just before either. Upstreams that end together,
// as those of one data centre do, leave no time for completions after their end: requests with a widely held part are lost with
// them.
constexpr std::chrono::milliseconds timeBeforeEnds{ 2'000 };
// Where so few requests are completed, it says nothing that none of them holds the part.
constexpr unsigned minCompletions = 8;

} // namespace

void PartInquiries::noteEnd(const RequestFingerprint &part, std::uint64_t upstream, SteadyTime now)
{
    forgetOld(now);
    Inquiry &inquiry = inquiries_[part];
    std::deque<End> &ends = inquiry.ends;
    const bool known = std::any_of(ends.begin(), ends.end(), [upstream](const End &end) { return end.upstream == upstream; });
    if (known) {
        return;
    }
    ends.push_back({ upstream, now });
    if (ends.size() > endsBeforeInquiry) {
        ends.pop_front();
    }
    if (ends.size() == endsBeforeInquiry && !inquiry.isOpen && now - inquiry.openedAt >= pause) {
        open(inquiry, now);
    }
}

void PartInquiries::open(Inquiry &inquiry, SteadyTime now)
{
    inquiry.isOpen = true;
    inquiry.isInnocent = false;
    inquiry.openedAt = now;
    inquiry.answers.clear();
}

void PartInquiries::forgetOld(SteadyTime now)
{
    if (inquiries_.size() < maxInquiries) {
        return;
    }
    const auto lastEnd = [](const auto &item) { return item.second.ends.empty() ? SteadyTime{} : item.second.ends.back().at; };
    std::erase_if(inquiries_, [&](const auto &item) { return now - lastEnd(item) > retention; });
    if (inquiries_.size() >= maxInquiries) {
        inquiries_.erase(std::min_element(inquiries_.begin(), inquiries_.end(),
                                          [&](const auto &one, const auto &other) { return lastEnd(one) < lastEnd(other); }));
    }
}

// An early answer says little: the daemon may fall silent before anything could be completed.
void PartInquiries::answered(const RequestFingerprint &part, const std::string &daemon, bool completedPart, unsigned completions,
                             SteadyTime now)
{
    const auto found = inquiries_.find(part);
    if (found == inquiries_.end() || !found->second.isOpen) {
        return;
    }
    Inquiry &inquiry = found->second;
    inquiry.isInnocent = inquiry.isInnocent || completedPart;
    if (now - inquiry.openedAt >= minInquiryTime) {
        inquiry.answers[daemon] = completions;
    }
}

std::vector<PartInquiries::Question> PartInquiries::dueQuestions(SteadyTime now)
{
    std::vector<Question> questions;
    for (const auto &[part, inquiry] : inquiries_) {
        if (inquiry.isOpen && now - inquiry.openedAt <= maxInquiryTime) {
            questions.push_back({ part, inquiry.ends.front().at - timeBeforeEnds });
        }
    }
    return questions;
}

// Silence is no proof: those that did not answer may have completed the part. Half of the daemons have to answer; once all have,
// the verdict need not wait any longer.
PartVerdict PartInquiries::judge(const Inquiry &inquiry, std::size_t daemons, SteadyTime now)
{
    if (inquiry.isInnocent) {
        return PartVerdict::Innocent;
    }
    const unsigned completions = std::accumulate(inquiry.answers.begin(), inquiry.answers.end(), 0U,
                                                 [](unsigned sum, const auto &answer) { return sum + answer.second; });
    const SteadyTime::duration age = now - inquiry.openedAt;
    const bool all = inquiry.answers.size() >= daemons;
    const bool half = 2 * inquiry.answers.size() >= daemons;
    const bool isProved = completions >= minCompletions && (all || (half && age >= maxInquiryTime));
    if (isProved && age >= minInquiryTime) {
        return PartVerdict::Guilty;
    }
    return age < maxInquiryTime ? PartVerdict::Open : PartVerdict::Innocent;
}

std::vector<RequestFingerprint> PartInquiries::takeGuilty(std::size_t daemons, SteadyTime now)
{
    std::vector<RequestFingerprint> guilty;
    for (auto &[part, inquiry] : inquiries_) {
        if (!inquiry.isOpen) {
            continue;
        }
        const PartVerdict verdict = judge(inquiry, daemons, now);
        inquiry.isOpen = verdict == PartVerdict::Open;
        if (verdict == PartVerdict::Guilty) {
            guilty.push_back(part);
        }
    }
    return guilty;
}

std::size_t PartInquiries::size() const
{
    return inquiries_.size();
}

} // namespace Portpaddle
