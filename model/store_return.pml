/* Order of the rows of the metadata store after it has returned from an older copy
 * (docs/design/store-return.md).
 *
 * The writers of two rows: an endpoint (ready, draining, removed, and its next start) and the
 * operator with the versions of its configuration. A store whose copy is taken at any moment; a loss
 * puts the copy in place, raises the era and has revisions given out again. Writers then write
 * again what was lost. An entry lists and follows both rows; its calls are lost, are answered late,
 * or arrive after another connection has shown the new era.
 *
 * A value is the order that the writer states. Endpoint: 1 ready, 2 draining, 4 ready of the next
 * start; 3 is its removal. Configuration: the version. 0 is an absent row.
 */

#ifndef LOSSES
#define LOSSES 1
#endif
#ifndef ENDPOINT_STATES
#define ENDPOINT_STATES 4
#endif
#ifndef VERSIONS
#define VERSIONS 3
#endif

#define ENDPOINT 0
#define CONFIG 1
#define REMOVED 3

/* Writers: the newest state of each row, acknowledged by the store. */
byte wanted[2] = 0;

/* Store, and the copy of it. */
byte s_era = 1;
byte s_now = 0;
byte s_value[2] = 0;
byte s_revision[2] = 0; /* of the newest write or removal */
bool has_copy = false;
byte c_now = 0;
byte c_value[2] = 0;
byte c_revision[2] = 0;

/* Entry: StoreEraTracker, position in the feed, FollowedRows. */
byte e_era = 0;
bool e_listed = false;
byte e_position = 0;
byte e_position_era = 0;
byte e_value[2] = 0; /* newest known value, 0 when the row is not tracked */
bool e_removed[2] = false;
byte e_write[2] = 0; /* revision of the newest known write */
byte e_revision[2] = 0;
byte e_row_era[2] = 0;
bool e_missing[2] = false; /* kept although the copy lacks it */
byte e_outdated[2] = 0;    /* value of a row of the copy that is held back */
byte e_outdated_write[2] = 0;
byte e_seen[2] = 0; /* furthest state that the entry has acknowledged */

/* Call of the entry and its answer. */
bool call_open = false;
bool call_lists = false;
bool has_answer = false;
bool history_lost = false;
byte a_era = 0;
byte a_now = 0;
byte a_value[2] = 0;
byte a_revision[2] = 0; /* 0 when the answer does not hold the row */

#define EXPECTED_VALUE(r) (r == ENDPOINT && wanted[r] == REMOVED -> 0 : wanted[r])
#define WRITTEN(r) (s_value[r] == EXPECTED_VALUE(r))
/* An endpoint that has left may have nobody who removes its row again. */
#define REWRITTEN(r) (WRITTEN(r) || (r == ENDPOINT && wanted[r] == REMOVED))
#ifdef READY_TWICE
#define GETS_WORK(r, value) true /* 2 is a second state in which the endpoint is ready */
#else
#define GETS_WORK(r, value) (r == CONFIG || (value) != 2)
#endif
#define HAS_READ_ALL (e_listed && e_position_era == s_era && e_position == s_now)

inline Write(r, value) {
  s_now++;
  s_value[r] = value;
  s_revision[r] = s_now
}

active proctype Writers() {
  do
  :: atomic { wanted[ENDPOINT] < ENDPOINT_STATES ->
       wanted[ENDPOINT]++;
       Write(ENDPOINT, EXPECTED_VALUE(ENDPOINT))
     }
  /* The registration of an endpoint that has crashed expires. */
  :: atomic { wanted[ENDPOINT] == 1 && ENDPOINT_STATES >= REMOVED ->
       wanted[ENDPOINT] = REMOVED;
       Write(ENDPOINT, 0)
     }
  :: atomic { wanted[CONFIG] < VERSIONS ->
       wanted[CONFIG]++;
       Write(CONFIG, wanted[CONFIG])
     }
  :: atomic { !WRITTEN(ENDPOINT) -> Write(ENDPOINT, EXPECTED_VALUE(ENDPOINT)) }
  :: atomic { !WRITTEN(CONFIG) -> Write(CONFIG, EXPECTED_VALUE(CONFIG)) }
  od
}

active proctype Store() {
  do
  :: d_step { !has_copy && s_era <= LOSSES ->
       has_copy = true; c_now = s_now;
       c_value[0] = s_value[0]; c_value[1] = s_value[1];
       c_revision[0] = s_revision[0]; c_revision[1] = s_revision[1]
     }
  :: d_step { has_copy ->
       s_era++; s_now = c_now;
       s_value[0] = c_value[0]; s_value[1] = c_value[1];
       s_revision[0] = c_revision[0]; s_revision[1] = c_revision[1];
       has_copy = false; c_now = 0;
       c_value[0] = 0; c_value[1] = 0; c_revision[0] = 0; c_revision[1] = 0
     }
  od
}

inline AnswerRow(r) {
  if
  :: (call_lists && s_value[r] != 0) || (!call_lists && s_revision[r] > e_position) ->
       a_value[r] = s_value[r]; a_revision[r] = s_revision[r]
  :: else
  fi
}

inline Answer() {
  has_answer = true;
  a_era = s_era;
  if
  :: !call_lists && e_position > s_now -> history_lost = true
  :: else ->
       a_now = s_now;
       AnswerRow(0);
       AnswerRow(1)
  fi
}

inline EndCall() {
  call_open = false; call_lists = false; has_answer = false; history_lost = false;
  a_era = 0; a_now = 0;
  a_value[0] = 0; a_value[1] = 0; a_revision[0] = 0; a_revision[1] = 0
}

inline ListAgain() { e_listed = false }

/* Delivers a row. Nothing that was taken away is in force again. */
inline Apply(r) {
  assert(!GETS_WORK(r, a_value[r]) || a_value[r] >= e_seen[r]);
  e_seen[r] = (a_value[r] > e_seen[r] -> a_value[r] : e_seen[r]);
  e_value[r] = a_value[r]; e_write[r] = a_revision[r];
  e_revision[r] = a_revision[r]; e_row_era[r] = a_era;
  e_removed[r] = false; e_missing[r] = false; e_outdated[r] = 0; e_outdated_write[r] = 0
}

/* Delivers the removal of a row. Its writer has removed it. */
inline AssertRemovedByWriter(r) {
  assert(r == ENDPOINT && wanted[r] >= REMOVED && e_value[r] < REMOVED)
}

inline Remove(r, revision) {
  if
  :: e_value[r] == 0
  :: e_value[r] != 0 ->
       e_outdated[r] = 0; e_outdated_write[r] = 0;
       if
       :: e_removed[r]
       :: !e_removed[r] ->
            AssertRemovedByWriter(r);
            e_removed[r] = true; e_missing[r] = false;
            e_seen[r] = (REMOVED > e_seen[r] -> REMOVED : e_seen[r])
       fi;
       if
       :: a_era > e_row_era[r] -> e_row_era[r] = a_era; e_revision[r] = revision
       :: a_era == e_row_era[r] && revision > e_revision[r] -> e_revision[r] = revision
       :: else
       fi
  fi
}

inline HoldBack(r) {
  e_missing[r] = false; e_revision[r] = a_revision[r]; e_row_era[r] = a_era;
  e_outdated[r] = a_value[r]; e_outdated_write[r] = a_revision[r]
}

/* FollowedRows::UpdateReturnedRow and JudgeReturnedRow. */
inline UpdateReturned(r) {
  if
  :: a_revision[r] == e_write[r] && a_value[r] == e_value[r] && !e_removed[r] -> /* survived */
       e_missing[r] = false; e_revision[r] = a_revision[r]; e_row_era[r] = a_era;
#ifndef FAULT_SURVIVOR_KEEPS_OUTDATED
       e_outdated[r] = 0; e_outdated_write[r] = 0
#endif
#ifdef FAULT_COPY_ROW_NEW
  :: e_removed[r] -> Apply(r)
#else
  :: e_removed[r] && a_value[r] <= e_value[r] -> HoldBack(r)
#endif
  :: !e_removed[r] && a_value[r] < e_value[r] -> HoldBack(r)
  :: else -> Apply(r)
  fi
}

#ifdef FAULT_REVISION_ALONE
#define OTHER_ERA(r) false
#else
#define OTHER_ERA(r) (a_era != e_row_era[r])
#endif

/* FollowedRows::KeepMissing, and what Replace does with other rows that a listing lacks. */
inline UpdateAbsent(r) {
#ifndef FAULT_LISTING_KEEPS_OUTDATED
  e_outdated[r] = 0; e_outdated_write[r] = 0;
#endif
  if
  :: e_value[r] == 0 || e_removed[r]
#ifdef FAULT_MISSING_AS_REMOVED
  :: e_value[r] != 0 && !e_removed[r] -> Remove(r, e_position + 1)
#else
  :: e_value[r] != 0 && !e_removed[r] && a_era == e_row_era[r] -> Remove(r, e_position + 1)
  :: e_value[r] != 0 && !e_removed[r] && a_era != e_row_era[r] -> e_missing[r] = true
#endif
  fi
}

/* FollowedRows::UpdateRow. */
inline Update(r) {
  if
  :: a_revision[r] != 0 && a_value[r] == 0 -> Remove(r, a_revision[r])
  :: a_revision[r] != 0 && a_value[r] != 0 ->
       if
       :: e_value[r] == 0 -> Apply(r)
       :: e_value[r] != 0 && OTHER_ERA(r) -> UpdateReturned(r)
       :: e_value[r] != 0 && !OTHER_ERA(r) && a_revision[r] > e_revision[r] -> Apply(r)
       :: else -> e_missing[r] = false
       fi
  :: a_revision[r] == 0 && call_lists -> UpdateAbsent(r)
  :: else
  fi
}

inline Take() {
  if
  :: history_lost -> ListAgain()
  :: else ->
       Update(0);
       Update(1);
       if
       :: call_lists -> e_listed = true; e_position = a_now; e_position_era = a_era
       :: !call_lists && (a_era > e_position_era ||
                          (a_era == e_position_era && a_now > e_position)) ->
            e_position = a_now; e_position_era = a_era
       :: else
       fi
  fi
}

/* StoreEraTracker::Observe, and the handling of its verdict. */
inline Receive() {
  if
  :: e_era == 0 -> e_era = a_era; Take()
  :: e_era != 0 && a_era > e_era ->
       e_era = a_era;
#ifdef FAULT_NO_NEW_LISTING
       Take()
#else
       ListAgain()
#endif
#ifdef FAULT_TAKE_LATE
  :: e_era != 0 && a_era < e_era -> Take()
#else
  :: e_era != 0 && a_era < e_era
#endif
  :: e_era != 0 && a_era == e_era -> Take()
  fi;
  EndCall()
}

/* What the entry holds is what the store holds, except for rows that wait for their writer. */
inline CheckRow(r) {
  assert(e_outdated[r] == 0 || (!WRITTEN(r) && e_outdated[r] == s_value[r]));
  assert(!e_missing[r] || s_value[r] == 0);
  assert(e_outdated[r] != 0 || e_missing[r] ||
         s_value[r] == (e_removed[r] -> 0 : e_value[r]))
}

inline Check() {
  if
  :: HAS_READ_ALL -> CheckRow(0); CheckRow(1)
  :: else
  fi
}

/* The times for which rows are kept or held back are longer than it takes the writers to write
 * again and the entry to read it. */
#define TIME_IS_OVER(r) (HAS_READ_ALL && REWRITTEN(r))

inline EndHold(r) {
  e_value[r] = e_outdated[r]; e_write[r] = e_outdated_write[r]; e_seen[r] = e_outdated[r];
  e_removed[r] = false; e_missing[r] = false; e_outdated[r] = 0; e_outdated_write[r] = 0;
  Check()
}

inline EndMissing(r) {
  AssertRemovedByWriter(r);
#if LOSSES > 1
  /* Not remembered as removed, so the copy of a further loss may bring the row back. */
  e_seen[r] = 0;
#endif
  e_missing[r] = false; e_value[r] = 0; e_write[r] = 0; e_revision[r] = 0; e_row_era[r] = 0;
  Check()
}

active proctype Entry() {
  do
  :: atomic { !call_open -> call_open = true; call_lists = !e_listed }
  :: atomic { call_open && !has_answer -> Answer() }
  :: atomic { has_answer -> Receive(); Check() }
  :: atomic { call_open -> EndCall() } /* the call or its answer is lost */
  /* The table is listed again for other reasons, such as an answer above a limit. */
  :: atomic { !call_open && e_listed -> ListAgain() }
  /* A call for another table or another entry shows the new era. */
  :: atomic { e_era < s_era ->
       e_era = s_era;
#ifndef FAULT_NO_NEW_LISTING
       ListAgain()
#endif
     }
  :: atomic { e_outdated[0] != 0 && TIME_IS_OVER(0) -> EndHold(0) }
  :: atomic { e_outdated[1] != 0 && TIME_IS_OVER(1) -> EndHold(1) }
  :: atomic { e_missing[0] && TIME_IS_OVER(0) -> EndMissing(0) }
  :: atomic { e_missing[1] && TIME_IS_OVER(1) -> EndMissing(1) }
  od
}
