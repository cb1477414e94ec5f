# Functions shared by the scripts. All processes that were started are killed by id on exit.
work=$(mktemp -d)
pids=()
cleanup() {
  for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

# start NAME COMMAND...: runs the command in the background and waits up to 10 s for its line
# "ready ...". Prints its log and fails if that line does not come.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  disown
  for _ in $(seq 200); do
    if grep -q '^ready ' "$work/$name.out"; then return 0; fi
    if ! kill -0 "${pids[-1]}" 2>/dev/null; then break; fi
    sleep 0.05
  done
  echo "$0: $name did not start" >&2
  cat "$work/$name.log" >&2
  return 1
}

# field NAME KEY: prints the value of KEY in the "ready" line of NAME.
field() { sed -n "s/^ready .*$2=\([^ ]*\).*/\1/p" "$work/$1.out"; }

join() { local IFS=,; echo "$*"; }

# settings NAME DATA_CENTRE PLATFORM OPERATOR_KEY: writes a settings file and prints its path.
settings() {
  cat >"$work/$1.ini" <<INI
[instance]
id = $1
data_centre = $2
callers = 127.0.0.1:0
peers = 127.0.0.1:0
[platform]
url = $3
[keys]
cursor = local-cursor-key-0123456789
peer = local-peer-key-0123456789
operator_sha256 = $(printf %s "$4" | sha256sum | cut -d' ' -f1)
INI
  echo "$work/$1.ini"
}
