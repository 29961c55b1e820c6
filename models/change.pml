/* Planned change with directory (sections 3 and 4 (c); internal/flow).
 *
 * Agent 0 owns an established flow. Its first revision orders the candidates
 * 0, 1, 2; the second one orders 1, 2 because agent 0 is drained. Agents take
 * the second revision at different times. Balancers with any views equal a
 * packet that can reach any agent at any time. Registrations and answers can
 * come late or never.
 *
 * "Concluded" means that an agent takes the flow for unknown everywhere: a
 * plain flow is then opened again and a session is reported lost. Neither may
 * happen while an owner lives.
 *
 * NO_ENTRY starts without an entry at agent 1, for example because the owner
 * opened the flow just before the change.
 *
 * Variants, each without one rule or with a rule that is too weak:
 *   RESET_ON_TIMEOUT  an agent concludes when a queried one does not answer
 *   NO_WINDOW         a new first candidate is settled at once
 *   TIMED_WINDOW      the window ends by time, registrations can be missing
 *   BLANK_NO          a restarted agent concludes from answers of agents that are unsettled
 *   EXPIRE_UNSEEN     an entry expires while its owner is out of contact
 *   NO_DIRECTORY      owners do not register
 *   PROMISE_IN_ENTRY  a registration replaces a promise
 *   REACH             shows that a flow whose owner restarted is concluded
 */
#define AGENTS 3
#define NOBODY 3

#ifndef FAULTS
#define FAULTS 2
#endif

#define BIT(a) (1 << (a))
#define HAS(set, a) (((set) >> (a)) & 1)
#define PEERS(a) (7 - BIT(a))
#define EARLIER(a) (BIT(a) - 1)
#define NEXT(a) (((a) + 1) % 3)
#define LAST(a) (((a) + 2) % 3)

bool owns[AGENTS] = { true, false, false };
bool settled[AGENTS] = true;
bool blank[AGENTS];               /* restarted and not settled since */
bool newRevision[AGENTS];
bool knowsOld[AGENTS];            /* remembers the candidates of the first revision */
bool paused[AGENTS];
#ifdef NO_ENTRY
byte directory[AGENTS] = NOBODY;
#else
byte directory[AGENTS] = { NOBODY, 0, NOBODY };  /* the second candidate knows the owner */
#endif
byte promised[AGENTS] = NOBODY;   /* agent that got a "no" */
byte waiting[AGENTS];             /* peers whose answer an open query lacks */
byte no[AGENTS];                  /* peers whose "no" is on the way */
byte vouched[AGENTS];             /* of those, peers that were settled in the same revision */

bool cut;                         /* agents 0 and 1 do not reach each other */
byte faults;

#define REACHES(a, b) (!(cut && (a) + (b) == 1))
#define CONTACT(a, b) (REACHES(a, b) && !paused[b])
#define ALL_IN_CONTACT(a) (CONTACT(a, NEXT(a)) && CONTACT(a, LAST(a)))

inline endQuery(a) {
  waiting[a] = 0;
  no[a] = 0;
  vouched[a] = 0
}

inline conclude(a) {
  assert(!owns[0] && !owns[1] && !owns[2]);
#ifdef REACH
  assert(false);
#endif
  owns[a] = true;
  endQuery(a);
  directory[a] = NOBODY;
  promised[a] = NOBODY
}

/* Agents that are queried: all candidates of the second revision, and agent 0
   while the candidates of the first one are remembered. */
#define UNSETTLED_ASKS(a) (PEERS(a) & (6 + (!newRevision[a] || knowsOld[a])))
#define SETTLED_ASKS(a) (EARLIER(a) & (6 + !newRevision[a]))

inline receivePacket(a) {
  if
  :: owns[a] || waiting[a] != 0 || directory[a] != NOBODY || promised[a] != NOBODY -> skip
  /* Agent 0 is no candidate of the second revision and forwards the frame. */
  :: else ->
    if
    :: a == 0 && newRevision[0] -> skip
    :: !(a == 0 && newRevision[0]) && !settled[a] -> waiting[a] = UNSETTLED_ASKS(a)
    :: !(a == 0 && newRevision[0]) && settled[a] && SETTLED_ASKS(a) != 0 -> waiting[a] = SETTLED_ASKS(a)
    :: !(a == 0 && newRevision[0]) && settled[a] && SETTLED_ASKS(a) == 0 -> conclude(a)
    fi
  fi
}

inline learnOwner(b, a, o) {
  if
  :: HAS(waiting[b], a) && !paused[b] ->
    endQuery(b);
    directory[b] = (o == b -> NOBODY : o)
  :: else
  fi
}

/* Agent a answers a query of agent b. */
inline receiveQuery(a, b) {
  if
  :: owns[a] -> learnOwner(b, a, a)
  :: !owns[a] && directory[a] != NOBODY && directory[a] != b -> learnOwner(b, a, directory[a])
  :: !owns[a] && (directory[a] == NOBODY || directory[a] == b) && promised[a] != NOBODY && promised[a] != b -> learnOwner(b, a, promised[a])
  :: !owns[a] && directory[a] == NOBODY && promised[a] == NOBODY && waiting[a] != 0 && a < b -> learnOwner(b, a, a)
  :: else ->
    endQuery(a);
#ifdef PROMISE_IN_ENTRY
    directory[a] = b;
#else
    promised[a] = b;
#endif
    if
    :: HAS(waiting[b], a) ->
      no[b] = no[b] | BIT(a);
      vouched[b] = vouched[b] | ((settled[a] && newRevision[a] == newRevision[b]) << a)
    :: else
    fi
  fi
}

inline receiveNo(a, b) {
  no[a] = no[a] & ~BIT(b);
  waiting[a] = waiting[a] & ~BIT(b);
  if
  :: waiting[a] != 0 -> skip
#ifndef BLANK_NO
  :: waiting[a] == 0 && blank[a] && vouched[a] == 0 -> endQuery(a)
  :: waiting[a] == 0 && !(blank[a] && vouched[a] == 0) -> conclude(a)
#else
  :: waiting[a] == 0 -> conclude(a)
#endif
  fi
}

/* The other agent of the revision that holds entries. */
#define HOLDER(a) (a == 0 -> 1 : (newRevision[a] -> 3 - (a) : 0))

/* Agent b has nothing left to tell agent a. */
#define REGISTERED(a, b) (!CONTACT(a, b) || \
  (newRevision[b] == newRevision[a] && (!owns[b] || directory[a] == b)))
/* Agent 0 is no candidate of the second revision, so agents 1 and 2 need not
   reach it when the other holder has told what it knows. */
#define SYNCED(a, h) (CONTACT(a, h) && settled[h] && (directory[h] == directory[a] || directory[h] == a || owns[h]))
#ifdef TIMED_WINDOW
#define ENDED(a, h) true
#else
#ifdef NO_DIRECTORY
#define ENDED(a, h) true
#else
#define ENDED(a, h) (REGISTERED(a, NEXT(a)) && REGISTERED(a, LAST(a)) && (ALL_IN_CONTACT(a) || (newRevision[a] && SYNCED(a, h))))
#endif
#endif

/* A query ends in less than a second, so no older one is open at a running agent
   when a window or a promise of another agent ends. */
#define QUIET(a) ((paused[NEXT(a)] || waiting[NEXT(a)] == 0) && (paused[LAST(a)] || waiting[LAST(a)] == 0))

/* An entry ends when its owner, in contact, no longer lists the flow, and no
   other owner in contact is about to register: that takes less than the entry's life. */
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
      :: peer = LAST(_pid)
      fi;
      if
      :: REACHES(_pid, peer) && HAS(waiting[peer], _pid) -> receiveQuery(_pid, peer)
      :: REACHES(_pid, peer) && HAS(no[_pid], peer) && HAS(waiting[_pid], peer) -> receiveNo(_pid, peer)
#ifndef NO_DIRECTORY
      :: CONTACT(_pid, peer) && owns[peer] && directory[_pid] != peer && !owns[_pid] ->
        directory[_pid] = peer;
        endQuery(_pid)
      /* A holder without entry takes that of the other one. */
      :: CONTACT(_pid, peer) && !owns[_pid] && directory[_pid] == NOBODY && directory[peer] != NOBODY && directory[peer] != _pid ->
        directory[_pid] = directory[peer];
        endQuery(_pid)
#endif
      :: else
      fi;
      peer = 0 }
  :: d_step { !newRevision[_pid] && !paused[_pid] ->
      newRevision[_pid] = true;
      knowsOld[_pid] = !blank[_pid];
      endQuery(_pid);
      settled[_pid] = AFTER_CHANGE }
  :: d_step { settled[_pid] && !ALL_IN_CONTACT(_pid) -> settled[_pid] = false }
  :: d_step { directory[_pid] != NOBODY && EXPIRED(_pid) && QUIET(_pid) &&
      !REGISTERS(_pid, NEXT(_pid)) && !REGISTERS(_pid, LAST(_pid)) ->
      directory[_pid] = NOBODY }
  /* A promise ends when its agent, in contact, does not own the flow, or has registered. */
  :: d_step { promised[_pid] != NOBODY && CONTACT(_pid, promised[_pid]) && QUIET(_pid) &&
      (!owns[promised[_pid]] || directory[_pid] == promised[_pid]) ->
      promised[_pid] = NOBODY }
  :: atomic { !paused[_pid] && waiting[_pid] != 0 ->
#ifdef RESET_ON_TIMEOUT
      conclude(_pid)
#else
      endQuery(_pid)
#endif
    }
  :: d_step { !paused[_pid] && !settled[_pid] && QUIET(_pid) && ENDED(_pid, HOLDER(_pid)) ->
      settled[_pid] = true;
      blank[_pid] = false;
      knowsOld[_pid] = false }
  :: d_step { faults < FAULTS ->
      faults++;
      owns[_pid] = false;
      settled[_pid] = false;
      blank[_pid] = true;
      newRevision[_pid] = newRevision[0] || newRevision[1] || newRevision[2];
      knowsOld[_pid] = false;
      paused[_pid] = false;
      directory[_pid] = NOBODY;
      promised[_pid] = NOBODY;
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
