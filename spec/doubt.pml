/* A start without a reply, which may still be carried out once, in the present incarnation of worker 0 or
   in a later one, until it is too old to arrive. The leader raises the token, sends the run again to
   worker 0 after a list without it, and keeps the task there: on worker 1 it starts only once the first start
   is too old. Ends are durable when listed, and acknowledged only then, too. Worker 0 may crash, which
   loses its run, its ends and its token. A successor may take over; it knows of the start in doubt
   by the worker's record.

   What is claimed: the first start begins no second run beside another one, and none after an end
   that was acknowledged before or is later.

   Left out: leases, starts of earlier leaders (token, chain), a leader that is lost before the doubt is on
   record.

   NO_BIND      the task may start on worker 1 once worker 0 has listed that it does not run
   NO_HOLD      ends are acknowledged once they are durable
   NO_RECORD    the successor does not know of the start in doubt */

#ifndef CRASHES
#define CRASHES 2
#endif
/* The token of the first start, and the raised one. */
#define FIRST 1
#define NOW 2

/* Worker 0. An end is 0: none, 1: listed or to be listed, 2: acknowledged. */
byte token, end0;
bool running0, closed0;    /* closed0: the number of the run has ended in this incarnation */
bool again0;               /* the late start began after that end */
byte crashes = CRASHES;
/* Worker 1. */
bool running1, again1;
byte end1;

bool pending = true;       /* the first start may still arrive */
/* The leader. */
bool doubt = true;         /* it knows that the first start may arrive */
bool done;                 /* the task is durable as done */
bool idle;                 /* worker 0 has listed, since its last restart, that the task does not run */
bool noted;

#ifdef NO_BIND
#define MAY_MOVE true
#else
#define MAY_MOVE !doubt
#endif
#ifdef NO_HOLD
#define MAY_ACK true
#else
#define MAY_ACK !doubt
#endif

active proctype world() {
  do
  /* The first start is carried out. */
  :: d_step { pending && token <= FIRST && !running0 && !closed0 ->
       assert(!running1 && !noted);
       pending = false; token = FIRST; running0 = true; idle = false;
       again0 = again0 || end0 == 1; again1 = again1 || end1 == 1 }
  :: d_step { pending && (token > FIRST || running0 || closed0) -> pending = false }
  /* It is too old; the leader waits longer than that. */
  :: d_step { pending -> pending = false }
  :: d_step { !pending && doubt -> doubt = false }
  /* Worker 0. */
  :: d_step { running0 -> running0 = false; closed0 = true; end0 = 1 }
  :: d_step { crashes > 0 ->
       crashes--; token = 0; running0 = false; closed0 = false; end0 = 0; again0 = false; idle = false }
  :: d_step { running1 -> running1 = false; end1 = 1 }
  /* A poll of worker 0, with its list. */
  :: d_step { token <= NOW -> token = NOW; idle = !running0; done = done || end0 >= 1 }
  :: d_step { end1 >= 1 -> done = true }
  /* The run is sent again to worker 0, or another one is started there. */
  :: d_step { idle && !done && end0 == 0 && !running0 && !running1 && end1 == 0 && token <= NOW ->
       assert(!noted);
       token = NOW; running0 = true; idle = false }
  :: d_step { idle && !done && !running0 && !running1 && end1 == 0 && MAY_MOVE ->
       assert(!noted);
       running1 = true }
  /* Acknowledgements. */
  :: d_step { done && end0 == 1 && MAY_ACK && token <= NOW ->
       assert(!again0);
       token = NOW; end0 = 2; noted = true }
  :: d_step { done && end1 == 1 && MAY_ACK ->
       assert(!again1);
       end1 = 2; noted = true }
#ifdef NO_RECORD
  /* A successor takes over. */
  :: d_step { doubt -> doubt = false }
#endif
  od
}
