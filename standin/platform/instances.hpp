/// Instance list whose readers see changes after a lag.
#pragma once

#include "base/time.hpp"
#include "store/object_store.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace poplar::standin_platform
{

class lagging_instances
{
public:
    void set(const store::instance_record& record, mono_time at);
    void remove(const instance_id& instance, mono_time at);
    /// The list as it was `lag` ago. A change once seen stays seen.
    std::vector<store::instance_record> read(mono_time at, duration lag);

private:
    struct change
    {
        mono_time at;
        instance_id instance;
        std::optional<store::instance_record> record;
    };

    std::deque<change> pending_;
    std::map<instance_id, store::instance_record> visible_;
};

} // namespace poplar::standin_platform
