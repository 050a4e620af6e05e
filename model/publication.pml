/* Publication of configurations and freshness of the installed one (design, decisions 1 and 2).
 *
 * Three witnesses, two publishers with one publication id each, a server that queries the store and
 * the witnesses, and a sidecar that queries only the server. Any query may stay unanswered, which
 * covers outages of the store and network partitions. Time is modelled as the remaining validity
 * (TTL) of each piece of evidence; a tick decrements all of them.
 *
 * Epoch 1 is in force at the start. Bit p of a mask stands for publication p.
 */

#define WITNESSES 3
#define MAJORITY 2
#ifndef LIMIT
#define LIMIT 1 /* ticks for which evidence is valid */
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

/* Whether answers of the store confirm an epoch at the server; with 0, only attestations count. */
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
byte epoch_age[4] = 0;   /* ticks since the epoch was accepted, up to LIMIT */
byte row[2] = 0;         /* epoch in publications/<id> */
byte delayed[2] = 0;     /* base epoch of a commit in flight, or 0 */
bool reported_conflict[2] = false;

/* Witnesses. */
byte w_epoch[WITNESSES] = 1;
byte w_pending[6] = 0; /* next epoch of publication p at witness w: index 2w + p */
bool w_complete[WITNESSES] = true;
byte w_first_read[WITNESSES] = 0;       /* first epoch read from the store since the restart */
byte w_recovery_sources[WITNESSES] = 0; /* complete witnesses heard since the restart */
byte w_incarnation[WITNESSES] = 0;
byte w_restarts = 0;

/* Server (0) and sidecar (1). */
byte installed[2] = 1;
byte held_pending[2] = 0; /* mask of pending publications whose object sets admission also checks */
byte confirmation_ttl[2] = 0; /* confirmation of the installed epoch by the store or a peer */
byte attestation_ttl[WITNESSES] = 0; /* attestations of the installed epoch, at the server */
/* Open query of each: its remaining validity, and the answer in flight. */
bool query_open[2] = false;
byte query_ttl[2] = 0;
bool has_answer[2] = false;
byte answer_source[2] = 0; /* witness, or WITNESSES for the store or a peer */
byte answer_epoch[2] = 0;
byte answer_pending[2] = 0;
byte answer_age[2] = 0;

#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define PENDING(w) \
  ((w_pending[2 * (w)] > w_epoch[w] -> 1 : 0) + (w_pending[2 * (w) + 1] > w_epoch[w] -> 2 : 0))
#define COUNT(mask) (((mask) & 1) + (((mask) >> 1) & 1) + (((mask) >> 2) & 1))
#define ATTESTS(w, ttl) (attestation_ttl[w] >= (ttl) -> 1 : 0)
#define ATTESTED(ttl) (ATTESTS(0, ttl) + ATTESTS(1, ttl) + ATTESTS(2, ttl) >= QUORUM)
#define ATTESTED_TTL (ATTESTED(2) -> 2 : (ATTESTED(1) -> 1 : 0))
#define SERVER_TTL MAX(confirmation_ttl[0], ATTESTED_TTL)

/* OVERDUE: epoch e was accepted at least LIMIT ticks ago, so a process that admits under a lower
 * epoch has to respect it. */
#define OVERDUE(e) (accepted_by[e] != 0 && epoch_age[e] == LIMIT)
#define RESPECTS(s, e) \
  (installed[s] >= (e) || !OVERDUE(e) || ((held_pending[s] >> (accepted_by[e] - 1)) & 1))

inline Accept(p, e) {
  assert(accepted_by[e] == 0);
  assert(row[p] == 0);
  assert(!reported_conflict[p]);
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
  byte base, acks, confirms, w, read_head, restarts;
  byte prepared_incarnation[WITNESSES];
  bool ok;

start:
  atomic {
    acks = 0; confirms = 0; read_head = 0; w = 0;
    prepared_incarnation[0] = 0; prepared_incarnation[1] = 0; prepared_incarnation[2] = 0;
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
       /* Witnesses are interchangeable, so the first majority of publisher 0 is 0, then 1. */
       COUNT(acks) < MAJORITY;
       if
       :: p == 0 && restarts == 0 -> w = COUNT(acks)
       :: (p != 0 || restarts != 0) && !(acks & 1) -> w = 0
       :: (p != 0 || restarts != 0) && !(acks & 2) -> w = 1
       :: (p != 0 || restarts != 0) && !(acks & 4) -> w = 2
       fi;
       Prepare(w, p, base + 1);
       if
       :: ok -> acks = acks | (1 << w); prepared_incarnation[w] = w_incarnation[w]
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
       :: (acks & 1) && !(confirms & 1) && prepared_incarnation[0] == w_incarnation[0] -> w = 0
       :: (acks & 2) && !(confirms & 2) && prepared_incarnation[1] == w_incarnation[1] -> w = 1
       :: (acks & 4) && !(confirms & 4) && prepared_incarnation[2] == w_incarnation[2] -> w = 2
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
  :: atomic { head != base -> reported_conflict[p] = true; assert(row[p] == 0); goto done }
#else
  /* An earlier commit of this publication, possibly by an earlier run, may have moved the head. */
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
  read_head = head;
  if
  :: atomic { read_head > base -> reported_conflict[p] = true; assert(row[p] == 0); goto done }
  :: read_head == base
  fi;
#else
  read_head = head;
  if
  :: row[p] != 0 -> goto done
  :: atomic { row[p] == 0 && read_head > base -> reported_conflict[p] = true; goto done }
  :: row[p] == 0 && read_head == base
  fi;
#endif
  goto commit;
done:
  atomic { base = 0; acks = 0; confirms = 0; read_head = 0; restarts = 0;
           prepared_incarnation[0] = 0; prepared_incarnation[1] = 0; prepared_incarnation[2] = 0 }
}

#ifdef LOST_ANSWERS
/* Delivers delayed commits, whose answers were lost, to the store. */
active proctype DelayedCommits() {
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
  :: atomic { head > w_epoch[w] || (!w_complete[w] && w_first_read[w] == 0) ->
       if
       :: !w_complete[w] && w_first_read[w] == 0 -> w_first_read[w] = head
       :: else
       fi;
       LearnEpoch(w, head);
#ifdef FAULT_STORE_RECOVERY
       w_complete[w] = true;
#endif
       if
       :: !w_complete[w] && w_epoch[w] > w_first_read[w] -> w_complete[w] = true
       :: else
       fi;
       if
       :: w_complete[w] -> w_first_read[w] = 0; w_recovery_sources[w] = 0
       :: else
       fi
     }
  /* recover: another witness answers a query of this one */
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
       :: w_complete[v] -> w_recovery_sources[w] = w_recovery_sources[w] | (1 << v)
       :: else
       fi;
       if
       :: COUNT(w_recovery_sources[w]) >= WITNESSES - MAJORITY + 1 ||
          (w_first_read[w] != 0 && w_epoch[w] > w_first_read[w]) ->
            w_complete[w] = true; w_first_read[w] = 0; w_recovery_sources[w] = 0
       :: else
       fi;
       v = 0
     }
  :: atomic { w_restarts < WITNESS_RESTARTS ->
       w_restarts++; w_incarnation[w]++; w_epoch[w] = 0;
       w_pending[2 * w] = 0; w_pending[2 * w + 1] = 0;
       w_first_read[w] = 0; w_recovery_sources[w] = 0;
#ifdef FAULT_NO_RECOVERY
       w_complete[w] = true
#else
       w_complete[w] = false
#endif
     }
  od
}

/* Installing an epoch discards the evidence about lower epochs. */
inline Install(s, e) {
  if
  :: e > installed[s] ->
       installed[s] = e; confirmation_ttl[s] = 0;
       if
       :: s == 0 -> attestation_ttl[0] = 0; attestation_ttl[1] = 0; attestation_ttl[2] = 0
       :: else
       fi;
       /* A held publication that is accepted up to this epoch is no longer pending. */
       if
       :: row[0] != 0 && row[0] <= e -> held_pending[s] = held_pending[s] & 2
       :: else
       fi;
       if
       :: row[1] != 0 && row[1] <= e -> held_pending[s] = held_pending[s] & 1
       :: else
       fi
  :: else
  fi
}

inline Receive(s) {
  Install(s, answer_epoch[s]);
#ifdef FAULT_RECEIPT_TIME
  query_ttl[s] = LIMIT;
#endif
#ifndef FAULT_IGNORE_PENDING
  if
  :: (answer_pending[s] & ~held_pending[s]) == 0
  :: (answer_pending[s] & ~held_pending[s]) != 0 ->
       held_pending[s] = held_pending[s] | answer_pending[s]
  :: (answer_pending[s] & ~held_pending[s]) != 0 ->
       query_ttl[s] = 0 /* its object sets are not available */
  fi;
#endif
  query_ttl[s] = (query_ttl[s] > answer_age[s] -> query_ttl[s] - answer_age[s] : 0);
  if
  :: answer_epoch[s] != installed[s] || query_ttl[s] == 0
  :: else ->
       if
       :: answer_source[s] < WITNESSES ->
            attestation_ttl[answer_source[s]] = MAX(query_ttl[s], attestation_ttl[answer_source[s]])
       :: else ->
            confirmation_ttl[s] =
              (STORE_CONFIRMS || s == 1 -> MAX(query_ttl[s], confirmation_ttl[s]) : 0)
       fi
  fi;
  EndQuery(s)
}

inline EndQuery(s) {
  query_open[s] = false; has_answer[s] = false; query_ttl[s] = 0;
  answer_source[s] = 0; answer_epoch[s] = 0; answer_pending[s] = 0; answer_age[s] = 0
}

inline Ask(s) { !query_open[s] -> query_open[s] = true; query_ttl[s] = LIMIT }

inline StoreAnswers() {
  query_open[0] && !has_answer[0] ->
  has_answer[0] = true; answer_source[0] = WITNESSES; answer_epoch[0] = head
}

inline WitnessAttests() {
  query_open[0] && !has_answer[0] ->
  if
  :: w_complete[0] -> answer_source[0] = 0
  :: w_complete[1] -> answer_source[0] = 1
  :: w_complete[2] -> answer_source[0] = 2
  fi;
  has_answer[0] = true; answer_epoch[0] = w_epoch[answer_source[0]];
  answer_pending[0] = PENDING(answer_source[0])
}

inline ServerAnswers() {
  query_open[1] && !has_answer[1] && installed[0] != 0 && SERVER_TTL > 0 ->
  has_answer[1] = true; answer_source[1] = WITNESSES; answer_epoch[1] = installed[0];
  answer_pending[1] = held_pending[0];
#ifndef FAULT_PEER_AGE
  answer_age[1] = LIMIT - SERVER_TTL
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
  :: atomic { has_answer[0] -> Receive(0) }
#else
  :: atomic { Ask(0); StoreAnswers(); Receive(0) }
  :: atomic { Ask(0); WitnessAttests(); Receive(0) }
#endif
  :: atomic { installed[0] != 0 && SERVER_TTL > 0 -> /* admission */
       assert(RESPECTS(0, 2));
       assert(RESPECTS(0, 3))
     }
  :: atomic { restarts < SERVER_RESTARTS -> restarts++;
       installed[0] = 0; held_pending[0] = 0; confirmation_ttl[0] = 0;
       attestation_ttl[0] = 0; attestation_ttl[1] = 0; attestation_ttl[2] = 0;
       EndQuery(0)
     }
  od
}

#endif

#ifdef WITH_SIDECAR
active proctype Sidecar() {
  do
  :: atomic { Ask(1) }
  :: atomic { ServerAnswers() }
  :: atomic { has_answer[1] -> Receive(1) }
  :: atomic { installed[1] != 0 && confirmation_ttl[1] > 0 ->
       assert(RESPECTS(1, 2));
       assert(RESPECTS(1, 3))
     }
  od
}
#endif

#ifdef FAULT_RECEIPT_TIME
#define KEEP_EXPIRED_QUERY true
#else
#define KEEP_EXPIRED_QUERY false
#endif
#define AGE(ttl) ttl = (ttl > 0 -> ttl - 1 : 0)
#define AGE_EPOCH(e) \
  epoch_age[e] = (accepted_by[e] != 0 && epoch_age[e] < LIMIT -> epoch_age[e] + 1 : epoch_age[e])

#ifdef WITH_SERVER
active proctype Time() {
  do
  :: d_step {
       AGE(confirmation_ttl[0]); AGE(confirmation_ttl[1]); AGE(query_ttl[0]); AGE(query_ttl[1]);
       AGE(attestation_ttl[0]); AGE(attestation_ttl[1]); AGE(attestation_ttl[2]);
       AGE_EPOCH(2); AGE_EPOCH(3);
       /* An answer to an expired query proves only that its epoch exists. */
       if
       :: query_open[0] && query_ttl[0] == 0 && !KEEP_EXPIRED_QUERY -> EndQuery(0)
       :: else
       fi;
       if
       :: query_open[1] && query_ttl[1] == 0 -> EndQuery(1)
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
