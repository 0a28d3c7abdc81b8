/* One task that runs on a worker behind a relay, a leader that may lose the relay, and clock
   ticks. The leader starts the task elsewhere once the leases of the run have certainly
   expired. The relay may be paused, so that it acts on what it was told long ago.

   Each macro disables the safeguard given beside it:
   NO_EXPIRY    a permission to renew leases expires, counted from the relay's own report
   NO_WAIT      leases count from the end of the last permission when a relay is lost
   NO_GIVE_UP   a permission given up for a silent worker is not used again
   NO_SYNCED    leases are renewed only once the leader knows what runs on the worker
   NO_AGE       commands are refused once they are too old
   NO_SEQUENCE  orders are accepted once */

#define LEASE 3     /* ticks for which a lease is valid */
#define PERMIT 2    /* ticks for which a permission is valid */
#define MAX_AGE 2   /* ticks from which a command is refused */
#define TICKS 12

byte ticks;

/* The worker. */
byte lease;          /* ticks left of the run's lease; the run has ended at 0 */
bool cut;            /* does not hear the relay */

/* The relay. */
byte permit;         /* ticks left of its permission */
bool given_up;       /* has given its permission up */
bool knows_synced;   /* was told that the leader knows the worker's runs */
bool holds_order;    /* has a start command that it has not carried out */
byte order_age;
byte carried;        /* times that the command was carried out */

/* The leader. */
bool session = true;
bool synced;
bool renewing;       /* the relay may be renewing leases */
byte wait;           /* ticks until the leases have certainly expired */
bool ended;          /* has started the task elsewhere */
bool ordered;
bool cancelled;
byte since_cancel;   /* ticks since the cancellation; a command may be that old, and no older */

#define DOWN(x) if :: x > 0 -> x-- :: else fi

#ifdef NO_EXPIRY
#define EXPIRE
#else
#define EXPIRE DOWN(permit);
#endif

active proctype clock() {
  do
  :: atomic { ticks < TICKS ->
       ticks++;
       DOWN(lease);
       EXPIRE
       DOWN(wait);
       if :: holds_order && order_age < 9 -> order_age++ :: else fi;
       if :: cancelled && since_cancel < 9 -> since_cancel++ :: else fi }
  :: atomic { cut = !cut }
  od
}

#ifdef NO_GIVE_UP
#define MAY_RENEW (permit > 0)
#else
#define MAY_RENEW (permit > 0 && !given_up)
#endif
#ifdef NO_SYNCED
#define KNOWN true
#else
#define KNOWN knows_synced
#endif
#ifdef NO_AGE
#define YOUNG true
#else
#define YOUNG (order_age < MAX_AGE)
#endif
#ifdef NO_SEQUENCE
#define TAKEN holds_order
#else
#define TAKEN false
#endif

active proctype relay() {
  do
  /* Renews the lease of the run, if there is one. */
  :: atomic { MAY_RENEW && KNOWN && !cut && lease > 0 -> assert(!ended); lease = LEASE }
  /* Gives the permission up, and reports that. */
  :: atomic { session && synced && cut && permit > 0 && !given_up ->
       given_up = true; renewing = false; wait = LEASE }
  /* Carries out the command. */
  :: atomic { holds_order && YOUNG ->
       assert(since_cancel <= MAX_AGE);
       carried++; holds_order = TAKEN;
       assert(carried <= 1) }
  :: atomic { holds_order && !YOUNG -> holds_order = false }
  od
}

#ifdef NO_WAIT
#define BOUND LEASE - 1
#else
#define BOUND PERMIT + LEASE
#endif

active proctype leader() {
  /* A run that a former leader started, whose lease is valid. */
  atomic { lease = LEASE; wait = LEASE }
  do
  /* The relay reports that the worker has listed its runs, and is told so. */
  :: atomic { session && !cut && lease > 0 && permit > 0 && !ended ->
       synced = true; renewing = true; knows_synced = true; given_up = false }
  /* The relay reports and gets a permission. */
  :: atomic { session -> permit = PERMIT }
  /* The relay is silent. */
  :: atomic { session -> session = false;
       if :: synced -> wait = BOUND :: else fi; renewing = false }
  /* The leases have expired. */
  :: atomic { !ended && wait == 0 && !renewing -> assert(lease == 0); ended = true }
  :: atomic { session && !ordered && !cancelled ->
       ordered = true; holds_order = true; order_age = 0 }
  :: atomic { ordered && !cancelled -> cancelled = true }
  od
}
