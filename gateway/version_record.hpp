/// Records of the software versions of services, kept in the object store so
/// that a gateway which starts knows of versions that have just left.
#pragma once

#include "gateway/record_writer.hpp"
#include "gateway/types.hpp"

#include <set>
#include <string>

namespace poplar::gateway
{

/// Key prefix of the records, one for each service.
inline constexpr const char* version_prefix = "software-versions/";

using version_set = std::set<software_version>;

object_key version_record_key(const service_id& service);
service_id version_record_service(const object_key& key);

std::string encode_versions(const version_set& versions);
/// Throws parse_error.
version_set decode_versions(const std::string& value);

/// Adds versions in service to a record, and drops those that have long left. A
/// record that cannot be read is replaced.
record_change update_versions(const store::object& record,
                              const version_set& present,
                              const version_set& lapsed);

} // namespace poplar::gateway
