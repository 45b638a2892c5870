#!/bin/sh
# Builds the stand-ins of the cases into review/.out. Needs only the JDK; run it after the build of the deploy file.
cd "$(dirname "$0")" || exit 2
rm -rf .out && mkdir .out && exec javac -nowarn -d .out standin/*.java
