// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/net/body_framing.h"

#include "portpaddle/net/beast_text.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace Portpaddle {

namespace http = boost::beast::http;

namespace {

bool equalsIgnoringCase(std::string_view text, std::string_view other)
{
    return boost::beast::iequals({ text.data(), text.size() }, { other.data(), other.size() });
}

bool isNumber(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char byte) { return byte >= '0' && byte <= '9'; });
}

} // namespace

void BodyFramingFields::add(std::string_view name, std::string_view value)
{
    if (equalsIgnoringCase(name, "Transfer-Encoding")) {
        ++codings_;
        isChunked_ = isChunked_ && equalsIgnoringCase(value, "chunked");
    } else if (equalsIgnoringCase(name, "Content-Length")) {
        ++lengths_;
        isNumber_ = isNumber_ && isNumber(value);
    }
}

bool BodyFramingFields::hasUnknownCoding() const
{
    return codings_ > 1 || !isChunked_;
}

// A reader may take equal lengths for one; parsers differ in which of them they do.
bool BodyFramingFields::hasUnknownLength() const
{
    return lengths_ > 1 || !isNumber_ || (lengths_ > 0 && codings_ > 0);
}

boost::system::error_code checkBodyFraming(const http::fields &fields)
{
    BodyFramingFields framing;
    for (const auto &field : fields) {
        framing.add(viewOf(field.name_string()), viewOf(field.value()));
    }
    if (framing.hasUnknownCoding()) {
        return http::error::bad_transfer_encoding;
    }
    return framing.hasUnknownLength() ? boost::system::error_code(http::error::bad_content_length) : boost::system::error_code();
}

} // namespace Portpaddle
