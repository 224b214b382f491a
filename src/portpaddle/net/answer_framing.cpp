// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/net/answer_framing.h"

#include "portpaddle/net/http_status.h"

#include <array>

namespace Portpaddle {

namespace {

// The first version with the chunked coding.
constexpr unsigned http11 = 11;

constexpr std::array<std::string_view, 4> framingNames{ "none", "length", "chunks", "until_close" };

} // namespace

std::string_view nameOf(BodyFraming framing)
{
    return framingNames.at(static_cast<std::size_t>(framing));
}

bool hasBody(boost::beast::http::verb method, unsigned status)
{
    return method != boost::beast::http::verb::head && status != HttpStatus::notModified && mayHaveLength(status);
}

bool mayHaveLength(unsigned status)
{
    return !HttpStatus::isInformational(status) && status != HttpStatus::noContent;
}

BodyFraming framingOfWhole(const RequestLine &request, unsigned status)
{
    return hasBody(request.method, status) ? BodyFraming::Length : BodyFraming::None;
}

BodyFraming framingOfStream(const RequestLine &request, unsigned status)
{
    if (!hasBody(request.method, status)) {
        return BodyFraming::None;
    }
    return request.version < http11 ? BodyFraming::UntilClose : BodyFraming::Chunks;
}

} // namespace Portpaddle
