/* When a leader may decide. A leader starts one task, on worker 0 or, once the leases there have
   expired, on worker 1. Another VM claims the leadership meanwhile. Links may be cut at any time;
   requests may be late or lost. Ages and leases are in clock ticks. Worker 0 may restart before
   the claim, with an entry in the store that says so.

   Each macro disables the safeguard given beside it:
   NO_AGE       evidence counts from when the request for it was sent
   NO_EVERY     the word of every member is needed, not of some
   NO_MEMBER    a claimant that is not a member waits as long as words may be enough
   NO_BLIND     words are enough for a limited time since the last evidence of the store
   NO_TERM      a successor waits for the term of the earlier leader, too
   NO_LATER     leases count as expired only by an answer of the store from after their end
   NO_STORE     the same, and words do not count for it
   NO_LONG      a successor waits for the longest lease where a worker has restarted */

#define LEASE 2       /* lease that a leader grants */
#define LONG 3        /* lease that a restarted worker takes from a deadline on its earlier clock */
#define TERM 2        /* time for which a leader decides by one piece of evidence */
#define BLIND 3       /* time since the last evidence of the store for which words are enough */
#define OLD 3         /* an age beyond all of these */

/* Workers: ticks left of the lease of the run, 0 without a run; the highest fencing token. */
byte lease[2];
byte token[2];
bool cut_old;         /* worker 0 is not reached by the leader */
bool cut_new[2];      /* not reached by the successor */
bool restarted;

/* The leader. */
bool placed, moved;   /* it has started the task on worker 0, on worker 1 */
byte granted;         /* ticks until the leases that it granted on worker 0 have expired */
byte since_end;       /* ticks since then */
byte store_age;       /* age of its newest evidence of the store, and of the successor's word */
byte word_age;

/* A request to the store and one to the VM that claims: 0 none, 1 sent, 2 answered. */
byte ask, ask_age;
byte query, query_age;

/* The successor. */
bool member;          /* the leader needs its word */
bool claimed, leading;
byte wait, long_wait; /* ticks until all leases of the leader have expired */
bool synced[2];
byte on;              /* 1 + the worker on which it has found the run */
byte renewed;         /* ticks until the leases that it granted have expired */
bool begun;

#define DOWN(x) if :: x > 0 -> x-- :: else fi
#define UP(x) if :: x < OLD -> x++ :: else fi

#ifdef NO_EVERY
#define HEARD 0
#else
#define HEARD (member -> word_age : 0)
#endif
#ifdef NO_BLIND
#define IN_TOUCH true
#else
#define IN_TOUCH (store_age < BLIND)
#endif
/* Whether there is evidence of at most this age. */
#define EVIDENCE(age) (store_age <= age || (HEARD <= age && IN_TOUCH))
#define MAY EVIDENCE(TERM - 1)
#if defined(NO_LATER)
#define GONE (granted == 0)
#elif defined(NO_STORE)
#define GONE (granted == 0 && EVIDENCE(since_end))
#else
#define GONE (granted == 0 && store_age <= since_end)
#endif
#ifdef NO_AGE
#define AGE(x) 0
#else
#define AGE(x) x
#endif
#ifdef NO_MEMBER
#define SPAN TERM
#else
#define SPAN (member -> TERM : BLIND)
#endif
#ifdef NO_TERM
#define WAIT LEASE
#define LONG_WAIT LONG
#else
/* The last decision falls into the last tick of the span. */
#define WAIT (SPAN - 1 + LEASE)
#define LONG_WAIT (SPAN - 1 + LONG)
#endif
#ifdef NO_LONG
#define LASTS false
#else
#define LASTS (restarted && long_wait > 0)
#endif

active proctype environment() {
  if :: member = true :: member = false fi;
  do
  :: d_step { true ->
       DOWN(lease[0]); DOWN(lease[1]); DOWN(renewed); DOWN(wait); DOWN(long_wait);
       UP(store_age); UP(word_age); UP(ask_age); UP(query_age);
       if :: granted == 0 -> UP(since_end) :: else fi;
       DOWN(granted) }
  :: d_step { cut_old = !cut_old }
  :: d_step { cut_new[0] = !cut_new[0] }
  :: d_step { cut_new[1] = !cut_new[1] }
  :: d_step { !restarted && !claimed && !placed -> restarted = true; token[0] = 0 }
  od
}

#define STARTS(w) (token[w] < 2)

active proctype leader() {
  do
  :: d_step { ask == 0 -> ask = 1; ask_age = 0 }
  :: d_step { ask == 1 && !claimed -> ask = 2 }
  :: d_step { ask == 2 -> ask = 0; if :: AGE(ask_age) < store_age -> store_age = AGE(ask_age) :: else fi }
  :: d_step { ask > 0 -> ask = 0 }
  :: d_step { query == 0 -> query = 1; query_age = 0 }
  :: d_step { query == 1 && !leading -> query = 2 }
  :: d_step { query == 2 -> query = 0; if :: AGE(query_age) < word_age -> word_age = AGE(query_age) :: else fi }
  :: d_step { query > 0 -> query = 0 }
  :: d_step { MAY && !placed && !moved && !cut_old && STARTS(0) ->
       assert(lease[1] == 0);
       placed = true; token[0] = 1; since_end = 0;
       granted = (restarted -> LONG : LEASE); lease[0] = granted }
  :: d_step { MAY && placed && !moved && !cut_old && STARTS(0) && lease[0] > 0 && lease[0] < LEASE ->
       token[0] = 1; lease[0] = LEASE; since_end = 0;
       if :: granted < LEASE -> granted = LEASE :: else fi }
  :: d_step { MAY && placed && !moved && cut_old && GONE && STARTS(1) ->
       assert(lease[0] == 0);
       moved = true; token[1] = 1; lease[1] = LEASE }
  od
}

#define CONTACT(w) \
  :: d_step { leading && !cut_new[w] -> \
       token[w] = 2; synced[w] = true; \
       if \
       :: lease[w] > 0 && !begun && (on == 0 || on == w + 1) -> \
            on = w + 1; renewed = (restarted -> LONG : LEASE); \
            if :: lease[w] < LEASE -> lease[w] = LEASE :: else fi \
       :: lease[w] == 0 && on == w + 1 -> on = 0 \
       :: else \
       fi }

#define BEGIN(w) \
  :: d_step { leading && !begun && !cut_new[w] && synced[w] && on == 0 && SETTLED -> \
       assert(lease[1 - w] == 0); \
       begun = true; lease[w] = LEASE }

#define SETTLED ((synced[0] || (wait == 0 && !LASTS)) && (synced[1] || wait == 0))

active proctype successor() {
  do
  :: d_step { !claimed -> claimed = true }
  :: d_step { claimed && !leading ->
       leading = true; wait = WAIT; long_wait = LONG_WAIT }
  CONTACT(0)
  CONTACT(1)
  BEGIN(0)
  BEGIN(1)
  /* The run that it has found is lost with its worker. */
  :: d_step { leading && on > 0 && cut_new[on - 1] && renewed == 0 -> on = 0 }
  od
}
