#include "standin/platform/instances.hpp"

namespace poplar::standin_platform
{

void lagging_instances::set(const store::instance_record& record, mono_time at)
{
    pending_.push_back({at, record.instance, record});
}

void lagging_instances::remove(const instance_id& instance, mono_time at)
{
    pending_.push_back({at, instance, std::nullopt});
}

std::vector<store::instance_record> lagging_instances::read(mono_time at,
                                                            duration lag)
{
    while (!pending_.empty() && pending_.front().at + lag <= at)
    {
        const change& c = pending_.front();
        if (c.record)
            visible_[c.instance] = *c.record;
        else
            visible_.erase(c.instance);
        pending_.pop_front();
    }
    std::vector<store::instance_record> records;
    records.reserve(visible_.size());
    for (const auto& [id, record] : visible_)
        records.push_back(record);
    return records;
}

} // namespace poplar::standin_platform
