/*
 * Ownership of one cell by three entry VMs, with starts, takeover, eviction and
 * resumption of its tasks.
 *
 * Time is abstract: a lease, a deadline or a takeover interval ends by an event
 * that can occur at any moment, in every order that the clocks allow. A frozen VM
 * takes no step for a while; its messages stay in flight. Messages can be lost,
 * delayed and duplicated. An append can take effect long after the sender has
 * stopped waiting for its reply.
 *
 * Each NO_... macro disables one safeguard.
 */
#ifndef EPOCHS
#define EPOCHS 3
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef TASKS
#define TASKS 1
#endif
#ifndef WORKERS
#define WORKERS 2
#endif
#ifndef TOGGLES
#define TOGGLES 2
#endif
#define VMS 3
#define NONE 7

/* Roles */
#define IDLE 0
#define BACKUP 1
#define PRIMARY 2
#define RESIGNED 3

/* Phases of a task in the table of a VM */
#define QUEUED 0
#define ASSIGNED 1
#define RUNNING 2
#define STOPPING 3
#define DONE 4
#define UNLOCATED 5

/* Messages in flight: STALE once their deadline or lease has expired */
#define EMPTY 0
#define FRESH 1
#define STALE 2
#define DECIDED 3	/* start decided but not sent yet */

/* The log: owner and backup (guard) of each epoch, and claims whose append is delayed. */
byte epoch = 1;
byte owner[EPOCHS + 2];
byte guard[EPOCHS + 2];
#ifdef LOG_DOWN
bit logup = 0;
#else
bit logup = 1;
#endif
byte toggles = 0;
byte delayed_epoch[VMS];
byte delayed_guard[VMS];

/* Entry VMs */
byte role[VMS];
byte known[VMS];
bit lease[VMS];
bit lease_counted[VMS];	/* the primary's lease is running by the backup's clock */
bit takeover_window[VMS];	/* a backup may take over while the log is down */
bit echo[VMS];		/* the primary's latest lease grant is recent enough to echo */
bit synced[VMS];
bit claimed[VMS];
bit solo[VMS];
bit resign_received[VMS];	/* the backup knows that the primary has resigned */
bit settled[VMS];
bit dead[VMS];
bit known_dead[VMS];
bit acked[VMS];		/* the backup has acknowledged every change */
bit listed[VMS * WORKERS];
byte phase[VMS * TASKS];
byte attempt[VMS * TASKS];
byte place[VMS * TASKS];

/* One replication message and one reply in flight for each sender */
byte sync[VMS];
byte sync_epoch[VMS];
bit sync_echo[VMS];
bit sync_resign[VMS];
bit sync_changed[VMS];
byte sync_phase[VMS * TASKS];
byte sync_attempt[VMS * TASKS];
byte sync_place[VMS * TASKS];
byte reply[VMS];
byte reply_epoch[VMS];

/* One start in flight for each sender */
byte start[VMS];
byte start_task[VMS];
byte start_attempt[VMS];
byte start_worker[VMS];

/* Workers: the running attempt of each task, and the attempts that have arrived */
byte runs[WORKERS * TASKS];
bit seen[WORKERS * TASKS * (ATTEMPTS + 1)];
bit finished[WORKERS * TASKS];
byte next_attempt[TASKS];
byte starts[TASKS * (ATTEMPTS + 1)];
bit ended[TASKS];

#define T(i, t) ((i) * TASKS + (t))
#define W(w, t) ((w) * TASKS + (t))
#define SEEN(w, t, a) (((w) * TASKS + (t)) * (ATTEMPTS + 1) + (a))
#define RECORD_OWNER(i) owner[known[i]]
#define RECORD_GUARD(i) guard[known[i]]
#define ALONE(i) (RECORD_GUARD(i) == NONE || solo[i])
#ifdef NO_LEASE
#define AUTHORITY(i) (role[i] == PRIMARY)
#else
#define AUTHORITY(i) (role[i] == PRIMARY && (ALONE(i) || lease[i]))
#endif
#define DECIDES(i) (AUTHORITY(i) && settled[i])
#ifdef NO_INTENT
#define REPLICATED(i) 1
#else
#define REPLICATED(i) (acked[i] || ALONE(i))
#endif

#ifdef NO_COPY
#define HAS_COPY(i) 1
#else
#define HAS_COPY(i) synced[i]
#endif
#ifdef NO_FENCE
#define MAY_GRANT(i) 1
#else
#define MAY_GRANT(i) (!claimed[i])
#endif
#ifdef NO_DEADLINE
#define STARTS_VOID(i) 1
#define DELIVERABLE(i) (start[i] == FRESH || start[i] == STALE)
#define EXPIRE_START(i) start[i] = STALE
#else
#define STARTS_VOID(i) (start[0] != FRESH && start[1] != FRESH && start[2] != FRESH)
#define DELIVERABLE(i) (start[i] == FRESH)
#define EXPIRE_START(i) clear_start(i)
#endif
/* Whether a backup may take over while the log is down. */
#ifdef NO_PROOF
#define MAY_TAKE_OVER(i) ((known_dead[RECORD_OWNER(i)] && takeover_window[i]) || !lease_counted[i] || resign_received[i])
#else
#ifdef NO_SOLO
#define MAY_TAKE_OVER(i) (known_dead[RECORD_OWNER(i)] || resign_received[i])
#else
#define MAY_TAKE_OVER(i) ((known_dead[RECORD_OWNER(i)] && takeover_window[i]) || resign_received[i])
#endif
#endif

inline mark_changed(i)
{
	acked[i] = 0;
	sync_changed[i] = 1
}

/* Variables that are no longer used are zeroed to reduce the number of states. */
inline clear_sync(j)
{
	sync[j] = EMPTY;
	sync_epoch[j] = 0;
	sync_echo[j] = 0;
	sync_resign[j] = 0;
	for (t : 0 .. TASKS - 1) {
		sync_phase[T(j, t)] = 0; sync_attempt[T(j, t)] = 0; sync_place[T(j, t)] = 0
	}
	t = 0
}

inline clear_start(j)
{
	start[j] = EMPTY;
	start_task[j] = 0;
	start_attempt[j] = 0;
	start_worker[j] = 0
}

inline clear_reply(j)
{
	reply[j] = EMPTY;
	reply_epoch[j] = 0
}

inline clear_table(j)
{
	for (t : 0 .. TASKS - 1) { phase[T(j, t)] = 0; attempt[T(j, t)] = 0; place[T(j, t)] = 0 }
	t = 0;
	for (w : 0 .. WORKERS - 1) { listed[(j) * WORKERS + w] = 0 }
	w = 0;
	settled[j] = 0;
	acked[j] = 0;
	sync_changed[j] = 0
}

/* Becomes primary with the table replicated from the predecessor. */
inline become_primary_with_table(i)
{
	role[i] = PRIMARY;
	settled[i] = 0;
	acked[i] = 0;
	sync_changed[i] = 1;
	for (w : 0 .. WORKERS - 1) { listed[(i) * WORKERS + w] = 0 }
	w = 0
}

/* Becomes primary without a table: a task may be running on any worker. */
inline become_primary_without_table(i)
{
	become_primary_with_table(i);
	for (t : 0 .. TASKS - 1) {
		phase[T(i, t)] = UNLOCATED; attempt[T(i, t)] = 0; place[T(i, t)] = 0
	}
	t = 0
}

inline apply_record(i)
{
	/* Applies the log record of epoch known[i]. */
	claimed[i] = 0;
	lease[i] = 0;
	echo[i] = 0;
	if
	:: RECORD_OWNER(i) == i && role[i] == PRIMARY ->
		solo[i] = 0; acked[i] = 0; sync_changed[i] = 1
	:: RECORD_OWNER(i) == i && role[i] == BACKUP && synced[i] -> solo[i] = 0; become_primary_with_table(i)
	:: RECORD_OWNER(i) == i && !(role[i] == PRIMARY) && !(role[i] == BACKUP && synced[i]) ->
		solo[i] = 0;
		become_primary_without_table(i)
	:: RECORD_OWNER(i) != i ->
		solo[i] = 0;
		clear_table(i);
		role[i] = (RECORD_GUARD(i) == i -> BACKUP : IDLE)
	fi;
	synced[i] = 0;
	lease_counted[i] = 0;
	takeover_window[i] = 0;
	resign_received[i] = 0
}

inline receive_sync(i, b)
{
	if
	:: guard[sync_epoch[b]] == i && owner[sync_epoch[b]] == b && sync_epoch[b] >= known[i] ->
		if
		:: sync_epoch[b] > known[i] -> known[i] = sync_epoch[b]; apply_record(i)
		:: else
		fi;
		if
		:: role[i] == BACKUP && !resign_received[i] && MAY_GRANT(i) ->
			synced[i] = 1;
			lease_counted[i] = 1;
			takeover_window[i] = sync_echo[b];
			resign_received[i] = sync_resign[b];
			for (t : 0 .. TASKS - 1) {
				phase[T(i, t)] = sync_phase[T(b, t)];
				attempt[T(i, t)] = sync_attempt[T(b, t)];
				place[T(i, t)] = sync_place[T(b, t)]
			};
			t = 0;
			reply[b] = sync[b];
			reply_epoch[b] = sync_epoch[b]
		:: else
		fi
	:: else
	fi;
	clear_sync(b)
}

inline apply_listing(i)
{
	listed[i * WORKERS + w] = 1;
	for (t : 0 .. TASKS - 1) {
		if
		:: phase[T(i, t)] == UNLOCATED && runs[W(w, t)] != 0 ->
			phase[T(i, t)] = RUNNING; place[T(i, t)] = w; attempt[T(i, t)] = runs[W(w, t)];
			mark_changed(i)
		:: phase[T(i, t)] == UNLOCATED && finished[W(w, t)] -> phase[T(i, t)] = DONE; mark_changed(i)
		:: phase[T(i, t)] >= ASSIGNED && phase[T(i, t)] <= STOPPING && place[T(i, t)] == w ->
			if
			:: runs[W(w, t)] == attempt[T(i, t)] && phase[T(i, t)] == ASSIGNED ->
				phase[T(i, t)] = RUNNING; mark_changed(i)
			:: runs[W(w, t)] != attempt[T(i, t)] && finished[W(w, t)] ->
				phase[T(i, t)] = DONE; mark_changed(i)
			/* Not on the worker, and none of its starts can arrive any more. */
			:: runs[W(w, t)] != attempt[T(i, t)] && !finished[W(w, t)] &&
			   !(start[i] == FRESH && start_task[i] == t) && (phase[T(i, t)] != ASSIGNED || acked[i] || ALONE(i)) ->
				phase[T(i, t)] = QUEUED; mark_changed(i)
			:: else
			fi
		:: else
		fi
	};
	for (t : 0 .. TASKS - 1) {
		if
		:: phase[T(i, t)] == UNLOCATED && listed[i * WORKERS] && listed[i * WORKERS + WORKERS - 1] ->
			phase[T(i, t)] = QUEUED; mark_changed(i)
		:: else
		fi
	};
	t = 0;
	w = 0
}

inline claim(i, g)
{
	/* Takes effect now, later or never; an earlier delayed claim is kept. */
	if
	:: epoch == known[i] && epoch < EPOCHS -> epoch++; owner[epoch] = i; guard[epoch] = g
	:: delayed_epoch[i] == 0 && known[i] < EPOCHS -> delayed_epoch[i] = known[i] + 1; delayed_guard[i] = g
	:: true -> skip
	fi;
	claimed[i] = 1
}

proctype Vm(byte i)
{
	byte b, t, w;
	do
	:: dead[i] -> break

	/* Reads the next record. */
	:: atomic { !dead[i] && logup && known[i] < epoch -> known[i]++; apply_record(i) }

	/* Claims */
	:: atomic { !dead[i] && logup && role[i] == IDLE && known[i] == epoch && known[i] < EPOCHS &&
		known_dead[RECORD_OWNER(i)] &&
		(RECORD_GUARD(i) == NONE || known_dead[RECORD_GUARD(i)]) && !claimed[i] ->
		claim(i, NONE) }
	:: atomic { !dead[i] && logup && role[i] == BACKUP && !claimed[i] && known[i] < EPOCHS &&
		((HAS_COPY(i) && !lease_counted[i]) || known_dead[RECORD_OWNER(i)] || resign_received[i]) ->
		claim(i, NONE) }
	:: atomic { !dead[i] && !logup && role[i] == BACKUP && synced[i] && !claimed[i] && MAY_TAKE_OVER(i) ->
		become_primary_with_table(i); solo[i] = 1; synced[i] = 0 }
	:: atomic { !dead[i] && logup && role[i] == PRIMARY && solo[i] && !claimed[i] &&
		known[i] < EPOCHS -> claim(i, NONE) }
	/* The backup is silent; the primary waits until the backup may no longer take over. */
	:: atomic { !dead[i] && logup && role[i] == PRIMARY && !ALONE(i) && !lease[i] && !claimed[i] &&
		known[i] < EPOCHS && !echo[i] && !sync_echo[i] && !takeover_window[RECORD_GUARD(i)] ->
		claim(i, NONE) }
	/* Takes a new backup. */
	:: atomic { !dead[i] && logup && role[i] == PRIMARY && RECORD_GUARD(i) == NONE && settled[i] &&
		!claimed[i] && known[i] < EPOCHS ->
		if
		:: b = (i + 1) % VMS
		:: b = (i + 2) % VMS
		fi;
		claim(i, b) }
	:: atomic { !dead[i] && logup && role[i] == RESIGNED && !claimed[i] && known[i] < EPOCHS &&
		RECORD_GUARD(i) != NONE && known_dead[RECORD_GUARD(i)] -> claim(i, NONE) }

	/* Sends the whole table and requests a lease. */
	:: atomic { !dead[i] && (role[i] == PRIMARY || role[i] == RESIGNED) && !solo[i] && !claimed[i] &&
		RECORD_GUARD(i) != NONE && sync[i] == EMPTY && (!lease[i] || !acked[i] || role[i] == RESIGNED) ->
		/* A reply to an earlier message is ignored. */
		clear_reply(i);
		sync[i] = FRESH;
		sync_epoch[i] = known[i];
		sync_echo[i] = echo[i];
		sync_resign[i] = (role[i] == RESIGNED);
		sync_changed[i] = 0;
		for (t : 0 .. TASKS - 1) {
			sync_phase[T(i, t)] = phase[T(i, t)];
			sync_attempt[T(i, t)] = attempt[T(i, t)];
			sync_place[T(i, t)] = place[T(i, t)]
		} }

	/* Receives a replication message from one of the other VMs. */
	:: atomic { !dead[i] && sync[(i + 1) % VMS] != EMPTY -> b = (i + 1) % VMS; receive_sync(i, b); b = 0 }
	:: atomic { !dead[i] && sync[(i + 2) % VMS] != EMPTY -> b = (i + 2) % VMS; receive_sync(i, b); b = 0 }

	/* Receives a reply; a reply to a renewal sent too long ago grants no lease. */
	:: atomic { !dead[i] && reply[i] != EMPTY ->
		if
		:: reply_epoch[i] == known[i] && (role[i] == PRIMARY || role[i] == RESIGNED) && !solo[i] ->
			if
			:: reply[i] == FRESH -> lease[i] = 1; echo[i] = 1
			:: else
			fi;
			acked[i] = !sync_changed[i]
		:: else
		fi;
		clear_reply(i) }

	/* Resigns. */
	:: atomic { !dead[i] && role[i] == PRIMARY && !ALONE(i) && lease[i] && acked[i] && !claimed[i] ->
		role[i] = RESIGNED }

	/* Settled once the deadline of every start in flight has passed. */
	:: atomic { !dead[i] && role[i] == PRIMARY && !settled[i] && STARTS_VOID(i) -> settled[i] = 1 }

	/* Reads the task list of a worker. */
	:: atomic { DECIDES(i) && !dead[i] -> w = 0; apply_listing(i) }
	:: atomic { DECIDES(i) && !dead[i] && WORKERS > 1 -> w = WORKERS - 1; apply_listing(i) }

	/* Decides to start a task on a worker that is free according to this table. */
	:: atomic { DECIDES(i) && !dead[i] && start[i] == EMPTY ->
		if
		:: w = 0
		:: w = WORKERS - 1
		fi;
		if
		:: t = 0
		:: t = TASKS - 1
		fi;
		if
		:: phase[T(i, t)] == QUEUED && listed[i * WORKERS + w] && next_attempt[t] < ATTEMPTS &&
		   !(phase[T(i, TASKS - 1 - t)] >= ASSIGNED && phase[T(i, TASKS - 1 - t)] <= STOPPING &&
		     place[T(i, TASKS - 1 - t)] == w && TASKS > 1) ->
			/* At most one VM decides. */
			assert(!AUTHORITY((i + 1) % VMS) && !AUTHORITY((i + 2) % VMS));
			next_attempt[t]++;
			phase[T(i, t)] = ASSIGNED; place[T(i, t)] = w; attempt[T(i, t)] = next_attempt[t];
			mark_changed(i);
			start_task[i] = t; start_worker[i] = w; start_attempt[i] = next_attempt[t];
			start[i] = DECIDED
		:: else
		fi;
		w = 0; t = 0 }

	/* Sends a start once its intent is replicated; a VM frozen here sends it later. */
	:: atomic { !dead[i] && start[i] == DECIDED && AUTHORITY(i) && REPLICATED(i) &&
		phase[T(i, start_task[i])] == ASSIGNED && attempt[T(i, start_task[i])] == start_attempt[i] ->
		start[i] = FRESH }
	:: atomic { !dead[i] && start[i] == DECIDED &&
		(role[i] != PRIMARY || phase[T(i, start_task[i])] != ASSIGNED ||
		 attempt[T(i, start_task[i])] != start_attempt[i]) -> clear_start(i) }

	/* Evicts: replicates the intent, then checkpoints and stops; the reply may be lost. */
	:: atomic { DECIDES(i) && !dead[i] && phase[T(i, 0)] == RUNNING ->
		phase[T(i, 0)] = STOPPING; mark_changed(i) }
	:: atomic { AUTHORITY(i) && !dead[i] && REPLICATED(i) && phase[T(i, 0)] == STOPPING ->
		w = place[T(i, 0)];
		if
		:: runs[W(w, 0)] == attempt[T(i, 0)] -> runs[W(w, 0)] = 0
		:: else
		fi;
		seen[SEEN(w, 0, attempt[T(i, 0)])] = 1;
		if
		:: finished[W(w, 0)] -> phase[T(i, 0)] = DONE; mark_changed(i)
		:: !finished[W(w, 0)] -> phase[T(i, 0)] = QUEUED; mark_changed(i)
		:: true
		fi;
		w = 0 }
	od
}

/* Time and network of one VM. */
proctype Net(byte i)
{
	byte g, w, t;
	do
	/* A delayed claim takes effect. */
	:: atomic { logup && delayed_epoch[i] == epoch + 1 && epoch < EPOCHS ->
		epoch++; owner[epoch] = i; guard[epoch] = delayed_guard[i]; delayed_epoch[i] = 0;
		delayed_guard[i] = 0 }
	:: atomic { delayed_epoch[i] != 0 && delayed_epoch[i] <= epoch -> delayed_epoch[i] = 0; delayed_guard[i] = 0 }

	/* A primary's lease expires, and so does every renewal in flight. */
	:: atomic { lease[i] || sync[i] == FRESH || reply[i] == FRESH ->
		lease[i] = 0;
		if
		:: sync[i] == FRESH -> sync[i] = STALE
		:: else
		fi;
		if
		:: reply[i] == FRESH -> reply[i] = STALE
		:: else
		fi }
	/* The backup counts the lease from receipt and adds a margin, so it expires there later. */
	:: atomic { lease_counted[i] && RECORD_OWNER(i) != i && reply[RECORD_OWNER(i)] != FRESH &&
		!(lease[RECORD_OWNER(i)] && known[RECORD_OWNER(i)] == known[i]) -> lease_counted[i] = 0 }
	/* The interval in which a backup may take over ends, with every echo in flight. */
	:: atomic { role[i] == PRIMARY && !lease[i] && !ALONE(i) &&
		(echo[i] || sync_echo[i] || takeover_window[RECORD_GUARD(i)]) ->
		echo[i] = 0;
		sync_echo[i] = 0;
		g = RECORD_GUARD(i);
		if
		:: known[g] == known[i] -> takeover_window[g] = 0
		:: else
		fi;
		g = 0 }

	/* The first two VMs may die; the VM list shows it later. */
	:: atomic { i < 2 && !dead[i] ->
		dead[i] = 1; role[i] = IDLE; lease[i] = 0; echo[i] = 0; lease_counted[i] = 0; takeover_window[i] = 0;
		synced[i] = 0; claimed[i] = 0; solo[i] = 0; resign_received[i] = 0; clear_table(i); clear_reply(i);
		if
		:: start[i] == DECIDED -> clear_start(i)
		:: else
		fi }
	:: atomic { dead[i] && !known_dead[i] -> known_dead[i] = 1 }

	/* Messages are lost; a start's deadline passes. */
	:: atomic { sync[i] != EMPTY -> clear_sync(i) }
	:: atomic { reply[i] != EMPTY -> clear_reply(i) }
	:: atomic { start[i] == FRESH -> EXPIRE_START(i) }
	:: atomic { start[i] == STALE -> clear_start(i) }

	/* A worker receives a start, possibly more than once. */
	:: atomic { DELIVERABLE(i) ->
		w = start_worker[i]; t = start_task[i];
		if
		:: !seen[SEEN(w, t, start_attempt[i])] ->
			seen[SEEN(w, t, start_attempt[i])] = 1;
			runs[W(w, t)] = start_attempt[i];
			starts[t * (ATTEMPTS + 1) + start_attempt[i]]++;
			/* An evicted task resumes exactly once, a finished task never. */
			assert(starts[t * (ATTEMPTS + 1) + start_attempt[i]] == 1);
			assert(!ended[t]);
			/* A task never runs on two workers. */
			assert(WORKERS == 1 || runs[W(0, t)] == 0 || runs[W(WORKERS - 1, t)] == 0);
			/* A worker has room for one task. */
			assert(TASKS == 1 || runs[W(w, 0)] == 0 || runs[W(w, TASKS - 1)] == 0)
		:: else
		fi;
		w = 0; t = 0;
		if
		:: clear_start(i)
		:: true
		fi }
	od
}

/* Log outages and task completions. */
proctype Environment()
{
	do
	:: atomic { toggles < TOGGLES -> logup = !logup; toggles++ }
	:: atomic { runs[W(0, 0)] != 0 -> runs[W(0, 0)] = 0; finished[W(0, 0)] = 1; ended[0] = 1 }
	:: atomic { WORKERS > 1 && runs[W(WORKERS - 1, 0)] != 0 ->
		runs[W(WORKERS - 1, 0)] = 0; finished[W(WORKERS - 1, 0)] = 1; ended[0] = 1 }
	od
}

init
{
	atomic {
		owner[1] = 0;
#ifdef START_ALONE
		guard[1] = NONE;
		acked[0] = 1;
#else
		guard[1] = 1;
		role[1] = BACKUP;
#endif
		known[0] = 1; known[1] = 1; known[2] = 1;
		role[0] = PRIMARY;
		settled[0] = 1;
		run Vm(0);
		run Vm(1);
		run Vm(2);
		run Net(0);
		run Net(1);
		run Net(2);
		run Environment()
	}
}
