/// Checked TOML settings. A reader collects every fault (unknown key, wrong
/// type, value out of range, unknown unit) and reports all of them at once.
#pragma once

#include "base/address.hpp"
#include "base/error.hpp"
#include "base/time.hpp"
#include "base/units.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace poplar::settings
{

/// One fault of a settings file or sheet.
struct fault
{
    std::string file;
    std::uint32_t line = 0; ///< 1-based; 0 when the key is missing.
    std::string key;        ///< Dotted path of the key.
    std::string reason;
};

/// Returns "FILE:LINE: KEY: REASON".
std::string to_string(const fault& f);

/// All faults found in one file; what() holds one line for each.
class settings_error : public error
{
public:
    explicit settings_error(std::vector<fault> faults);

    const std::vector<fault>& faults() const
    {
        return faults_;
    }

private:
    std::vector<fault> faults_;
};

/// Reads one table of a TOML file. Getters return the default (or an empty
/// value) after recording a fault, so that parsing goes on to the next key.
///
/// Durations are text with a unit ("250ms", "2s", "10min", "24h"); sizes are
/// text with a unit ("64KiB", "1MiB").
class reader
{
public:
    /// Parses text; throws settings_error when it is not TOML.
    static reader from_text(const std::string& text, const std::string& file);
    /// Reads and parses a file; throws settings_error.
    static reader from_file(const std::string& file);

    ~reader();
    reader(reader&&) noexcept;
    reader& operator=(reader&&) noexcept;

    /// Name of the file, as given.
    const std::string& file() const;
    bool has(const std::string& key) const;

    std::string text(const std::string& key);
    std::string text(const std::string& key, const std::string& otherwise);
    std::int64_t integer(const std::string& key, std::int64_t otherwise,
                         std::int64_t lowest, std::int64_t highest);
    double number(const std::string& key, double otherwise, double lowest,
                  double highest);
    bool flag(const std::string& key, bool otherwise);
    duration time(const std::string& key, duration otherwise, duration lowest,
                  duration highest);
    byte_count size(const std::string& key, byte_count otherwise,
                    byte_count lowest, byte_count highest);
    ip_address address(const std::string& key);
    ip_address address(const std::string& key, const ip_address& otherwise);
    std::vector<std::string> texts(const std::string& key);
    std::vector<ip_address> addresses(const std::string& key);

    /// Sub-table; an empty one when absent. Shares the list of faults.
    reader table(const std::string& key);
    /// Array of tables; empty when absent.
    std::vector<reader> tables(const std::string& key);

    /// Records a fault found by the caller, at the line of `key`.
    void fail(const std::string& key, const std::string& reason);

    /// Throws settings_error when any fault was recorded in this file,
    /// including keys that no getter asked for (in this table and its
    /// sub-tables). Call it once, on the outermost table.
    void finish();

private:
    struct document;
    struct node;
    reader(std::shared_ptr<document> doc, std::unique_ptr<node> at);

    std::shared_ptr<document> document_;
    std::unique_ptr<node> node_;
};

} // namespace poplar::settings
