#include "agent/entry_links.hpp"

namespace poplar::agent
{

void entry_links::add(const wire::connection_ptr& c)
{
    absl::MutexLock lock(&mutex_);
    links_[c->serial()] = c;
}

void entry_links::remove(const wire::connection_ptr& c)
{
    absl::MutexLock lock(&mutex_);
    links_.erase(c->serial());
}

void entry_links::broadcast(const std::string& encoded)
{
    absl::MutexLock lock(&mutex_);
    for (const auto& [serial, c] : links_)
        c->send(encoded);
}

std::size_t entry_links::size() const
{
    absl::MutexLock lock(&mutex_);
    return links_.size();
}

std::size_t entry_links::queued_bytes() const
{
    absl::MutexLock lock(&mutex_);
    std::size_t bytes = 0;
    for (const auto& [serial, c] : links_)
        bytes += c->queued_bytes();
    return bytes;
}

void entry_links::close_all()
{
    absl::MutexLock lock(&mutex_);
    for (const auto& [serial, c] : links_)
        c->close();
}

} // namespace poplar::agent
