/*
 * Authority to use a primary while the store is restored from an older copy (package
 * authorizer, Restoration).
 *
 * Daemon A uses the primary. Daemon C has begun to replace it in the first era; the copy
 * lacks its claim. Daemon E, which may be A, opens the second era. A step that is never
 * taken models a lost message or a stopped daemon. Time is a counter that may advance
 * before any step.
 *
 * Safety: no response that the old primary sent after the promotion is used. It is violated
 * in every state in which the primary is replaced and A holds its authority.
 *
 * -DBROKEN_...: one rule is removed; each of these variants must fail.
 */
#ifndef LEASE
#define LEASE 2
#endif
#ifndef EXTENSION
#define EXTENSION 4
#endif
#ifndef END
#define END 9
#endif
/* How long a promotion may take to be in effect. */
#define PROMOTION 1
#define NEVER 255

#define OLD 0
#define NEW 1
#define UNKNOWN 2

byte now = 0;
bool restored = false;
bool promoted = false;

/* A */
byte confirmed = 0;          /* When the last confirmation was requested. */
byte extendedUntil = 0;
bool dropped = false;        /* Whether A has dropped the group in the first era. */
bool adopted = false;        /* Whether A has the rows of the second era. */
byte adoptedRow = UNKNOWN;

/* C */
bool claimed = false;
byte claimedAt = 0;
byte cConfirmed = 0;         /* When C's last confirmation was requested. */
bool dropReported = false;
bool ordered = false;        /* Whether C may have ordered the promotion. */
byte orderedAt = NEVER;      /* When it did, until the promotion is in effect. */
bool cKnows = false;         /* Whether C knows of the second era. */

/* The second era */
byte seenAt = NEVER;         /* When E saw it. */
byte row = UNKNOWN;
bool opened = false;
byte openedAt = 0;

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define FIRST_ERA_AUTHORITY (!adopted && !dropped && now < MAX(confirmed + LEASE, extendedUntil))
#define HAS_AUTHORITY (FIRST_ERA_AUTHORITY || (adopted && adoptedRow == OLD))

active proctype Clock() {
	do
	:: atomic { now < END && (orderedAt == NEVER || now < orderedAt + PROMOTION) -> now++ }
	od
}

active proctype Restore() {
	atomic { !restored -> restored = true }
}

/* A confirms the row in the first era, unless C has claimed it, and extends its authority
 * when C vouches. C vouches while it has not claimed the row. */
active proctype UseFirstEra() {
	byte sent;
	do
	:: atomic { !restored && !claimed && !adopted -> sent = now }
	   atomic { if :: sent > confirmed -> confirmed = sent :: else fi; sent = 0 }
	:: atomic { !claimed && FIRST_ERA_AUTHORITY ->
		extendedUntil = MAX(extendedUntil, MIN(now + LEASE, confirmed + EXTENSION)) }
	od
}

/* A adopts the rows of the second era. From then on it holds its authority as long as the
 * row names the primary. */
active proctype Adopt() {
#ifdef BROKEN_USE_UNOPENED
	atomic { restored -> adopted = true; adoptedRow = OLD }
#else
	atomic { opened && row != UNKNOWN -> adopted = true; adoptedRow = row }
#endif
}

/* C claims the row, waits until A has no authority, and orders the promotion while its duty is
 * confirmed. */
active proctype Change() {
	atomic { !restored -> claimed = true; claimedAt = now }
	do
	:: atomic { !restored && now > cConfirmed -> cConfirmed = now }
	:: atomic {
#ifdef BROKEN_ORDERS_AFTER
		!ordered && (dropReported || now >= claimedAt + LEASE) ->
#else
		!ordered && !cKnows && now < MAX(claimedAt, cConfirmed) + LEASE && (dropReported || now >= claimedAt + LEASE) ->
#endif
		ordered = true; orderedAt = now }
	:: atomic { ordered && orderedAt != NEVER -> promoted = true; orderedAt = NEVER }
	od
}

active proctype Withdraw() {
	atomic { claimed && !adopted -> dropped = true }
	dropReported = true
}

/* E opens the second era with what A and C report, or without a response of C after a lease. */
active proctype Open() {
	bool held, responded, unsettled;
	atomic { restored -> seenAt = now }
	do
	:: atomic { !opened -> held = FIRST_ERA_AUTHORITY; responded = false; unsettled = false }
	   if
	   :: atomic { cKnows = true; responded = true;
#ifdef BROKEN_IGNORE_ORDERS
		unsettled = false
#else
		unsettled = ordered
#endif
	      }
	   :: skip
	   fi
	   atomic {
		if
#ifdef BROKEN_OPEN_EARLY
		:: true ->
#else
		:: responded || now >= seenAt + LEASE ->
#endif
			held = held && FIRST_ERA_AUTHORITY;
			if
			:: unsettled -> row = UNKNOWN
			:: !unsettled && held -> row = OLD
#ifdef BROKEN_TRUST_COPY
			:: !unsettled && !held -> row = OLD
#else
			:: !unsettled && !held && responded -> row = OLD
			:: !unsettled && !held && !responded -> row = UNKNOWN
#endif
			fi;
			opened = true; openedAt = now; seenAt = NEVER
		:: else
		fi;
		held = false; responded = false; unsettled = false
	   }
	:: opened -> break
	od
}

/* The instances are asked which one leads. */
active proctype Establish() {
#ifdef BROKEN_ESTABLISH_AT_ONCE
	atomic { opened && row == UNKNOWN ->
#else
	atomic { opened && row == UNKNOWN && now > openedAt + PROMOTION ->
#endif
		if :: promoted -> row = NEW :: else -> row = OLD fi
	}
}

active proctype Check() {
	atomic { promoted && HAS_AUTHORITY -> assert(false) }
}
