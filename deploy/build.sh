#!/bin/sh
# Installs the pinned libraries and the workspace into target/deps. What is there already and has
# not changed stays untouched, so that processes that start meanwhile find whole files.
set -e
deps=target/deps
if [ ! deploy/requirements.txt -ot "$deps/.installed" ] || [ ! constraints.txt -ot "$deps/.installed" ]; then
    python3 -m pip install -q --upgrade --target "$deps" -c constraints.txt -r deploy/requirements.txt
    python3 -m compileall -q -f --invalidation-mode unchecked-hash "$deps"
    touch "$deps/.installed"
fi
for source in packages/base/bramleyrill_base packages/core/bramleyrill_core \
    packages/wire/bramleyrill_wire packages/entry/bramleyrill_entry \
    platform/bramleyrill_platform; do
    installed="$deps/$(basename "$source")"
    if ! diff -rqx __pycache__ "$source" "$installed" >/dev/null 2>&1; then
        rm -rf "$installed"
        cp -r "$source" "$installed"
        find "$installed" -name __pycache__ -prune -exec rm -rf {} +
        python3 -m compileall -q --invalidation-mode unchecked-hash "$installed"
    fi
done
