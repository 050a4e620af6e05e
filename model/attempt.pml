/* Life of an attempt of one non-idempotent call (design, decision 3).
 *
 * Two attempts of the same call with the same idempotency key, for example because the caller
 * repeated it at another entry, each sent to either of two sidecars. Any message may arrive late
 * or twice, a sidecar may restart at any step, and the answer to a claim write may be lost while
 * the write takes effect at once, later or never.
 */

#define SIDECARS 2
#define ATTEMPTS 2
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef COPIES
#define COPIES 2 /* times that each start message arrives at most */
#endif

mtype = { none, refused, running, finished };              /* registry */
mtype = { absent, claim_started, claim_finished, released }; /* claim row */

/* Start messages under way: copies left, the addressed sidecar and its incarnation. */
byte copies[ATTEMPTS] = 0;
byte target[ATTEMPTS] = 0;
byte addressed[ATTEMPTS] = 0;
bool sent[ATTEMPTS] = false;
bool deadline_passed[ATTEMPTS] = false;
bool margin_passed[ATTEMPTS] = false;

byte incarnation[SIDECARS] = 0;
byte restarts = 0;

/* Claim row; `version` changes with every write. */
mtype claim = absent;
byte claim_attempt = 0;
byte claim_incarnation = 0;
byte version = 0;
/* Claim write of an attempt that is still under way. */
bool delayed[ATTEMPTS] = false;
byte delayed_version[ATTEMPTS] = 0;
byte delayed_incarnation[ATTEMPTS] = 0;

/* What happened. */
byte runs = 0;
bool ran[ATTEMPTS] = false;
bool told_not_run[ATTEMPTS] = false;

#define VERSIONS 8
inline WriteClaim(state, a, inc) {
  claim = state; claim_attempt = a; claim_incarnation = inc;
  assert(version < VERSIONS); version++
}

inline TellNotRun(a) {
  assert(!ran[a]);
  told_not_run[a] = true
}

inline Run(a) {
  assert(runs == 0);
  assert(!told_not_run[a]);
  runs++;
  ran[a] = true
}

/* An entry sends each attempt once to a sidecar whose incarnation it has learned. */
active proctype Entries() {
  do
  :: atomic { !sent[0] -> sent[0] = true; copies[0] = COPIES; target[0] = 0;
       addressed[0] = incarnation[0] }
  :: atomic { !sent[1] -> sent[1] = true; copies[1] = COPIES;
       if
       :: target[1] = 0
       :: target[1] = 1
       fi;
       addressed[1] = incarnation[target[1]] }
  od
}

active proctype Time() {
  do
  :: sent[0] && !deadline_passed[0] -> deadline_passed[0] = true
  :: sent[1] && !deadline_passed[1] -> deadline_passed[1] = true
  :: deadline_passed[0] && !margin_passed[0] -> margin_passed[0] = true
  :: deadline_passed[1] && !margin_passed[1] -> margin_passed[1] = true
  od
}

/* A claim write whose answer was lost arrives, if the row has not changed since. */
active proctype Store() {
  byte a;
  do
  :: atomic {
       if
       :: delayed[0] -> a = 0
       :: delayed[1] -> a = 1
       fi;
       if
       :: version == delayed_version[a] -> WriteClaim(claim_started, a, delayed_incarnation[a])
       :: else
       fi;
       delayed[a] = false; delayed_version[a] = 0; delayed_incarnation[a] = 0; a = 0
     }
  od
}

#define RESTART restarts < RESTARTS -> goto boot

proctype Sidecar(byte me) {
  mtype record[ATTEMPTS];
  bool owes_release[ATTEMPTS]; /* the claim of a refused attempt may exist or appear */
  byte a, seen;
  bool lost;
  goto serve;

boot:
  atomic {
    restarts++; incarnation[me]++;
    record[0] = none; record[1] = none; owes_release[0] = false; owes_release[1] = false;
    a = 0; seen = 0; lost = false
  };

serve:
  atomic {
    if
    :: record[0] == 0 -> record[0] = none; record[1] = none
    :: else
    fi;
    a = 0; seen = 0; lost = false
  };
  do
  :: RESTART
  /* A start message arrives. */
  :: atomic {
       if
       :: copies[0] > 0 && target[0] == me -> a = 0
       :: copies[1] > 0 && target[1] == me -> a = 1
       fi;
       copies[a]--;
       if
       :: record[a] == refused -> TellNotRun(a)
       :: record[a] == running || record[a] == finished -> skip /* resume, replay */
       :: record[a] == none ->
#ifndef FAULT_NO_INCARNATION
            if
            :: addressed[a] != incarnation[me] ->
#ifdef FAULT_UNKNOWN_AS_NOT_RUN
                 TellNotRun(a);
#endif
                 a = 0; goto serve
            :: else
            fi;
#endif
#ifndef FAULT_NO_DEADLINE
            if
            :: deadline_passed[a] ->
                 if
                 :: !margin_passed[a] -> TellNotRun(a)
#ifdef FAULT_NO_MARGIN
                 :: margin_passed[a] -> TellNotRun(a)
#else
                 :: margin_passed[a]
#endif
                 fi;
                 a = 0; goto serve
            :: else
            fi;
#endif
            if
            :: /* the endpoint is at its limit */
               TellNotRun(a);
#ifndef FAULT_FORGET_REFUSAL
               record[a] = refused;
#endif
               a = 0; goto serve
            :: record[a] = running; goto make_claim
            fi
       fi;
       a = 0
     }
  /* The record expires. */
  :: atomic { margin_passed[0] && record[0] != none -> record[0] = none }
  :: atomic { margin_passed[1] && record[1] != none -> record[1] = none }
  /* The owner releases the claim of a refused attempt; the write also defeats a delayed one. */
  :: atomic { owes_release[0] &&
       (claim == absent || (claim == claim_started && claim_attempt == 0)) ->
       WriteClaim(released, 0, incarnation[me]); owes_release[0] = false }
  :: atomic { owes_release[1] &&
       (claim == absent || (claim == claim_started && claim_attempt == 1)) ->
       WriteClaim(released, 1, incarnation[me]); owes_release[1] = false }
  :: atomic { owes_release[0] && (claim == claim_finished ||
       (claim == claim_started && claim_attempt != 0)) -> owes_release[0] = false }
  :: atomic { owes_release[1] && (claim == claim_finished ||
       (claim == claim_started && claim_attempt != 1)) -> owes_release[1] = false }
#ifdef FAULT_RELEASE_AFTER_RESTART
  :: atomic { incarnation[me] > 0 && claim == claim_started && target[claim_attempt] == me &&
       claim_incarnation != incarnation[me] -> WriteClaim(released, claim_attempt, 0) }
#endif
  od;

make_claim:
#ifdef FAULT_NO_CLAIM
  goto run_call;
#endif
  if
  :: RESTART
  :: goto refuse /* the store does not answer the read */
  :: atomic { claim == claim_finished -> record[a] = finished; goto serve }
  :: atomic { claim == claim_started -> record[a] = finished; goto serve } /* unknown */
  :: atomic { claim == absent || claim == released -> seen = version }
  fi;
write:
  if
  :: RESTART
  :: goto refuse /* not sent */
  :: atomic { version == seen -> WriteClaim(claim_started, a, incarnation[me]) }
  :: atomic { version != seen -> goto make_claim }
  :: atomic { version == seen -> WriteClaim(claim_started, a, incarnation[me]); lost = true }
  :: atomic { delayed[a] = true; delayed_version[a] = seen; delayed_incarnation[a] = incarnation[me];
              lost = true }
  fi;
  if
  :: atomic { !lost -> goto run_call }
#ifdef FAULT_RUN_ON_LOST_ANSWER
  :: atomic { lost -> goto run_call }
#else
  :: lost -> skip
#endif
  fi;
  /* Read back. */
  if
  :: RESTART
  :: goto refuse /* no answer */
  :: atomic { claim == claim_started && claim_attempt == a &&
              claim_incarnation == incarnation[me] -> goto run_call }
  :: atomic { claim == claim_finished -> record[a] = finished; goto serve }
  :: atomic { claim == claim_started && !(claim_attempt == a &&
              claim_incarnation == incarnation[me]) -> record[a] = finished; goto serve }
  :: atomic { claim == absent || claim == released -> goto refuse }
  fi;

refuse:
  if
  :: RESTART
  :: atomic {
#ifndef FAULT_FORGET_REFUSAL
       record[a] = refused;
#endif
       owes_release[a] = lost; TellNotRun(a); goto serve }
  fi;

run_call:
  if
  :: RESTART
  :: atomic { Run(a);
       if
       :: record[a] == running -> record[a] = finished
       :: else
       fi }
  fi;
  if
  :: RESTART
  :: atomic { claim == claim_started && claim_attempt == a ->
       WriteClaim(claim_finished, a, incarnation[me]); goto serve }
  :: goto serve /* the write of the answer fails */
  fi
}

init {
  atomic {
    run Sidecar(0);
    run Sidecar(1)
  }
}
