/*
 * Authority to use a primary while the platform replaces it (package authorizer).
 *
 * Daemon A uses the primary and extends its authority while the store is unavailable.
 * Daemon C changes the primary. Daemons that only vouch are not modelled: they can only
 * delay A's extension, which may happen at any time anyway. Sending, handling and
 * receiving a message are separate steps, so a message may take any time. A step that is
 * never taken models a lost message or a stopped daemon. Time is a counter that may
 * advance before any step.
 *
 * Safety: no response that the old primary sent after the promotion is used. A checks its
 * authority when a response arrives, and the primary may have sent the response at any
 * time before. Therefore safety is violated in every state in which the primary is
 * replaced and A still holds its authority.
 *
 * Clock resets values that have no effect any more to a fixed value, so that states which
 * differ in nothing else are merged.
 *
 * -DRECENTLY_LISTED: C was listed after A's last confirmation, so A does not request its
 * vouch.
 * -DVOTER: the list has a third daemon, V. A and V are a majority, and so are C and V.
 * -DBROKEN_...: one rule is removed; each of these variants must fail.
 */
#ifndef LEASE
#define LEASE 2
#endif
#ifndef EXTENSION
#define EXTENSION 3
#endif
#ifndef MAJORITY_EXTENSION
#define MAJORITY_EXTENSION 3
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
byte confirmed = 0;              /* When the last confirmation was requested. */
byte confirmedRow = LEADING_OLD; /* The row in the last confirmation. */
byte extendedUntil = 0;
byte droppedAt = NEVER;          /* When A dropped its authority. */
byte requestedAt = NEVER;        /* When A requested an extension. */
bool vouched = false;            /* Whether C has vouched for it. */
bool statementSent = false;      /* Whether A has sent a statement. */

/* C */
bool changing = false;
bool claimed = false;
byte remainingWait = 0; /* C's remaining wait. */
bool dropReported = false;

#ifdef VOTER
byte vRow = LEADING_OLD;    /* The row that V last read. */
bool vDropped = false;      /* Whether V has dropped its authority and has not read the row since. */
bool vVouched = false;      /* Whether V has vouched for A's request. */
bool vDropReported = false; /* Whether C has received V's report of the drop. */
byte vRemainingWait = 0;    /* C's remaining wait after that report. */
#ifdef BROKEN_VOTER_NO_WAIT
#define MAJORITY_DROPPED vDropReported
#else
#define MAJORITY_DROPPED (vDropReported && vRemainingWait == 0)
#endif
#ifdef BROKEN_VOUCH_AFTER_DROP
#define V_MAY_VOUCH (vRow <= confirmedRow)
#else
#ifdef BROKEN_VOUCH_AHEAD
#define V_MAY_VOUCH (!vDropped)
#else
#define V_MAY_VOUCH (!vDropped && vRow <= confirmedRow)
#endif
#endif
#else
#define MAJORITY_DROPPED false
#endif

#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define AUTHORITY_END MAX(confirmed + LEASE, extendedUntil)
#define HAS_AUTHORITY (confirmedRow == LEADING_OLD && now < AUTHORITY_END && (droppedAt == NEVER || confirmed > droppedAt))

/* The time that C waits because of the daemons that it could not reach. */
#ifdef BROKEN_NO_WAIT
#define WAIT 0
#else
#ifdef RECENTLY_LISTED
#ifdef BROKEN_RECENTLY_LISTED_WAITS_LEASE
#define WAIT LEASE
#else
#define WAIT EXTENSION
#endif
#else
#if defined(VOTER) && !defined(BROKEN_MINORITY_WAITS_LEASE)
#define WAIT MAJORITY_EXTENSION
#else
#define WAIT LEASE
#endif
#endif
#endif

active proctype Clock() {
	do
	:: atomic { now < END ->
		now++;
		if :: remainingWait > 0 -> remainingWait-- :: else fi;
#ifdef VOTER
		if :: vRemainingWait > 0 -> vRemainingWait-- :: else fi;
		if :: requestedAt != NEVER && requestedAt + LEASE <= now -> vVouched = false :: else fi;
#endif
		if :: extendedUntil <= now -> extendedUntil = 0 :: else fi;
		/* An extension that would already have ended has no effect. */
		if :: requestedAt != NEVER && requestedAt + LEASE <= now -> requestedAt = NEVER; vouched = false :: else fi
	   }
	od
}

/* A read of the row: sent by A, answered by the store, received by A. */
active proctype Confirm() {
	byte sent, found;
	do
	:: sent = now;
	   found = row;
	   atomic {
		if :: sent > confirmed -> confirmed = sent; confirmedRow = found :: else fi;
		sent = 0; found = 0
	   }
	od
}

/* Requests for an extension of A's authority. */
active proctype Extend() {
	do
	:: atomic {
		now < AUTHORITY_END && now < confirmed + EXTENSION ->
		requestedAt = now; vouched = false
#ifdef VOTER
		; vVouched = false
#endif
#ifdef RECENTLY_LISTED
		; vouched = true /* C is not on A's list. */
#endif
#ifdef BROKEN_VOUCH_NOT_REQUIRED
		; vouched = true
#endif
	   }
	:: atomic { /* C vouches; A may receive it later. */
#ifdef BROKEN_VOUCH_IN_CHANGE
		requestedAt != NEVER ->
#else
		requestedAt != NEVER && !changing ->
#endif
		vouched = true
	   }
	:: atomic {
#ifdef BROKEN_LATE_VOUCH
		requestedAt != NEVER && vouched ->
#else
		requestedAt != NEVER && vouched && now < AUTHORITY_END ->
#endif
#ifdef BROKEN_UNBOUNDED_EXTENSION
		extendedUntil = MAX(extendedUntil, requestedAt + LEASE);
#else
		extendedUntil = MAX(extendedUntil, MIN(requestedAt + LEASE, confirmed + EXTENSION));
#endif
		requestedAt = NEVER; vouched = false
#ifdef VOTER
		; vVouched = false
#endif
	   }
#ifdef VOTER
	:: atomic { /* V vouches; A may receive it later. */
		requestedAt != NEVER && V_MAY_VOUCH -> vVouched = true
	   }
	:: atomic {
		requestedAt != NEVER && vVouched && now < AUTHORITY_END ->
#ifdef BROKEN_MAJORITY_NOT_SHORTER
		extendedUntil = MAX(extendedUntil, MIN(requestedAt + LEASE, confirmed + EXTENSION));
#else
		extendedUntil = MAX(extendedUntil, MIN(requestedAt + LEASE, confirmed + MAJORITY_EXTENSION));
#endif
		vVouched = false
	   }
#endif
	od
}

#ifdef VOTER
/* V reads the row. Only a read that was sent after the drop shows the outcome of the change. */
active proctype Voter() {
	bool after;
	byte read;
	do
	:: atomic { after = vDropped; read = row }
	   atomic {
		vRow = MAX(vRow, read);
		if :: after -> vDropped = false :: else fi;
		after = false; read = 0
	   }
	od
}

/* C asks V to drop its authority and receives the confirmation. */
active proctype WithdrawVoter() {
	atomic { claimed -> vDropped = true }
	atomic { vDropReported = true; vRemainingWait = LEASE }
}
#endif

/* A uses the old primary. */
active proctype Use() {
#ifdef BROKEN_CHECK_ON_SEND
	atomic { HAS_AUTHORITY -> statementSent = true }
	atomic { promoted -> assert(!statementSent) }
#else
	atomic { promoted && HAS_AUTHORITY -> assert(false) }
#endif
}

/* C changes the primary. */
active proctype Change() {
	changing = true;
	atomic { row == LEADING_OLD -> row = CHANGING } /* At any time: the call may be delayed. */
	atomic { claimed = true; remainingWait = WAIT }          /* The response. */
	atomic { dropReported || remainingWait == 0 || MAJORITY_DROPPED -> promoted = true; remainingWait = 0 }
	row = LEADING_NEW;
	changing = false
}

/* C asks A to drop its authority and receives the confirmation. */
active proctype Withdraw() {
	atomic { claimed -> droppedAt = now }
	dropReported = true
}
