/* One task, two workers, and two leaders that may both believe that they lead. Start
   commands may be carried out late or never, replies may be lost, and workers may be
   partitioned until their leases have expired.

   Each macro disables the safeguard given beside it:
   NO_EPOCH    a claim takes a new epoch
   NO_FENCE    listing a worker raises its fencing token
   NO_SETTLE   an inherited task starts only after every worker has listed its runs or
               its leases have expired
   NO_STOP     a start without a reply is stopped before the task starts again
   NO_DURABLE  a completion is durable before it is acknowledged
   NO_LAPSE    a silent worker counts as gone only once its leases have expired
   NO_SOLO     a leader that others no longer follow decides nothing when leases expire;
               leases expire later than it learns that it is no longer followed */

#define WORKERS 2
#define LEADERS 2
#define COMMANDS 2
#define RUNS 3

byte owner;                 /* latest epoch in the store */
bool stored;                /* the completion of the task is durable */
bool noted;                 /* the completion was acknowledged, so the worker may forget it */

byte token[WORKERS];
byte active_run[WORKERS];   /* number of the run on the worker, 0 for none */
byte barred[WORKERS];       /* runs up to this number are refused */
bool ended[WORKERS];        /* lists the completion of the task */
bool cut[WORKERS];
bool lapsed[WORKERS];       /* its leases have expired while it was partitioned */

bool sent[COMMANDS];        /* a start command is in flight */
byte to[COMMANDS];
byte by[COMMANDS];          /* epoch of the sender */
byte num[COMMANDS];         /* number of the run */

byte last_run_number;       /* number of the latest run */

#define ACCEPTS(o) (token[to[o]] <= by[o] && num[o] > barred[to[o]] && !lapsed[to[o]] && active_run[to[o]] == 0)

#define COMMAND(o) \
  :: atomic { sent[o] && ACCEPTS(o) -> \
       token[to[o]] = by[o]; \
       assert(active_run[1 - to[o]] == 0); \
       assert(!noted); \
       active_run[to[o]] = num[o]; sent[o] = false } \
  :: atomic { sent[o] -> sent[o] = false }

#define WORKER(w) \
  :: atomic { active_run[w] != 0 -> barred[w] = active_run[w]; active_run[w] = 0; ended[w] = true } \
  :: atomic { !cut[w] -> cut[w] = true } \
  :: atomic { cut[w] && !lapsed[w] -> lapsed[w] = true; active_run[w] = 0 }

active proctype environment() {
  do
  COMMAND(0)
  COMMAND(1)
  WORKER(0)
  WORKER(1)
  od
}

#define IDLE 0
#define START_SENT 1
#define IN_DOUBT 2

#ifdef NO_EPOCH
#define NEW_EPOCH 1
#else
#define NEW_EPOCH (owner + 1)
#endif
#ifdef NO_FENCE
#define RAISE(w)
#else
#define RAISE(w) token[w] = epoch;
#endif
#ifdef NO_DURABLE
#define ACKNOWLEDGE_EARLY(w) ended[w] = false; noted = true;
#else
#define ACKNOWLEDGE_EARLY(w)
#endif
#ifdef NO_SETTLE
#define SETTLED true
#else
#define SETTLED ((synced[0] || lapsed[0]) && (synced[1] || lapsed[1]))
#endif
#ifdef NO_SOLO
#define FOLLOWED true
#else
#define FOLLOWED (owner == epoch)
#endif
#ifdef NO_LAPSE
#define GONE(w) (cut[w] && FOLLOWED)
#else
#define GONE(w) (lapsed[w] && FOLLOWED)
#endif
#ifdef NO_STOP
#define CONFIRMED(w) true
#define BAR(w)
#else
#define CONFIRMED(w) (!cut[w] && token[w] <= epoch)
#define BAR(w) \
       if :: last > barred[w] -> barred[w] = last :: else fi; \
       if :: active_run[w] == last -> active_run[w] = 0 :: else fi; \
       if :: ended[w] -> unstored = true :: else fi;
#endif

/* A worker lists its runs and completions; the leader adopts an inherited run. */
#define LIST(w) \
  :: atomic { lead && !cut[w] && token[w] <= epoch -> \
       RAISE(w) \
       if \
       :: active_run[w] != 0 && state == IDLE && !synced[w] -> \
            state = START_SENT; on = w; last = active_run[w] \
       :: else \
       fi; \
       synced[w] = true; \
       if \
       :: ended[w] -> \
            unstored = true; \
            if :: on == w -> state = IDLE :: else fi; \
            ACKNOWLEDGE_EARLY(w) \
       :: else \
       fi } \
  :: atomic { lead && done && ended[w] && !cut[w] && token[w] <= epoch -> \
       ended[w] = false; noted = true }

#define START(w, o) \
  :: atomic { lead && state == IDLE && !done && !unstored && SETTLED && last_run_number < RUNS \
       && !cut[w] && synced[w] && !sent[o] -> \
       last_run_number++; last = last_run_number; on = w; state = START_SENT; \
       sent[o] = true; to[o] = w; by[o] = epoch; num[o] = last }

active [LEADERS] proctype leader() {
  byte epoch, on, last;
  byte state = IDLE;
  bool synced[WORKERS];
  bool lead, done, unstored;
  do
  :: atomic { !lead && epoch == 0 && owner < LEADERS ->
       epoch = NEW_EPOCH; owner = epoch; done = stored; lead = true }
  LIST(0)
  LIST(1)
  /* The completion becomes durable if this leader still owns the log. */
  :: atomic { lead && unstored && owner == epoch ->
       stored = true; done = true; unstored = false }
  START(0, 0)
  START(1, 1)
  START(0, 1)
  START(1, 0)
  :: atomic { lead && state == START_SENT -> state = IN_DOUBT }
  /* A run in doubt is stopped, and the worker confirms it. */
  :: atomic { lead && state == IN_DOUBT && CONFIRMED(on) -> BAR(on) state = IDLE }
  /* The leases of a silent worker have expired. */
  :: atomic { lead && state != IDLE && GONE(on) -> state = IDLE }
  /* The process dies or learns that it was deposed. */
  :: atomic { lead -> lead = false }
  od
}
