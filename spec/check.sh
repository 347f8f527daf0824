#!/usr/bin/env bash
# usage: spec/check.sh [jobs]
# Checks spec/failover.pml, spec/authority.pml and spec/restore.pml with spin. The script fails unless every part holds in
# all of its states and every broken variant yields a counterexample.
set -euo pipefail
cd "$(dirname "$0")"
jobs=${1:-4}
memory_mb=2500
seconds=480
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for tool in spin gcc; do
  command -v "$tool" >/dev/null || { echo "spec: $tool is not installed"; exit 1; }
done

# Name, expected result, definitions.
cases=(
  "core holds -DMAXL=4"
  "three-proposers holds -DPROPOSERS=3 -DWRITES=0"
  "read-your-writes holds -DSESSION"
  "monotonic-reads holds -DSESSION -DMONOTONIC"
  "read-index holds -DREAD_INDEX"
  "request-keys holds -DKEYS -DWRITES=3"
  "acknowledge-without-majority fails -DBROKEN_ACK_WITHOUT_MAJORITY"
  "promote-without-majority fails -DBROKEN_PROMOTE_WITHOUT_MAJORITY"
  "promote-by-position-alone fails -DBROKEN_PROMOTE_BY_INDEX"
  "grant-twice-in-a-term fails -DBROKEN_GRANT_TWICE"
  "hold-by-current-term-alone fails -DBROKEN_HOLD_BY_TERM"
  "hold-by-record-alone fails -DBROKEN_HOLD_BY_RECORD"
  "read-index-from-one-instance fails -DREAD_INDEX -DBROKEN_INDEX_FROM_ONE"
  "read-by-position-alone fails -DSESSION -DBROKEN_READ_BY_INDEX"
  "earlier-term-at-own-position fails -DSESSION -DBROKEN_EARLIER_TERM_POSITION"
  "primary-read-not-withheld fails -DSESSION -DMONOTONIC -DBROKEN_READ_UNCONFIRMED"
  "replica-read-not-withheld fails -DSESSION -DMONOTONIC -DBROKEN_REPLICA_READ_UNCONFIRMED"
  "authority holds -DEND=10"
  "authority-recently-listed holds -DEND=10 -DRECENTLY_LISTED"
  "authority-long-extension holds -DEND=12 -DLEASE=3 -DEXTENSION=7"
  "authority-long-recently-listed holds -DEND=12 -DLEASE=3 -DEXTENSION=7 -DRECENTLY_LISTED"
  "authority-voter holds -DVOTER -DMAJORITY_EXTENSION=3 -DEXTENSION=4 -DEND=7"
  "authority-voter-long holds -DVOTER -DMAJORITY_EXTENSION=4 -DEXTENSION=5 -DEND=7"
  "authority-voter-vouch-after-drop fails -DVOTER -DMAJORITY_EXTENSION=4 -DEXTENSION=5 -DEND=7 -DBROKEN_VOUCH_AFTER_DROP"
  "authority-voter-vouch-ahead fails -DVOTER -DMAJORITY_EXTENSION=4 -DEXTENSION=5 -DEND=7 -DBROKEN_VOUCH_AHEAD"
  "authority-voter-no-wait fails -DVOTER -DMAJORITY_EXTENSION=4 -DEXTENSION=5 -DEND=7 -DBROKEN_VOTER_NO_WAIT"
  "authority-minority-waits-lease fails -DVOTER -DMAJORITY_EXTENSION=4 -DEXTENSION=5 -DEND=7 -DBROKEN_MINORITY_WAITS_LEASE"
  "authority-majority-not-shorter fails -DVOTER -DMAJORITY_EXTENSION=3 -DEXTENSION=5 -DEND=7 -DBROKEN_MAJORITY_NOT_SHORTER"
  "authority-checked-on-send fails -DBROKEN_CHECK_ON_SEND"
  "authority-no-wait fails -DBROKEN_NO_WAIT"
  "authority-vouch-not-required fails -DBROKEN_VOUCH_NOT_REQUIRED"
  "authority-vouch-in-change fails -DBROKEN_VOUCH_IN_CHANGE"
  "authority-late-vouch fails -DBROKEN_LATE_VOUCH"
  "authority-recent-waits-lease fails -DRECENTLY_LISTED -DBROKEN_RECENTLY_LISTED_WAITS_LEASE"
  "authority-unbounded-extension fails -DRECENTLY_LISTED -DBROKEN_UNBOUNDED_EXTENSION"
  "restore holds"
  "restore-long-lease holds -DLEASE=3 -DEXTENSION=5 -DEND=9"
  "restore-use-unopened fails -DBROKEN_USE_UNOPENED"
  "restore-orders-after fails -DBROKEN_ORDERS_AFTER"
  "restore-ignore-orders fails -DBROKEN_IGNORE_ORDERS"
  "restore-open-early fails -DBROKEN_OPEN_EARLY"
  "restore-trust-copy fails -DBROKEN_TRUST_COPY"
  "restore-establish-at-once fails -DBROKEN_ESTABLISH_AT_ONCE"
  "claim-without-conflict fails -DKEYS -DWRITES=2 -DBROKEN_CLAIM_WITHOUT_CONFLICT"
)

# Runs one case. A search that is ended by the memory or time limit proves nothing
# and counts as a failure.
check() {
  local name=$1 expected=$2 definitions=${*:3} found=incomplete
  local file=failover.pml options=-DNOREDUCE
  if [[ $name == authority* ]]; then file=authority.pml options=; fi
  if [[ $name == restore* ]]; then file=restore.pml options=; fi
  mkdir "$work/$name"
  cp "$file" "$work/$name"
  cd "$work/$name"
  # shellcheck disable=SC2086
  spin -a $definitions $file >spin.out 2>&1 || { cat spin.out; return 1; }
  # shellcheck disable=SC2086
  gcc -O2 -w -DSAFETY $options -DCOLLAPSE -DMEMLIM="$memory_mb" -o pan pan.c
  timeout "$seconds" ./pan -E -m100000 >pan.out 2>&1 || true
  if grep -q "assertion violated" pan.out; then
    found=fails
  elif grep -q "errors: 0" pan.out && ! grep -qE "max search depth too small|out of memory|Search not completed" pan.out; then
    found=holds
  fi
  local states time
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.out)
  time=$(sed -n 's/.*elapsed time \([0-9.]*\) seconds.*/\1/p' pan.out)
  printf '%-32s %-11s %10s states %7s s\n' "$name" "$found" "${states:--}" "${time:--}"
  [ "$found" = "$expected" ] || { echo "spec: $name: expected: $expected, found: $found"; tail -20 pan.out; return 1; }
}
export -f check
export work memory_mb seconds

printf '%s\n' "${cases[@]}" | xargs -P "$jobs" -I{} bash -euo pipefail -c 'check {}'
echo "spec: ${#cases[@]} cases as expected in ${SECONDS} s"
