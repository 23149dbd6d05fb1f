/// Text tables and JSON on standard output.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace poplar::ctl
{

/// Rows of cells printed in columns of equal width, without lines or colours,
/// so that awk and cut can read them. Empty cells are printed as "-".
class table
{
public:
    explicit table(std::vector<std::string> headings);

    void add(std::vector<std::string> cells);
    std::string text() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

/// Prints one line of JSON; bytes that are not UTF-8 are replaced.
void print_json(const nlohmann::json& j);

} // namespace poplar::ctl
