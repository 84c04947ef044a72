#!/bin/sh
# Discovery moves with a new configuration and is crowded there, while a backend begins to drain; see claim.txt.
play=CrowdedDiscovery
. "$(dirname "$0")/../stand-2/case.sh"
