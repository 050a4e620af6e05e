/* The holders of a billing record (design, decision 4).
 *
 * One request takes one or two steps at two sidecars and is then answered through its entry. The
 * entry and every sidecar that worked for it hold a record until it is confirmed. At most one of
 * the three crashes, at any step. The answer to a write may be lost, and the write may take
 * effect at once, later or never.
 */

#ifndef FAILURES
#define FAILURES 2 /* writes that fail or whose answer is lost */
#endif
#define COST0 1 /* cost of the first step */
#define COST1 2 /* cost of the second step alone */
#define ENTRY 2 /* holder; 0 and 1 are the sidecars of the two steps */

/* Row billing/<request>: step + 1, and the cost including earlier steps. */
byte row_step = 0;
byte row_cost = 0;
byte version = 0;
byte records = 0; /* rows created */
bool own_row[3] = false;

bool crashed = false;
byte failures = 0;
bool step_done[2] = false;
bool answered = false;
byte last_step = 0;
bool settled[2] = false; /* the entry told the sidecar that the row holds its step */
bool delayed[3] = false;
byte delayed_step[3] = 0;
byte delayed_version[3] = 0;

#ifdef FAULT_STEP_COST_ONLY
#define COST(step) ((step) == 1 -> COST0 : COST1)
#else
#define COST(step) ((step) == 1 -> COST0 : COST0 + COST1)
#endif
#define FULL_COST (last_step == 1 -> COST0 : COST0 + COST1)

inline PutRow(h, step) {
#ifdef FAULT_KEY_BY_HOLDER
  records = (own_row[h] -> records : records + 1);
  own_row[h] = true;
#else
  records = (row_step == 0 -> records + 1 : records);
#ifndef FAULT_REPLACE_ANY
  assert(step > row_step);
#endif
#endif
  row_step = step;
  row_cost = COST(step);
  version++
}

/* One write of holder h. Its record has step `step`; `confirmed` tells whether it may be dropped. */
inline WriteRecord(h, step) {
  if
  :: atomic { /* read the row */
       seen = version;
#ifdef FAULT_KEY_BY_HOLDER
       seen_step = (own_row[h] -> step : 0)
#else
       seen_step = row_step
#endif
     }
  :: atomic { failures < FAILURES -> failures++; goto again }
  fi;
  if
#ifndef FAULT_REPLACE_ANY
  :: seen_step >= step -> confirmed = true
  :: seen_step < step ->
#else
  :: true ->
#endif
       if
       :: atomic { version == seen -> PutRow(h, step); confirmed = true }
       :: atomic { version != seen -> goto again } /* conflict */
       :: atomic { failures < FAILURES -> failures++; goto again } /* not sent */
       :: atomic { failures < FAILURES && version == seen -> failures++; PutRow(h, step); lost = true }
       :: atomic { failures < FAILURES && !delayed[h] -> failures++; delayed[h] = true;
            delayed_step[h] = step; delayed_version[h] = seen; lost = true }
       fi;
#ifdef FAULT_FORGET_ON_LOST
       if
       :: lost -> confirmed = true
       :: else
       fi
#else
       skip
#endif
  fi
}

#define CRASH atomic { !crashed -> crashed = true; goto dead }

/* Request thread and ledger of the entry. */
active proctype Entry() {
  byte step, seen, seen_step;
  bool confirmed, lost;

  /* Each step is reported with its cost; the request may end after the first one. */
  if
  :: CRASH
  :: step_done[0] -> step = 1
  fi;
  if
  :: CRASH
  :: step = 1
  :: step_done[1] -> step = 2
  fi;
  if
  :: CRASH
  :: atomic { answered = true; last_step = step }
  fi;
again:
  atomic { lost = false; seen = 0; seen_step = 0 };
  if
  :: CRASH
#ifdef FAULT_SETTLE_EARLY
  :: atomic { !settled[step - 1] -> settled[step - 1] = true; goto again }
#endif
  :: true
  fi;
  WriteRecord(ENTRY, step);
  if
  :: atomic { !confirmed -> goto again }
  :: confirmed
  fi;
  if
  :: CRASH
  :: atomic { settled[0] = true; settled[1] = (step == 2) }
  fi;
dead:
  skip
}

/* Sidecar of step `me`; it writes when the entry has not settled within the limit. */
proctype Sidecar(byte me) {
  byte seen, seen_step;
  bool confirmed, lost;

  if
  :: CRASH
  :: atomic { me == 0 || step_done[0] -> step_done[me] = true }
  fi;
again:
  atomic { lost = false; seen = 0; seen_step = 0 };
  if
  :: CRASH
  :: settled[me] -> goto dead
#ifdef FAULT_ENTRY_ONLY
  :: false
#else
  :: !settled[me]
#endif
  fi;
  WriteRecord(me, me + 1);
  if
  :: atomic { !confirmed -> goto again }
  :: confirmed
  fi;
dead:
  skip
}

active proctype Store() {
  byte h;
end:
  do
  :: atomic {
       if
       :: delayed[0] -> h = 0
       :: delayed[1] -> h = 1
       :: delayed[2] -> h = 2
       fi;
       delayed[h] = false;
       if
       :: version == delayed_version[h] -> PutRow(h, delayed_step[h])
       :: true /* lost on the way */
       fi;
       delayed_step[h] = 0; delayed_version[h] = 0; h = 0
     }
  od
}

/* Runs when nothing else can: every holder is done or dead and no write is under way. */
active proctype Check() {
end:
  timeout ->
  assert(!answered || records == 1);
  assert(!answered || row_step >= last_step);
  assert(!answered || row_step != last_step || row_cost == FULL_COST)
}

init {
  atomic {
    run Sidecar(0);
    run Sidecar(1)
  }
}
