#include "ctl/gateway_log.hpp"

#include "base/error.hpp"

#include <charconv>
#include <fstream>
#include <iostream>

namespace poplar::ctl
{

namespace
{

using nlohmann::json;

bool is_record(const json& line)
{
    return line.is_object() && line.contains("event") && line.contains("name");
}

} // namespace

log_counts read_log(std::istream& in,
                    const std::function<void(const json&)>& take)
{
    log_counts counts;
    std::string line;
    while (std::getline(in, line))
    {
        const auto begin = line.find('{');
        const json record =
            begin == std::string::npos
                ? json()
                : json::parse(line.begin() + std::ptrdiff_t(begin), line.end(),
                              nullptr, false);
        if (is_record(record))
        {
            ++counts.records;
            take(record);
        }
        else
            ++counts.others;
    }
    return counts;
}

log_counts read_logs(const std::vector<std::string>& files,
                     const std::function<void(const json&)>& take)
{
    log_counts sum;
    for (const std::string& it : files)
    {
        std::ifstream file;
        if (it != "-")
            file.open(it);
        if (it != "-" && !file)
            throw error("cannot open " + it);
        const log_counts n = read_log(it == "-" ? std::cin : file, take);
        sum.records += n.records;
        sum.others += n.others;
    }
    return sum;
}

std::string text_field(const json& record, const char* name)
{
    const auto it = record.find(name);
    if (it == record.end() || it->is_null())
        return "";
    return it->is_string() ? it->get<std::string>() : it->dump();
}

std::int64_t number_field(const json& record, const char* name)
{
    const std::string text = text_field(record, name);
    std::int64_t n = 0;
    const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), n);
    return ec == std::errc() && end == text.data() + text.size() ? n : 0;
}

} // namespace poplar::ctl
