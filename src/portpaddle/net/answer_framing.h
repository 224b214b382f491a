// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// How the body of an answer is delimited on a connection (RFC 9112, section 6.3).
#pragma once

// verb.hpp of Beast 1.74 uses streams without including them.
#include <ostream>

#include <boost/beast/http/verb.hpp>

#include <string_view>

namespace Portpaddle {

/// What of a request decides how its answer is framed.
struct RequestLine
{
    boost::beast::http::verb method = boost::beast::http::verb::unknown;
    /// Major and minor version as two digits.
    unsigned version = 11;
};

/// How the receiver of an answer finds the end of its body.
enum class BodyFraming {
    /// The answer ends with its head.
    None,
    /// The head has the length.
    Length,
    /// The body is sent in chunks.
    Chunks,
    /// The body ends with the connection.
    UntilClose,
};

std::string_view nameOf(BodyFraming framing);
/// Whether an answer with @p status to a request with @p method has a body.
bool hasBody(boost::beast::http::verb method, unsigned status);
/// Whether the head of an answer with @p status may have a Content-Length.
bool mayHaveLength(unsigned status);
/// Returns the framing of an answer whose length is known before its head is sent.
BodyFraming framingOfWhole(const RequestLine &request, unsigned status);
/// Returns the framing of an answer whose length is not known when its head is sent.
BodyFraming framingOfStream(const RequestLine &request, unsigned status);

} // namespace Portpaddle
