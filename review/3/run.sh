#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
exec bash "$here/../play.sh" unsent "$here/record.txt"
