// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Checks the head of an answer (RFC 9112, sections 2.2, 5 and 6).
#pragma once

#include "portpaddle/net/body_framing.h"

#include <string>

namespace Portpaddle {

/// Takes the bytes of an answer one by one, from its status line on.
class AnswerHeadCheck
{
public:
    /// Returns false if no head has @p byte in this place, or if the head ends with it and leaves unknown what its body is; what
    /// follows has no meaning then. Bytes after the head are not looked at.
    bool accept(char byte);
    /// Whether the empty line that ends the head was taken.
    bool hasEnded() const;
    /// Returns the number in the status line; 0 if it has none.
    unsigned status() const;

private:
    enum class Part {
        StatusLine,
        LineBegin,
        Name,
        Value,
        /// After a carriage return, which only the end of a line has.
        ValueEnd,
        HeadEnd,
        Ended,
    };

    bool acceptNameByte(char byte);
    bool acceptValueByte(char byte);
    bool acceptHeadEnd(char byte) const;
    void takeStatusByte(char byte);

    Part part_ = Part::StatusLine;
    /// Number of blanks in the status line so far; the status stands after the first one.
    unsigned statusBlanks_ = 0;
    unsigned status_ = 0;
    /// The begin of the line's name and value, as much of them as the fields that frame a body may have.
    std::string name_;
    std::string value_;
    BodyFramingFields framing_;
};

} // namespace Portpaddle
