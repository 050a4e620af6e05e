/* Publication and freshness (design, decisions 1 and 2).
 *
 * Three witnesses, two publishers with one publication id each, a server that asks the store and
 * the witnesses, and a sidecar that asks only the server. A question may stay unanswered at any
 * time, which covers outages of the store and partitions. Time is counted as the remaining life
 * of each piece of evidence; a tick lowers all of them.
 *
 * Epoch 1 is in force at the start. Bit p of a mask stands for publication p.
 */

#define WITNESSES 3
#define MAJORITY 2
#ifndef LIMIT
#define LIMIT 1 /* ticks for which evidence counts */
#endif
#ifndef PUBLISHERS
#define PUBLISHERS 2
#endif
#ifndef WITNESS_RESTARTS
#define WITNESS_RESTARTS 1
#endif
#ifndef PUBLISHER_RESTARTS
#define PUBLISHER_RESTARTS 1
#endif
#ifndef SERVER_RESTARTS
#define SERVER_RESTARTS 1
#endif

#ifndef STORE_CONFIRMS
#define STORE_CONFIRMS 1
#endif

#ifdef FAULT_MINORITY
#define QUORUM 1
#else
#define QUORUM MAJORITY
#endif

/* Store. */
byte head = 1;
byte accepted_by[4] = 0; /* publication + 1, by epoch */
byte since[4] = 0;       /* ticks since the epoch was accepted, up to LIMIT */
byte row[2] = 0;         /* epoch in publications/<id> */
byte delayed[2] = 0;     /* base of a commit that is still under way, or 0 */
bool told_conflict[2] = false;

/* Witnesses. */
byte w_epoch[WITNESSES] = 1;
byte w_pending[6] = 0; /* next epoch of publication p at witness w: index 2w + p */
bool w_complete[WITNESSES] = true;
byte w_first[WITNESSES] = 0;   /* first epoch read from the store since the restart */
byte w_sources[WITNESSES] = 0; /* complete witnesses that answered since the restart */
byte w_run[WITNESSES] = 0;     /* incarnation */
byte w_restarts = 0;

/* Server (0) and sidecar (1). */
byte installed[2] = 1;
byte held[2] = 0; /* mask of pending publications whose sets admission checks */
byte c_life[2] = 0;         /* confirmation of the installed epoch */
byte a_life[WITNESSES] = 0; /* attestations of the installed epoch, at the server */
/* Open question of each: its remaining life, and the answer under way. */
bool asked[2] = false;
byte q_life[2] = 0;
bool answered[2] = false;
byte r_source[2] = 0; /* witness, or WITNESSES for the store or a peer */
byte r_epoch[2] = 0;
byte r_pending[2] = 0;
byte r_age[2] = 0;

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define PENDING(w) \
  ((w_pending[2 * (w)] > w_epoch[w] -> 1 : 0) + (w_pending[2 * (w) + 1] > w_epoch[w] -> 2 : 0))
#define COUNT(mask) (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1))
#define ATTESTS(w, life) (a_life[w] >= (life) -> 1 : 0)
#define ATTESTED(life) (ATTESTS(0, life) + ATTESTS(1, life) + ATTESTS(2, life) >= QUORUM)
#define ATTESTED_LIFE (ATTESTED(2) -> 2 : (ATTESTED(1) -> 1 : 0))
#define LIFE0 MAX(c_life[0], ATTESTED_LIFE)

/* Epoch e must be respected by a process that admits under a lower one. */
#define OVERDUE(e) (accepted_by[e] != 0 && since[e] == LIMIT)
#define RESPECTS(s, e) \
  (installed[s] >= (e) || !OVERDUE(e) || ((held[s] >> (accepted_by[e] - 1)) & 1))

inline Accept(p, e) {
  assert(accepted_by[e] == 0);
  assert(row[p] == 0);
  assert(!told_conflict[p]);
  assert(e > head);
  accepted_by[e] = p + 1;
  row[p] = e;
  head = e;
}

inline LearnEpoch(w, e) {
  w_epoch[w] = MAX(w_epoch[w], e);
  if
  :: w_pending[2 * w] <= w_epoch[w] -> w_pending[2 * w] = 0
  :: else
  fi;
  if
  :: w_pending[2 * w + 1] <= w_epoch[w] -> w_pending[2 * w + 1] = 0
  :: else
  fi
}

inline Prepare(w, p, next) {
  if
  :: next > w_epoch[w] -> w_pending[2 * w + p] = next; ok = true
  :: else -> ok = false
  fi
}

proctype Publisher(byte p) {
  byte base, acks, confirms, w, seen, restarts;
  byte inc[WITNESSES];
  bool ok;

start:
  atomic {
    acks = 0; confirms = 0; seen = 0; w = 0;
    inc[0] = 0; inc[1] = 0; inc[2] = 0;
    if
    :: row[p] != 0 -> goto done
    :: else
    fi
  };
  base = head;

prepare:
#ifndef FAULT_NO_PREPARE
  do
  :: atomic {
       /* The witnesses are alike, so the first majority of publisher 0 is 0, then 1. */
       COUNT(acks) < MAJORITY;
       if
       :: p == 0 && restarts == 0 -> w = COUNT(acks)
       :: (p != 0 || restarts != 0) && !(acks & 1) -> w = 0
       :: (p != 0 || restarts != 0) && !(acks & 2) -> w = 1
       :: (p != 0 || restarts != 0) && !(acks & 4) -> w = 2
       fi;
       Prepare(w, p, base + 1);
       if
       :: ok -> acks = acks | (1 << w); inc[w] = w_run[w]
       :: else
       fi;
       ok = false; w = 0
     }
  :: COUNT(acks) == MAJORITY -> break
  :: goto done /* no majority */
  :: atomic { restarts < PUBLISHER_RESTARTS; restarts++; goto start }
  od;
#ifndef FAULT_ONE_ROUND
confirm:
  do
  :: atomic {
       COUNT(confirms) < MAJORITY;
       if
       :: (acks & 1) && !(confirms & 1) && inc[0] == w_run[0] -> w = 0
       :: (acks & 2) && !(confirms & 2) && inc[1] == w_run[1] -> w = 1
       :: (acks & 4) && !(confirms & 4) && inc[2] == w_run[2] -> w = 2
       fi;
       Prepare(w, p, base + 1);
       if
       :: ok -> confirms = confirms | (1 << w)
       :: else
       fi;
       ok = false; w = 0
     }
  :: COUNT(confirms) == MAJORITY -> break
  :: goto done /* no majority */
  od;
#endif
#endif

commit:
  if
#ifdef FAULT_NO_CONDITION
  :: atomic { Accept(p, base + 1); goto done }
#else
  :: atomic { head == base && row[p] == 0 -> Accept(p, base + 1); goto done }
#endif
#ifdef LOST_ANSWERS
  /* The answer is lost: the commit took effect, or may do so later. */
  :: atomic { head == base && row[p] == 0 -> Accept(p, base + 1) }
  :: atomic { delayed[p] = base }
#endif
#ifdef FAULT_TRUST_CONFLICT
  :: atomic { head != base -> told_conflict[p] = true; assert(row[p] == 0); goto done }
#else
  /* An earlier commit of this id, perhaps of an earlier run, may have moved the head. */
  :: head != base
#endif
  :: atomic { restarts < PUBLISHER_RESTARTS; restarts++; goto start }
  fi;

  /* Read back the head, then the row. */
#ifdef FAULT_ROW_BEFORE_HEAD
  if
  :: row[p] != 0 -> goto done
  :: row[p] == 0
  fi;
  seen = head;
  if
  :: atomic { seen > base -> told_conflict[p] = true; assert(row[p] == 0); goto done }
  :: seen == base
  fi;
#else
  seen = head;
  if
  :: row[p] != 0 -> goto done
  :: atomic { row[p] == 0 && seen > base -> told_conflict[p] = true; goto done }
  :: row[p] == 0 && seen == base
  fi;
#endif
  goto commit;
done:
  atomic { base = 0; acks = 0; confirms = 0; seen = 0; restarts = 0;
           inc[0] = 0; inc[1] = 0; inc[2] = 0 }
}

#ifdef LOST_ANSWERS
/* A commit whose answer was lost arrives late. */
active proctype Network() {
  byte p;
  do
  :: atomic {
       if
       :: delayed[0] != 0 -> p = 0
       :: delayed[1] != 0 -> p = 1
       fi;
       if
       :: head == delayed[p] && row[p] == 0 -> Accept(p, delayed[p] + 1)
       :: else
       fi;
       delayed[p] = 0; p = 0
     }
  od
}
#endif

proctype Witness(byte w) {
  byte v;
  do
  :: atomic { head > w_epoch[w] || (!w_complete[w] && w_first[w] == 0) ->
       if
       :: !w_complete[w] && w_first[w] == 0 -> w_first[w] = head
       :: else
       fi;
       LearnEpoch(w, head);
#ifdef FAULT_STORE_RECOVERY
       w_complete[w] = true;
#endif
       if
       :: !w_complete[w] && w_epoch[w] > w_first[w] -> w_complete[w] = true
       :: else
       fi;
       if
       :: w_complete[w] -> w_first[w] = 0; w_sources[w] = 0
       :: else
       fi
     }
  /* recover: another witness answers a question of this one */
  :: atomic { !w_complete[w] ->
       if
       :: v = (w + 1) % 3
       :: v = (w + 2) % 3
       fi;
       LearnEpoch(w, w_epoch[v]);
       if
       :: w_pending[2 * v] > w_epoch[w] ->
            w_pending[2 * w] = MAX(w_pending[2 * w], w_pending[2 * v])
       :: else
       fi;
       if
       :: w_pending[2 * v + 1] > w_epoch[w] ->
            w_pending[2 * w + 1] = MAX(w_pending[2 * w + 1], w_pending[2 * v + 1])
       :: else
       fi;
       if
       :: w_complete[v] -> w_sources[w] = w_sources[w] | (1 << v)
       :: else
       fi;
       if
       :: COUNT(w_sources[w]) >= WITNESSES - MAJORITY + 1 ||
          (w_first[w] != 0 && w_epoch[w] > w_first[w]) ->
            w_complete[w] = true; w_first[w] = 0; w_sources[w] = 0
       :: else
       fi;
       v = 0
     }
  :: atomic { w_restarts < WITNESS_RESTARTS ->
       w_restarts++; w_run[w]++; w_epoch[w] = 0; w_pending[2 * w] = 0; w_pending[2 * w + 1] = 0;
       w_first[w] = 0; w_sources[w] = 0;
#ifdef FAULT_NO_RECOVERY
       w_complete[w] = true
#else
       w_complete[w] = false
#endif
     }
  od
}

/* Evidence about a lower epoch than the installed one is of no use any more. */
inline Install(s, e) {
  if
  :: e > installed[s] ->
       installed[s] = e; c_life[s] = 0;
       if
       :: s == 0 -> a_life[0] = 0; a_life[1] = 0; a_life[2] = 0
       :: else
       fi;
       /* A held publication that is accepted up to this epoch is no longer pending. */
       if
       :: row[0] != 0 && row[0] <= e -> held[s] = held[s] & 2
       :: else
       fi;
       if
       :: row[1] != 0 && row[1] <= e -> held[s] = held[s] & 1
       :: else
       fi
  :: else
  fi
}

inline Receive(s) {
  Install(s, r_epoch[s]);
#ifdef FAULT_RECEIPT_TIME
  q_life[s] = LIMIT;
#endif
#ifndef FAULT_IGNORE_PENDING
  if
  :: (r_pending[s] & ~held[s]) == 0
  :: (r_pending[s] & ~held[s]) != 0 -> held[s] = held[s] | r_pending[s]
  :: (r_pending[s] & ~held[s]) != 0 -> q_life[s] = 0 /* its sets are not at hand */
  fi;
#endif
  q_life[s] = (q_life[s] > r_age[s] -> q_life[s] - r_age[s] : 0);
  if
  :: r_epoch[s] != installed[s] || q_life[s] == 0
  :: else ->
       if
       :: r_source[s] < WITNESSES ->
            a_life[r_source[s]] = MAX(q_life[s], a_life[r_source[s]])
       :: else -> c_life[s] = (STORE_CONFIRMS || s == 1 -> MAX(q_life[s], c_life[s]) : 0)
       fi
  fi;
  EndQuestion(s)
}

inline EndQuestion(s) {
  asked[s] = false; answered[s] = false; q_life[s] = 0;
  r_source[s] = 0; r_epoch[s] = 0; r_pending[s] = 0; r_age[s] = 0
}

inline Ask(s) { !asked[s] -> asked[s] = true; q_life[s] = LIMIT }

inline StoreAnswers() {
  asked[0] && !answered[0] ->
  answered[0] = true; r_source[0] = WITNESSES; r_epoch[0] = head
}

inline WitnessAttests() {
  asked[0] && !answered[0] ->
  if
  :: w_complete[0] -> r_source[0] = 0
  :: w_complete[1] -> r_source[0] = 1
  :: w_complete[2] -> r_source[0] = 2
  fi;
  answered[0] = true; r_epoch[0] = w_epoch[r_source[0]]; r_pending[0] = PENDING(r_source[0])
}

inline ServerAnswers() {
  asked[1] && !answered[1] && installed[0] != 0 && LIFE0 > 0 ->
  answered[1] = true; r_source[1] = WITNESSES; r_epoch[1] = installed[0];
  r_pending[1] = held[0];
#ifndef FAULT_PEER_AGE
  r_age[1] = LIMIT - LIFE0
#endif
}

#ifdef WITH_SERVER
active proctype Server() {
  byte restarts;
  do
#ifdef SLOW_ANSWERS
  :: atomic { Ask(0) }
  :: atomic { StoreAnswers() }
  :: atomic { WitnessAttests() }
  :: atomic { answered[0] -> Receive(0) }
#else
  :: atomic { Ask(0); StoreAnswers(); Receive(0) }
  :: atomic { Ask(0); WitnessAttests(); Receive(0) }
#endif
  :: atomic { installed[0] != 0 && LIFE0 > 0 -> /* admission */
       assert(RESPECTS(0, 2));
       assert(RESPECTS(0, 3))
     }
  :: atomic { restarts < SERVER_RESTARTS -> restarts++;
       installed[0] = 0; held[0] = 0; c_life[0] = 0;
       a_life[0] = 0; a_life[1] = 0; a_life[2] = 0;
       EndQuestion(0)
     }
  od
}

#endif

#ifdef WITH_SIDECAR
active proctype Sidecar() {
  do
  :: atomic { Ask(1) }
  :: atomic { ServerAnswers() }
  :: atomic { answered[1] -> Receive(1) }
  :: atomic { installed[1] != 0 && c_life[1] > 0 ->
       assert(RESPECTS(1, 2));
       assert(RESPECTS(1, 3))
     }
  od
}
#endif

#ifdef FAULT_RECEIPT_TIME
#define KEEP_QUESTION true
#else
#define KEEP_QUESTION false
#endif
#define AGE(life) life = (life > 0 -> life - 1 : 0)
#define OLDER(e) since[e] = (accepted_by[e] != 0 && since[e] < LIMIT -> since[e] + 1 : since[e])

#ifdef WITH_SERVER
active proctype Time() {
  do
  :: d_step {
       AGE(c_life[0]); AGE(c_life[1]); AGE(q_life[0]); AGE(q_life[1]);
       AGE(a_life[0]); AGE(a_life[1]); AGE(a_life[2]);
       OLDER(2); OLDER(3);
       /* An answer to an expired question is evidence of nothing but its epoch. */
       if
       :: asked[0] && q_life[0] == 0 && !KEEP_QUESTION -> EndQuestion(0)
       :: else
       fi;
       if
       :: asked[1] && q_life[1] == 0 -> EndQuestion(1)
       :: else
       fi
     }
  od
}
#endif

init {
  atomic {
    run Publisher(0);
#if PUBLISHERS > 1
    run Publisher(1);
#endif
    run Witness(0);
    run Witness(1);
    run Witness(2)
  }
}
