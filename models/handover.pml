/* Handover rule for a plain flow (section 4 (c) of the design; internal/flow).
 *
 * One flow of non-idempotent work, three agents whose number is their place in
 * the candidate order. Two balancers with any views equal a packet that can
 * reach any agent at any time, so they are not processes here. A query is not
 * stored either: a running agent can take a query of any peer at any time,
 * which covers late, lost and repeated ones. An answer "owned" is taken at
 * once; a "no" and a forwarded frame can be taken late, lost or, for a frame,
 * taken twice. A frame is kept for its receiver as the set of earlier
 * candidates that it names as having passed the flow on.
 *
 * Variants, each without one rule or with a rule that is too weak:
 *   OPEN_ON_TIMEOUT   opens the flow when a query times out
 *   NO_PROMISE        a "no" is not recorded
 *   NO_SEQUENCE       a "no" to an ended query counts
 *   NO_WINDOW         an agent is settled at once after its start
 *   TIMED_WINDOW      the window ends by time although a peer is out of contact
 *   NO_CLOCK_JUMP     a paused agent goes on where it stopped (holds: the window of
 *                     its peers already lasts until they are in contact again)
 *   KEEP_OWN_QUERY    an agent that answers "no" goes on with its own query
 *   EARLIER_ONLY      an unsettled later candidate queries earlier ones only
 *   TRUST_PASSED      an unsettled agent trusts the list of those that passed the flow on
 *   PASS_UNRECORDED   an agent that passes the flow on does not record to whom
 *   REACH             shows that a settled first candidate can know a later owner after a restart
 */
#define AGENTS 3
#define NOBODY 3

#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef PAUSES
#define PAUSES 1
#endif
#ifndef CUTS
#define CUTS 1
#endif

#define BIT(a) (1 << (a))
#define HAS(set, a) (((set) >> (a)) & 1)
#define PEERS(a) (7 - BIT(a))
#define EARLIER(a) (BIT(a) - 1)
#define NEXT(a) (((a) + 1) % 3)
#define LAST(a) (((a) + 2) % 3)

bool owns[AGENTS];
bool settled[AGENTS] = true;
bool paused[AGENTS];
byte directory[AGENTS] = NOBODY;  /* recorded owner of the flow */
byte waiting[AGENTS];             /* peers whose answer an open query lacks */
byte no[AGENTS];                  /* peers whose "no" is on the way */
byte frames[AGENTS];              /* bit p: a frame passed on by the set p is on the way */

bool cut;                         /* agents 0 and 1 do not reach each other */
byte restarts, pauses, cuts;

#define REACHES(a, b) (!(cut && (a) + (b) == 1))
#define CONTACT(a, b) (REACHES(a, b) && !paused[b])
#define ALL_IN_CONTACT(a) (CONTACT(a, NEXT(a)) && CONTACT(a, LAST(a)))

inline endQuery(a) {
  waiting[a] = 0;
#ifndef NO_SEQUENCE
  no[a] = 0
#endif
}

inline open(a) {
  assert(!owns[0] && !owns[1] && !owns[2]);
  owns[a] = true;
  endQuery(a);
  directory[a] = NOBODY
}

/* A frame that names no earlier candidate equals a packet from a balancer. */
inline forward(a, b, passed) {
  frames[b] = (frames[b] | BIT((passed | BIT(a)) & EARLIER(b))) & 14
}

#ifdef EARLIER_ONLY
#define UNSETTLED_ASKS(a, passed) ((a) == 0) * PEERS(a) + ((a) > 0) * EARLIER(a)
#else
#ifdef TRUST_PASSED
#define UNSETTLED_ASKS(a, passed) PEERS(a) & ~(passed)
#else
#define UNSETTLED_ASKS(a, passed) PEERS(a)
#endif
#endif

inline openOrQuery(a, peers) {
  if
  :: (peers) == 0 -> open(a)
  :: else -> waiting[a] = peers
  fi
}

/* A packet of the flow arrives; passed are the agents that promised not to open it. */
inline receivePacket(a, passed) {
  if
  :: owns[a] || waiting[a] != 0 -> skip
  :: !owns[a] && waiting[a] == 0 && directory[a] != NOBODY -> forward(a, directory[a], passed)
  :: !owns[a] && waiting[a] == 0 && directory[a] == NOBODY ->
    if
    :: settled[a] -> openOrQuery(a, EARLIER(a) & ~(passed))
    :: !settled[a] ->
      openOrQuery(a, UNSETTLED_ASKS(a, passed))
    /* No room, or draining: the next candidate gets the flow. */
    :: a < 2 ->
#ifndef PASS_UNRECORDED
      directory[a] = a + 1;
#endif
      forward(a, a + 1, passed)
    fi
  fi
}

/* Agent b learns from an answer that agent o owns the flow. */
inline learnOwner(b, a, o) {
  if
  :: HAS(waiting[b], a) && !paused[b] ->
    endQuery(b);
    if
    :: o != b -> directory[b] = o; forward(b, o, 0)
    :: else
    fi
  :: else
  fi
}

inline promise(a, b) {
#ifndef KEEP_OWN_QUERY
  endQuery(a);
#endif
#ifndef NO_PROMISE
  directory[a] = b;
#endif
#ifndef NO_SEQUENCE
  if
  :: HAS(waiting[b], a) -> no[b] = no[b] | BIT(a)
  :: else
  fi
#else
  no[b] = no[b] | BIT(a)
#endif
}

/* Agent a answers a query of agent b. */
inline receiveQuery(a, b) {
  if
  :: owns[a] -> learnOwner(b, a, a)
  :: !owns[a] && directory[a] != NOBODY && directory[a] != b -> learnOwner(b, a, directory[a])
#ifndef KEEP_OWN_QUERY
  /* Of two agents that query each other the one with the lower target ID goes on. */
  :: !owns[a] && directory[a] == NOBODY && waiting[a] != 0 && a < b -> learnOwner(b, a, a)
#endif
  :: else -> promise(a, b)
  fi
}

inline receiveNo(a, b) {
  no[a] = no[a] & ~BIT(b);
  if
  :: HAS(waiting[a], b) ->
    waiting[a] = waiting[a] & ~BIT(b);
    if
    :: waiting[a] == 0 -> open(a)
    :: else
    fi
  :: else
  fi
}

/* Frames and queries live for less than a second, so none that counts on a
   promise of a is left on the way to a running agent when a window or an entry
   of a ends. Frames that a paused agent received stay in its socket buffer. */
#define FRAME_NAMES(b, a) (a == 0 -> frames[b] & 10 : (a == 1 -> frames[b] & 12 : false))
#define IDLE(a, b) (paused[b] || (waiting[b] == 0 && !FRAME_NAMES(b, a)))
#define QUIET(a) (IDLE(a, NEXT(a)) && IDLE(a, LAST(a)))

#define REGISTERS(a, b) (owns[b] && CONTACT(a, b))
#define CONFIRMED(a, b) (CONTACT(a, b) && (!owns[b] || directory[a] == b))
#ifdef TIMED_WINDOW
#define ENDED(a, b) (!CONTACT(a, b) || CONFIRMED(a, b))
#else
#define ENDED(a, b) CONFIRMED(a, b)
#endif

active [AGENTS] proctype Agent() {
  byte peer;
  end: do
  /* From a balancer, with any view. */
  :: atomic { !paused[_pid] -> receivePacket(_pid, 0) }
  :: atomic { !paused[_pid] && (frames[_pid] & 2) -> receivePacket(_pid, 1) }
  :: atomic { !paused[_pid] && (frames[_pid] & 4) -> receivePacket(_pid, 2) }
  :: atomic { !paused[_pid] && (frames[_pid] & 8) -> receivePacket(_pid, 3) }
  :: atomic { !paused[_pid] ->
      if
      :: peer = NEXT(_pid)
      :: peer = LAST(_pid)
      fi;
      if
      :: REACHES(_pid, peer) && !owns[peer] -> receiveQuery(_pid, peer)
      :: REACHES(_pid, peer) && HAS(no[_pid], peer) -> receiveNo(_pid, peer)
      /* The owner's registration arrives. */
      :: CONTACT(_pid, peer) && owns[peer] && directory[_pid] != peer && !owns[_pid] ->
        directory[_pid] = peer;
        endQuery(_pid)
      :: else
      fi;
      peer = 0 }
  /* Contact with a peer is lost. */
  :: d_step { settled[_pid] && !ALL_IN_CONTACT(_pid) -> settled[_pid] = false }
  /* The entry expires: no owner that reaches this agent registered within 30 s. */
  :: d_step { directory[_pid] != NOBODY && QUIET(_pid) &&
      (frames[_pid] == 0 || paused[_pid]) && !REGISTERS(_pid, NEXT(_pid)) &&
      !REGISTERS(_pid, LAST(_pid)) && (!settled[_pid] || ALL_IN_CONTACT(_pid)) ->
      directory[_pid] = NOBODY }
  :: atomic { !paused[_pid] && waiting[_pid] != 0 ->
#ifdef OPEN_ON_TIMEOUT
      open(_pid)
#else
      endQuery(_pid)
#endif
    }
  /* The unsettled window ends. */
  :: d_step { !paused[_pid] && !settled[_pid] && QUIET(_pid) && frames[_pid] == 0 &&
      ENDED(_pid, NEXT(_pid)) && ENDED(_pid, LAST(_pid)) -> settled[_pid] = true }
  :: d_step { restarts < RESTARTS ->
      restarts++;
      owns[_pid] = false;
#ifdef NO_WINDOW
      settled[_pid] = true;
#else
      settled[_pid] = false;
#endif
      paused[_pid] = false;
      directory[_pid] = NOBODY;
      frames[_pid] = 0;
      endQuery(_pid) }
  :: d_step { pauses < PAUSES && !paused[_pid] -> pauses++; paused[_pid] = true }
  :: d_step { paused[_pid] ->
      paused[_pid] = false
#ifndef NO_CLOCK_JUMP
      ;
      endQuery(_pid);
      settled[_pid] = false
#endif
    }
#ifdef REACH
  :: d_step { restarts > 0 && owns[1] && settled[0] && directory[0] == 1 -> assert(false) }
#endif
  od
}

active proctype Network() {
  end: do
  :: d_step { frames[1] != 0 -> frames[1] = 0 }
  :: d_step { (frames[2] & 2) -> frames[2] = frames[2] & 253 }
  :: d_step { (frames[2] & 4) -> frames[2] = frames[2] & 251 }
  :: d_step { (frames[2] & 8) -> frames[2] = frames[2] & 247 }
  :: d_step { cuts < CUTS && !cut -> cuts++; cut = true }
  :: d_step { cut -> cut = false }
  od
}
