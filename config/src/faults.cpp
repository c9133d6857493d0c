#include "faults.h"

namespace endivequay::detail {

bool Faults::covered(std::string_view path) const
{
    while (!path.empty()) {
        if (paths_.contains(std::string(path)))
            return true;
        const auto end = path.find_last_of(".[");
        path = path.substr(0, end == std::string_view::npos ? 0 : end);
    }
    return false;
}

void Faults::add(std::string path, std::string reason)
{
    if (list_.size() >= maximum || covered(path))
        return;
    paths_.insert(path);
    list_.push_back({ "config.check", std::move(path), std::move(reason) });
}

} // namespace endivequay::detail
