/* Handshake for requests (section 4 (d) of the design; internal/offer).
 *
 * One non-idempotent request, three agents with one restart each and one offer
 * per incarnation. Balancers keep no state: those with arbitrary views are
 * modelled by an OPEN that can reach any agent, so they are not processes here; a
 * request goes to the agent that issued its token. A message can arrive at any
 * time after it was sent, any number of times or never, which covers loss,
 * duplication, reordering and pauses.
 *
 * Variants, each with one rule removed:
 *   NO_INCARNATION          the token lacks the incarnation
 *   OLD_TOKEN_NOT_RUN       the reply to a token of another incarnation is "not run"
 *   FORGOTTEN_NOT_RUN       the reply to an evicted token of the same incarnation is "not run"
 *   NO_DUPLICATE_CHECK      a request with a duplicate token runs again
 *   SECOND_OFFER            a caller without a response uses another offer
 *   RUN_AFTER_EXPIRY        a token refused as expired can still be queued
 *   REACH                   its counterexample shows that a run after a refusal by another agent is reachable
 */
#define AGENTS 3
#define INCARNATIONS 2
#define TOKENS 6
#define ATTEMPTS 2

#ifdef NO_INCARNATION
#define TOKEN(a, n) ((a) * 2)
#define CURRENT(t) true
#else
#define TOKEN(a, n) ((a) * 2 + (n))
#define CURRENT(t) (((t) % 2) == incarnation[(t) / 2])
#endif
#define BIT(t) (1 << (t))
#define HAS(set, t) ((set) & BIT(t))

/* State of a token at its agent. */
#define NONE 0
#define OFFERED 1
#define QUEUED 2
#define ANSWERED 3   /* ran, response retained */
#define WITHDRAWN 4  /* expired, cancelled or past its deadline before it ran */
#define FINISHED 5   /* ran, response evicted early */

/* State of the caller. */
#define CHOOSING 0
#define WAITING 1
#define REPORTED_NOT_RUN 2
#define REPORTED_UNKNOWN 3
#define REPORTED_DONE 4

byte incarnation[AGENTS];
bool offered[AGENTS];
byte tokenState[TOKENS];

/* Sent messages, as sets of tokens. */
short offers, requests, notRun, unknown, done;

byte caller = CHOOSING;
byte chosen;
byte attempts;

/* History of the request, used only by the assertions. */
byte runs;
short ran;

inline answerNotRun(t) {
  assert(!HAS(ran, t));
  notRun = notRun | BIT(t)
}

inline execute(t) {
  tokenState[t] = ANSWERED;
  runs++;
  ran = ran | BIT(t);
  assert(runs <= 1);
  assert(!HAS(notRun, t));
  assert(caller != REPORTED_NOT_RUN)
#ifdef REACH
  ;
  assert(attempts < 2)
#endif
}

inline receiveRequest(t) {
  if
  :: !CURRENT(t) ->
#ifdef OLD_TOKEN_NOT_RUN
    answerNotRun(t)
#else
    unknown = unknown | BIT(t)
#endif
  :: CURRENT(t) && tokenState[t] == OFFERED -> tokenState[t] = QUEUED
  :: CURRENT(t) && tokenState[t] == QUEUED -> skip
  :: CURRENT(t) && tokenState[t] == ANSWERED ->
#ifdef NO_DUPLICATE_CHECK
    tokenState[t] = QUEUED
#else
    done = done | BIT(t)
#endif
  :: CURRENT(t) && tokenState[t] == WITHDRAWN ->
    answerNotRun(t)
#ifdef RUN_AFTER_EXPIRY
    ;
    tokenState[t] = QUEUED
#endif
  :: CURRENT(t) && tokenState[t] == FINISHED -> unknown = unknown | BIT(t)
  :: CURRENT(t) && tokenState[t] == NONE ->
#ifdef FORGOTTEN_NOT_RUN
    answerNotRun(t)
#else
    unknown = unknown | BIT(t)
#endif
  fi
}

inline restart(a) {
  incarnation[a]++;
  offered[a] = false;
  tokenState[a * 2] = NONE;
  tokenState[a * 2 + 1] = NONE
}

active [AGENTS] proctype Agent() {
  byte t;
  end: do
  :: d_step { !offered[_pid] ->
      t = TOKEN(_pid, incarnation[_pid]);
      offered[_pid] = true;
      tokenState[t] = OFFERED;
      offers = offers | BIT(t);
      t = 0 }
  :: atomic {
      if
      :: t = _pid * 2
#ifndef NO_INCARNATION
      :: t = _pid * 2 + 1
#endif
      fi;
      if
      :: HAS(requests, t) -> receiveRequest(t)
      :: tokenState[t] == QUEUED -> execute(t)
      /* The offer expires, or the queued request is cancelled or misses its deadline. */
      :: tokenState[t] == OFFERED || tokenState[t] == QUEUED -> tokenState[t] = WITHDRAWN
      :: tokenState[t] == ANSWERED -> tokenState[t] = FINISHED
      /* Retention ends. */
      :: tokenState[t] >= ANSWERED -> tokenState[t] = NONE
      :: else
      fi;
      t = 0 }
  :: d_step { incarnation[_pid] < INCARNATIONS - 1 -> restart(_pid) }
  od
}

active proctype Caller() {
  byte t;
  end: do
  :: atomic { caller == CHOOSING && attempts < ATTEMPTS ->
      t = 0;
      do
      :: t < TOKENS - 1 -> t++
      :: break
      od;
      if
      :: HAS(offers, t) && !HAS(requests, t) ->
        chosen = t;
        requests = requests | BIT(t);
        attempts++;
        caller = WAITING
      :: else
      fi;
      t = 0 }
  /* No request sent with a token can run any more. */
  :: d_step { caller == CHOOSING -> assert(runs == 0); caller = REPORTED_NOT_RUN }
  :: d_step { caller == WAITING && HAS(notRun, chosen) -> caller = CHOOSING }
  :: d_step { caller == WAITING && HAS(done, chosen) -> assert(runs == 1); caller = REPORTED_DONE }
  :: d_step { caller == WAITING && HAS(unknown, chosen) -> caller = REPORTED_UNKNOWN }
  /* The deadline passes without a response. */
  :: d_step { caller == WAITING -> caller = REPORTED_UNKNOWN }
#ifdef SECOND_OFFER
  :: d_step { caller == WAITING -> caller = CHOOSING }
#endif
  od
}
