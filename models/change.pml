/* Planned change with directory (sections 3 and 4 (c); internal/flow).
 *
 * Agent 0 owns an established flow. The first revision orders the candidates
 * 0, 1, 2; the second one orders 1, 2 because agent 0 is drained. Agents apply
 * the second revision at different times. Balancers with arbitrary views are
 * modelled by a packet that can reach any agent at any time. Registrations and
 * replies can be delayed or lost.
 *
 * An agent concludes when it decides that no agent owns the flow: a plain flow
 * is then opened again and a session is reported lost. Neither may happen while
 * an owner exists.
 *
 * NO_ENTRY starts without a directory entry at agent 1, for example because the
 * owner opened the flow just before the change.
 *
 * Variants, each with one rule removed or weakened:
 *   RESET_ON_TIMEOUT  an agent concludes when a queried agent does not reply
 *   NO_WINDOW         a new first candidate is settled immediately
 *   TIMED_WINDOW      the window ends after a fixed time, when registrations can be missing
 *   BLANK_NO          a restarted agent concludes from negative replies of unsettled agents
 *   EXPIRE_UNSEEN     an entry expires while its owner is unreachable
 *   NO_DIRECTORY      owners do not register
 *   PROMISE_IN_ENTRY  a promise is stored in the directory entry, which a registration overwrites
 *   REACH             its counterexample shows that a flow is concluded after a restart of its owner
 */
#define AGENTS 3
#define NONE 3

#ifndef FAULTS
#define FAULTS 2
#endif

#define BIT(a) (1 << (a))
#define HAS(set, a) (((set) >> (a)) & 1)
#define PEERS(a) (7 - BIT(a))
#define EARLIER(a) (BIT(a) - 1)
#define NEXT(a) (((a) + 1) % 3)
#define PREV(a) (((a) + 2) % 3)

bool owns[AGENTS] = { true, false, false };
bool settled[AGENTS] = true;
bool restarted[AGENTS];               /* restarted and not yet settled again */
bool newRevision[AGENTS];
bool remembersOld[AGENTS];            /* retains the candidates of the first revision */
bool paused[AGENTS];
#ifdef NO_ENTRY
byte directory[AGENTS] = NONE;
#else
byte directory[AGENTS] = { NONE, 0, NONE };  /* agent 1 has an entry for owner 0 */
#endif
byte promised[AGENTS] = NONE;         /* agent that was sent a negative reply */
byte pending[AGENTS];                 /* queried peers that have not replied */
byte negative[AGENTS];                /* peers whose negative reply is in flight */
byte settledReplies[AGENTS];          /* of those, peers that were settled in the same revision */

bool cut;                             /* agents 0 and 1 are partitioned from each other */
byte faults;

#define REACHES(a, b) (!(cut && (a) + (b) == 1))
#define CONTACT(a, b) (REACHES(a, b) && !paused[b])
#define ALL_IN_CONTACT(a) (CONTACT(a, NEXT(a)) && CONTACT(a, PREV(a)))

inline endQuery(a) {
  pending[a] = 0;
  negative[a] = 0;
  settledReplies[a] = 0
}

inline conclude(a) {
  assert(!owns[0] && !owns[1] && !owns[2]);
#ifdef REACH
  assert(false);
#endif
  owns[a] = true;
  endQuery(a);
  directory[a] = NONE;
  promised[a] = NONE
}

/* Agents that are queried: the candidates of the second revision, and agent 0
   while the candidates of the first revision apply or are retained. */
#define UNSETTLED_QUERIES(a) (PEERS(a) & (6 + (!newRevision[a] || remembersOld[a])))
#define SETTLED_QUERIES(a) (EARLIER(a) & (6 + !newRevision[a]))

inline receivePacket(a) {
  if
  :: owns[a] || pending[a] != 0 || directory[a] != NONE || promised[a] != NONE -> skip
  /* Agent 0 is not a candidate of the second revision and forwards the frame. */
  :: else ->
    if
    :: a == 0 && newRevision[0] -> skip
    :: !(a == 0 && newRevision[0]) && !settled[a] -> pending[a] = UNSETTLED_QUERIES(a)
    :: !(a == 0 && newRevision[0]) && settled[a] && SETTLED_QUERIES(a) != 0 -> pending[a] = SETTLED_QUERIES(a)
    :: !(a == 0 && newRevision[0]) && settled[a] && SETTLED_QUERIES(a) == 0 -> conclude(a)
    fi
  fi
}

inline learnOwner(b, a, o) {
  if
  :: HAS(pending[b], a) && !paused[b] ->
    endQuery(b);
    directory[b] = (o == b -> NONE : o)
  :: else
  fi
}

/* Agent a replies to a query of agent b. */
inline receiveQuery(a, b) {
  if
  :: owns[a] -> learnOwner(b, a, a)
  :: !owns[a] && directory[a] != NONE && directory[a] != b -> learnOwner(b, a, directory[a])
  :: !owns[a] && (directory[a] == NONE || directory[a] == b) && promised[a] != NONE && promised[a] != b -> learnOwner(b, a, promised[a])
  :: !owns[a] && directory[a] == NONE && promised[a] == NONE && pending[a] != 0 && a < b -> learnOwner(b, a, a)
  :: else ->
    endQuery(a);
#ifdef PROMISE_IN_ENTRY
    directory[a] = b;
#else
    promised[a] = b;
#endif
    if
    :: HAS(pending[b], a) ->
      negative[b] = negative[b] | BIT(a);
      settledReplies[b] = settledReplies[b] | ((settled[a] && newRevision[a] == newRevision[b]) << a)
    :: else
    fi
  fi
}

inline receiveNegative(a, b) {
  negative[a] = negative[a] & ~BIT(b);
  pending[a] = pending[a] & ~BIT(b);
  if
  :: pending[a] != 0 -> skip
#ifndef BLANK_NO
  :: pending[a] == 0 && restarted[a] && settledReplies[a] == 0 -> endQuery(a)
  :: pending[a] == 0 && !(restarted[a] && settledReplies[a] == 0) -> conclude(a)
#else
  :: pending[a] == 0 -> conclude(a)
#endif
  fi
}

/* The other agent that holds directory entries in the revision of agent a. */
#define HOLDER(a) (a == 0 -> 1 : (newRevision[a] -> 3 - (a) : 0))

/* Agent b is unreachable, or has registered its flow with agent a in the same
   revision if it owns it. */
#define REGISTERED(a, b) (!CONTACT(a, b) || \
  (newRevision[b] == newRevision[a] && (!owns[b] || directory[a] == b)))
/* Agent 0 is not a candidate of the second revision, so agents 1 and 2 need not
   reach it once they have the entry of the other holder. */
#define SYNCED(a, h) (CONTACT(a, h) && settled[h] && (directory[h] == directory[a] || directory[h] == a || owns[h]))
#ifdef TIMED_WINDOW
#define ENDED(a, h) true
#else
#ifdef NO_DIRECTORY
#define ENDED(a, h) true
#else
#define ENDED(a, h) (REGISTERED(a, NEXT(a)) && REGISTERED(a, PREV(a)) && (ALL_IN_CONTACT(a) || (newRevision[a] && SYNCED(a, h))))
#endif
#endif

/* A query ends in less than a second, so no earlier query is open at a running
   agent when a window or a promise of another agent ends. */
#define PEERS_IDLE(a) ((paused[NEXT(a)] || pending[NEXT(a)] == 0) && (paused[PREV(a)] || pending[PREV(a)] == 0))

/* An entry expires when its owner is reachable and no longer lists the flow, and
   no other reachable owner is about to register: registration takes less than the
   TTL of the entry. */
#define REGISTERS(a, b) (owns[b] && CONTACT(a, b) && directory[a] != b)
#ifdef EXPIRE_UNSEEN
#define EXPIRED(a) (!CONTACT(a, directory[a]) || !owns[directory[a]])
#else
#define EXPIRED(a) (CONTACT(a, directory[a]) && !owns[directory[a]])
#endif

#ifdef NO_WINDOW
#define AFTER_CHANGE true
#else
#define AFTER_CHANGE false
#endif

active [AGENTS] proctype Agent() {
  byte peer;
  end: do
  :: atomic { !paused[_pid] -> receivePacket(_pid) }
  :: atomic { !paused[_pid] ->
      if
      :: peer = NEXT(_pid)
      :: peer = PREV(_pid)
      fi;
      if
      :: REACHES(_pid, peer) && HAS(pending[peer], _pid) -> receiveQuery(_pid, peer)
      :: REACHES(_pid, peer) && HAS(negative[_pid], peer) && HAS(pending[_pid], peer) -> receiveNegative(_pid, peer)
#ifndef NO_DIRECTORY
      :: CONTACT(_pid, peer) && owns[peer] && directory[_pid] != peer && !owns[_pid] ->
        directory[_pid] = peer;
        endQuery(_pid)
      /* A holder without an entry copies that of the other holder. */
      :: CONTACT(_pid, peer) && !owns[_pid] && directory[_pid] == NONE && directory[peer] != NONE && directory[peer] != _pid ->
        directory[_pid] = directory[peer];
        endQuery(_pid)
#endif
      :: else
      fi;
      peer = 0 }
  :: d_step { !newRevision[_pid] && !paused[_pid] ->
      newRevision[_pid] = true;
      remembersOld[_pid] = !restarted[_pid];
      endQuery(_pid);
      settled[_pid] = AFTER_CHANGE }
  :: d_step { settled[_pid] && !ALL_IN_CONTACT(_pid) -> settled[_pid] = false }
  :: d_step { directory[_pid] != NONE && EXPIRED(_pid) && PEERS_IDLE(_pid) &&
      !REGISTERS(_pid, NEXT(_pid)) && !REGISTERS(_pid, PREV(_pid)) ->
      directory[_pid] = NONE }
  /* A promise ends when its agent is reachable and does not own the flow, or has registered. */
  :: d_step { promised[_pid] != NONE && CONTACT(_pid, promised[_pid]) && PEERS_IDLE(_pid) &&
      (!owns[promised[_pid]] || directory[_pid] == promised[_pid]) ->
      promised[_pid] = NONE }
  :: atomic { !paused[_pid] && pending[_pid] != 0 ->
#ifdef RESET_ON_TIMEOUT
      conclude(_pid)
#else
      endQuery(_pid)
#endif
    }
  :: d_step { !paused[_pid] && !settled[_pid] && PEERS_IDLE(_pid) && ENDED(_pid, HOLDER(_pid)) ->
      settled[_pid] = true;
      restarted[_pid] = false;
      remembersOld[_pid] = false }
  :: d_step { faults < FAULTS ->
      faults++;
      owns[_pid] = false;
      settled[_pid] = false;
      restarted[_pid] = true;
      newRevision[_pid] = newRevision[0] || newRevision[1] || newRevision[2];
      remembersOld[_pid] = false;
      paused[_pid] = false;
      directory[_pid] = NONE;
      promised[_pid] = NONE;
      endQuery(_pid) }
  :: d_step { faults < FAULTS && !paused[_pid] -> faults++; paused[_pid] = true }
  :: d_step { paused[_pid] ->
      paused[_pid] = false;
      endQuery(_pid);
      settled[_pid] = false }
  od
}

active proctype Network() {
  end: do
  :: d_step { faults < FAULTS && !cut -> faults++; cut = true }
  :: d_step { cut -> cut = false }
  od
}
