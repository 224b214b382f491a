// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/base/json_text.h"

#include <string_view>

namespace Portpaddle {

namespace {

/// Finds the end of strings, whose brackets nest nothing.
class StringTracker
{
public:
    /// Returns whether @p byte belongs to a string.
    bool isWithin(char byte)
    {
        const bool was = within_;
        if (escaped_) {
            escaped_ = false;
        } else if (within_ && byte == '\\') {
            escaped_ = true;
        } else if (byte == '"') {
            within_ = !within_;
        }
        return was || within_;
    }

private:
    bool within_ = false;
    bool escaped_ = false;
};

// The library parses and frees any depth, but copies, compares and writes a value by recursion: a deep one overflows the stack.
bool isTooDeep(std::string_view text)
{
    StringTracker strings;
    std::size_t depth = 0;
    for (const char byte : text) {
        if (strings.isWithin(byte)) {
            continue;
        }
        if (byte == '[' || byte == '{') {
            ++depth;
        } else if ((byte == ']' || byte == '}') && depth > 0) {
            --depth;
        }
        if (depth > maxJsonDepth) {
            return true;
        }
    }
    return false;
}

} // namespace

nlohmann::json parseJson(const std::string &text)
{
    return isTooDeep(text) ? nlohmann::json(nlohmann::json::value_t::discarded) : nlohmann::json::parse(text, nullptr, false);
}

nlohmann::json parseJsonOrThrow(const std::string &text)
{
    if (isTooDeep(text)) {
        constexpr int otherError = 501;
        throw nlohmann::json::other_error::create(otherError, "nested too deeply", static_cast<nlohmann::json *>(nullptr));
    }
    return nlohmann::json::parse(text);
}

} // namespace Portpaddle
