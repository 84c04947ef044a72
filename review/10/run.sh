#!/bin/sh
# A proxy is killed and begins again while discovery is down; see claim.txt.
play=RestartInOutage
. "$(dirname "$0")/../stand-2/case.sh"
