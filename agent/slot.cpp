#include "agent/slot.hpp"

#include "base/era_numbers.hpp"
#include "base/json_text.hpp"

#include <nlohmann/json.hpp>

namespace poplar::agent
{

using nlohmann::json;

std::string to_json(const slot_record& record)
{
    return json{{"incarnation", record.incarnation.value},
                {"address", record.address},
                {"process", record.process}}
        .dump();
}

slot_record parse_slot(const std::string& text)
{
    try
    {
        const json j = parse_json(text);
        return {agent_incarnation(j.at("incarnation").get<std::uint64_t>()),
                j.value("address", ""), j.value("process", "")};
    }
    catch (const json::exception& ec)
    {
        throw parse_error(ec.what());
    }
}

object_key slot_key(const instance_id& instance)
{
    return object_key("slot/" + instance.value);
}

namespace
{

slot_record parse_object(const store::object& o)
{
    return o.version.value == 0 ? slot_record{} : parse_slot(o.value);
}

} // namespace

agent_incarnation take_slot(store::object_store& store,
                            const instance_id& instance,
                            const ip_address& address,
                            const std::string& process)
{
    for (;;)
    {
        const store::object o = store.get(slot_key(instance));
        const slot_record held = parse_object(o);
        // An earlier write whose answer was lost took effect.
        const store_era era = store.era();
        if (held.process == process && is_of_era(held.incarnation.value, era))
            return held.incarnation;
        const slot_record next{
            agent_incarnation(next_in_era(held.incarnation.value, era)),
            to_string(address), process};
        const auto result =
            store.put(slot_key(instance), to_json(next), o.version);
        if (result.status == store::put_status::written)
            return next.incarnation;
    }
}

agent_incarnation read_slot(store::object_store& store,
                            const instance_id& instance)
{
    return parse_object(store.get(slot_key(instance))).incarnation;
}

} // namespace poplar::agent
