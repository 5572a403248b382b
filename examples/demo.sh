#!/bin/sh
# Starts a whole deployment on loopback, keeps it up and stops it on INT or TERM.
# Usage: demo.sh [DIR]; `carobhook` must be on PATH. DEMO_SECONDS ends it after that time,
# DEMO_BASE_PORT moves its ports.
set -u

dir=${1:-run/demo}
callers=
daemons=
platform=
sleeper=

end() {
    for pid in "$@"; do kill -TERM "$pid" 2>/dev/null; done
    for pid in "$@"; do wait "$pid" 2>/dev/null; done
}

stop() {
    trap '' HUP INT TERM PIPE
    echo "stopping: callers, then entry instances, then the platform"
    # shellcheck disable=SC2086 # Lists of process ids.
    { end $sleeper; end $callers; end $daemons; end $platform; }
    echo "stopped"
    exit "$1"
}
trap 'stop 0' HUP INT TERM
trap 'stop 1' PIPE

start() {
    name=$1
    shift
    carobhook "$@" >"$dir/$name.log" 2>&1 &
    echo "$name $!" >>"$dir/pids"
    case "$1 $2" in
    "standin clients") callers="$callers $!" ;;
    "serve "*) daemons="$daemons $!" ;;
    *) platform="$platform $!" ;;
    esac
}

pause() {
    sleep "$1" &
    sleeper=$!
    wait "$sleeper"
    sleeper=
}

address() { sed -n "s/^$1 = \"\(.*\)\"/\1/p" "$dir/settings/addis-1.toml"; }

mkdir -p "$dir" || exit 2
carobhook demo --write "$dir" ${DEMO_BASE_PORT:+--base-port "$DEMO_BASE_PORT"} || exit 2
: >"$dir/pids"
while read -r name arguments; do
    eval "start $name $arguments"
done <"$dir/processes"

CAROBHOOK_OPERATOR=$(address operators)
export CAROBHOOK_OPERATOR
ctl="carobhook ctl --token-file $dir/operator.token"
wanted=$(find "$dir/settings" -name '*.toml' | wc -l)
tries=0
until [ "$($ctl show instances 2>"$dir/start.log" | tail -n +2 | wc -l)" -eq "$wanted" ]; do
    tries=$((tries + 1))
    if [ "$tries" -ge 60 ]; then
        echo "the deployment did not start; see $dir/*.log" >&2
        cat "$dir/start.log" >&2
        stop 6
    fi
    pause 0.5
done

cat "$dir/guide"
echo "Logs are in $dir/*.log, process ids in $dir/pids."

if [ -n "${DEMO_SECONDS:-}" ]; then
    pause "$DEMO_SECONDS"
    stop 0
fi
while :; do pause 3600; done
