#include "Core/Declaration/declaration.h"

namespace daisyroad {

namespace {

template <typename Item, typename Name>
const Item* FindByName(const std::vector<Item>& items, const Name& name) {
  for (const Item& item : items) {
    if (item.name == name) {
      return &item;
    }
  }
  return nullptr;
}

}  // namespace

const Zone* Declaration::FindZone(const ZoneName& name) const {
  return FindByName(this->zones, name);
}

const Pool* Declaration::FindPool(const PoolName& name) const {
  return FindByName(this->pools, name);
}

const Service* Declaration::FindService(const ServiceName& name) const {
  return FindByName(this->services, name);
}

const TaskQueue* Declaration::FindQueue(const QueueName& name) const {
  return FindByName(this->queues, name);
}

const Team* Declaration::FindTeam(const TeamName& name) const {
  return FindByName(this->teams, name);
}

}  // namespace daisyroad
