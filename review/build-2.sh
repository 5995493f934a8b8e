#!/bin/sh
# Builds the stand-ins of the cases of the second review, each into its folder, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
for folder in review/6 review/7 review/8; do
	go build -tags review -o "$folder/bin/standin" "./$folder"
done
