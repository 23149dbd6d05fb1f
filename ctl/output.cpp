#include "ctl/output.hpp"

#include <algorithm>
#include <iostream>

namespace poplar::ctl
{

table::table(std::vector<std::string> headings)
{
    rows_.push_back(std::move(headings));
}

void table::add(std::vector<std::string> cells)
{
    cells.resize(rows_.front().size());
    for (std::string& it : cells)
        if (it.empty())
            it = "-";
    rows_.push_back(std::move(cells));
}

std::string table::text() const
{
    std::vector<std::size_t> widths(rows_.front().size());
    for (const auto& row : rows_)
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    std::string out;
    for (const auto& row : rows_)
    {
        for (std::size_t i = 0; i + 1 < row.size(); ++i)
            out += row[i] + std::string(widths[i] + 2 - row[i].size(), ' ');
        out += row.back() + "\n";
    }
    return out;
}

void print_json(const nlohmann::json& j)
{
    std::cout << j.dump(-1, ' ', false,
                        nlohmann::json::error_handler_t::replace)
              << "\n";
}

} // namespace poplar::ctl
