#!/bin/sh
exec sh "$(dirname "$0")/../case.sh" StoppedClients "$(dirname "$0")"
