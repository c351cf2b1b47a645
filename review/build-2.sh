#!/bin/sh
# The stand-ins of the second review are Python sources without packages: this checks that they start.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=standins-2 python3 -c "import case, fleet, http_server, kv_store, platform_store, worker"
