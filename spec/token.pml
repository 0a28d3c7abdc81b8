/* Starts that are carried out late, in the present or a later life of a worker. A leader has sent
   two starts of one task to worker 0: an earlier leader's, of which it knows nothing, and its own,
   which is in doubt. It stops its own and starts the task on worker 1. Each start may be
   carried out at any time, once. Worker 0 may restart, which makes it forget its run, its stops
   and the highest token; the leader may learn of it at any later time. Runs on worker 0 may end.

   The fencing token of a request is the epoch and a count that the leader raises for the worker
   when a request is in doubt. What is claimed: no start of before takes effect in a life of the
   worker that has answered a request under the raised token. Not claimed, and violated: none takes
   effect beside the run on worker 1; a life that nobody has contacted yet takes it.

   Left out: leases, lists of runs that end by themselves, several leaders at once (lead, chain).

   NO_RAISE     the count is raised when a request is in doubt; without, the leader stops its own
                start again once it learns of a restart
   CLAIM_ALL    claims what is not claimed */

#ifndef RESTARTS
#define RESTARTS 3
#endif

/* Tokens: 0 none, 1 the earlier leader's, 2 the leader's, 3 with the count raised. */
#define EARLIER 1
#define OWN 2
#ifdef NO_RAISE
#define NOW OWN
#else
#define NOW (doubt -> OWN + 1 : OWN)
#endif

/* Worker 0. */
byte token;
bool running, barred;  /* the run; the leader's own start is stopped */
bool answered;         /* this life has answered a request sent since the doubt */
byte restarts = RESTARTS;

bool pending[2];       /* the earlier leader's start, the leader's own: not carried out yet */

/* The leader. */
bool sent, doubt, unknown;  /* unknown: it has not learned of the last restart */
bool stopped;               /* the present life, as the leader knows it, has confirmed the stop */
bool moved;                 /* the task runs on worker 1 */

#ifdef CLAIM_ALL
#define CHECK assert(!moved)
#else
#define CHECK assert(!answered)
#endif

#define LATE(i, t, refused) \
  :: d_step { pending[i] && token <= t && !refused && !running -> \
       CHECK; pending[i] = false; token = t; running = true } \
  :: d_step { pending[i] -> pending[i] = false }

active proctype world() {
  pending[0] = true;
  do
  LATE(0, EARLIER, false)
  LATE(1, OWN, barred)
  :: d_step { running -> running = false }
  :: d_step { restarts > 0 ->
       restarts--; token = 0; running = false; barred = false; answered = false; unknown = true }
  /* The leader's own start, without a reply. */
  :: d_step { !sent -> sent = true; pending[1] = true }
  :: d_step { sent && !doubt -> doubt = true }
  /* A poll. Its reply tells of a restart, after which the stop is sent again. */
  :: d_step { token <= NOW ->
       token = NOW; answered = doubt;
       if :: unknown -> unknown = false; stopped = false :: else fi }
  /* The stop, which is sent where the leader believes that it is needed. */
  :: d_step { doubt && !stopped && token <= NOW ->
       token = NOW; answered = true; barred = true; running = false; stopped = true }
  :: d_step { doubt && stopped && !running && !moved -> moved = true }
  od
}
