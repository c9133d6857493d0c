#ifndef ENDIVEQUAY_CONFIG_VALIDATIONERRORS_H
#define ENDIVEQUAY_CONFIG_VALIDATIONERRORS_H

#include "endivequay/result.h"

#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace endivequay::detail {

/// Collects the validation errors of one configuration, at most one per field.
class ValidationErrors
{
public:
    /// Bounds the memory for messages: a file may have 600,000 invalid lines.
    static constexpr std::size_t maximumCount = 1'000;

    /// Records an error of the field at \a path. Ignored if the field or one that contains it
    /// already has an error: range checks of a value that could not be parsed are meaningless.
    void add(std::string path, std::string reason);

    bool empty() const { return list_.empty(); }
    const Error &first() const { return list_.front(); }
    const std::vector<Error> &list() const { return list_; }

private:
    bool hasError(std::string_view path) const;

    std::vector<Error> list_;
    std::unordered_set<std::string> paths_;
};

} // namespace endivequay::detail

#endif
