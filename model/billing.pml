/* Durability of a billing record with several holders (design, decision 4).
 *
 * One request takes one or two cascade steps, each at its own sidecar, and is then answered through
 * its entry. The entry and every sidecar that executed a step hold the billing record until the
 * store has confirmed it. At most one of the three crashes, at any step. The answer to a write may
 * be lost while the write takes effect immediately, later or never.
 */

#ifndef FAILURES
#define FAILURES 2 /* writes that fail or whose answer is lost */
#endif
#define COST0 1 /* cost of the first step */
#define COST1 2 /* cost of the second step alone */
#define ENTRY 2 /* holder; 0 and 1 are the sidecars of the two steps */

/* Row billing/<request>: number of steps covered, and their total cost. */
byte row_step = 0;
byte row_cost = 0;
byte version = 0;
byte rows_created = 0;
bool holder_has_row[3] = false;

bool crashed = false;
byte failures = 0;
bool step_done[2] = false;
bool answered = false;
byte last_step = 0;
bool settled[2] = false; /* the entry told the sidecar that the row covers its step */
bool delayed[3] = false;
byte delayed_step[3] = 0;
byte delayed_version[3] = 0;

#ifdef FAULT_STEP_COST_ONLY
#define COST(step) ((step) == 1 -> COST0 : COST1)
#else
#define COST(step) ((step) == 1 -> COST0 : COST0 + COST1)
#endif
#define FULL_COST (last_step == 1 -> COST0 : COST0 + COST1)

inline PutRow(holder, step) {
#ifdef FAULT_KEY_BY_HOLDER
  rows_created = (holder_has_row[holder] -> rows_created : rows_created + 1);
  holder_has_row[holder] = true;
#else
  rows_created = (row_step == 0 -> rows_created + 1 : rows_created);
#ifndef FAULT_REPLACE_ANY
  assert(step > row_step);
#endif
#endif
  row_step = step;
  row_cost = COST(step);
  version++
}

/* One write attempt of a holder whose record covers `step` steps. Sets `confirmed` when the holder
 * may drop its record. */
inline WriteRecord(holder, step) {
  if
  :: atomic { /* read the row */
       read_version = version;
#ifdef FAULT_KEY_BY_HOLDER
       read_step = (holder_has_row[holder] -> step : 0)
#else
       read_step = row_step
#endif
     }
  :: atomic { failures < FAILURES -> failures++; goto again }
  fi;
  if
#ifndef FAULT_REPLACE_ANY
  :: read_step >= step -> confirmed = true
  :: read_step < step ->
#else
  :: true ->
#endif
       if
       :: atomic { version == read_version -> PutRow(holder, step); confirmed = true }
       :: atomic { version != read_version -> goto again } /* the row changed since the read */
       :: atomic { failures < FAILURES -> failures++; goto again } /* the write was not sent */
       :: atomic { failures < FAILURES && version == read_version -> failures++;
            PutRow(holder, step); answer_lost = true }
       :: atomic { failures < FAILURES && !delayed[holder] -> failures++; delayed[holder] = true;
            delayed_step[holder] = step; delayed_version[holder] = read_version;
            answer_lost = true }
       fi;
#ifdef FAULT_FORGET_ON_LOST
       if
       :: answer_lost -> confirmed = true
       :: else
       fi
#else
       skip
#endif
  fi
}

#define CRASH atomic { !crashed -> crashed = true; goto done }

/* Request thread and billing ledger of the entry. */
active proctype Entry() {
  byte step, read_version, read_step;
  bool confirmed, answer_lost;

  /* Each step reports its cost; the request may end after the first step. */
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
  atomic { answer_lost = false; read_version = 0; read_step = 0 };
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
done:
  skip
}

/* Sidecar of step `me`. It writes the record itself when the entry does not settle in time. */
proctype Sidecar(byte me) {
  byte read_version, read_step;
  bool confirmed, answer_lost;

  if
  :: CRASH
  :: atomic { me == 0 || step_done[0] -> step_done[me] = true }
  fi;
again:
  atomic { answer_lost = false; read_version = 0; read_step = 0 };
  if
  :: CRASH
  :: settled[me] -> goto done
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
done:
  skip
}

active proctype Store() {
  byte holder;
end:
  do
  :: atomic {
       if
       :: delayed[0] -> holder = 0
       :: delayed[1] -> holder = 1
       :: delayed[2] -> holder = 2
       fi;
       delayed[holder] = false;
       if
       :: version == delayed_version[holder] -> PutRow(holder, delayed_step[holder])
       :: true /* the delayed write never takes effect */
       fi;
       delayed_step[holder] = 0; delayed_version[holder] = 0; holder = 0
     }
  od
}

/* `timeout` holds when no other process can execute: every holder has finished or crashed, and no
 * write is in flight. */
active proctype Check() {
end:
  timeout ->
  assert(!answered || rows_created == 1);
  assert(!answered || row_step >= last_step);
  assert(!answered || row_step != last_step || row_cost == FULL_COST)
}

init {
  atomic {
    run Sidecar(0);
    run Sidecar(1)
  }
}
