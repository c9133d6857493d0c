#include "commands.h"

#include "endivequay/etcdstore.h"

#include <cstdlib>
#include <iostream>
#include <memory>

using namespace endivequay;

namespace {

std::optional<std::string> environmentVariable(const std::string &name)
{
    const char *value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

} // namespace

int main(int argc, char **argv)
{
    std::unique_ptr<EtcdStore> store;
    const cli::StoreConnector connectStore
        = [&store](cli::Backend &backend, const cli::Settings &settings) -> Status {
        if (settings.store.empty())
            return Error { "usage", "--store",
                "is required, for example --store 10.0.0.1:2379 or ENDIVEQUAY_STORE" };
        auto created = EtcdStore::create({ settings.store });
        if (!created)
            return created.lastReason();
        store = std::make_unique<EtcdStore>(*std::move(created));
        cli::useStore(backend, *store);
        return Done {};
    };
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    try {
        return static_cast<int>(cli::run(arguments, environmentVariable, cli::networkBackend(),
            connectStore, { std::cin, std::cout, std::cerr }));
    } catch (const std::exception &error) {
        std::cerr << "unexpected error: " << error.what() << '\n';
        return static_cast<int>(cli::ExitCode::Unknown);
    }
}
