#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace dandelion::base {

/// A string identifier. Each `Tag` makes a type of its own, so that identifiers
/// of different kinds cannot be confused.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }
  auto operator<=>(const Id&) const = default;

 private:
  std::string value_;
};

/// An integer count of one unit. Each `Tag` makes a type of its own, so that
/// counts of different units cannot be mixed.
template <typename Tag>
class Quantity {
 public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(int64_t count) : count_(count) {}

  constexpr int64_t count() const { return count_; }
  constexpr Quantity operator+(Quantity other) const {
    return Quantity(count_ + other.count_);
  }
  constexpr Quantity operator-(Quantity other) const {
    return Quantity(count_ - other.count_);
  }
  constexpr auto operator<=>(const Quantity&) const = default;

 private:
  int64_t count_ = 0;
};

using HostId = Id<struct HostTag>;
using DataCentreId = Id<struct DataCentreTag>;
using OrganisationId = Id<struct OrganisationTag>;
using UpstreamId = Id<struct UpstreamTag>;
using PoolName = Id<struct PoolTag>;
using RouteName = Id<struct RouteTag>;
/// Name of an operator's order for a roll-out.
using RolloutName = Id<struct RolloutTag>;
/// Version of an upstream's software.
using SoftwareVersion = Id<struct SoftwareVersionTag>;
using GenerationId = Id<struct GenerationTag>;
using RequestId = Id<struct RequestTag>;
/// Identifies a part of a prompt that several requests may share.
using PartId = Id<struct PartTag>;
/// Identifies one lifetime of a process; a restart at the same address gets a
/// new one.
using Incarnation = Id<struct IncarnationTag>;

using Slots = Quantity<struct SlotsUnit>;
using Tokens = Quantity<struct TokensUnit>;
/// The position of a record in a stream of the platform's log, counted from 1.
using Offset = Quantity<struct OffsetUnit>;

/// Returns 16 random bytes, written as 32 hexadecimal digits.
std::string RandomHexId();

}  // namespace dandelion::base

template <typename Tag>
struct std::hash<dandelion::base::Id<Tag>> {
  size_t operator()(const dandelion::base::Id<Tag>& id) const {
    return std::hash<std::string>()(id.value());
  }
};
