#!/usr/bin/env bash
# Plays a program of review/src: play.sh NAME RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not
# run. TROUBLE=0 leaves the disruption out.
#
# The player starts the project's programs, ends them, and gives up after 116 s. They also end when the player does,
# whatever ends it.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
name=$1 record=$2
bash "$root/review/build.sh" >&2 || exit 2
temp=$(mktemp -d) || exit 2
player=
end() {
    if [ -n "$player" ]; then
        kill -KILL "$player" 2>/dev/null
        wait "$player" 2>/dev/null
    fi
    rm -rf "$temp"
}
trap end EXIT
trap 'exit 2' INT TERM HUP
"$root/target/review/$name" "$root" "$temp" "$record" &
player=$!
wait "$player"
code=$?
player=
case $code in 0 | 1 | 2) exit "$code" ;; *) exit 2 ;; esac
