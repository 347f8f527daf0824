/*
 * Authority to use a primary that the platform replaces (package authorizer).
 *
 * Daemon A uses the primary and extends its authority while the store is away. Daemon
 * C changes the primary. Daemons that only vouch are left out: they delay A's extension,
 * and it may come at any time in any case. Every step of a message is a step of its own,
 * so messages take any time, and a step that is never taken is a message that is lost or
 * a daemon that stands still. Time is a counter that may go on before any step.
 *
 * Safety: no answer that the old primary gave after the promotion is used. Whether A may
 * use an answer is checked when it comes, and the primary may have given it at any time
 * before. So a state in which the primary is replaced and A holds its authority is one
 * in which such an answer is used.
 *
 * Values that can't matter any more are set to one value (the Clock), so that states
 * which differ in nothing else are one.
 *
 * -DYOUNG: C came on the list after A's last confirmation, so A does not ask it.
 * -DVOTER: the list has a third daemon, V. A and V are a majority, and so are C and V.
 * Broken variants: -DBROKEN_...; each must fail.
 */
#ifndef LEASE
#define LEASE 2
#endif
#ifndef EXTENSION
#define EXTENSION 3
#endif
#ifndef MAJORITY
#define MAJORITY 3
#endif
#ifndef END
#define END 10
#endif
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
bool vouched = false;    /* Whether C has answered it. */
bool used = false;       /* Whether A has sent a statement. */

/* C */
bool changing = false;
bool claimed = false;
byte left = 0;           /* How much longer C has to wait. */
bool heardDrop = false;

#ifdef VOTER
byte vSeen = LEADING_OLD; /* The row as V knows it. */
bool vDropped = false;    /* Whether V has given up its authority and knows nothing newer. */
bool vVouched = false;    /* Whether V has answered A's question. */
bool vHeard = false;      /* Whether C has heard that V has dropped the group. */
byte vLeft = 0;           /* How much longer C has to wait after that. */
#ifdef BROKEN_VOTER_WAITS_NOT
#define OUTVOTED vHeard
#else
#define OUTVOTED (vHeard && vLeft == 0)
#endif
#ifdef BROKEN_HIDDEN_DROP
#define V_VOUCHES (vSeen <= seen)
#else
#ifdef BROKEN_VOUCH_AHEAD
#define V_VOUCHES (!vDropped)
#else
#define V_VOUCHES (!vDropped && vSeen <= seen)
#endif
#endif
#else
#define OUTVOTED false
#endif

#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define UNTIL MAX(confirmed + LEASE, extended)
#define HOLDS (seen == LEADING_OLD && now < UNTIL && (dropped == NEVER || confirmed > dropped))

/* The time that C waits for daemons that it could not reach. */
#ifdef BROKEN_NO_WAIT
#define WAIT 0
#else
#ifdef YOUNG
#ifdef BROKEN_YOUNG_WAITS_LEASE
#define WAIT LEASE
#else
#define WAIT EXTENSION
#endif
#else
#if defined(VOTER) && !defined(BROKEN_MINORITY_WAITS_LEASE)
#define WAIT MAJORITY
#else
#define WAIT LEASE
#endif
#endif
#endif

active proctype Clock() {
	do
	:: atomic { now < END ->
		now++;
		if :: left > 0 -> left-- :: else fi;
#ifdef VOTER
		if :: vLeft > 0 -> vLeft-- :: else fi;
		if :: asked != NEVER && asked + LEASE <= now -> vVouched = false :: else fi;
#endif
		if :: extended <= now -> extended = 0 :: else fi;
		/* An extension that would be over already changes nothing. */
		if :: asked != NEVER && asked + LEASE <= now -> asked = NEVER; vouched = false :: else fi
	   }
	od
}

/* One read of the rows: sent, answered by the store, taken in. */
active proctype Confirm() {
	byte sent, found;
	do
	:: sent = now;
	   found = row;
	   atomic {
		if :: sent > confirmed -> confirmed = sent; seen = found :: else fi;
		sent = 0; found = 0
	   }
	od
}

/* Questions for an extension. */
active proctype Ask() {
	do
	:: atomic {
		now < UNTIL && now < confirmed + EXTENSION ->
		asked = now; vouched = false
#ifdef VOTER
		; vVouched = false
#endif
#ifdef YOUNG
		; vouched = true /* C is not on A's list. */
#endif
#ifdef BROKEN_SOME_VOUCH
		; vouched = true
#endif
	   }
	:: atomic { /* C's answer is given and comes later. */
#ifdef BROKEN_VOUCH_IN_CHANGE
		asked != NEVER ->
#else
		asked != NEVER && !changing ->
#endif
		vouched = true
	   }
	:: atomic {
#ifdef BROKEN_LATE_VOUCH
		asked != NEVER && vouched ->
#else
		asked != NEVER && vouched && now < UNTIL ->
#endif
#ifdef BROKEN_NO_END
		extended = MAX(extended, asked + LEASE);
#else
		extended = MAX(extended, MIN(asked + LEASE, confirmed + EXTENSION));
#endif
		asked = NEVER; vouched = false
#ifdef VOTER
		; vVouched = false
#endif
	   }
#ifdef VOTER
	:: atomic { /* V's answer is given and comes later. */
		asked != NEVER && V_VOUCHES -> vVouched = true
	   }
	:: atomic {
		asked != NEVER && vVouched && now < UNTIL ->
#ifdef BROKEN_MAJORITY_NO_END
		extended = MAX(extended, MIN(asked + LEASE, confirmed + EXTENSION));
#else
		extended = MAX(extended, MIN(asked + LEASE, confirmed + MAJORITY));
#endif
		vVouched = false
	   }
#endif
	od
}

#ifdef VOTER
/* V reads the row. A read that was sent after it dropped the group tells the outcome. */
active proctype Voter() {
	bool after;
	byte read;
	do
	:: atomic { after = vDropped; read = row }
	   atomic {
		vSeen = MAX(vSeen, read);
		if :: after -> vDropped = false :: else fi;
		after = false; read = 0
	   }
	od
}

/* C asks V to give up its authority, and hears that it has. */
active proctype WithdrawVoter() {
	atomic { claimed -> vDropped = true }
	atomic { vHeard = true; vLeft = LEASE }
}
#endif

/* The use of the old primary. */
active proctype Use() {
#ifdef BROKEN_CHECK_ON_SEND
	atomic { HOLDS -> used = true }
	atomic { promoted -> assert(!used) }
#else
	atomic { promoted && HOLDS -> assert(false) }
#endif
}

/* The change of the primary. */
active proctype Change() {
	changing = true;
	atomic { row == LEADING_OLD -> row = CHANGING } /* At any time: the call may be late. */
	atomic { claimed = true; left = WAIT }          /* Its answer. */
	atomic { heardDrop || left == 0 || OUTVOTED -> promoted = true; left = 0 }
	row = LEADING_NEW;
	changing = false
}

/* C asks A to give up its authority, and hears that it has. */
active proctype Withdraw() {
	atomic { claimed -> dropped = now }
	heardDrop = true
}
