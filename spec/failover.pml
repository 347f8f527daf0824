/*
 * The protocol by which a group of three instances changes its primary,
 * acknowledges writes, serves reads and arbitrates request keys.
 *
 * Time is absent: a step is taken at any time or never. So a crash with durable
 * state, a pause and a wake, a cut in either direction and any loss, delay,
 * reordering or duplication of calls are all covered. Calls once sent stay
 * possible for ever. Every instance that takes itself for the primary accepts
 * writes, so each side of a cut has its client.
 *
 * Checked by assertions: I1 to I5 of docs/design/failover.md. BROKEN_* takes one
 * rule away; spec/check.sh shows that each of these fails.
 *
 * Sizes: MAXT terms, MAXL records in a log, WRITES writes, PROPOSERS proposers.
 * Parts: SESSION (a session that keeps its position and must see its writes;
 * with MONOTONIC also whatever its reads saw), ROAM (a session that does not keep
 * its position), KEYS (request keys).
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

/* A record is its term and the number of its write, zero for the first record
 * of a term. */
#define REC(t, w) ((t) * 8 + (w))
#define TERM(r) ((r) / 8)
#define WRITE(r) ((r) % 8)
#define AT(i, k) ((i) * MAXL + (k))
#define MAJORITY(m) ((m) == 3 || (m) == 5 || (m) == 6 || (m) == 7)
#define NOTBEFORE(t, n, u, m) ((t) > (u) || ((t) == (u) && (n) >= (m)))

/* Instances. */
byte cur[N];      /* current term */
byte gto[N];      /* proposer that the term was granted to, plus one */
byte role[N];
byte size[N];
byte rec[N * MAXL];
bit synced[N];    /* has dropped what its primary does not have */

/* What the primary of a term had when it was last in the term: replication
 * that is under way can deliver this at any time. */
byte led[MAXT + 1];               /* primary of the term, plus one */
byte tsize[MAXT + 1];
byte trec[(MAXT + 1) * MAXL];

/* held tells which instances have reported, at any time, that they hold the
 * record at a position in the term in which it was written. */
byte held[(MAXT + 1) * MAXL];

/* Proposers. */
byte pterm[PROPOSERS];            /* term of the present attempt */
byte pgrants[PROPOSERS];
byte pbest[PROPOSERS];            /* granter with the highest log, plus one */
byte pbestT[PROPOSERS];
byte pbestN[PROPOSERS];
byte asked[PROPOSERS];            /* terms requested, a bit each */
byte promoted[(MAXT + 1) * PROPOSERS]; /* instance told to become primary, plus one */

/* Writes. */
bit sent[WRITES + 1];
byte wterm[WRITES + 1];
byte windex[WRITES + 1];
byte acked;                       /* writes acknowledged, a bit each */

#ifdef SESSION
byte sT; byte sN;                 /* position */
byte sees;                        /* writes that its reads have to see */
#endif

#ifdef ROAM
bit asking;
byte answers; byte iT; byte iN;   /* read index under way */
byte must;                        /* writes acknowledged before it began */
#endif

#ifdef KEYS
bit toldDone; bit toldCancelled;
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

/* Notes which positions the instance holds, after each of its steps. */
inline note(i) {
    hk = 0;
    do
    :: hk < size[i] ->
        ht = TERM(rec[AT(i, hk)]);
#if defined(BROKEN_HOLD_BY_TERM)
        /* Its current term is enough, whatever the record is. */
        if
        :: tsize[cur[i]] > hk -> held[AT(cur[i], hk)] = held[AT(cur[i], hk)] | (1 << i)
        :: else
        fi;
#elif defined(BROKEN_HOLD_BY_RECORD)
        /* The record is enough, whatever its current term is. */
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

/* Whether a session may be given what it reads at the instance. With MONOTONIC
 * an answer is withheld until a majority confirms the last record it saw. A
 * replica whose last record is of its current term holds that together with the
 * primary, which is a majority of three: it need not ask. */
inline readable(i, r) {
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

/* I1: whoever becomes primary has every record that a majority confirmed. */
inline complete(i) {
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
    note(i)
}

/* The instance becomes primary in its current term. */
inline lead(i) {
    assert(led[cur[i]] == 0);           /* I2 */
    complete(i);                        /* I1 */
    led[cur[i]] = i + 1;
    role[i] = PRIMARY;
    hk = 0;
    do
    :: hk < size[i] -> trec[AT(cur[i], hk)] = rec[AT(i, hk)]; hk++
    :: else -> break
    od;
    hk = 0;
    append(i, 0)
}

/* Proposer p begins an attempt for term u; it gives up an earlier one. */
inline propose(p, u) {
    pterm[p] = u; pgrants[p] = 0; pbest[p] = 0; pbestT[p] = 0; pbestN[p] = 0;
    asked[p] = asked[p] | (1 << u)
}

#ifdef BROKEN_GRANT_TWICE
#define GRANTABLE(i, u) (u > cur[i] || (u == cur[i] && role[i] == DETACHED))
#else
#define GRANTABLE(i, u) (u > cur[i])
#endif

/* Instance i grants term u to proposer p. The answer arrives or is lost. */
inline grant(i, u, p, arrives) {
    cur[i] = u; gto[i] = p + 1; role[i] = DETACHED; synced[i] = 0;
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
    :: u > cur[i] -> gto[i] = 0
    :: else
    fi;
    cur[i] = u; role[i] = REPLICA; synced[i] = 0;
#ifdef BROKEN_HOLD_BY_TERM
    note(i)
#endif
}

/* A replica drops what its primary does not have, then takes record by record. */
inline drop(i) {
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
    note(i)
}

inline receive(i) {
    rec[AT(i, size[i])] = trec[AT(cur[i], size[i])];
    size[i]++;
    note(i)
}

/* A record of the term u behind index n is confirmed; r is its index plus one. */
inline confirmedBehind(u, n, r) {
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
/* All writes carry one request key: 1 the original, 2 a claim that cancels it,
 * 3 the repeated call. The key's row makes all but the first conflict. */
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

/* The write is acknowledged; its session's position is that of u and n, the
 * index counted from one. */
inline acknowledge(w, u, n) {
    acked = acked | (1 << w);
#ifdef KEYS
    /* I5: one outcome at most. */
    assert((acked & 14) == 2 || (acked & 14) == 4 || (acked & 14) == 8);
    if
    :: w == CLAIM -> toldCancelled = 1
    :: else -> toldDone = 1
    fi;
    assert(!(toldCancelled && toldDone));   /* I4 */
#endif
#ifdef SESSION
    sees = sees | (1 << w);
    if
    :: !NOTBEFORE(sT, sN, u, n) -> sT = u; sN = n
    :: else
    fi;
#endif
}

/* A session reads at an instance. An answer below what it needs is dropped. */
#ifdef BROKEN_READ_BY_INDEX
#define REACHES(u, n, v, m) ((n) >= (m))
#else
#define REACHES(u, n, v, m) NOTBEFORE(u, n, v, m)
#endif

#ifdef BROKEN_INDEX_FROM_ONE
#define ENOUGH(m) ((m) != 0)
#else
#define ENOUGH(m) MAJORITY(m)
#endif

#ifdef BROKEN_LEFTOVER_POSITION
#define ACK_LEFTOVER(w, u) acknowledge(w, wterm[w], windex[w] + 1)
#else
#define ACK_LEFTOVER(w, u) acknowledge(w, u, hx)
#endif

#define GRANTS(i, u, p) \
    :: d_step { (asked[p] & (1 << u)) && GRANTABLE(i, u) -> grant(i, u, p, true) } \
    :: d_step { (asked[p] & (1 << u)) && GRANTABLE(i, u) -> grant(i, u, p, false) } \
    :: d_step { promoted[u * PROPOSERS + p] == i + 1 && cur[i] == u && gto[i] == p + 1 && role[i] == DETACHED && size[i] < MAXL -> lead(i) }

#if PROPOSERS > 2
#define TERMS(i, u) GRANTS(i, u, 0) GRANTS(i, u, 1) GRANTS(i, u, 2) FOLLOWS(i, u)
#else
#define TERMS(i, u) GRANTS(i, u, 0) GRANTS(i, u, 1) FOLLOWS(i, u)
#endif

#define FOLLOWS(i, u) \
    :: d_step { led[u] && led[u] != i + 1 && (u > cur[i] || (u == cur[i] && role[i] == DETACHED)) -> follow(i, u) }

#define REPLICATES(i) \
    :: d_step { role[i] == REPLICA && !synced[i] -> drop(i) } \
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
#define MAYWRITE(i, w) conflicts(i, w, hok); if :: !hok -> WRITES_AT(i, w) :: else fi; hok = 0
#else
#define MAYWRITE(i, w) WRITES_AT(i, w)
#endif
#define WRITES_AT(i, w) sent[w] = 1; wterm[w] = cur[i]; windex[w] = size[i]; append(i, w)

/* Both sides of a cut have clients: whoever takes itself for the primary writes. */
#define CLIENT(i, w) \
    :: d_step { !sent[w] && role[i] == PRIMARY && size[i] < MAXL -> MAYWRITE(i, w) }

/* A write left over from a lower term is acknowledged by a record behind it. */
#define LEFTOVER(w, u) \
    :: d_step { sent[w] && !(acked & (1 << w)) && u > wterm[w] && tsize[u] > windex[w] && trec[AT(u, windex[w])] == REC(wterm[w], w) -> \
        confirmedBehind(u, windex[w], hx); \
        if :: hx != 0 -> ACK_LEFTOVER(w, u) :: else fi; \
        hx = 0 }

#define WRITER(w) \
    CLIENT(0, w) CLIENT(1, w) CLIENT(2, w) \
    :: d_step { sent[w] && !(acked & (1 << w)) && CONFIRMED(wterm[w], windex[w]) -> acknowledge(w, wterm[w], windex[w] + 1) } \
    LEFTOVER(w, 2) LEFTOVER(w, 3)

#ifdef MONOTONIC
#define SAW(m) sees = sees | (m)
#else
#define SAW(m) skip
#endif

#define READS(i) \
    :: d_step { true -> \
        readable(i, hok); lastTerm(i, hx); \
        if \
        :: hok && REACHES(hx, size[i], sT, sN) -> \
            contents(i, hm); assert((sees & ~hm) == 0); SAW(hm); sT = hx; sN = size[i]; hm = 0 \
        :: else \
        fi; \
        hx = 0; hok = 0 }

#define ROAMS(i) \
    :: d_step { asking && !ENOUGH(answers) && !(answers & (1 << i)) -> \
        answers = answers | (1 << i); lastTerm(i, hx); \
        if :: !NOTBEFORE(iT, iN, hx, size[i]) -> iT = hx; iN = size[i] :: else fi; \
        hx = 0 } \
    :: d_step { asking && ENOUGH(answers) -> \
        lastTerm(i, hx); \
        if \
        :: REACHES(hx, size[i], iT, iN) -> \
            contents(i, hm); assert((must & ~hm) == 0); hm = 0; asking = 0; answers = 0; iT = 0; iN = 0; must = 0 \
        :: else \
        fi; \
        hx = 0 }

active proctype world() {
    d_step {
        cur[0] = 1; cur[1] = 1; cur[2] = 1;
        role[1] = REPLICA; role[2] = REPLICA; synced[1] = 1; synced[2] = 1;
        lead(0)
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
#ifdef ROAM
    :: d_step { !asking && acked != 0 -> asking = 1; must = acked }
    ROAMS(0) ROAMS(1) ROAMS(2)
#endif
    od
}
