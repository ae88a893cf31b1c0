#include "carobshift/config/internal/declaration_checks.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace carobshift {
namespace {

std::string Item(const std::string& list, std::size_t index) {
  return list + "[" + std::to_string(index) + "]";
}

template <typename Spec, typename Id>
void CheckUnique(const std::vector<Spec>& specs,
                 Id Spec::*member,
                 const std::string& list,
                 const std::string& key,
                 YamlProblems& problems) {
  std::map<Id, std::size_t> first_at;
  for (std::size_t i = 0; i < specs.size(); ++i) {
    const Id& id = specs[i].*member;
    const auto [it, is_new] = first_at.emplace(id, i);
    if (!is_new && !id.value().empty())
      problems.AddAt(
          Item(list, i) + "." + key,
          id.value() + " is already declared at " + Item(list, it->second));
  }
}

// Returns a message such as "no entry declares c; declared: a, b".
template <typename Spec, typename Id>
std::string UndeclaredMessage(const std::string& name,
                              const std::vector<Spec>& specs,
                              Id Spec::*member) {
  constexpr std::size_t kMaxNamesShown = 10;
  std::string out = "no entry declares " + name + "; declared:";
  for (std::size_t i = 0; i < std::min(specs.size(), kMaxNamesShown); ++i)
    out += (i == 0 ? " " : ", ") + (specs[i].*member).value();
  if (specs.empty())
    out += " none";
  if (specs.size() > kMaxNamesShown)
    out += ", ...";
  return out;
}

void CheckPool(const Declaration& declaration,
               const ServiceSpec& service,
               const std::string& path,
               YamlProblems& problems) {
  if (service.pool.value().empty())
    return;
  const PoolSpec* pool = declaration.FindPool(service.pool);
  if (pool == nullptr)
    problems.AddAt(path + ".pool",
                   UndeclaredMessage(service.pool.value(), declaration.pools,
                                     &PoolSpec::name));
  else if (pool->kind != service.kind)
    problems.AddAt(path + ".pool",
                   "pool " + service.pool.value() +
                       " is of the other kind than the service");
}

void CheckService(const Declaration& declaration,
                  std::size_t index,
                  YamlProblems& problems) {
  const ServiceSpec& service = declaration.services[index];
  const std::string path = Item("services", index);
  CheckPool(declaration, service, path, problems);
  if (!service.model.value().empty() &&
      declaration.FindModel(service.model) == nullptr)
    problems.AddAt(path + ".model",
                   UndeclaredMessage(service.model.value(), declaration.models,
                                     &ModelSpec::name));
  if (service.floor > service.replicas)
    problems.AddAt(path + ".floor", "must be from 0 to replicas (" +
                                        std::to_string(service.replicas) +
                                        "), not " +
                                        std::to_string(service.floor));
  for (std::size_t i = 0; i < service.depends_on.size(); ++i) {
    const ServiceName& name = service.depends_on[i];
    if (declaration.FindService(name) == nullptr)
      problems.AddAt(Item(path + ".depends_on", i),
                     UndeclaredMessage(name.value(), declaration.services,
                                       &ServiceSpec::name));
  }
}

// Depth-first search over the dependencies. Reports each cycle once, at the
// service whose dependency closes it. The depth is at most the number of
// services, which the parser limits.
class CycleSearch {
 public:
  CycleSearch(const Declaration& declaration, YamlProblems& problems)
      : declaration_(declaration),
        problems_(problems),
        states_(declaration.services.size(), State::kNew) {}

  void Run() {
    for (std::size_t i = 0; i < states_.size(); ++i)
      Visit(i);
  }

 private:
  enum class State { kNew, kOnPath, kDone };

  void Visit(std::size_t index) {
    if (states_[index] != State::kNew)
      return;
    states_[index] = State::kOnPath;
    path_.push_back(index);
    for (const ServiceName& name : declaration_.services[index].depends_on)
      Follow(name);
    path_.pop_back();
    states_[index] = State::kDone;
  }

  void Follow(const ServiceName& name) {
    const ServiceSpec* next = declaration_.FindService(name);
    if (next == nullptr)
      return;
    const auto index =
        static_cast<std::size_t>(next - declaration_.services.data());
    if (states_[index] == State::kOnPath)
      Report(index);
    else
      Visit(index);
  }

  void Report(std::size_t first) {
    std::string cycle;
    for (auto it = std::ranges::find(path_, first); it != path_.end(); ++it)
      cycle += declaration_.services[*it].name.value() + " -> ";
    cycle += declaration_.services[first].name.value();
    problems_.AddAt(Item("services", path_.back()) + ".depends_on",
                    "dependency cycle: " + cycle);
  }

  const Declaration& declaration_;
  YamlProblems& problems_;
  std::vector<State> states_;
  std::vector<std::size_t> path_;
};

// A key in two accounts would let a caller of one account act as the other.
void CheckKeys(const Declaration& declaration, YamlProblems& problems) {
  std::map<std::string, std::string> holders;
  for (std::size_t i = 0; i < declaration.accounts.size(); ++i) {
    const AccountSpec& account = declaration.accounts[i];
    for (std::size_t k = 0; k < account.key_sha256.size(); ++k) {
      const auto [it, is_new] =
          holders.emplace(account.key_sha256[k], account.id.value());
      if (!is_new)
        problems.AddAt(Item(Item("accounts", i) + ".key_sha256", k),
                       "account " + it->second + " has this key already");
    }
  }
}

void CheckAccountServices(const Declaration& declaration,
                          YamlProblems& problems) {
  for (std::size_t i = 0; i < declaration.accounts.size(); ++i) {
    const std::vector<ServiceName>& names = declaration.accounts[i].services;
    for (std::size_t k = 0; k < names.size(); ++k) {
      if (declaration.FindService(names[k]) == nullptr)
        problems.AddAt(Item(Item("accounts", i) + ".services", k),
                       UndeclaredMessage(names[k].value(), declaration.services,
                                         &ServiceSpec::name));
    }
  }
}

}  // namespace

void CheckReferences(const Declaration& declaration, YamlProblems& problems) {
  CheckUnique(declaration.models, &ModelSpec::name, "models", "name", problems);
  CheckUnique(declaration.pools, &PoolSpec::name, "pools", "name", problems);
  CheckUnique(declaration.services, &ServiceSpec::name, "services", "name",
              problems);
  CheckUnique(declaration.stores, &StoreSpec::id, "stores", "id", problems);
  CheckUnique(declaration.accounts, &AccountSpec::id, "accounts", "id",
              problems);
  for (std::size_t i = 0; i < declaration.services.size(); ++i)
    CheckService(declaration, i, problems);
  CycleSearch(declaration, problems).Run();
  CheckKeys(declaration, problems);
  CheckAccountServices(declaration, problems);
}

}  // namespace carobshift
