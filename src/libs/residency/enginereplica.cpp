#include "residency/enginereplica.h"

#include <algorithm>

namespace Residency {

namespace {

bool contains(const std::vector<std::string> &list, const std::string &name) {
  return std::find(list.begin(), list.end(), name) != list.end();
}

double sizeOf(const Fleet::Engine &engine, const std::string &model) {
  const Fleet::Model *known = engine.findModel(model);
  // The size of a model that was removed from the configuration is unknown;
  // assume that it takes all the memory.
  return known ? known->SizeMb : engine.MemoryMb;
}

/// Moves the name to the end of the list as the most recently used one, and
/// evicts the least recently used ones that no longer fit.
void touchLru(std::vector<std::string> &list, const std::string &name,
              const Fleet::Engine &engine, double capacityMb) {
  std::erase(list, name);
  list.push_back(name);
  auto total = [&] {
    double sum = 0;
    for (const std::string &it : list)
      sum += sizeOf(engine, it);
    return sum;
  };
  while (list.size() > 1 && total() > capacityMb)
    list.erase(list.begin());
}

} // namespace

HeldAdapter *HeldModel::findAdapter(const std::string &name) {
  auto it = std::find_if(Adapters.begin(), Adapters.end(),
                         [&](const HeldAdapter &a) { return a.Name == name; });
  return it == Adapters.end() ? nullptr : &*it;
}

const HeldAdapter *HeldModel::findAdapter(const std::string &name) const {
  return const_cast<HeldModel *>(this)->findAdapter(name);
}

HeldModel *EngineReplica::find(const std::string &model) {
  auto it = std::find_if(Models.begin(), Models.end(),
                         [&](const HeldModel &m) { return m.Name == model; });
  return it == Models.end() ? nullptr : &*it;
}

const HeldModel *EngineReplica::find(const std::string &model) const {
  return const_cast<EngineReplica *>(this)->find(model);
}

uint32_t EngineReplica::adapterCount() const {
  size_t n = 0;
  for (const HeldModel &it : Models)
    n += it.Adapters.size();
  return uint32_t(n);
}

CopySource sourceOf(const EngineReplica &replica, const std::string &model) {
  if (contains(replica.InMemory, model))
    return CopySource::Memory;
  return contains(replica.OnDisk, model) ? CopySource::Disk : CopySource::Store;
}

Milliseconds loadTime(const Fleet::Model &model, CopySource source) {
  switch (source) {
  case CopySource::Memory:
    return model.MemoryLoadTime;
  case CopySource::Disk:
    return model.DiskLoadTime;
  case CopySource::Store:
    break;
  }
  return model.StoreLoadTime;
}

double freeMb(const EngineReplica &replica, const Fleet::Engine &engine) {
  double used = 0;
  for (const HeldModel &it : replica.Models) {
    const Fleet::Model *model = engine.findModel(it.Name);
    used += model ? model->SizeMb : 0;
    if (!model) // Unknown size: assume that it takes all the memory.
      return 0;
  }
  return engine.MemoryMb - used;
}

void noteCachedCopy(EngineReplica &replica, const Fleet::Engine &engine,
                    const std::string &model) {
  touchLru(replica.InMemory, model, engine, engine.HostMemoryMb);
  touchLru(replica.OnDisk, model, engine, engine.DiskMb);
}

} // namespace Residency
