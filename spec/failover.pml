/*
 * The protocol by which a group of three instances changes its primary,
 * acknowledges writes, serves reads and arbitrates request keys.
 *
 * Time is not modelled: a step may be taken at any time or never. This covers a
 * crash with durable state, a paused and resumed process, a partition in either
 * direction and any loss, delay, reordering or duplication of calls. A call that
 * was sent may be delivered at any later time. Every instance in the role of
 * primary accepts writes, so there are clients on each side of a partition.
 *
 * Assertions check I1 to I5 of docs/design/failover.md. Each BROKEN_* definition
 * removes one rule; spec/check.sh verifies that the model then fails.
 *
 * Sizes: MAXT terms, MAXL records in a log, WRITES writes, PROPOSERS proposers.
 * Parts: SESSION (a session that keeps its position and must see its own writes;
 * with MONOTONIC also what its earlier reads saw), READ_INDEX (a session that does
 * not keep its position), KEYS (request keys).
 */

#ifndef MAXT
#define MAXT 3
#endif
#ifndef MAXL
#define MAXL 3
#endif
#ifndef WRITES
#define WRITES 1
#endif
#ifndef PROPOSERS
#define PROPOSERS 2
#endif

#define N 3
#define DETACHED 0
#define REPLICA 1
#define PRIMARY 2

/* A record consists of its term and the number of its write, which is zero for the
 * first record of a term. */
#define REC(t, w) ((t) * 8 + (w))
#define TERM(r) ((r) / 8)
#define WRITE(r) ((r) % 8)
#define AT(i, k) ((i) * MAXL + (k))
#define MAJORITY(m) ((m) == 3 || (m) == 5 || (m) == 6 || (m) == 7)
#define AT_OR_AFTER(t, n, u, m) ((t) > (u) || ((t) == (u) && (n) >= (m)))

/* Instances. */
byte cur[N];       /* current term */
byte grantedTo[N]; /* proposer that the term was granted to, plus one */
byte role[N];
byte size[N];
byte rec[N * MAXL];
bit synced[N];     /* has truncated what its primary does not have */

/* The log of each term's primary at the end of its leadership, or now. Replication
 * in flight can deliver it at any time. */
byte primaryOf[MAXT + 1]; /* primary of the term, plus one */
byte tsize[MAXT + 1];
byte trec[(MAXT + 1) * MAXL];

/* The instances that have at any time reported that they hold the record at a
 * position in the term in which it was written, a bit each. */
byte held[(MAXT + 1) * MAXL];

/* Proposers. */
byte pterm[PROPOSERS];                 /* term of the current attempt */
byte pgrants[PROPOSERS];
byte pbest[PROPOSERS];                 /* granting instance with the highest log position, plus one */
byte pbestT[PROPOSERS];
byte pbestN[PROPOSERS];
byte requested[PROPOSERS];             /* terms requested, a bit each */
byte promoted[(MAXT + 1) * PROPOSERS]; /* instance requested to become primary, plus one */

/* Writes. */
bit sent[WRITES + 1];
byte wterm[WRITES + 1];
byte windex[WRITES + 1];
byte acked; /* writes acknowledged, a bit each */

#ifdef SESSION
byte posT; byte posN; /* position */
byte mustSee;         /* writes that its reads must see */
#endif

#ifdef READ_INDEX
bit indexPending;
byte indexReplies; byte indexT; byte indexN; /* read index in progress */
byte indexMustSee;                           /* writes acknowledged before it began */
#endif

#ifdef KEYS
bit reportedDone; bit reportedCancelled;
#endif

/* Scratch variables, zero between steps. */
hidden byte hk; hidden byte hm; hidden byte ht; hidden byte hx; hidden byte hok;

inline lastTerm(i, r) {
    r = (size[i] == 0 -> 0 : TERM(rec[AT(i, size[i] - 1)]))
}

/* The writes that an instance has. */
inline contents(i, r) {
    r = 0;
    hk = 0;
    do
    :: hk < size[i] -> r = r | (1 << WRITE(rec[AT(i, hk)])); hk++
    :: else -> break
    od;
    hk = 0
}

/* Records in held which positions the instance holds, after each of its steps. */
inline recordHeld(i) {
    hk = 0;
    do
    :: hk < size[i] ->
        ht = TERM(rec[AT(i, hk)]);
#if defined(BROKEN_HOLD_BY_TERM)
        /* The current term suffices, whatever the record's term. */
        if
        :: tsize[cur[i]] > hk -> held[AT(cur[i], hk)] = held[AT(cur[i], hk)] | (1 << i)
        :: else
        fi;
#elif defined(BROKEN_HOLD_BY_RECORD)
        /* The record suffices, whatever the instance's current term. */
        held[AT(ht, hk)] = held[AT(ht, hk)] | (1 << i);
#else
        if
        :: ht == cur[i] -> held[AT(ht, hk)] = held[AT(ht, hk)] | (1 << i)
        :: else
        fi;
#endif
        hk++
    :: else -> break
    od;
    hk = 0; ht = 0
}

#ifdef BROKEN_ACK_WITHOUT_MAJORITY
#define CONFIRMED(t, k) (held[AT(t, k)] != 0)
#else
#define CONFIRMED(t, k) MAJORITY(held[AT(t, k)])
#endif

/* r is whether the result of a read at the instance may be returned to a session.
 * With MONOTONIC the result is withheld until a majority confirms the last record
 * that it includes. A replica whose last record is of its current term needs no
 * confirmation: it and the primary hold the record, a majority of three. */
inline mayReturn(i, r) {
    lastTerm(i, hx);
#if !defined(MONOTONIC) || defined(BROKEN_READ_UNCONFIRMED)
    r = 1;
#else
    r = (size[i] == 0 -> 0 : CONFIRMED(hx, size[i] - 1));
    if
#ifdef BROKEN_REPLICA_READ_UNCONFIRMED
    :: role[i] == REPLICA -> r = 1
#else
    :: role[i] == REPLICA && hx == cur[i] -> r = 1
#endif
    :: else
    fi;
#endif
    hx = 0
}

/* I1: an instance that becomes primary has every record that a majority confirmed. */
inline assertComplete(i) {
    ht = 1;
    do
    :: ht < cur[i] ->
        hk = 0;
        do
        :: hk < MAXL ->
            assert(!CONFIRMED(ht, hk) || (hk < size[i] && TERM(rec[AT(i, hk)]) == ht));
            hk++
        :: else -> break
        od;
        ht++
    :: else -> break
    od;
    ht = 0; hk = 0
}

inline append(i, w) {
    rec[AT(i, size[i])] = REC(cur[i], w);
    trec[AT(cur[i], size[i])] = REC(cur[i], w);
    size[i]++;
    tsize[cur[i]] = size[i];
    recordHeld(i)
}

/* The instance becomes primary in its current term. */
inline becomePrimary(i) {
    assert(primaryOf[cur[i]] == 0); /* I2 */
    assertComplete(i);              /* I1 */
    primaryOf[cur[i]] = i + 1;
    role[i] = PRIMARY;
    hk = 0;
    do
    :: hk < size[i] -> trec[AT(cur[i], hk)] = rec[AT(i, hk)]; hk++
    :: else -> break
    od;
    hk = 0;
    append(i, 0)
}

/* Proposer p begins an attempt for term u and abandons an earlier attempt. */
inline propose(p, u) {
    pterm[p] = u; pgrants[p] = 0; pbest[p] = 0; pbestT[p] = 0; pbestN[p] = 0;
    requested[p] = requested[p] | (1 << u)
}

#ifdef BROKEN_GRANT_TWICE
#define GRANTABLE(i, u) (u > cur[i] || (u == cur[i] && role[i] == DETACHED))
#else
#define GRANTABLE(i, u) (u > cur[i])
#endif

/* Instance i grants term u to proposer p. The response arrives or is lost. */
inline grant(i, u, p, arrives) {
    cur[i] = u; grantedTo[i] = p + 1; role[i] = DETACHED; synced[i] = 0;
    if
    :: arrives && pterm[p] == u && !promoted[u * PROPOSERS + p] && !(pgrants[p] & (1 << i)) ->
        pgrants[p] = pgrants[p] | (1 << i);
        lastTerm(i, hx);
        if
#ifdef BROKEN_PROMOTE_BY_INDEX
        :: pbest[p] == 0 || size[i] > pbestN[p] ->
#else
        :: pbest[p] == 0 || hx > pbestT[p] || (hx == pbestT[p] && size[i] > pbestN[p]) ->
#endif
            pbest[p] = i + 1; pbestT[p] = hx; pbestN[p] = size[i]
        :: else
        fi;
        hx = 0
    :: else
    fi
}

#ifdef BROKEN_PROMOTE_WITHOUT_MAJORITY
#define GRANTED(p) (pgrants[p] != 0)
#else
#define GRANTED(p) MAJORITY(pgrants[p])
#endif

/* Instance i follows the primary of term u. */
inline follow(i, u) {
    if
    :: u > cur[i] -> grantedTo[i] = 0
    :: else
    fi;
    cur[i] = u; role[i] = REPLICA; synced[i] = 0;
#ifdef BROKEN_HOLD_BY_TERM
    recordHeld(i)
#endif
}

/* A replica truncates what its primary does not have, then appends record by record. */
inline truncate(i) {
    hk = (size[i] < tsize[cur[i]] -> size[i] : tsize[cur[i]]);
    do
    :: hk > 0 && rec[AT(i, hk - 1)] != trec[AT(cur[i], hk - 1)] -> hk--
    :: else -> break
    od;
    do
    :: size[i] > hk -> size[i]--; rec[AT(i, size[i])] = 0
    :: else -> break
    od;
    hk = 0;
    synced[i] = 1;
    recordHeld(i)
}

inline receive(i) {
    rec[AT(i, size[i])] = trec[AT(cur[i], size[i])];
    size[i]++;
    recordHeld(i)
}

/* r is the index plus one of a confirmed record of term u after index n, or zero. */
inline confirmedAfter(u, n, r) {
    r = 0;
    hk = n + 1;
    do
    :: hk < MAXL ->
        if
        :: r == 0 && hk < tsize[u] && TERM(trec[AT(u, hk)]) == u && CONFIRMED(u, hk) -> r = hk + 1
        :: else
        fi;
        hk++
    :: else -> break
    od;
    hk = 0
}

#ifdef KEYS
/* All writes have the same request key: write 1 is the original, 2 is a claim that
 * cancels it, 3 is the retry. The row of the key makes all but the first conflict. */
#define CLAIM 2
inline conflicts(i, w, r) {
    contents(i, hm);
#ifdef BROKEN_CLAIM_WITHOUT_CONFLICT
    r = (w != CLAIM && (hm & 10)) ;
#else
    r = (hm & 14) != 0;
#endif
    hm = 0
}
#endif

/* The write is acknowledged; its session's position becomes at least term u and
 * index n, which is counted from one. */
inline acknowledge(w, u, n) {
    acked = acked | (1 << w);
#ifdef KEYS
    /* I5: at most one outcome. */
    assert((acked & 14) == 2 || (acked & 14) == 4 || (acked & 14) == 8);
    if
    :: w == CLAIM -> reportedCancelled = 1
    :: else -> reportedDone = 1
    fi;
    assert(!(reportedCancelled && reportedDone)); /* I4 */
#endif
#ifdef SESSION
    mustSee = mustSee | (1 << w);
    if
    :: !AT_OR_AFTER(posT, posN, u, n) -> posT = u; posN = n
    :: else
    fi;
#endif
}

/* A session reads at an instance. A result below the required position is discarded. */
#ifdef BROKEN_READ_BY_INDEX
#define REACHES(u, n, v, m) ((n) >= (m))
#else
#define REACHES(u, n, v, m) AT_OR_AFTER(u, n, v, m)
#endif

#ifdef BROKEN_INDEX_FROM_ONE
#define INDEX_QUORUM(m) ((m) != 0)
#else
#define INDEX_QUORUM(m) MAJORITY(m)
#endif

#ifdef BROKEN_EARLIER_TERM_POSITION
#define ACK_EARLIER_TERM(w, u) acknowledge(w, wterm[w], windex[w] + 1)
#else
#define ACK_EARLIER_TERM(w, u) acknowledge(w, u, hx)
#endif

#define GRANTS(i, u, p) \
    :: d_step { (requested[p] & (1 << u)) && GRANTABLE(i, u) -> grant(i, u, p, true) } \
    :: d_step { (requested[p] & (1 << u)) && GRANTABLE(i, u) -> grant(i, u, p, false) } \
    :: d_step { promoted[u * PROPOSERS + p] == i + 1 && cur[i] == u && grantedTo[i] == p + 1 && role[i] == DETACHED && size[i] < MAXL -> becomePrimary(i) }

#if PROPOSERS > 2
#define TERMS(i, u) GRANTS(i, u, 0) GRANTS(i, u, 1) GRANTS(i, u, 2) FOLLOWS(i, u)
#else
#define TERMS(i, u) GRANTS(i, u, 0) GRANTS(i, u, 1) FOLLOWS(i, u)
#endif

#define FOLLOWS(i, u) \
    :: d_step { primaryOf[u] && primaryOf[u] != i + 1 && (u > cur[i] || (u == cur[i] && role[i] == DETACHED)) -> follow(i, u) }

#define REPLICATES(i) \
    :: d_step { role[i] == REPLICA && !synced[i] -> truncate(i) } \
    :: d_step { role[i] == REPLICA && synced[i] && size[i] < tsize[cur[i]] -> receive(i) }

#if MAXT > 3
#define INSTANCE(i) TERMS(i, 2) TERMS(i, 3) TERMS(i, 4) REPLICATES(i)
#else
#define INSTANCE(i) TERMS(i, 2) TERMS(i, 3) REPLICATES(i)
#endif

#define PROPOSES(p, u) \
    :: d_step { pterm[p] < u -> propose(p, u) }

#define CHOOSES(p) \
    :: d_step { pterm[p] && GRANTED(p) && !promoted[pterm[p] * PROPOSERS + p] -> \
        promoted[pterm[p] * PROPOSERS + p] = pbest[p]; pgrants[p] = 0; pbest[p] = 0; pbestT[p] = 0; pbestN[p] = 0 }

#if MAXT > 3
#define PROPOSER(p) PROPOSES(p, 2) PROPOSES(p, 3) PROPOSES(p, 4) CHOOSES(p)
#else
#define PROPOSER(p) PROPOSES(p, 2) PROPOSES(p, 3) CHOOSES(p)
#endif

#ifdef KEYS
#define WRITE_UNLESS_CONFLICT(i, w) conflicts(i, w, hok); if :: !hok -> WRITE_AT(i, w) :: else fi; hok = 0
#else
#define WRITE_UNLESS_CONFLICT(i, w) WRITE_AT(i, w)
#endif
#define WRITE_AT(i, w) sent[w] = 1; wterm[w] = cur[i]; windex[w] = size[i]; append(i, w)

/* Each side of a partition has clients: every instance in the role of primary accepts
 * writes. */
#define CLIENT(i, w) \
    :: d_step { !sent[w] && role[i] == PRIMARY && size[i] < MAXL -> WRITE_UNLESS_CONFLICT(i, w) }

/* A write of an earlier term is acknowledged by a confirmed record after it. */
#define EARLIER_TERM(w, u) \
    :: d_step { sent[w] && !(acked & (1 << w)) && u > wterm[w] && tsize[u] > windex[w] && trec[AT(u, windex[w])] == REC(wterm[w], w) -> \
        confirmedAfter(u, windex[w], hx); \
        if :: hx != 0 -> ACK_EARLIER_TERM(w, u) :: else fi; \
        hx = 0 }

#define WRITER(w) \
    CLIENT(0, w) CLIENT(1, w) CLIENT(2, w) \
    :: d_step { sent[w] && !(acked & (1 << w)) && CONFIRMED(wterm[w], windex[w]) -> acknowledge(w, wterm[w], windex[w] + 1) } \
    EARLIER_TERM(w, 2) EARLIER_TERM(w, 3)

#ifdef MONOTONIC
#define RECORD_SEEN(m) mustSee = mustSee | (m)
#else
#define RECORD_SEEN(m) skip
#endif

#define READS(i) \
    :: d_step { true -> \
        mayReturn(i, hok); lastTerm(i, hx); \
        if \
        :: hok && REACHES(hx, size[i], posT, posN) -> \
            contents(i, hm); assert((mustSee & ~hm) == 0); RECORD_SEEN(hm); posT = hx; posN = size[i]; hm = 0 \
        :: else \
        fi; \
        hx = 0; hok = 0 }

#define INDEX_READS(i) \
    :: d_step { indexPending && !INDEX_QUORUM(indexReplies) && !(indexReplies & (1 << i)) -> \
        indexReplies = indexReplies | (1 << i); lastTerm(i, hx); \
        if :: !AT_OR_AFTER(indexT, indexN, hx, size[i]) -> indexT = hx; indexN = size[i] :: else fi; \
        hx = 0 } \
    :: d_step { indexPending && INDEX_QUORUM(indexReplies) -> \
        lastTerm(i, hx); \
        if \
        :: REACHES(hx, size[i], indexT, indexN) -> \
            contents(i, hm); assert((indexMustSee & ~hm) == 0); hm = 0; indexPending = 0; indexReplies = 0; indexT = 0; indexN = 0; indexMustSee = 0 \
        :: else \
        fi; \
        hx = 0 }

active proctype system() {
    d_step {
        cur[0] = 1; cur[1] = 1; cur[2] = 1;
        role[1] = REPLICA; role[2] = REPLICA; synced[1] = 1; synced[2] = 1;
        becomePrimary(0)
    }
    do
    INSTANCE(0)
    INSTANCE(1)
    INSTANCE(2)
    PROPOSER(0)
    PROPOSER(1)
#if PROPOSERS > 2
    PROPOSER(2)
#endif
#if WRITES > 0
    WRITER(1)
#endif
#if WRITES > 1
    WRITER(2)
#endif
#if WRITES > 2
    WRITER(3)
#endif
#ifdef SESSION
    READS(0) READS(1) READS(2)
#endif
#ifdef READ_INDEX
    :: d_step { !indexPending && acked != 0 -> indexPending = 1; indexMustSee = acked }
    INDEX_READS(0) INDEX_READS(1) INDEX_READS(2)
#endif
    od
}
