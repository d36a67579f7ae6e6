#ifndef TABLE_TABLECONSTANTS_H
#define TABLE_TABLECONSTANTS_H

namespace Table::Constants {

inline constexpr char Kind[] = "kind";
inline constexpr char Name[] = "name";
inline constexpr char Version[] = "version";
inline constexpr char Weights[] = "weights";
inline constexpr char Base[] = "base";
inline constexpr char MemoryMb[] = "memory_mb";
inline constexpr char KvCacheMb[] = "kv_cache_mb";
inline constexpr char MinReplicas[] = "min_replicas";
inline constexpr char MaxReplicas[] = "max_replicas";
inline constexpr char Teams[] = "teams";
inline constexpr char Prefix[] = "prefix";
inline constexpr char Idempotent[] = "idempotent";
inline constexpr char Open[] = "open";
inline constexpr char RateTokensPerS[] = "rate_tokens_per_s";
inline constexpr char BurstTokens[] = "burst_tokens";
inline constexpr char Priority[] = "priority";
inline constexpr char Team[] = "team";
inline constexpr char KeyHash[] = "key_hash";

inline constexpr char AllTeams[] = "*";
inline constexpr char ListSeparator = ';';

} // namespace Table::Constants

#endif // TABLE_TABLECONSTANTS_H
