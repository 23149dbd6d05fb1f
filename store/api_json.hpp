/// JSON bodies of the object API.
#pragma once

#include "store/dialect.hpp"

#include <string>
#include <vector>

namespace poplar::store
{

/// Body of a list ("objects") or watch ("changes") answer. Objects whose value
/// is null get version 0; one whose value cannot be read gets an empty value.
/// `era` is that of the answer. Throws parse_error.
object_list parse_objects(const std::string& body, const std::string& member,
                          store_era era);

/// Body of the instance list. Rows of an unknown kind are left out, so that
/// the platform may add kinds. Throws parse_error.
instance_list parse_instances(const std::string& body);

std::string to_json(const std::vector<instance_record>& records);

/// One row without its "instance" member; throws parse_error.
instance_record parse_instance(const instance_id& instance,
                               const std::string& body);

/// Escapes all bytes but letters, digits, "-._~" and '/'.
std::string escape_path(const std::string& text);
/// As escape_path, but escapes '/' too.
std::string escape_query(const std::string& text);
/// Undoes both; throws parse_error for a malformed escape.
std::string unescape(const std::string& text);

} // namespace poplar::store
