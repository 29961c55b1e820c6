/* Handover rule for a plain flow (section 4 (c) of the design; internal/flow).
 *
 * One flow of non-idempotent work, three agents numbered by their position in
 * the candidate order. Balancers with arbitrary views are modelled by a packet
 * that can reach any agent at any time, so they are not processes here. Queries
 * are not stored either: a running agent can receive a query of any peer at any
 * time, which covers delayed, lost and duplicated ones. A reply that names the
 * owner is received immediately; a negative reply and a forwarded frame can be
 * delayed or lost, and a frame can be duplicated. A frame in flight is stored for
 * its receiver as the set of earlier candidates that it lists as having forwarded
 * the flow.
 *
 * Variants, each with one rule removed or weakened:
 *   OPEN_ON_TIMEOUT   opens the flow when a query times out
 *   NO_PROMISE        an agent does not record to whom it sent a negative reply
 *   NO_SEQUENCE       a negative reply to an ended query counts
 *   NO_WINDOW         an agent is settled immediately after its start
 *   TIMED_WINDOW      the window ends after a fixed time although a peer is unreachable
 *   NO_CLOCK_JUMP     a paused agent continues without a new window (holds: the window
 *                     of its peers lasts until they reach it again)
 *   KEEP_OWN_QUERY    an agent that sends a negative reply continues its own query
 *   EARLIER_ONLY      an unsettled later candidate queries only the earlier ones
 *   TRUST_PASSED      an unsettled agent does not query the agents that a frame lists
 *   PASS_UNRECORDED   an agent that forwards the flow does not record to whom
 *   REACH             its counterexample shows that a settled first candidate can record a later owner after a restart
 */
#define AGENTS 3
#define NONE 3

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
#define PREV(a) (((a) + 2) % 3)

bool owns[AGENTS];
bool settled[AGENTS] = true;
bool paused[AGENTS];
byte directory[AGENTS] = NONE;        /* recorded owner of the flow */
byte pending[AGENTS];                 /* queried peers that have not replied */
byte negative[AGENTS];                /* peers whose negative reply is in flight */
byte frames[AGENTS];                  /* bit p: a frame forwarded by the set p is in flight */

bool cut;                             /* agents 0 and 1 are partitioned from each other */
byte restarts, pauses, cuts;

#define REACHES(a, b) (!(cut && (a) + (b) == 1))
#define CONTACT(a, b) (REACHES(a, b) && !paused[b])
#define ALL_IN_CONTACT(a) (CONTACT(a, NEXT(a)) && CONTACT(a, PREV(a)))

inline endQuery(a) {
  pending[a] = 0;
#ifndef NO_SEQUENCE
  negative[a] = 0
#endif
}

inline open(a) {
  assert(!owns[0] && !owns[1] && !owns[2]);
  owns[a] = true;
  endQuery(a);
  directory[a] = NONE
}

/* A frame that lists no earlier candidate is modelled by a packet from a balancer. */
inline forward(a, b, passed) {
  frames[b] = (frames[b] | BIT((passed | BIT(a)) & EARLIER(b))) & 14
}

#ifdef EARLIER_ONLY
#define UNSETTLED_QUERIES(a, passed) ((a) == 0) * PEERS(a) + ((a) > 0) * EARLIER(a)
#else
#ifdef TRUST_PASSED
#define UNSETTLED_QUERIES(a, passed) PEERS(a) & ~(passed)
#else
#define UNSETTLED_QUERIES(a, passed) PEERS(a)
#endif
#endif

inline openOrQuery(a, peers) {
  if
  :: (peers) == 0 -> open(a)
  :: else -> pending[a] = peers
  fi
}

/* A packet of the flow arrives; passed is the set of agents that promised not to
   open the flow. */
inline receivePacket(a, passed) {
  if
  :: owns[a] || pending[a] != 0 -> skip
  :: !owns[a] && pending[a] == 0 && directory[a] != NONE -> forward(a, directory[a], passed)
  :: !owns[a] && pending[a] == 0 && directory[a] == NONE ->
    if
    :: settled[a] -> openOrQuery(a, EARLIER(a) & ~(passed))
    :: !settled[a] ->
      openOrQuery(a, UNSETTLED_QUERIES(a, passed))
    /* At its flow limit or draining: the next candidate gets the flow. */
    :: a < 2 ->
#ifndef PASS_UNRECORDED
      directory[a] = a + 1;
#endif
      forward(a, a + 1, passed)
    fi
  fi
}

/* A reply of agent a names agent o to agent b as the owner of the flow. */
inline learnOwner(b, a, o) {
  if
  :: HAS(pending[b], a) && !paused[b] ->
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
  :: HAS(pending[b], a) -> negative[b] = negative[b] | BIT(a)
  :: else
  fi
#else
  negative[b] = negative[b] | BIT(a)
#endif
}

/* Agent a replies to a query of agent b. */
inline receiveQuery(a, b) {
  if
  :: owns[a] -> learnOwner(b, a, a)
  :: !owns[a] && directory[a] != NONE && directory[a] != b -> learnOwner(b, a, directory[a])
#ifndef KEEP_OWN_QUERY
  /* Of two agents that query each other, the one with the lower target ID continues. */
  :: !owns[a] && directory[a] == NONE && pending[a] != 0 && a < b -> learnOwner(b, a, a)
#endif
  :: else -> promise(a, b)
  fi
}

inline receiveNegative(a, b) {
  negative[a] = negative[a] & ~BIT(b);
  if
  :: HAS(pending[a], b) ->
    pending[a] = pending[a] & ~BIT(b);
    if
    :: pending[a] == 0 -> open(a)
    :: else
    fi
  :: else
  fi
}

/* Frames and queries have a TTL below one second, so none that relies on a promise
   of agent a is in flight to a running agent when a window or an entry of agent a
   ends. Frames that a paused agent received stay in its socket buffer. */
#define FRAME_NAMES(b, a) (a == 0 -> frames[b] & 10 : (a == 1 -> frames[b] & 12 : false))
#define IDLE(a, b) (paused[b] || (pending[b] == 0 && !FRAME_NAMES(b, a)))
#define PEERS_IDLE(a) (IDLE(a, NEXT(a)) && IDLE(a, PREV(a)))

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
  /* A packet from a balancer with an arbitrary view. */
  :: atomic { !paused[_pid] -> receivePacket(_pid, 0) }
  :: atomic { !paused[_pid] && (frames[_pid] & 2) -> receivePacket(_pid, 1) }
  :: atomic { !paused[_pid] && (frames[_pid] & 4) -> receivePacket(_pid, 2) }
  :: atomic { !paused[_pid] && (frames[_pid] & 8) -> receivePacket(_pid, 3) }
  :: atomic { !paused[_pid] ->
      if
      :: peer = NEXT(_pid)
      :: peer = PREV(_pid)
      fi;
      if
      :: REACHES(_pid, peer) && !owns[peer] -> receiveQuery(_pid, peer)
      :: REACHES(_pid, peer) && HAS(negative[_pid], peer) -> receiveNegative(_pid, peer)
      /* The owner's registration arrives. */
      :: CONTACT(_pid, peer) && owns[peer] && directory[_pid] != peer && !owns[_pid] ->
        directory[_pid] = peer;
        endQuery(_pid)
      :: else
      fi;
      peer = 0 }
  /* A peer becomes unreachable. */
  :: d_step { settled[_pid] && !ALL_IN_CONTACT(_pid) -> settled[_pid] = false }
  /* The entry expires: no owner that reaches this agent has registered within 30 s. */
  :: d_step { directory[_pid] != NONE && PEERS_IDLE(_pid) &&
      (frames[_pid] == 0 || paused[_pid]) && !REGISTERS(_pid, NEXT(_pid)) &&
      !REGISTERS(_pid, PREV(_pid)) && (!settled[_pid] || ALL_IN_CONTACT(_pid)) ->
      directory[_pid] = NONE }
  :: atomic { !paused[_pid] && pending[_pid] != 0 ->
#ifdef OPEN_ON_TIMEOUT
      open(_pid)
#else
      endQuery(_pid)
#endif
    }
  /* The unsettled window ends. */
  :: d_step { !paused[_pid] && !settled[_pid] && PEERS_IDLE(_pid) && frames[_pid] == 0 &&
      ENDED(_pid, NEXT(_pid)) && ENDED(_pid, PREV(_pid)) -> settled[_pid] = true }
  :: d_step { restarts < RESTARTS ->
      restarts++;
      owns[_pid] = false;
#ifdef NO_WINDOW
      settled[_pid] = true;
#else
      settled[_pid] = false;
#endif
      paused[_pid] = false;
      directory[_pid] = NONE;
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
