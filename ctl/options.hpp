/// Command line of poplarctl: one set of options for each subcommand.
#pragma once

#include "base/address.hpp"
#include "base/error.hpp"
#include "base/ids.hpp"

#include <optional>
#include <string>
#include <vector>

namespace poplar::ctl
{

enum class command
{
    apply,
    check,
    diff,
    export_sheet,
    status,
    drain,
    undrain,
    explain,
    losses
};

/// Values that the subcommand does not have stay empty.
struct options
{
    command what = command::status;
    bool json = false;
    ip_address platform;
    std::string operator_name;
    std::string file;
    std::string export_id;
    std::optional<sheet_generation> base;
    std::vector<instance_id> instances;
    std::string request;
    std::vector<ip_address> entries;
    std::vector<std::string> logs; ///< Files; "-": standard input.
};

/// A wrong command line.
class usage_error : public error
{
public:
    using error::error;
};

/// Text was printed (--help, --version) and the program should end.
class finished
{
};

/// Throws usage_error and finished.
options parse_options(int argc, char** argv);

} // namespace poplar::ctl
