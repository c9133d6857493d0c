#include "settings.h"

namespace endivequay::cli {

const std::vector<CommandInfo> &allCommands()
{
    static const std::vector<CommandInfo> commands {
        { CommandId::Check, "check", "", "check a configuration without changing anything",
            "Reads a configuration (JSON) from standard input and prints every error and warning "
            "with\nthe path of its field. Needs neither the store nor instances.",
            { "json" } },
        { CommandId::Diff, "diff", "", "show what apply would change",
            "Reads a configuration from standard input and compares it with the store. Prints one "
            "line\nper added (+), removed (-) or changed (~) document, and the changed fields.",
            { "store", "json", "exit-code" } },
        { CommandId::Apply, "apply", "", "apply a configuration",
            "Reads a configuration from standard input, writes the difference to the store and "
            "waits\nuntil every reachable instance has it. Progress goes to standard error. "
            "Instances that do\nnot have it, or do not respond, are listed.",
            { "store", "instances", "by", "wait", "json" } },
        { CommandId::Status, "status", "", "show the state of the instances",
            "Queries the state of the given instances and of the members that they know.",
            { "instances", "store", "json" } },
        { CommandId::KeyNew, "key new", "", "create a key",
            "Prints a new key, which is not stored, and its SHA-256. With --team the digest is "
            "also\nadded to the team in the store, so that the key works within seconds. Add the "
            "digest to\nyour program too: apply removes keys that the program does not have.",
            { "team", "id", "store", "instances", "by", "wait", "json" } },
        { CommandId::KeyWithdraw, "key withdraw", "", "withdraw a key",
            "Removes a key from its team and waits until no reachable instance accepts it. Remove "
            "it\nfrom your program too: apply adds it again otherwise.",
            { "team", "id", "store", "instances", "by", "wait", "json" } },
        { CommandId::Drain, "drain", "UPSTREAM", "drain an upstream or an instance",
            "Marks an upstream as draining and waits until it serves no request. With --undo it is "
            "put\nback into service and ramps up like a cold upstream. With --instance the "
            "instance\nfinishes its requests and exits.",
            { "undo", "instance", "store", "instances", "by", "wait", "json" } },
        { CommandId::Shift, "shift", "", "move a fraction of a region's client blocks",
            "Moves the home of client blocks in steps of an eighth of the service's shift cap, one "
            "every\n(window + 12 s) / 3, so that at most half of the cap moves in any window. "
            "Stops when it is\ninterrupted; the same command continues from there.",
            { "service", "from", "to", "fraction", "store", "by", "json" } },
        { CommandId::Timeline, "timeline", "", "show the merged events of the instances",
            "Fetches the events of the instances and prints them in causal order. An event must "
            "match\nevery filter given.",
            { "instances", "request", "team", "upstream", "change", "chrome", "json" } },
        { CommandId::Version, "version", "", "print the version", "Prints the version.",
            { "json" } },
        { CommandId::Completion, "completion", "bash", "print a completion script",
            "Prints a completion script. Use it with: source <(endivequay completion bash)", {} },
        { CommandId::Help, "help", "COMMAND", "show help for a command",
            "Shows the help of one command, or lists all commands.", {} },
    };
    return commands;
}

} // namespace endivequay::cli
