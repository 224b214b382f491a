// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The interface through which an exchange writes the answer to its caller.
#pragma once

#include "portpaddle/gateway/memory_budget.h"
#include "portpaddle/net/asio.h"

#include <boost/beast/http/fields.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace Portpaddle {

/// A complete answer.
struct WholeAnswer
{
    unsigned status = 200;
    boost::beast::http::fields fields;
    std::string body;
    /// Sent instead of the body if set; several answers may share it.
    std::shared_ptr<const std::string> sharedBody{};
    /// What the body takes from the memory for answers; empty for answers that this daemon made itself.
    MemoryShare memory;
};

/// Writes one answer, either whole or in chunks. Each call returns false once the caller is gone.
class CallerWriter
{
public:
    virtual ~CallerWriter() = default;
    virtual Task<bool> whole(WholeAnswer answer) = 0;
    /// Writes the head of an answer whose length is not known.
    virtual Task<bool> begin(unsigned status, boost::beast::http::fields fields) = 0;
    virtual Task<bool> writeChunk(std::string_view bytes) = 0;
    virtual Task<bool> end() = 0;
    /// Ends an answer to another daemon with a trailer field that says where the answer continues.
    virtual Task<bool> endWithTrailer(const char *name, const std::string &value) = 0;
    /// Closes the connection, so that an incomplete answer cannot look complete.
    virtual void abort() = 0;
};

} // namespace Portpaddle
