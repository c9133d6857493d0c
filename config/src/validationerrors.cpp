#include "validationerrors.h"

namespace endivequay::detail {

bool ValidationErrors::hasError(std::string_view path) const
{
    while (!path.empty()) {
        if (paths_.contains(std::string(path)))
            return true;
        const auto parentEnd = path.find_last_of(".[");
        path = path.substr(0, parentEnd == std::string_view::npos ? 0 : parentEnd);
    }
    return false;
}

void ValidationErrors::add(std::string path, std::string reason)
{
    if (list_.size() >= maximumCount || hasError(path))
        return;
    paths_.insert(path);
    list_.push_back({ "config.check", std::move(path), std::move(reason) });
}

} // namespace endivequay::detail
