// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Where an exchange writes the answer to its caller.
#pragma once

#include "portpaddle/net/asio.h"

#include <boost/beast/http/fields.hpp>

#include <string>
#include <string_view>

namespace Portpaddle {

/// A whole answer.
struct WholeAnswer
{
    unsigned status = 200;
    boost::beast::http::fields fields;
    std::string body;
};

/// One answer, whole or in pieces. Each call is false once the caller is gone.
class CallerWriter
{
public:
    virtual ~CallerWriter() = default;
    virtual Task<bool> whole(WholeAnswer answer) = 0;
    /// Starts an answer whose length is not known.
    virtual Task<bool> begin(unsigned status, boost::beast::http::fields fields) = 0;
    virtual Task<bool> piece(std::string_view bytes) = 0;
    virtual Task<bool> end() = 0;
    /// Ends an answer between daemons with a field that says how it goes on.
    virtual Task<bool> endWith(const char *name, const std::string &value) = 0;
    /// Ends the connection, so that what was written cannot look complete.
    virtual void abort() = 0;
};

} // namespace Portpaddle
