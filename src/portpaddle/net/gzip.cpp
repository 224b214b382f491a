// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/net/gzip.h"

#include <zlib.h>

namespace Portpaddle {

namespace {

// Adding this to the window bits selects the gzip format.
constexpr int gzipFormat = 16;
constexpr int defaultMemoryLevel = 8;

} // namespace

Result<std::string> gzip(std::string_view bytes)
{
    z_stream stream{};
    if (deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, MAX_WBITS + gzipFormat, defaultMemoryLevel, Z_DEFAULT_STRATEGY) != Z_OK) {
        return Error{ ErrorCode::Internal, "cannot start compression", RunState::NotRun, {} };
    }
    std::string result(deflateBound(&stream, bytes.size()), '\0');
    // zlib does not change its input, although the pointer is not to const.
    stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(bytes.data()));
    stream.avail_in = static_cast<uInt>(bytes.size());
    stream.next_out = reinterpret_cast<Bytef *>(result.data());
    stream.avail_out = static_cast<uInt>(result.size());
    const int outcome = deflate(&stream, Z_FINISH);
    result.resize(stream.total_out);
    deflateEnd(&stream);
    if (outcome != Z_STREAM_END) {
        return Error{ ErrorCode::Internal, "compression failed", RunState::NotRun, {} };
    }
    result.shrink_to_fit();
    return result;
}

} // namespace Portpaddle
