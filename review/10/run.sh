#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../src-2/run-case" Case10 "$(dirname "$0")"
