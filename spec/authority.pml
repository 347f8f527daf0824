/*
 * Authority to use a primary that the platform replaces (package authorizer).
 *
 * Daemon A uses the primary and extends its authority while the store is away. Daemon
 * C changes the primary, daemon D only vouches. Every step of a message is a step of
 * its own, so messages take any time, and a step that is never taken is a message that is
 * lost or a daemon that stands still. Time is a counter that may go on before any step.
 *
 * The whole search does not fit into memory yet (KNOWN-RED.txt): check.sh runs the
 * broken variants only, each of which must yield a counterexample.
 *
 * Safety: no answer that the old primary gave after the promotion is used.
 *
 * -DYOUNG: C came on the list after A's last confirmation, so A does not ask it.
 * Broken variants: -DBROKEN_...; each must fail.
 */
#define LEASE 2
#define EXTENSION 3
#define END 6
#define NEVER 255

#define LEADING_OLD 0
#define CHANGING 1
#define LEADING_NEW 2

byte now = 0;
byte row = LEADING_OLD;
bool promoted = false;

/* A */
byte confirmed = 0;      /* When the last confirmation was asked for. */
byte seen = LEADING_OLD; /* The row as last confirmed. */
byte extended = 0;
byte dropped = NEVER;    /* When A gave up its authority. */
byte asked = NEVER;      /* When A's question was asked. */
bool vouchedC = false, vouchedD = false;

/* C */
bool changing = false;
bool claimed = false;
byte claimedAt = 0;
bool heardDrop = false;
byte wait = LEASE;

#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define UNTIL MAX(confirmed + LEASE, extended)
#define HOLDS (seen == LEADING_OLD && now < UNTIL && (dropped == NEVER || confirmed > dropped))

active proctype Clock() {
	do
	:: now < END -> now++
	:: now >= END -> break
	od
}

/* One read of the rows: sent, answered by the store, taken in. */
active proctype Confirm() {
	byte sent, found;
	do
	:: sent = now;
	   found = row;
	   atomic { if :: sent > confirmed -> confirmed = sent; seen = found :: else fi }
	:: break /* The store is away for good. */
	od
}

/* Questions for an extension. */
active proctype Ask() {
	do
	:: atomic {
		now < UNTIL && now < confirmed + EXTENSION ->
		asked = now; vouchedC = false; vouchedD = false
#ifdef YOUNG
		; vouchedC = true /* It is not on A's list. */
#endif
#ifdef BROKEN_SOME_VOUCH
		; vouchedC = true
#endif
	   }
	:: atomic { /* C's answer is given and comes later. */
#ifdef BROKEN_VOUCH_IN_CHANGE
		asked != NEVER ->
#else
		asked != NEVER && !changing ->
#endif
		vouchedC = true
	   }
	:: atomic { asked != NEVER -> vouchedD = true }
	:: atomic {
#ifdef BROKEN_LATE_VOUCH
		asked != NEVER && vouchedC && vouchedD ->
#else
		asked != NEVER && vouchedC && vouchedD && now < UNTIL ->
#endif
#ifdef BROKEN_NO_END
		extended = MAX(extended, asked + LEASE);
#else
		extended = MAX(extended, MIN(asked + LEASE, confirmed + EXTENSION));
#endif
		asked = NEVER
	   }
	:: now >= END -> break
	od
}

/* One statement: sent, run by the old primary, its answer used. */
active proctype Use() {
	bool late;
	do
	:: HOLDS ->
	   late = promoted; /* The primary runs it. */
#ifdef BROKEN_CHECK_ON_SEND
	   assert(!late)
#else
	   atomic { if :: HOLDS -> assert(!late) :: else fi }
#endif
	:: now >= END -> break
	od
}

/* The change of the primary. */
active proctype Change() {
	changing = true;
	if
	:: atomic { row == LEADING_OLD -> row = CHANGING } /* At any time: the call may be late. */
	:: now >= END -> goto done
	fi;
	claimedAt = now; /* Its answer. */
	claimed = true;
#ifdef YOUNG
#ifndef BROKEN_YOUNG_WAITS_LEASE
	wait = EXTENSION;
#endif
#endif
#ifdef BROKEN_NO_WAIT
	wait = 0;
#endif
	if
	:: heardDrop
	:: now >= claimedAt + wait
	:: now >= END -> goto done
	fi;
	promoted = true;
	row = LEADING_NEW;
	changing = false;
done:
	skip
}

/* C asks A to give up its authority, and hears that it has. */
active proctype Withdraw() {
	if
	:: claimed -> atomic { dropped = now }
	:: now >= END -> goto done
	fi;
	heardDrop = true;
done:
	skip
}
