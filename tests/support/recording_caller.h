// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A caller's connection on which every write succeeds.
#pragma once

#include "portpaddle/callers/caller_writer.h"

#include <string>

namespace Portpaddle {

/// Records what is written by name, each followed by a space: continue, whole, head, chunk, end, trailer, abandoned.
class RecordingCaller : public CallerConnection
{
public:
    const std::string &requestId() const override
    {
        return id;
    }
    Task<bool> sendContinue() override
    {
        return record("continue");
    }
    Task<bool> sendWhole(WholeAnswer) override
    {
        return record("whole");
    }
    Task<bool> sendHead(unsigned, boost::beast::http::fields) override
    {
        return record("head");
    }
    Task<bool> sendChunk(std::string_view) override
    {
        return record("chunk");
    }
    Task<bool> sendEnd() override
    {
        return record("end");
    }
    Task<bool> sendEndWithTrailer(const char *, const std::string &) override
    {
        return record("trailer");
    }
    void abandon() override
    {
        written += "abandoned ";
    }

    std::string id = "id1";
    std::string written;

private:
    Task<bool> record(const char *name)
    {
        written += std::string(name) + " ";
        co_return true;
    }
};

} // namespace Portpaddle
