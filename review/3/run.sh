#!/usr/bin/env bash
# The leader is cut off from the platform for 5.5 s while a report is on its way. TROUBLE=0: no cut.
exec "$(dirname "$0")/../run-case.sh" leader "$(dirname "$0")"
