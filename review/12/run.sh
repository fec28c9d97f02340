#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. With TROUBLE=0 the disruption is left out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
test -x target/packages/daemon/acaciahilld || exit 2
test -x target/review-3/scene || exit 2
exec target/review-3/scene late-start "$folder"
