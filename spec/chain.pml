/* Three leaderships in a row over two workers and one task. Each leader but the last goes on
   deciding after the next one leads, since its evidence is good for a while. A claimant knows
   what the log says and what the store's list of workers shows, from which a worker may be
   missing. Any request may be lost. Workers may restart under their identifiers, which makes them
   forget their run, their ends and the highest fencing token. The task may end `done`.

   Left out, since other models have them: orders that are carried out late (lead, token), what is
   evidence (lease), relays (relay), the longest lease of a worker whose restart a leader does not
   know (lease: leases here last LEASE in every life); stops; ends other than `done`, of which an
   acknowledgement to an earlier life stands for all. A worker that leaves is one that is not
   reached any more. The third leader may be the first one's VM: that one decides less.

   With EARLY, a new leader counts the lists of workers from its claim on, and while an earlier leader
   still decides, only a worker with the run restarts. Without, it counts those from after the end
   of the earlier leaders' decisions, and workers restart at any time.

   Each macro disables the safeguard given beside it:
   NO_CLAIM     the wait counts from the leader's own claim, not from that of the leader before it
   NO_RECORD    a worker is on record before it gets the task
   NO_RETIRE    a leader deletes the record of a worker only if it counts a list of that worker
   NO_DURABLE   an end is acknowledged once it is durable
   NO_LATER     an end is acknowledged once the earlier leaders no longer decide
   NO_LIFE      an acknowledgement holds for one life of the worker
   NO_HOLD      leases do not count as expired before the end of the leader's wait
   NO_FENCE     a worker refuses leaders before the newest that it has heard of
   NO_AFTER     lists count from the end of the earlier leaders' decisions
   NO_MEMBERS   a leader adds a member only after its own wait, not at once */

#define LEASE 1       /* lease that a leader grants */
#define TERM 1        /* time for which a leader decides after the claim of a member */
#define BLIND 2       /* the same after the claim of another VM */
#define FOREVER 7     /* nobody has claimed yet */
#ifndef RESTARTS
#define RESTARTS 2
#endif
#ifndef LEADERS
#define LEADERS 3
#endif

/* Workers: ticks left of the lease of the run, 0 without a run; 1 + the newest leader that it has
   heard of; whether it lists the end of the task. */
byte lease[2];
byte token[2];
bool ended[2];
bool stale[2];        /* an acknowledgement to an earlier life may still arrive */
byte restarts = RESTARTS;
bool acknowledged;

/* The log. */
bool stored;          /* the task is done */
bool recorded[2];
bool member[2];       /* the second, the third leader's VM is a member, as the log says */
bool first_member;    /* the third leader's VM is a member by the first leader's record */

byte led = 1;         /* leaderships so far */
byte left[3];         /* ticks for which the leader decides */
byte wait[3];         /* ticks until the leases of the earlier leaders have expired */
byte on[3];           /* 1 + the worker with the run, as the leader believes */
byte granted[3];      /* ticks until the leases that it granted there have expired */
byte done[3];         /* 1 it has seen the end, 2 which is durable */
bool settled[3];
/* By leader and worker. */
bool known[6];        /* it is in the leader's table */
bool synced[6];       /* it has listed its runs */
bool counts[6];       /* by a list that counts for settling */
bool has_record[6];   /* its record is durable, as the leader believes */

#define AT(l, w) (2 * l + w)
#define DOWN(x) if :: x > 0 -> x-- :: else fi
#define LEADS(l) (led == l + 1)
#define DECIDES(l) (left[l] > 0)

#ifdef NO_FENCE
#define OBEYS(l, w) true
#define RAISE(l, w) skip
#else
#define OBEYS(l, w) (token[w] <= l + 1)
#define RAISE(l, w) token[w] = l + 1
#endif
/* The earlier leaders no longer decide. */
#define ENDED(l) (wait[l] <= LEASE)
#if defined(EARLY) || defined(NO_AFTER)
#define COUNTS(l) true
#else
#define COUNTS(l) ENDED(l)
#endif
#ifdef EARLY
#define MAY_RESTART(w) (lease[w] > 0 || (left[0] % FOREVER == 0 && left[1] % FOREVER == 0))
#else
#define MAY_RESTART(w) true
#endif
#ifdef NO_HOLD
#define HELD(l) false
#else
#define HELD(l) (wait[l] > 0)
#endif
#if defined(NO_DURABLE)
#define MAY_ACKNOWLEDGE(l) (done[l] > 0 && ENDED(l))
#elif defined(NO_LATER)
#define MAY_ACKNOWLEDGE(l) (done[l] == 2)
#else
#define MAY_ACKNOWLEDGE(l) (done[l] == 2 && ENDED(l))
#endif
#ifdef NO_RETIRE
#define MAY_RETIRE(l, w) true
#else
#define MAY_RETIRE(l, w) counts[AT(l, w)]
#endif
#ifdef NO_RECORD
#define ON_RECORD(l, w) true
#else
#define ON_RECORD(l, w) (l == 2 || has_record[AT(l, w)])
#endif
#ifdef NO_MEMBERS
#define MAY_ADD true
#else
#define MAY_ADD (wait[1] == 0)
#endif
#ifdef NO_CLAIM
#define WAIT(l) (l == 1 -> SPAN(l) + LEASE : wait[1])
#else
#define WAIT(l) (SPAN(l) + LEASE)
#endif
#define SPAN(l) (member[l - 1] -> TERM : BLIND)

#define ALL_COUNT(l) ((!known[AT(l, 0)] || counts[AT(l, 0)]) && (!known[AT(l, 1)] || counts[AT(l, 1)]) \
  && (known[AT(l, 0)] || known[AT(l, 1)]))

/* What a leader that no longer decides believes makes no difference. */
#define RETIRED(l) \
  left[l] = 0; wait[l] = 0; on[l] = 0; granted[l] = 0; done[l] = 0; settled[l] = false; \
  known[AT(l, 0)] = false; known[AT(l, 1)] = false; synced[AT(l, 0)] = false; synced[AT(l, 1)] = false; \
  counts[AT(l, 0)] = false; counts[AT(l, 1)] = false; \
  has_record[AT(l, 0)] = false; has_record[AT(l, 1)] = false

#define ELAPSE(l) \
  DOWN(wait[l]); DOWN(granted[l]); \
  if :: left[l] > 0 && left[l] < FOREVER -> left[l]--; if :: left[l] == 0 -> RETIRED(l) :: else fi \
  :: else fi

#define WORKER(w) \
  :: d_step { lease[w] > 0 -> lease[w] = 0; ended[w] = true } \
  :: d_step { restarts > 0 && MAY_RESTART(w) -> \
       restarts--; lease[w] = 0; token[w] = 0; ended[w] = false; LATE_ACKNOWLEDGEMENT(w) } \
  :: d_step { stale[w] && ended[w] -> ended[w] = false; acknowledged = true }
#ifdef NO_LIFE
#define LATE_ACKNOWLEDGEMENT(w) stale[w] = true
#else
#define LATE_ACKNOWLEDGEMENT(w) skip
#endif

/* The worker answers a request; the leader renews its lease, adopts the run or stops it. */
#define CONTACT(l, w) \
  :: d_step { DECIDES(l) && known[AT(l, w)] && OBEYS(l, w) -> \
       RAISE(l, w); synced[AT(l, w)] = true; \
       if :: COUNTS(l) -> counts[AT(l, w)] = true :: else fi; \
       if :: ended[w] && done[l] == 0 -> done[l] = 1 :: else fi; \
       if \
       :: lease[w] > 0 && done[l] == 0 && (on[l] == 0 || on[l] == w + 1) -> \
            on[l] = w + 1; lease[w] = LEASE; granted[l] = LEASE \
       :: lease[w] > 0 && !(done[l] == 0 && (on[l] == 0 || on[l] == w + 1)) -> lease[w] = 0 \
       :: lease[w] == 0 && on[l] == w + 1 -> on[l] = 0; granted[l] = 0 \
       :: else \
       fi } \
  :: d_step { DECIDES(l) && known[AT(l, w)] && !OBEYS(l, w) -> RETIRED(l) } \
  :: d_step { known[AT(l, w)] && OBEYS(l, w) && synced[AT(l, w)] && ended[w] && MAY_ACKNOWLEDGE(l) -> \
       RAISE(l, w); ended[w] = false; acknowledged = true } \
  :: d_step { DECIDES(l) && settled[l] && ON_RECORD(l, w) && known[AT(l, w)] && synced[AT(l, w)] \
       && on[l] == 0 && done[l] == 0 && OBEYS(l, w) && lease[w] == 0 -> \
       assert(lease[1 - w] == 0); \
       assert(!acknowledged); \
       RAISE(l, w); on[l] = w + 1; lease[w] = LEASE; granted[l] = LEASE } \
  :: d_step { LEADS(l) && on[l] == w + 1 && granted[l] == 0 && !HELD(l) -> \
       on[l] = 0; synced[AT(l, w)] = false } \
  :: d_step { LEADS(l) && !known[AT(l, w)] -> known[AT(l, w)] = true }

/* The record of a worker is written, and deleted where the worker leaves or the store's list lacks
   it. */
#define RECORD(l, w) \
  :: d_step { LEADS(l) && known[AT(l, w)] && !has_record[AT(l, w)] -> \
       has_record[AT(l, w)] = true; recorded[w] = true } \
  :: d_step { LEADS(l) && has_record[AT(l, w)] && on[l] != w + 1 && MAY_RETIRE(l, w) -> \
       has_record[AT(l, w)] = false; recorded[w] = false } \
  :: d_step { LEADS(l) && has_record[AT(l, w)] && on[l] != w + 1 && settled[l] && MAY_RETIRE(l, w) -> \
       has_record[AT(l, w)] = false; recorded[w] = false; known[AT(l, w)] = false; \
       synced[AT(l, w)] = false; counts[AT(l, w)] = false }

#define LEADER(l) \
  :: d_step { LEADS(l) && done[l] == 1 -> done[l] = 2; stored = true } \
  :: d_step { DECIDES(l) && !settled[l] && (ALL_COUNT(l) || wait[l] == 0) -> settled[l] = true }

/* The store's list shows none, one or both of the workers. */
#define CLAIM(l, a, b) \
  :: d_step { led == l && l < LEADERS -> \
       left[l] = FOREVER; wait[l] = WAIT(l); \
       known[AT(l, 0)] = recorded[0] || a; known[AT(l, 1)] = recorded[1] || b; \
       if :: l < 2 -> has_record[AT(l, 0)] = recorded[0]; has_record[AT(l, 1)] = recorded[1] :: else fi; \
       done[l] = (stored -> 2 : 0); \
       if :: left[l - 1] == FOREVER -> left[l - 1] = SPAN(l) :: else fi; \
       if :: l == 2 && first_member && left[0] > TERM -> left[0] = TERM :: else fi; \
       led = l + 1 }
#define CLAIMS(l) CLAIM(l, false, false) CLAIM(l, true, false) CLAIM(l, false, true) CLAIM(l, true, true)

init {
  d_step {
    left[0] = FOREVER; settled[0] = true;
    known[0] = true; known[1] = true; synced[0] = true; synced[1] = true;
    counts[0] = true; counts[1] = true;
    has_record[0] = true; has_record[1] = true; recorded[0] = true; recorded[1] = true
  }
  if :: member[0] = true :: skip fi;
  if :: first_member = true; member[1] = true :: skip fi;
  do
  :: d_step { true -> DOWN(lease[0]); DOWN(lease[1]); ELAPSE(0); ELAPSE(1); ELAPSE(2) }
  WORKER(0)
  WORKER(1)
  CONTACT(0, 0)
  CONTACT(0, 1)
  CONTACT(1, 0)
  CONTACT(1, 1)
  CONTACT(2, 0)
  CONTACT(2, 1)
  RECORD(0, 0)
  RECORD(0, 1)
  RECORD(1, 0)
  RECORD(1, 1)
  LEADER(0)
  LEADER(1)
  LEADER(2)
  CLAIMS(1)
  CLAIMS(2)
  :: d_step { LEADS(1) && !member[1] && MAY_ADD -> member[1] = true }
  od
}
