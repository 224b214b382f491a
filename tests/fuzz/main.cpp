// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Gives damaged messages to everything that reads what peers send. Ends with 1 at the first that a reader does not bear.

#include "fuzz/byte_mutator.h"
#include "fuzz/fuzz_target.h"

#include <fmt/format.h>
#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <map>

using namespace Portpaddle;

namespace {

struct FuzzOptions
{
    int inputs = 10'000;
    int seed = 1;
    std::string target;
    /// The input that is being read is kept here, since a reader may end the process.
    std::string keep = "fuzz-input.bin";
};

FuzzOptions readOptions(int argc, const char **argv)
{
    FuzzOptions options;
    char *target = nullptr;
    char *keep = nullptr;
    const poptOption table[] = { { "inputs", 'n', POPT_ARG_INT, &options.inputs, 0, "number of inputs", "N" },
                                 { "seed", 's', POPT_ARG_INT, &options.seed, 0, "seed of all damages", "N" },
                                 { "target", 't', POPT_ARG_STRING, &target, 0, "the one target to run", "NAME" },
                                 { "keep", 'k', POPT_ARG_STRING, &keep, 0, "file for an input that is not borne", "FILE" },
                                 POPT_AUTOHELP POPT_TABLEEND };
    const poptContext context = poptGetContext("portpaddle_fuzz", argc, argv, table, 0);
    const int problem = poptGetNextOpt(context);
    if (problem < -1) {
        fmt::print(stderr, "{}: {}\n", poptBadOption(context, 0), poptStrerror(problem));
        std::exit(2);
    }
    options.target = target != nullptr ? target : "";
    options.keep = keep != nullptr ? keep : options.keep;
    std::free(target);
    std::free(keep);
    poptFreeContext(context);
    return options;
}

FuzzTargets wantedTargets(const std::string &name)
{
    FuzzTargets all = decoderTargets();
    for (std::unique_ptr<FuzzTarget> &target : connectionTargets()) {
        all.push_back(std::move(target));
    }
    std::erase_if(all, [&name](const std::unique_ptr<FuzzTarget> &target) { return !name.empty() && target->name() != name; });
    return all;
}

/// Keeps the input in progress in a file that survives the end of the process.
class InputKeeper
{
public:
    explicit InputKeeper(std::string path) : path_(std::move(path))
    {
    }
    void keep(const std::string &bytes) const
    {
        std::ofstream(path_, std::ios::binary | std::ios::trunc) << bytes;
    }
    void discard() const
    {
        std::remove(path_.c_str());
    }

private:
    std::string path_;
};

/// Gives inputs to all targets in turn until there were enough; returns false at the first that is not borne.
bool readInputs(const FuzzOptions &options, const FuzzTargets &targets, std::map<std::string, int> &read)
{
    const InputKeeper keeper(options.keep);
    ByteMutator mutator(static_cast<std::uint64_t>(options.seed));
    for (int count = 0; count < options.inputs;) {
        for (const std::unique_ptr<FuzzTarget> &target : targets) {
            if (targets.size() > 1 && mutator.below(target->oneIn()) != 0) {
                continue;
            }
            const std::string bytes = mutator.next(target->corpus());
            keeper.keep(bytes);
            try {
                target->read(bytes);
            } catch (const std::exception &exception) {
                fmt::print("not borne by {}, input {} of seed {}: {}; kept in {}\n", target->name(), count, options.seed,
                           exception.what(), options.keep);
                return false;
            }
            ++read[target->name()];
            ++count;
        }
    }
    keeper.discard();
    return true;
}

} // namespace

int main(int argc, const char **argv)
{
    const FuzzOptions options = readOptions(argc, argv);
    const FuzzTargets targets = wantedTargets(options.target);
    if (targets.empty()) {
        fmt::print(stderr, "no such target: {}\n", options.target);
        return 2;
    }
    std::map<std::string, int> read;
    const bool borne = readInputs(options, targets, read);
    for (const auto &[name, inputs] : read) {
        fmt::print("{}: {} inputs\n", name, inputs);
    }
    if (borne) {
        fmt::print("seed {}: all inputs were borne\n", options.seed);
    }
    return borne ? 0 : 1;
}
