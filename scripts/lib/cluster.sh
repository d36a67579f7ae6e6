# Functions that start and stop the stand-ins and daemons on loopback; sourced by other scripts.
hickory=build/release/src/app/hickoryspring
standins=build/release/src/tools/standins/hickory-standins
load=build/release/src/tools/load/hickory-load
run_dir=$(mktemp -d)
standins_pid=
daemon_pids=()

build_programs() { # build_programs TARGET...
  cmake -S . -B build/release -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
  cmake --build build/release --target "$@" >/dev/null
}

# Sends SIGTERM to the daemons, then to the stand-ins, and waits for each to exit. Returns a non-zero exit code if one failed.
stop_cluster() {
  local code=0 it
  for it in "${daemon_pids[@]}"; do kill -TERM "$it" 2>/dev/null || true; done
  for it in "${daemon_pids[@]}"; do wait "$it" || code=$?; done
  if [ -n "$standins_pid" ]; then
    kill -TERM "$standins_pid" 2>/dev/null || true
    wait "$standins_pid" || code=$?
  fi
  daemon_pids=() standins_pid=
  return $code
}
clean_up() { stop_cluster || true; rm -rf "$run_dir"; }

start_standins() { # start_standins FLAG...
  $standins --out="$run_dir" "$@" >"$run_dir/standins.log" 2>&1 &
  standins_pid=$!
  until grep -q ready "$run_dir/standins.log" 2>/dev/null; do kill -0 "$standins_pid"; sleep 0.05; done
}

setting() { sed -n "s/.*\"$2\": \"\{0,1\}\([^\",]*\).*/\1/p" "$run_dir/$1.json"; } # setting DAEMON NAME
http_address() { echo "127.0.0.1:$(setting "$1" http_port)"; }
admin_address() { echo "127.0.0.1:$(setting "$1" admin_port)"; }

start_daemons() { # start_daemons COUNT
  local i
  for ((i = 0; i < $1; i++)); do
    $hickory serve --settings="$run_dir/d$i.json" >"$run_dir/d$i.log" 2>&1 &
    daemon_pids+=($!)
  done
  for ((i = 0; i < $1; i++)); do
    until curl -fs "http://$(http_address "d$i")/readyz" >/dev/null; do kill -0 "${daemon_pids[$i]}"; sleep 0.05; done
  done
}

import_table() { $hickory table import "$1" --settings="$run_dir/d0.json" --actor=script; } # import_table FILE
