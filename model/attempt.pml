/* At-most-once execution of one non-idempotent call (design, decision 3).
 *
 * Two attempts of the same call share an idempotency key, for example because the caller repeated
 * the call at another entry. Each attempt is sent to one of two sidecars. Any message may arrive
 * late or twice, a sidecar may restart at any step, and the answer to a claim write may be lost
 * while the write takes effect immediately, later or never.
 */

#define SIDECARS 2
#define ATTEMPTS 2
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef COPIES
#define COPIES 2 /* maximum deliveries of each start message */
#endif

mtype = { none, refused, running, finished };              /* state in the attempt registry */
mtype = { absent, claim_started, claim_finished, released }; /* state of the claim row */

/* Start messages in flight: remaining deliveries, target sidecar and its expected incarnation. */
byte copies_left[ATTEMPTS] = 0;
byte target[ATTEMPTS] = 0;
byte target_incarnation[ATTEMPTS] = 0;
bool sent[ATTEMPTS] = false;
bool deadline_passed[ATTEMPTS] = false;
bool margin_passed[ATTEMPTS] = false;

byte incarnation[SIDECARS] = 0;
byte restarts = 0;

/* Claim row; every write increments `version`. */
mtype claim = absent;
byte claim_attempt = 0;
byte claim_incarnation = 0;
byte version = 0;
/* Claim write in flight of each attempt, conditional on the row version. */
bool delayed[ATTEMPTS] = false;
byte delayed_version[ATTEMPTS] = 0;
byte delayed_incarnation[ATTEMPTS] = 0;

/* History that the assertions check. */
byte runs = 0;
bool ran[ATTEMPTS] = false;
bool reported_not_run[ATTEMPTS] = false;

#define VERSIONS 8
inline WriteClaim(state, a, inc) {
  claim = state; claim_attempt = a; claim_incarnation = inc;
  assert(version < VERSIONS); version++
}

inline ReportNotRun(a) {
  assert(!ran[a]);
  reported_not_run[a] = true
}

inline Run(a) {
  assert(runs == 0);
  assert(!reported_not_run[a]);
  runs++;
  ran[a] = true
}

/* An entry sends each attempt once, with the incarnation that it knows of the target sidecar. */
active proctype Entries() {
  do
  :: atomic { !sent[0] -> sent[0] = true; copies_left[0] = COPIES; target[0] = 0;
       target_incarnation[0] = incarnation[0] }
  :: atomic { !sent[1] -> sent[1] = true; copies_left[1] = COPIES;
       if
       :: target[1] = 0
       :: target[1] = 1
       fi;
       target_incarnation[1] = incarnation[target[1]] }
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

/* A delayed claim write reaches the store and takes effect if the row has not changed since. */
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
  bool release_pending[ATTEMPTS]; /* the claim of a refused attempt exists or may be written late */
  byte a, read_version;
  bool answer_lost;
  goto serve;

boot:
  atomic {
    restarts++; incarnation[me]++;
    record[0] = none; record[1] = none; release_pending[0] = false; release_pending[1] = false;
    a = 0; read_version = 0; answer_lost = false
  };

serve:
  atomic {
    if
    :: record[0] == 0 -> record[0] = none; record[1] = none
    :: else
    fi;
    a = 0; read_version = 0; answer_lost = false
  };
  do
  :: RESTART
  /* A start message arrives. */
  :: atomic {
       if
       :: copies_left[0] > 0 && target[0] == me -> a = 0
       :: copies_left[1] > 0 && target[1] == me -> a = 1
       fi;
       copies_left[a]--;
       if
       :: record[a] == refused -> ReportNotRun(a)
       :: record[a] == running || record[a] == finished -> skip /* resume or replay the answer */
       :: record[a] == none ->
#ifndef FAULT_NO_INCARNATION
            if
            :: target_incarnation[a] != incarnation[me] ->
#ifdef FAULT_UNKNOWN_AS_NOT_RUN
                 ReportNotRun(a);
#endif
                 a = 0; goto serve
            :: else
            fi;
#endif
#ifndef FAULT_NO_DEADLINE
            if
            :: deadline_passed[a] ->
                 if
                 :: !margin_passed[a] -> ReportNotRun(a)
#ifdef FAULT_NO_MARGIN
                 :: margin_passed[a] -> ReportNotRun(a)
#else
                 :: margin_passed[a]
#endif
                 fi;
                 a = 0; goto serve
            :: else
            fi;
#endif
            if
            :: /* the endpoint is at its concurrency limit */
               ReportNotRun(a);
#ifndef FAULT_FORGET_REFUSAL
               record[a] = refused;
#endif
               a = 0; goto serve
            :: record[a] = running; goto make_claim
            fi
       fi;
       a = 0
     }
  /* The registry record expires after the deadline plus the margin. */
  :: atomic { margin_passed[0] && record[0] != none -> record[0] = none }
  :: atomic { margin_passed[1] && record[1] != none -> record[1] = none }
  /* The sidecar that refused an attempt releases its claim. The release increments the row version,
     so that a delayed claim write fails its condition. */
  :: atomic { release_pending[0] &&
       (claim == absent || (claim == claim_started && claim_attempt == 0)) ->
       WriteClaim(released, 0, incarnation[me]); release_pending[0] = false }
  :: atomic { release_pending[1] &&
       (claim == absent || (claim == claim_started && claim_attempt == 1)) ->
       WriteClaim(released, 1, incarnation[me]); release_pending[1] = false }
  :: atomic { release_pending[0] && (claim == claim_finished ||
       (claim == claim_started && claim_attempt != 0)) -> release_pending[0] = false }
  :: atomic { release_pending[1] && (claim == claim_finished ||
       (claim == claim_started && claim_attempt != 1)) -> release_pending[1] = false }
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
  :: goto refuse /* the store did not answer the read */
  :: atomic { claim == claim_finished -> record[a] = finished; goto serve }
  :: atomic { claim == claim_started -> record[a] = finished; goto serve } /* outcome unknown */
  :: atomic { claim == absent || claim == released -> read_version = version }
  fi;
write:
  if
  :: RESTART
  :: goto refuse /* the write was not sent */
  :: atomic { version == read_version -> WriteClaim(claim_started, a, incarnation[me]) }
  :: atomic { version != read_version -> goto make_claim }
  :: atomic { version == read_version -> WriteClaim(claim_started, a, incarnation[me]);
              answer_lost = true }
  :: atomic { delayed[a] = true; delayed_version[a] = read_version;
              delayed_incarnation[a] = incarnation[me]; answer_lost = true }
  fi;
  if
  :: atomic { !answer_lost -> goto run_call }
#ifdef FAULT_RUN_ON_LOST_ANSWER
  :: atomic { answer_lost -> goto run_call }
#else
  :: answer_lost -> skip
#endif
  fi;
  /* The answer to the write was lost: read the row back. */
  if
  :: RESTART
  :: goto refuse /* the store did not answer the read */
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
       release_pending[a] = answer_lost; ReportNotRun(a); goto serve }
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
  :: goto serve /* the write of the answer failed */
  fi
}

init {
  atomic {
    run Sidecar(0);
    run Sidecar(1)
  }
}
