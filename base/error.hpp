/// Typed failures. Each package derives its own types from error.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace poplar
{

/// Base of all failures thrown by poplarladder's own code.
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Text that does not have the expected form.
class parse_error : public error
{
public:
    using error::error;
};

/// The beginning of a text that an error message cites. A text from outside
/// may have 1 MB.
std::string excerpt(std::string_view text);

/// A failed system call; `code` is errno.
class system_failure : public error
{
public:
    system_failure(const std::string& operation, int ec);

    int code() const
    {
        return code_;
    }

private:
    int code_;
};

} // namespace poplar
