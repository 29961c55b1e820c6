/* Configuration acceptance (section 6 of the design; internal/config and
 * internal/confsync).
 *
 * Three processes and a configuration service that can be stale or down. A
 * revision once published or held by a process can arrive at any process at
 * any later time, which covers late, repeated and reordered messages, pauses
 * and uneven updates. Revision 2 is published with two contents by mistake.
 *
 * Checked: the accepted revision of a process never goes down, and its content
 * never changes; a restarted process that begins to serve has at least the
 * revision that all its peers had when it asked, as long as one of them serves.
 *
 * Variants, each without one rule or with a rule that is too weak:
 *   NO_PEERS           a restarted process does not ask its peers
 *   SILENCE_IS_ANSWER  a restarted process serves from the service alone when no peer answers
 *   JOINING_COUNTS     the answer of a peer that does not serve yet is enough
 *   NO_ORDER           a lower revision is accepted
 *   NO_DIGEST_CHECK    the same revision with another content is accepted
 *   REACH              shows that a restarted process can serve the highest revision
 */
#define PROCESSES 3
#define REVISIONS 3

#ifndef RESTARTS
#define RESTARTS 2
#endif

#define CONTENT(r, c) ((r) * 2 + (c))
#define REVISION(x) ((x) / 2)
#define NEXT(a) (((a) + 1) % 3)
#define LAST(a) (((a) + 2) % 3)
#define MIN(a, b) ((a) < (b) -> (a) : (b))

bool serving[PROCESSES] = true;
byte held[PROCESSES] = CONTENT(1, 0);  /* accepted content; 0 is none */
byte answered[PROCESSES];              /* a peer that serves answered since the start */
byte floor[PROCESSES];                 /* lowest revision of a peer when the process asked */
byte published = 1;
byte restarts;
bool cut;                              /* process 0 reaches no peer */

#define REACHES(a, b) (!(cut && ((a) == 0 || (b) == 0)))

inline accept(a, x) {
  if
  :: REVISION(x) > REVISION(held[a]) -> held[a] = x
#ifdef NO_ORDER
  :: REVISION(x) < REVISION(held[a]) ->
    assert(!serving[a]);
    held[a] = x
#endif
#ifdef NO_DIGEST_CHECK
  :: REVISION(x) == REVISION(held[a]) && x != held[a] ->
    assert(!serving[a]);
    held[a] = x
#endif
  :: else
  fi
}

/* A restarted process without an answer does not count: it cannot serve yet. */
#define COUNTS(b) (serving[b] || answered[b])
#define COUNTED(b) (COUNTS(b) -> REVISION(held[b]) : REVISIONS)
#define OTHERS_SERVE(a) (serving[NEXT(a)] || serving[LAST(a)])

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
  /* Read from the service, which can be stale. */
  :: atomic {
      if
      :: x = CONTENT(1, 0)
      :: published >= 2 -> x = CONTENT(2, 0)
      :: published >= 2 -> x = CONTENT(2, 1)
      :: published >= 3 -> x = CONTENT(3, 0)
      fi;
      accept(_pid, x);
      x = 0 }
  /* A peer's revision arrives, or its answer to the question at the start. */
  :: atomic {
      if
      :: x = NEXT(_pid)
      :: x = LAST(_pid)
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
      accept(_pid, held[x]);
      x = 0 }
  :: d_step { !serving[_pid] && held[_pid] != 0 && MAY_SERVE(_pid) ->
      assert(!OTHERS_SERVE(_pid) || REVISION(held[_pid]) >= floor[_pid]);
      serving[_pid] = true;
#ifdef REACH
      assert(restarts < RESTARTS || REVISION(held[_pid]) < REVISIONS);
#endif
      floor[_pid] = 0 }
  :: d_step { restarts < RESTARTS ->
      restarts++;
      serving[_pid] = false;
      held[_pid] = 0;
      answered[_pid] = false;
      floor[_pid] = MIN(COUNTED(NEXT(_pid)), COUNTED(LAST(_pid)));
      floor[_pid] = (COUNTS(NEXT(_pid)) || COUNTS(LAST(_pid)) -> floor[_pid] : 0) }
  od
}

active proctype Service() {
  end: do
  :: d_step { published < REVISIONS -> published++ }
  :: d_step { !cut -> cut = true }
  :: d_step { cut -> cut = false }
  od
}
