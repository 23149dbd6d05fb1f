#include "standin/common/fault_gate.hpp"

namespace poplar::standin
{

fault_gate::fault_gate(net::http_handler handler) : handler_(std::move(handler))
{
}

void fault_gate::handle(net::http_request request, net::responder_ptr answer)
{
    {
        absl::MutexLock lock(&mutex_);
        if (frozen_)
        {
            kept_.push_back({std::move(request), std::move(answer)});
            return;
        }
    }
    handler_(std::move(request), std::move(answer));
}

void fault_gate::set_frozen(bool frozen)
{
    std::vector<kept_request> passed;
    {
        absl::MutexLock lock(&mutex_);
        frozen_ = frozen;
        if (!frozen)
            passed.swap(kept_);
    }
    for (kept_request& it : passed)
        handler_(std::move(it.request), std::move(it.answer));
}

bool fault_gate::is_frozen() const
{
    absl::MutexLock lock(&mutex_);
    return frozen_;
}

} // namespace poplar::standin
