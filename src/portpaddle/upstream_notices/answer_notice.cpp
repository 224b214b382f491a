// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/upstream_notices/answer_notice.h"

#include "portpaddle/net/beast_text.h"
#include "portpaddle/net/http_status.h"

namespace Portpaddle {

namespace {

constexpr std::string_view leavingValue = "1";

LeavingNotice readLeaving(const boost::beast::http::fields &head, const std::string &name)
{
    LeavingNotice result = LeavingNotice::Absent;
    const auto [first, last] = head.equal_range(name);
    for (auto field = first; field != last; ++field) {
        if (viewOf(field->value()) == leavingValue) {
            return LeavingNotice::Leaving;
        }
        result = LeavingNotice::Unreadable;
    }
    return result;
}

} // namespace

bool provesNotRun(const boost::beast::http::response_header<> &head, const HeaderNames &names)
{
    return !head[names.notRun].empty() || head.result_int() == HttpStatus::misdirected;
}

bool isSigned(const boost::beast::http::fields &head, const HeaderNames &names)
{
    return names.signature.empty() || !head[names.signature].empty();
}

AnswerNotice readNotice(const boost::beast::http::response_header<> &head, const HeaderNames &names,
                        std::chrono::system_clock::time_point wall)
{
    AnswerNotice notice;
    notice.incarnation = std::string(viewOf(head[names.answeringUpstream]));
    notice.fromUpstream = !provesNotRun(head, names) && isSigned(head, names);
    notice.limit = readLimit(head, names.upstreamLimit);
    notice.brittle = readLimit(head, names.upstreamBrittle);
    notice.full = head.result_int() == HttpStatus::unavailable && provesNotRun(head, names);
    notice.leaving = readLeaving(head, names.upstreamLeaving);
    notice.load = readReportedLoad(head, names.upstreamLoad);
    if (head.result_int() == HttpStatus::unavailable) {
        notice.backoff = readRetryAfter(head, wall);
    }
    return notice;
}

} // namespace Portpaddle
