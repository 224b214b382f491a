// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Ends what a scope began, however the scope is left.
#pragma once

#include <utility>

namespace Portpaddle {

/// Calls a function when destroyed, also where a coroutine ends by an exception or is destroyed while it waits. The function must
/// not throw.
template<typename Function>
class ScopeExit
{
public:
    explicit ScopeExit(Function function) : function_(std::move(function))
    {
    }
    ScopeExit(const ScopeExit &) = delete;
    ScopeExit &operator=(const ScopeExit &) = delete;
    ~ScopeExit()
    {
        function_();
    }

private:
    Function function_;
};

} // namespace Portpaddle
