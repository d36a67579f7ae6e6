#include "experiments/endtoendreference.h"

#include <doctest/doctest.h>

using Experiments::ReferenceRates;
using Experiments::ReferenceRequest;
using Experiments::Servable;

TEST_CASE("request, shorter than the cold load, is one that no policy serves") {
  ReferenceRates rates;
  CHECK(Experiments::servable({{0, 1.05, "a"}}, rates)[0] == Servable::No);
  CHECK(Experiments::servable({{0, 1.2, "a"}}, rates)[0] == Servable::Yes);
  CHECK(Experiments::servable({{0, 9, "a"}, {2, 2.2, "a"}}, rates)[1] ==
        Servable::Yes);
}

TEST_CASE("requests, more than the store and the memory allow, are not shown "
          "to be servable") {
  ReferenceRates rates;
  rates.StoreLoadsAtOnce = 1;
  std::vector<ReferenceRequest> two = {{0, 1.5, "a"}, {0, 1.6, "b"}};
  rates.Engines = 2;
  CHECK(Experiments::servable(two, rates)[0] == Servable::Yes);
  CHECK(Experiments::servable(two, rates)[1] == Servable::Unknown);
  rates.StoreLoadsAtOnce = 2;
  CHECK(Experiments::servable(two, rates)[1] == Servable::Yes);
  rates.Engines = 1;
  CHECK(Experiments::servable(two, rates)[1] == Servable::Unknown);
}

TEST_CASE("model, unloaded for another, is loaded again sooner on its engine") {
  ReferenceRates rates;
  std::vector<ReferenceRequest> again = {
      {0, 3, "a"}, {0, 3, "b"}, {4, 4.3, "a"}};
  CHECK(Experiments::servable(again, rates)[2] == Servable::Yes);
  rates.ReloadS = 1;
  CHECK(Experiments::servable(again, rates)[2] == Servable::Unknown);
}
