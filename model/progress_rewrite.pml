/* Progress of a rollout that the store has lost (docs/design/store-return.md).
 *
 * Two entries read the row, move it on and write it under the condition that its revision is the one
 * that they have read. A loss puts a copy of the store in place, and revisions are given out again;
 * entries that know a further state than the copy write it again. Any answer may be lost, and the
 * write then takes effect at once, later or never. A loss breaks the connections, so writes under
 * way end with it.
 *
 * Values: 1 running, 2 completed, 3 rolled back; 4 to 6 the same for the next order of the operator.
 */

#ifndef LOSSES
#define LOSSES 1
#endif
#ifndef OTHER_WRITES
#define OTHER_WRITES 2 /* writes of other rows, which take revisions */
#endif

/* Order of the values: 0, 1, 2 and 3, 4, 5 and 6; completed and rolled back are equally far. */
#define STAGE(value) ((value) - (value) / 3)

byte losses = 0;
byte s_now = 0;
byte s_value = 0; /* 0 when the row does not exist */
byte s_revision = 0;
byte other_writes = 0;
bool has_copy = false;
byte c_now = 0;
byte c_value = 0;
byte c_revision = 0;

/* Entries: the furthest known state, the row as last read, and writes: 0 and 1 are those of the two
 * entries whose answer is awaited, 2 is one that was given up but may still take effect. */
byte known[2] = 0;
byte read_value[2] = 0;
byte read_revision[2] = 0;
bool has_read[2] = false; /* since the last loss */
byte sent[3] = 0; /* value, or 0 */
byte expected[3] = 0;

byte furthest = 0; /* furthest stage that an entry has known */

inline Know(e, value) {
  known[e] = value;
  furthest = (STAGE(value) > furthest -> STAGE(value) : furthest)
}

inline EndWrite(w) { sent[w] = 0; expected[w] = 0 }

/* The store handles a write. Nothing that is as far or further is overwritten. */
inline Commit(w) {
  if
#ifdef FAULT_NO_CONDITION
  :: true ->
#else
  :: expected[w] == s_revision ->
#endif
       assert(STAGE(sent[w]) > STAGE(s_value));
       s_now++; s_value = sent[w]; s_revision = s_now;
       committed = true
  :: else
  fi
}

#define HAS_READ(e) (has_read[e] && read_revision[e] == s_revision)
#define AGREES(e) (HAS_READ(e) && STAGE(known[e]) <= STAGE(read_value[e]))
#define IS_QUIET (AGREES(0) && AGREES(1) && !sent[0] && !sent[1] && !sent[2])

inline Check() {
  if
  :: IS_QUIET ->
       assert(STAGE(s_value) >= furthest);
       assert(known[0] == s_value && known[1] == s_value)
  :: else
  fi
}

active proctype Store() {
  bool committed;
  do
  :: d_step { other_writes < OTHER_WRITES -> other_writes++; s_now++ }
  :: d_step { !has_copy && losses < LOSSES ->
       has_copy = true; c_now = s_now; c_value = s_value; c_revision = s_revision
     }
  :: d_step { has_copy ->
       losses++; s_now = c_now; s_value = c_value; s_revision = c_revision;
       has_copy = false; c_now = 0; c_value = 0; c_revision = 0;
#ifndef FAULT_WRITE_OUTLASTS_LOSS
       EndWrite(0); EndWrite(1); EndWrite(2);
#endif
#ifndef FAULT_REVISION_OF_LOST_ERA
       read_value[0] = 0; read_revision[0] = 0; read_value[1] = 0; read_revision[1] = 0;
#endif
       has_read[0] = false; has_read[1] = false
     }
  :: atomic { sent[2] -> Commit(2); committed = false; EndWrite(2); Check() }
  :: atomic { sent[2] -> EndWrite(2); Check() }
  od
}

inline Read(e) {
  read_value[e] = s_value; read_revision[e] = s_revision; has_read[e] = true;
#ifdef FAULT_TAKE_COPY
  Know(e, s_value)
#else
  if
  :: STAGE(s_value) >= STAGE(known[e]) -> Know(e, s_value)
  :: else
  fi
#endif
}

#ifdef FAULT_REVISION_OF_LOST_ERA
#define MAY_WRITE(e) (!sent[e])
#else
#define MAY_WRITE(e) (has_read[e] && !sent[e])
#endif

inline Send(e, value) { sent[e] = value; expected[e] = read_revision[e] }

proctype Entry(byte e) {
  bool committed;
  do
  :: atomic { !sent[e] && !HAS_READ(e) -> Read(e); Check() }
  :: atomic { MAY_WRITE(e) && STAGE(known[e]) > STAGE(read_value[e]) -> Send(e, known[e]) }
  /* The rollout starts or ends, or the operator gives the next order. */
  :: atomic { MAY_WRITE(e) && known[e] == 0 -> Send(e, 1) }
  :: atomic { MAY_WRITE(e) && (known[e] == 2 || known[e] == 3) -> Send(e, 4) }
  :: atomic { MAY_WRITE(e) && known[e] % 3 == 1 -> Send(e, known[e] + 1) }
  :: atomic { MAY_WRITE(e) && known[e] % 3 == 1 -> Send(e, known[e] + 2) }
  :: atomic { sent[e] ->
       Commit(e);
       if
       :: committed ->
            Know(e, sent[e]);
            read_value[e] = s_value; read_revision[e] = s_revision; has_read[e] = true
       :: else
       fi;
       committed = false; EndWrite(e); Check()
     }
  /* No answer arrives: the write has taken effect, or may do so later, or is lost. */
  :: atomic { sent[e] -> Commit(e); committed = false; EndWrite(e); Check() }
  :: atomic { sent[e] && !sent[2] ->
       sent[2] = sent[e]; expected[2] = expected[e];
       EndWrite(e)
     }
  :: atomic { sent[e] -> EndWrite(e); Check() }
  od
}

init {
  atomic { run Entry(0); run Entry(1) }
}
