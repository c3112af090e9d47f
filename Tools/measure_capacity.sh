#!/usr/bin/env bash
# Measures the control overhead of an idle fleet on one entry instance, for several
# numbers of workers and teams, with live processes on loopback, and fits lines.
# Prints one JSON object per measure, like daisyroad-bench, and one per size.
#
# usage: Tools/measure_capacity.sh [SECONDS]
set -euo pipefail

bin=$(cd "$(dirname "$0")/../build/bin" && pwd)
seconds=${1:-10}
zones=(a b c d)
tick=$(getconf CLK_TCK)
secret=dr_0011223344556677_$(printf 'a%.0s' {1..64})
digest=$(printf '%s' "aa:$secret" | sha256sum | cut -d' ' -f1)
folder=$(mktemp -d)
pids=()
entries=()
rows=$folder/rows

stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
  entries=()
}
trap 'stop_all; rm -rf "$folder"' EXIT

# http METHOD PORT PATH [BODY]: sends a request and prints the response body.
http() {
  local body=${4:-}
  exec 3<>"/dev/tcp/127.0.0.1/$2"
  printf '%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "$3" "$secret" "${#body}" "$body" >&3
  sed '1,/^\r$/d' <&3
  exec 3<&-
}

start() {
  "$@" >>"$folder/log" 2>&1 &
  pids+=("$!")
}

write_declaration() {
  local workers=$1 teams=$2 i
  {
    echo 'site = "capacity"'
    echo 'regions = ["r"]'
    for zone in "${zones[@]}"; do printf '[[zones]]\nname = "%s"\nregion = "r"\n' "$zone"; done
    printf '[[pools]]\nname = "p"\nworkers = { a = %d, b = %d, c = %d, d = %d }\ncores = 16\nmemory_gb = 32\nslots = 8\nconnections = 64\n' \
      $((workers / 4)) $((workers / 4)) $((workers / 4)) $((workers / 4))
    printf '[[services]]\nname = "s"\npool = "p"\nmax_down_fraction = 0.1\n'
    printf '[[queues]]\nname = "q"\nservice = "s"\nclass = "urgent"\nidempotent = true\n'
    for ((i = 0; i < teams; i++)); do
      printf '[[teams]]\nname = "t%d"\nshare = 1\nupper_limit = 100\nqueues = ["q"]\n' "$i"
    done
    printf '[maintenance]\ninterval = "49d"\npatience = "10min"\n'
  } >"$folder/declaration.toml"
}

start_fleet() {
  local workers=$1 base=$2 i list=""
  start "$bin/standin-store" --port="$base"
  start "$bin/standin-instances" --port=$((base + 1)) --lag_ms=200
  for ((i = 0; i < workers; i++)); do list+="${zones[$((i % 4))]},"; done
  start "$bin/standin-worker" --pool=p --zones="${list%,}" --base_port=$((base + 100)) --instances="127.0.0.1:$((base + 1))"
  sleep 1
  for i in 0 1 2 3; do
    {
      printf '[instance]\nname = "entry-%d"\nzone = "%s"\nregion = "r"\n' "$i" "${zones[$i]}"
      printf '[listen]\ncallers = "127.0.0.1:%d"\npeers = "127.0.0.1:%d"\n' $((base + 10 + i)) $((base + 20 + i))
      printf '[store]\naddresses = ["127.0.0.1:%d"]\n[instance_list]\naddress = "127.0.0.1:%d"\n' "$base" $((base + 1))
      for j in 0 1 2 3; do
        [ "$j" = "$i" ] || printf '[[seeds]]\naddress = "127.0.0.1:%d"\nzone = "%s"\n' $((base + 20 + j)) "${zones[$j]}"
      done
    } >"$folder/entry-$i.toml"
    start "$bin/daisyroad" --settings="$folder/entry-$i.toml" --bootstrap_operator_key="0011223344556677:aa:$digest"
    entries+=("$!")
  done
  sleep 4
}

apply() {
  local port=$1 text
  text=$(sed 's/\\/\\\\/g; s/"/\\"/g' "$folder/declaration.toml" | awk '{printf "%s\\n", $0}')
  http POST "$port" /v1/ops/declaration "{\"text\":\"$text\"}" >"$folder/apply"
  grep -q '"accepted":true' "$folder/apply" || { cat "$folder/apply" >&2; exit 1; }
}

cpu_ticks() { awk '{sub(/.*\) /, ""); print $12 + $13}' "/proc/$1/stat"; }
resident_kb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
counter() { http GET "$1" /metrics | tr -d '\r' | awk -v name="$2" 'index($0, name) == 1 {sum += $2} END {print sum + 0}'; }
store_calls() { http GET "$1" /standin/calls | tr -d '\r' | grep -o '[0-9]\+' | awk '{sum += $1} END {print sum + 0}'; }

# measure WORKERS TEAMS BASE_PORT: measures one size and appends a row with
# workers teams cpu_percent resident_mb peer_bytes worker_bytes store_calls
measure() {
  local workers=$1 teams=$2 base=$3 cpu0=0 cpu1=0 rss=0 peer0=0 peer1=0 worker0=0 worker1=0 calls0 calls1 i
  write_declaration "$workers" "$teams"
  start_fleet "$workers" "$base"
  apply $((base + 10))
  sleep 3
  calls0=$(store_calls "$base")
  for i in 0 1 2 3; do
    cpu0=$((cpu0 + $(cpu_ticks "${entries[$i]}")))
    peer0=$((peer0 + $(counter $((base + 10 + i)) 'daisyroad_http_sent_bytes_total{traffic="peer"}') + $(counter $((base + 10 + i)) 'daisyroad_http_received_bytes_total{traffic="peer"}')))
    worker0=$((worker0 + $(counter $((base + 10 + i)) 'daisyroad_http_sent_bytes_total{traffic="worker"}') + $(counter $((base + 10 + i)) 'daisyroad_http_received_bytes_total{traffic="worker"}')))
  done
  sleep "$seconds"
  calls1=$(store_calls "$base")
  for i in 0 1 2 3; do
    cpu1=$((cpu1 + $(cpu_ticks "${entries[$i]}")))
    rss=$((rss + $(resident_kb "${entries[$i]}")))
    peer1=$((peer1 + $(counter $((base + 10 + i)) 'daisyroad_http_sent_bytes_total{traffic="peer"}') + $(counter $((base + 10 + i)) 'daisyroad_http_received_bytes_total{traffic="peer"}')))
    worker1=$((worker1 + $(counter $((base + 10 + i)) 'daisyroad_http_sent_bytes_total{traffic="worker"}') + $(counter $((base + 10 + i)) 'daisyroad_http_received_bytes_total{traffic="worker"}')))
  done
  awk -v w="$workers" -v t="$teams" -v ticks=$((cpu1 - cpu0)) -v hz="$tick" -v s="$seconds" -v kb="$rss" \
    -v peer=$((peer1 - peer0)) -v worker=$((worker1 - worker0)) -v calls=$((calls1 - calls0)) 'BEGIN {
      printf "%d %d %.3f %.2f %.0f %.0f %.2f\n", w, t, ticks / hz / s / 4 * 100, kb / 4 / 1024, peer / s / 4, worker / s / 4, calls / s / 4 }' >>"$rows"
  tail -n 1 "$rows" | awk '{printf "{\"case\":\"capacity.row\",\"workers\":%d,\"teams\":%d,\"cpu_percent\":%s,\"resident_mb\":%s,\"peer_bytes_s\":%s,\"worker_bytes_s\":%s,\"store_calls_s\":%s}\n", $1, $2, $3, $4, $5, $6, $7}'
  stop_all
}

# fit NAME UNIT X_COLUMN Y_COLUMN TARGET_X BUDGET: fits a line through the rows on
# standard input and prints its value at TARGET_X and the largest residual.
fit() {
  awk -v name="$1" -v unit="$2" -v x="$3" -v y="$4" -v at="$5" -v budget="$6" '
    {n++; X[n] = $x; Y[n] = $y; sx += $x; sy += $y; sxx += $x * $x; sxy += $x * $y}
    END {
      slope = (n * sxy - sx * sy) / (n * sxx - sx * sx); base = (sy - slope * sx) / n
      for (i = 1; i <= n; i++) {r = Y[i] - base - slope * X[i]; if (r < 0) r = -r; if (r > worst) worst = r}
      value = base + slope * at
      printf "{\"case\":\"capacity.%s\",\"seed\":0,\"ok\":%s,\"baseline\":%s,\"measured\":%.3f,\"unit\":\"%s\",\"detail\":\"%.4f + %.6f x, largest residual %.4f, at x = %d\"}\n",
        name, (budget < 0 || value <= budget) ? "true" : "false", budget < 0 ? 0 : budget, value, unit, base, slope, worst, at}'
}

# Below the ephemeral port range.
port=$((10000 + RANDOM % 30 * 100))
: >"$rows"
for workers in 48 100 200 400; do
  measure "$workers" 6 "$port"
  port=$((port + 600))
done
# An entry instance follows a quarter of the workers here, and a ninth of 950
# workers at the design size, so the lines are evaluated at 4 * 950 / 9 = 422.
fit cpu_by_workers percent 1 3 422 1.2 <"$rows"
fit memory_by_workers MB 1 4 422 32 <"$rows"
fit worker_traffic B/s 1 6 422 -1 <"$rows"
fit peer_traffic B/s 1 5 422 3000 <"$rows"
fit store_calls 1/s 1 7 422 -1 <"$rows"
: >"$rows"
for teams in 6 20 40 68; do
  measure 48 "$teams" "$port"
  port=$((port + 600))
done
fit cpu_by_teams percent 2 3 68 1.2 <"$rows"
fit memory_by_teams MB 2 4 68 32 <"$rows"
fit store_calls_by_teams 1/s 2 7 68 -1 <"$rows"
