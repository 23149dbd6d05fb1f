#include "base/digest.hpp"
#include "base/json_text.hpp"
#include "sheet/sheet.hpp"

#include <nlohmann/json.hpp>

namespace poplar::sheet
{

namespace
{

using nlohmann::json;

json past_to_json(const past_export& p)
{
    return {{"generation", p.generation.value},
            {"export_id", p.export_id},
            {"operator", p.operator_name},
            {"exported_at", p.exported_at}};
}

past_export past_from_json(const json& j)
{
    return {sheet_generation(j.at("generation").get<std::uint64_t>()),
            j.at("export_id").get<std::string>(),
            j.at("operator").get<std::string>(),
            j.at("exported_at").get<std::int64_t>()};
}

sheet_record record_from_json(const json& j)
{
    sheet_record r;
    r.generation = sheet_generation(j.at("generation").get<std::uint64_t>());
    r.export_id = j.at("export_id").get<std::string>();
    r.operator_name = j.at("operator").get<std::string>();
    r.exported_at = j.at("exported_at").get<std::int64_t>();
    r.text = j.at("text").get<std::string>();
    if (j.at("digest").get<std::string>() != hex(digest(r.text)))
        throw parse_error("sheet record: the digest does not match the text");
    if (const auto past = j.find("past"); past != j.end())
        for (const json& it : *past)
            r.past.push_back(past_from_json(it));
    return r;
}

} // namespace

std::string to_json(const sheet_record& record)
{
    json past = json::array();
    for (const past_export& it : record.past)
        past.push_back(past_to_json(it));
    const json j{{"generation", record.generation.value},
                 {"export_id", record.export_id},
                 {"operator", record.operator_name},
                 {"exported_at", record.exported_at},
                 {"digest", hex(digest(record.text))},
                 {"text", record.text},
                 {"past", past}};
    return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

sheet_record parse_record(const std::string& text)
{
    try
    {
        return record_from_json(parse_json(text));
    }
    catch (const json::exception& ec)
    {
        throw parse_error(std::string("sheet record: ") + ec.what());
    }
}

} // namespace poplar::sheet
