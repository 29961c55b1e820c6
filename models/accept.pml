/* Configuration acceptance (section 6 of the design; internal/config and
 * internal/confsync).
 *
 * Three processes and a configuration service that can be stale or down. A
 * revision that was published or accepted by a process can arrive at any
 * process at any later time, which covers delayed, duplicated and reordered
 * messages, pauses and uneven updates. Revision 2 is published with two
 * different contents, as after an operator's error.
 *
 * Checked: the accepted revision of a process never decreases, and the content
 * of a revision never changes; a restarted process that begins to serve has at
 * least the lowest revision that its peers had when it queried them, provided
 * that one of them serves.
 *
 * Variants, each with one rule removed or weakened:
 *   NO_PEERS           a restarted process does not query its peers
 *   SILENCE_IS_ANSWER  a restarted process without a reply from its peers serves what the service returns
 *   JOINING_COUNTS     a reply from a peer that does not serve yet suffices
 *   NO_ORDER           a lower revision is accepted
 *   NO_DIGEST_CHECK    the same revision with different content is accepted
 *   REACH              its counterexample shows that a restarted process can serve the highest revision
 */
#define PROCESSES 3
#define REVISIONS 3

#ifndef RESTARTS
#define RESTARTS 2
#endif

#define CONTENT(r, c) ((r) * 2 + (c))
#define REVISION(x) ((x) / 2)
#define NEXT(a) (((a) + 1) % 3)
#define PREV(a) (((a) + 2) % 3)
#define MIN(a, b) ((a) < (b) -> (a) : (b))

bool serving[PROCESSES] = true;
byte accepted[PROCESSES] = CONTENT(1, 0);  /* accepted content; 0 is none */
byte answered[PROCESSES];              /* a serving peer has replied since the start */
byte required[PROCESSES];              /* lowest revision of a peer at the time of the query */
byte published = 1;
byte restarts;
bool cut;                              /* process 0 is partitioned from its peers */

#define REACHES(a, b) (!(cut && ((a) == 0 || (b) == 0)))

inline accept(a, x) {
  if
  :: REVISION(x) > REVISION(accepted[a]) -> accepted[a] = x
#ifdef NO_ORDER
  :: REVISION(x) < REVISION(accepted[a]) ->
    assert(!serving[a]);
    accepted[a] = x
#endif
#ifdef NO_DIGEST_CHECK
  :: REVISION(x) == REVISION(accepted[a]) && x != accepted[a] ->
    assert(!serving[a]);
    accepted[a] = x
#endif
  :: else
  fi
}

/* A restarted process without a reply is left out: it cannot serve yet. */
#define CAN_ANSWER(b) (serving[b] || answered[b])
#define ANSWERED_REVISION(b) (CAN_ANSWER(b) -> REVISION(accepted[b]) : REVISIONS)
#define OTHERS_SERVE(a) (serving[NEXT(a)] || serving[PREV(a)])

#ifdef NO_PEERS
#define MAY_SERVE(a) true
#else
#ifdef SILENCE_IS_ANSWER
#define MAY_SERVE(a) (answered[a] || !OTHERS_SERVE(a) || (cut && a == 0))
#else
#define MAY_SERVE(a) (answered[a] || !OTHERS_SERVE(a))
#endif
#endif

active [PROCESSES] proctype Process() {
  byte x;
  end: do
  /* Reads the service, which can return a stale revision. */
  :: atomic {
      if
      :: x = CONTENT(1, 0)
      :: published >= 2 -> x = CONTENT(2, 0)
      :: published >= 2 -> x = CONTENT(2, 1)
      :: published >= 3 -> x = CONTENT(3, 0)
      fi;
      accept(_pid, x);
      x = 0 }
  /* A peer's revision arrives, or its reply to the query at the start. */
  :: atomic {
      if
      :: x = NEXT(_pid)
      :: x = PREV(_pid)
      fi;
      if
      :: !REACHES(_pid, x) -> x = _pid
#ifdef JOINING_COUNTS
      :: REACHES(_pid, x) -> answered[_pid] = true
#else
      :: REACHES(_pid, x) && serving[x] -> answered[_pid] = true
#endif
      :: REACHES(_pid, x) && !serving[x]
      fi;
      accept(_pid, accepted[x]);
      x = 0 }
  :: d_step { !serving[_pid] && accepted[_pid] != 0 && MAY_SERVE(_pid) ->
      assert(!OTHERS_SERVE(_pid) || REVISION(accepted[_pid]) >= required[_pid]);
      serving[_pid] = true;
#ifdef REACH
      assert(restarts < RESTARTS || REVISION(accepted[_pid]) < REVISIONS);
#endif
      required[_pid] = 0 }
  :: d_step { restarts < RESTARTS ->
      restarts++;
      serving[_pid] = false;
      accepted[_pid] = 0;
      answered[_pid] = false;
      required[_pid] = MIN(ANSWERED_REVISION(NEXT(_pid)), ANSWERED_REVISION(PREV(_pid)));
      required[_pid] = (CAN_ANSWER(NEXT(_pid)) || CAN_ANSWER(PREV(_pid)) -> required[_pid] : 0) }
  od
}

active proctype Service() {
  end: do
  :: d_step { published < REVISIONS -> published++ }
  :: d_step { !cut -> cut = true }
  :: d_step { cut -> cut = false }
  od
}
