// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Reference pages in Markdown, generated from the tables in the code so that both always agree.
#pragma once

#include <string>

namespace Portpaddle {

std::string settingsPage();
std::string logEventsPage();
std::string metricsPage();
std::string commandLinePage();
std::string policyPage();

} // namespace Portpaddle
