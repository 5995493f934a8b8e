#!/bin/sh
# Builds the stand-ins of the cases of the second review, each into its folder, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
for folder in review/6 review/7 review/8 review/9 review/10; do
	if test -d "$folder"; then
		go build -tags review -o "$folder/bin/standin" "./$folder"
	fi
done
