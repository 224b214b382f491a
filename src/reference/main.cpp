// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// portpaddle-reference: prints a page of the reference documentation.

#include "reference/pages.h"

#include <map>

#include <fmt/format.h>

using namespace Portpaddle;

int main(int argc, char **argv)
{
    const std::map<std::string, std::string (*)()> pages{ { "settings", settingsPage },
                                                          { "log-events", logEventsPage },
                                                          { "metrics", metricsPage },
                                                          { "command-line", commandLinePage },
                                                          { "policy", policyPage } };
    const auto page = argc == 2 ? pages.find(argv[1]) : pages.end();
    if (page == pages.end()) {
        fmt::print(stderr,
                   "portpaddle-reference: the argument must be one of settings, log-events, metrics, command-line and policy\n");
        return 2;
    }
    fmt::print("{}", page->second());
    return 0;
}
