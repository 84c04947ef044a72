#!/bin/sh
# Builds the jar and an archive of the classes that a rehearsal loads, with which a proxy starts in a fraction of the time.
set -eu
mvn -B -ntp -q -Dmaven.test.skip=true package
rm -f target/dewstage.jsa
NODE_CONFIG=deploy/rehearsal.json java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
    -XX:ArchiveClassesAtExit=target/dewstage.jsa -jar target/dewstage.jar rehearse
