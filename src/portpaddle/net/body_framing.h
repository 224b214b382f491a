// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What the head of a received message says about its body (RFC 9112, section 6).
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/system/error_code.hpp>

#include <string_view>

namespace Portpaddle {

/// Collects the fields that tell where a body ends and how it is coded.
class BodyFramingFields
{
public:
    void add(std::string_view name, std::string_view value);
    /// Whether the body is coded in a way that a reader who undoes chunks alone does not understand.
    bool hasUnknownCoding() const;
    /// Whether the length is none, or told more than once.
    bool hasUnknownLength() const;

private:
    unsigned codings_ = 0;
    unsigned lengths_ = 0;
    bool isChunked_ = true;
    bool isNumber_ = true;
};

/// Returns bad_transfer_encoding or bad_content_length if @p fields leave unknown what the body is or where it ends.
boost::system::error_code checkBodyFraming(const boost::beast::http::fields &fields);

} // namespace Portpaddle
