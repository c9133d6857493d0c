#ifndef ENDIVEQUAY_CONFIG_FAULTS_H
#define ENDIVEQUAY_CONFIG_FAULTS_H

#include "endivequay/result.h"

#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace endivequay::detail {

/// Collects the faults of one configuration, at most one per field.
class Faults
{
public:
    /// A file with 600,000 wrong lines must not fill the memory with messages.
    static constexpr std::size_t maximum = 1'000;

    /// Records that the field at \a path is wrong. Ignored if the field or one that contains it is
    /// already known to be wrong: a value that could not be read has no meaningful range.
    void add(std::string path, std::string reason);

    bool empty() const { return list_.empty(); }
    const Error &first() const { return list_.front(); }
    const std::vector<Error> &list() const { return list_; }

private:
    bool covered(std::string_view path) const;

    std::vector<Error> list_;
    std::unordered_set<std::string> paths_;
};

} // namespace endivequay::detail

#endif
