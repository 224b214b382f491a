// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Checks that the reference pages agree with the code, and that links and source files named in the documentation exist.

#include "portpaddle/base/file.h"
#include "reference/pages.h"

#include <filesystem>
#include <regex>

#include <doctest/doctest.h>

using namespace Portpaddle;

namespace {

const std::filesystem::path sourceDirectory = PORTPADDLE_SOURCE_DIR;

std::string contentsOf(const std::filesystem::path &path)
{
    const Result<std::string> text = readFile(path.string());
    REQUIRE_MESSAGE(isOk(text), path.string());
    return valueOf(text);
}

std::vector<std::filesystem::path> allPages()
{
    std::vector<std::filesystem::path> pages{ sourceDirectory / "README.md" };
    for (const auto &entry : std::filesystem::recursive_directory_iterator(sourceDirectory / "docs")) {
        if (entry.path().extension() == ".md") {
            pages.push_back(entry.path());
        }
    }
    return pages;
}

} // namespace

TEST_CASE("Documentation, reference pages, agree with the code")
{
    CHECK(contentsOf(sourceDirectory / "docs/settings.md") == settingsPage());
    CHECK(contentsOf(sourceDirectory / "docs/log-events.md") == logEventsPage());
    CHECK(contentsOf(sourceDirectory / "docs/metrics.md") == metricsPage());
    CHECK(contentsOf(sourceDirectory / "docs/command-line.md") == commandLinePage());
    CHECK(contentsOf(sourceDirectory / "docs/policy.md") == policyPage());
}

TEST_CASE("Documentation, links and named source files, exist")
{
    const std::regex link(R"(\]\(([^)#]+)\))");
    const std::regex source(R"(`((?:src|benchmarks|tests|tools|wire)/[A-Za-z0-9_./-]+)`)");
    for (const std::filesystem::path &page : allPages()) {
        const std::string text = contentsOf(page);
        for (std::sregex_iterator match(text.begin(), text.end(), link), end; match != end; ++match) {
            CAPTURE(page.string());
            CAPTURE((*match)[1].str());
            CHECK(std::filesystem::exists(page.parent_path() / (*match)[1].str()));
        }
        for (std::sregex_iterator match(text.begin(), text.end(), source), end; match != end; ++match) {
            CAPTURE(page.string());
            CAPTURE((*match)[1].str());
            CHECK(std::filesystem::exists(sourceDirectory / (*match)[1].str()));
        }
    }
}
