#ifndef SITEWIRE_SAMPLES_H
#define SITEWIRE_SAMPLES_H

#include <nlohmann/json.hpp>

/// Valid entry of an endpoint, which test cases change.
inline nlohmann::json entry() {
  return nlohmann::json::parse(
      R"({"service":"s","address":"10.0.0.9:80","zone":"z",
    "version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"born":7,
    "stage":"combined","models":[{"name":"m","version":1,"adapters":["a1"]}],
    "available":{"in_memory":["m"],"on_disk":["m","n"]},"sequence":4})");
}

/// Valid configuration, which test cases change.
inline nlohmann::json configuration() {
  return nlohmann::json::parse(R"({"version":7,"routes":[{"name":"r","host":"h",
    "path_prefix":"/p/","kind":"streaming","timeout_ms":17000,
    "target_latency_ms":3000,"priority":1,"service":"s","attempts":2,
    "public":false,"resumable":true,"target_gap_ms":400},{"name":"q",
    "host":"h","path_prefix":"/q/","kind":"unsafe","timeout_ms":800,
    "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}],
    "public":true}],
    "services":[{"name":"s","health_path":"/health","connection_limit":370,
    "engine":{"slots":64,"models":[{"name":"m","weights_mb":72700.0,
    "load_s":6.0,"adapters":24,"warm_s":0.4,"disk_load_s":1.2}],
    "weights_mb":220000.0,"adapter_slots":8,"loads_per_s":3.5}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
    "header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"t","access_keys":["k"],"unit":"tokens",
    "uncached_tokens":200,"rate_per_s":75195,"burst":100}]})");
}

#endif // SITEWIRE_SAMPLES_H
