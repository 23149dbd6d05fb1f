#include "observe/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace poplar::observe
{

prometheus::Registry& metrics()
{
    static prometheus::Registry registry;
    return registry;
}

std::string metrics_text()
{
    return prometheus::TextSerializer().Serialize(metrics().Collect());
}

} // namespace poplar::observe
