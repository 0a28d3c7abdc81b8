/*
 * Ownership of one cell by three entry VMs, with its starts, takeover, evict
 * and resume.
 *
 * Time is abstract: a lease, a deadline or a window ends by an event that may
 * happen at any moment, but only in an order that the clocks allow. A frozen VM
 * is one that takes no step for a while; its messages stay under way. Messages
 * are lost, late and doubled; an append may take effect long after its answer
 * was given up.
 *
 * Each NO_... macro takes one safeguard out.
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

/* Phases of a task in a table */
#define QUEUED 0
#define ASSIGNED 1
#define RUNNING 2
#define STOPPING 3
#define DONE 4
#define UNLOCATED 5

/* Messages under way */
#define EMPTY 0
#define FRESH 1
#define STALE 2
#define DECIDED 3	/* not sent yet */

/* The log: the record of each epoch, and claims that may still land. */
byte epoch = 1;
byte owner[EPOCHS + 2];
byte guard[EPOCHS + 2];
#ifdef LOG_DOWN
bit logup = 0;
#else
bit logup = 1;
#endif
byte toggles = 0;
byte late_epoch[VMS];
byte late_guard[VMS];

/* Entry VMs */
byte role[VMS];
byte known[VMS];
bit lease[VMS];
bit counting[VMS];	/* a backup's count of the primary's lease */
bit window[VMS];	/* a backup may take over without the log */
bit echo[VMS];		/* a primary has a grant that is recent enough to echo */
bit synced[VMS];
bit claimed[VMS];
bit solo[VMS];
bit told[VMS];		/* a backup knows that the primary has resigned */
bit settled[VMS];
bit dead[VMS];
bit proven[VMS];
bit acked[VMS];		/* the backup has every change */
bit listed[VMS * WORKERS];
byte phase[VMS * TASKS];
byte attempt[VMS * TASKS];
byte place[VMS * TASKS];

/* One replication message and one answer under way for each sender */
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

/* One start under way for each sender */
byte start[VMS];
byte start_task[VMS];
byte start_attempt[VMS];
byte start_worker[VMS];

/* Workers: the attempt that runs, and what each has seen of attempts */
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
#define WHOLE(i) 1
#else
#define WHOLE(i) synced[i]
#endif
#ifdef NO_FENCE
#define GRANTS(i) 1
#else
#define GRANTS(i) (!claimed[i])
#endif
#ifdef NO_DEADLINE
#define STARTS_VOID(i) 1
#define RECEIVED(i) (start[i] == FRESH || start[i] == STALE)
#define LATE(i) start[i] = STALE
#else
#define STARTS_VOID(i) (start[0] != FRESH && start[1] != FRESH && start[2] != FRESH)
#define RECEIVED(i) (start[i] == FRESH)
#define LATE(i) drop_start(i)
#endif
/* Whether a backup may take over while the log is down. */
#ifdef NO_PROOF
#define MAY_GO_ON(i) ((proven[RECORD_OWNER(i)] && window[i]) || !counting[i] || told[i])
#else
#ifdef NO_SOLO
#define MAY_GO_ON(i) (proven[RECORD_OWNER(i)] || told[i])
#else
#define MAY_GO_ON(i) ((proven[RECORD_OWNER(i)] && window[i]) || told[i])
#endif
#endif

inline changed(i)
{
	acked[i] = 0;
	sync_changed[i] = 1
}

/* What is no longer used is set to zero, which keeps the search small. */
inline drop_sync(j)
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

inline drop_start(j)
{
	start[j] = EMPTY;
	start_task[j] = 0;
	start_attempt[j] = 0;
	start_worker[j] = 0
}

inline drop_reply(j)
{
	reply[j] = EMPTY;
	reply_epoch[j] = 0
}

inline drop_table(j)
{
	for (t : 0 .. TASKS - 1) { phase[T(j, t)] = 0; attempt[T(j, t)] = 0; place[T(j, t)] = 0 }
	t = 0;
	for (w : 0 .. WORKERS - 1) { listed[(j) * WORKERS + w] = 0 }
	w = 0;
	settled[j] = 0;
	acked[j] = 0;
	sync_changed[j] = 0
}

/* Becomes the acting primary with the predecessor's table. */
inline begin_copy(i)
{
	role[i] = PRIMARY;
	settled[i] = 0;
	acked[i] = 0;
	sync_changed[i] = 1;
	for (w : 0 .. WORKERS - 1) { listed[(i) * WORKERS + w] = 0 }
	w = 0
}

/* Becomes the acting primary without a table: tasks may run anywhere. */
inline begin_empty(i)
{
	begin_copy(i);
	for (t : 0 .. TASKS - 1) {
		phase[T(i, t)] = UNLOCATED; attempt[T(i, t)] = 0; place[T(i, t)] = 0
	}
	t = 0
}

inline follow(i)
{
	/* Takes in the record of known[i]. */
	claimed[i] = 0;
	lease[i] = 0;
	echo[i] = 0;
	if
	:: RECORD_OWNER(i) == i && role[i] == PRIMARY ->
		solo[i] = 0; acked[i] = 0; sync_changed[i] = 1
	:: RECORD_OWNER(i) == i && role[i] == BACKUP && synced[i] -> solo[i] = 0; begin_copy(i)
	:: RECORD_OWNER(i) == i && !(role[i] == PRIMARY) && !(role[i] == BACKUP && synced[i]) ->
		solo[i] = 0;
		begin_empty(i)
	:: RECORD_OWNER(i) != i ->
		solo[i] = 0;
		drop_table(i);
		role[i] = (RECORD_GUARD(i) == i -> BACKUP : IDLE)
	fi;
	synced[i] = 0;
	counting[i] = 0;
	window[i] = 0;
	told[i] = 0
}

inline receive(i, b)
{
	if
	:: guard[sync_epoch[b]] == i && owner[sync_epoch[b]] == b && sync_epoch[b] >= known[i] ->
		if
		:: sync_epoch[b] > known[i] -> known[i] = sync_epoch[b]; follow(i)
		:: else
		fi;
		if
		:: role[i] == BACKUP && !told[i] && GRANTS(i) ->
			synced[i] = 1;
			counting[i] = 1;
			window[i] = sync_echo[b];
			told[i] = sync_resign[b];
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
	drop_sync(b)
}

inline list(i)
{
	listed[i * WORKERS + w] = 1;
	for (t : 0 .. TASKS - 1) {
		if
		:: phase[T(i, t)] == UNLOCATED && runs[W(w, t)] != 0 ->
			phase[T(i, t)] = RUNNING; place[T(i, t)] = w; attempt[T(i, t)] = runs[W(w, t)];
			changed(i)
		:: phase[T(i, t)] == UNLOCATED && finished[W(w, t)] -> phase[T(i, t)] = DONE; changed(i)
		:: phase[T(i, t)] >= ASSIGNED && phase[T(i, t)] <= STOPPING && place[T(i, t)] == w ->
			if
			:: runs[W(w, t)] == attempt[T(i, t)] && phase[T(i, t)] == ASSIGNED ->
				phase[T(i, t)] = RUNNING; changed(i)
			:: runs[W(w, t)] != attempt[T(i, t)] && finished[W(w, t)] ->
				phase[T(i, t)] = DONE; changed(i)
			/* Not there, and no start of it can arrive any more. */
			:: runs[W(w, t)] != attempt[T(i, t)] && !finished[W(w, t)] &&
			   !(start[i] == FRESH && start_task[i] == t) && (phase[T(i, t)] != ASSIGNED || acked[i] || ALONE(i)) ->
				phase[T(i, t)] = QUEUED; changed(i)
			:: else
			fi
		:: else
		fi
	};
	for (t : 0 .. TASKS - 1) {
		if
		:: phase[T(i, t)] == UNLOCATED && listed[i * WORKERS] && listed[i * WORKERS + WORKERS - 1] ->
			phase[T(i, t)] = QUEUED; changed(i)
		:: else
		fi
	};
	t = 0;
	w = 0
}

inline claim(i, g)
{
	/* Lands at once, later or never; an older pending claim is left as it is. */
	if
	:: epoch == known[i] && epoch < EPOCHS -> epoch++; owner[epoch] = i; guard[epoch] = g
	:: late_epoch[i] == 0 && known[i] < EPOCHS -> late_epoch[i] = known[i] + 1; late_guard[i] = g
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
	:: atomic { !dead[i] && logup && known[i] < epoch -> known[i]++; follow(i) }

	/* Claims */
	:: atomic { !dead[i] && logup && role[i] == IDLE && known[i] == epoch && known[i] < EPOCHS &&
		proven[RECORD_OWNER(i)] &&
		(RECORD_GUARD(i) == NONE || proven[RECORD_GUARD(i)]) && !claimed[i] ->
		claim(i, NONE) }
	:: atomic { !dead[i] && logup && role[i] == BACKUP && !claimed[i] && known[i] < EPOCHS &&
		((WHOLE(i) && !counting[i]) || proven[RECORD_OWNER(i)] || told[i]) ->
		claim(i, NONE) }
	:: atomic { !dead[i] && !logup && role[i] == BACKUP && synced[i] && !claimed[i] && MAY_GO_ON(i) ->
		begin_copy(i); solo[i] = 1; synced[i] = 0 }
	:: atomic { !dead[i] && logup && role[i] == PRIMARY && solo[i] && !claimed[i] &&
		known[i] < EPOCHS -> claim(i, NONE) }
	/* The backup is silent: its window has closed by the time that this waits. */
	:: atomic { !dead[i] && logup && role[i] == PRIMARY && !ALONE(i) && !lease[i] && !claimed[i] &&
		known[i] < EPOCHS && !echo[i] && !sync_echo[i] && !window[RECORD_GUARD(i)] ->
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
		RECORD_GUARD(i) != NONE && proven[RECORD_GUARD(i)] -> claim(i, NONE) }

	/* Sends the whole table and asks for the lease. */
	:: atomic { !dead[i] && (role[i] == PRIMARY || role[i] == RESIGNED) && !solo[i] && !claimed[i] &&
		RECORD_GUARD(i) != NONE && sync[i] == EMPTY && (!lease[i] || !acked[i] || role[i] == RESIGNED) ->
		/* An answer to an earlier one does not count any more. */
		drop_reply(i);
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

	/* Receives one, from any sender whose record names this VM. */
	:: atomic { !dead[i] && sync[(i + 1) % VMS] != EMPTY -> b = (i + 1) % VMS; receive(i, b); b = 0 }
	:: atomic { !dead[i] && sync[(i + 2) % VMS] != EMPTY -> b = (i + 2) % VMS; receive(i, b); b = 0 }

	/* Receives an answer; one to a renewal sent too long ago gives no lease. */
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
		drop_reply(i) }

	/* Resigns. */
	:: atomic { !dead[i] && role[i] == PRIMARY && !ALONE(i) && lease[i] && acked[i] && !claimed[i] ->
		role[i] = RESIGNED }

	/* Every start of a predecessor is void: its deadline has passed. */
	:: atomic { !dead[i] && role[i] == PRIMARY && !settled[i] && STARTS_VOID(i) -> settled[i] = 1 }

	/* Asks a worker for its list. */
	:: atomic { DECIDES(i) && !dead[i] -> w = 0; list(i) }
	:: atomic { DECIDES(i) && !dead[i] && WORKERS > 1 -> w = WORKERS - 1; list(i) }

	/* Decides to start a task on a worker that has room by this table. */
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
			/* At most one decides. */
			assert(!AUTHORITY((i + 1) % VMS) && !AUTHORITY((i + 2) % VMS));
			next_attempt[t]++;
			phase[T(i, t)] = ASSIGNED; place[T(i, t)] = w; attempt[T(i, t)] = next_attempt[t];
			changed(i);
			start_task[i] = t; start_worker[i] = w; start_attempt[i] = next_attempt[t];
			start[i] = DECIDED
		:: else
		fi;
		w = 0; t = 0 }

	/* Sends a start whose intent is replicated; one frozen here sends it later. */
	:: atomic { !dead[i] && start[i] == DECIDED && AUTHORITY(i) && REPLICATED(i) &&
		phase[T(i, start_task[i])] == ASSIGNED && attempt[T(i, start_task[i])] == start_attempt[i] ->
		start[i] = FRESH }
	:: atomic { !dead[i] && start[i] == DECIDED &&
		(role[i] != PRIMARY || phase[T(i, start_task[i])] != ASSIGNED ||
		 attempt[T(i, start_task[i])] != start_attempt[i]) -> drop_start(i) }

	/* Evicts: intent first, then checkpoint and stop, whose answer may be lost. */
	:: atomic { DECIDES(i) && !dead[i] && phase[T(i, 0)] == RUNNING ->
		phase[T(i, 0)] = STOPPING; changed(i) }
	:: atomic { AUTHORITY(i) && !dead[i] && REPLICATED(i) && phase[T(i, 0)] == STOPPING ->
		w = place[T(i, 0)];
		if
		:: runs[W(w, 0)] == attempt[T(i, 0)] -> runs[W(w, 0)] = 0
		:: else
		fi;
		seen[SEEN(w, 0, attempt[T(i, 0)])] = 1;
		if
		:: finished[W(w, 0)] -> phase[T(i, 0)] = DONE; changed(i)
		:: !finished[W(w, 0)] -> phase[T(i, 0)] = QUEUED; changed(i)
		:: true
		fi;
		w = 0 }
	od
}

/* Time and the network around one VM. */
proctype Net(byte i)
{
	byte g, w, t;
	do
	/* A claim lands late. */
	:: atomic { logup && late_epoch[i] == epoch + 1 && epoch < EPOCHS ->
		epoch++; owner[epoch] = i; guard[epoch] = late_guard[i]; late_epoch[i] = 0;
		late_guard[i] = 0 }
	:: atomic { late_epoch[i] != 0 && late_epoch[i] <= epoch -> late_epoch[i] = 0; late_guard[i] = 0 }

	/* A primary's lease runs out, with every renewal sent until now. */
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
	/* The backup counts longer: from receipt, with a margin. */
	:: atomic { counting[i] && RECORD_OWNER(i) != i && reply[RECORD_OWNER(i)] != FRESH &&
		!(lease[RECORD_OWNER(i)] && known[RECORD_OWNER(i)] == known[i]) -> counting[i] = 0 }
	/* The window of a backup closes, with every echo under way. */
	:: atomic { role[i] == PRIMARY && !lease[i] && !ALONE(i) &&
		(echo[i] || sync_echo[i] || window[RECORD_GUARD(i)]) ->
		echo[i] = 0;
		sync_echo[i] = 0;
		g = RECORD_GUARD(i);
		if
		:: known[g] == known[i] -> window[g] = 0
		:: else
		fi;
		g = 0 }

	/* The first two VMs may die; the list shows it later. */
	:: atomic { i < 2 && !dead[i] ->
		dead[i] = 1; role[i] = IDLE; lease[i] = 0; echo[i] = 0; counting[i] = 0; window[i] = 0;
		synced[i] = 0; claimed[i] = 0; solo[i] = 0; told[i] = 0; drop_table(i); drop_reply(i);
		if
		:: start[i] == DECIDED -> drop_start(i)
		:: else
		fi }
	:: atomic { dead[i] && !proven[i] -> proven[i] = 1 }

	/* Messages are lost; a start's deadline passes. */
	:: atomic { sync[i] != EMPTY -> drop_sync(i) }
	:: atomic { reply[i] != EMPTY -> drop_reply(i) }
	:: atomic { start[i] == FRESH -> LATE(i) }
	:: atomic { start[i] == STALE -> drop_start(i) }

	/* A worker receives a start, perhaps once more later. */
	:: atomic { RECEIVED(i) ->
		w = start_worker[i]; t = start_task[i];
		if
		:: !seen[SEEN(w, t, start_attempt[i])] ->
			seen[SEEN(w, t, start_attempt[i])] = 1;
			runs[W(w, t)] = start_attempt[i];
			starts[t * (ATTEMPTS + 1) + start_attempt[i]]++;
			/* Evicted work resumes exactly once, finished work never. */
			assert(starts[t * (ATTEMPTS + 1) + start_attempt[i]] == 1);
			assert(!ended[t]);
			/* A task never runs in two places. */
			assert(WORKERS == 1 || runs[W(0, t)] == 0 || runs[W(WORKERS - 1, t)] == 0);
			/* A worker has room for one task. */
			assert(TASKS == 1 || runs[W(w, 0)] == 0 || runs[W(w, TASKS - 1)] == 0)
		:: else
		fi;
		w = 0; t = 0;
		if
		:: drop_start(i)
		:: true
		fi }
	od
}

/* Log outages, and tasks that end. */
proctype Rest()
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
		run Rest()
	}
}
