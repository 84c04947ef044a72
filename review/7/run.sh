#!/bin/sh
# The exit of a planned restart while requests are being written and the proxy is held up; see claim.txt.
play=DrainExit
. "$(dirname "$0")/../stand-2/case.sh"
