use base::{Millis, Name, Now, event};
use job::TaskId;
use port::{WorkerAddr, WorkerInfo};

use crate::{Command, Lead, Run, RunState, Worker, worker::MAX_SILENCE};

/// Number of earlier incarnations of a worker that are remembered.
const MAX_EARLIER: usize = 8;

impl Lead {
    /// Handles the restart of a worker. Only the runs that an earlier incarnation has listed
    /// are certainly gone. A command may have reached the new incarnation before the restart
    /// was known, or may still reach it: its next list tells.
    pub(crate) fn on_restart(&mut self, id: &Name, incarnation: u64, source: &str, now: Now) {
        self.note_restart(id, incarnation, now);
        // A poll that is still on its way acknowledges completions of the earlier incarnation.
        self.raise_token(id);
        let batch = self.journal.add_worker(id);
        let max_lease = self.bounds.max_lease;
        let inherited_end = self.inherited_leases_end(now);
        let in_doubt = self.starts_in_doubt.runs_on(id);
        let Some(worker) = self.workers.get_mut(id) else { return };
        event!(
            "worker_restarted",
            worker = id,
            born = incarnation,
            source = source,
            age = now.unix.saturating_sub(incarnation),
            runs = worker.runs.len()
        );
        worker.replace_incarnation(incarnation);
        worker.shown_at = now.mono;
        worker.restarted_at = now.mono;
        worker.record_batch = Some(batch);
        worker.closed = false;
        worker.fenced = false;
        worker.synced = false;
        worker.listed_all = false;
        worker.clock = None;
        worker.list_clock = 0;
        worker.listed_since = 0;
        worker.lease_expiry = 0;
        worker.last_completion = 0;
        worker.acked = 0;
        worker.pending_acks.clear();
        worker.hold_earlier_leases(max_lease, &self.starts_in_doubt, now.mono);
        worker.earlier_leases_end = worker.earlier_leases_end.max(inherited_end);
        worker.long_leases = true;
        let mut gone = Vec::new();
        for (task, run) in &mut worker.runs {
            let may_start = in_doubt.contains(&(task.clone(), run.run_id));
            match run.state {
                RunState::Starting => run.retry_at = now.mono,
                RunState::Unconfirmed => run.resend_stop(now.mono),
                RunState::Stopping if run.confirmed_at == 0 || may_start => {
                    run.resend_stop(now.mono)
                }
                _ if run.incarnation.is_some_and(|listed| listed != incarnation) => {
                    gone.push(task.clone());
                }
                _ => {}
            }
        }
        for task in gone {
            self.drop_run(id, &task, "worker_reborn", now);
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        if !worker.runs.is_empty() {
            self.commands.push(Command::Poll(id.clone()));
        }
        for (task, run_id) in worker.late_starts(&self.starts_in_doubt) {
            self.add_late_start(id, task, run_id, now);
        }
    }

    /// Returns when the leases of earlier leaders that have not heard of a restart have certainly
    /// expired; 0 if they can grant none any more.
    fn inherited_leases_end(&self, now: Now) -> Millis {
        if self.settles_by_time(now) { self.long_leases_end } else { 0 }
    }

    /// Records whether a worker may hold leases granted on an earlier clock, for the next leader.
    pub(crate) fn record_long_leases(&mut self, id: &Name, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let long_leases = now.mono < worker.earlier_leases_end;
        if (worker.record_batch.is_some() || worker.closed) && worker.long_leases != long_leases {
            worker.long_leases = long_leases;
            self.journal.add_worker(id);
        }
    }

    /// Handles the end of a run that was kept over the restart of its worker: an earlier start
    /// of its task may still be carried out in the present incarnation.
    pub(crate) fn guard_late_start(&mut self, id: &Name, task: TaskId, now: Now) {
        let Some(worker) = self.workers.get(id) else { return };
        let run = self.starts_in_doubt.run_before(id, &task, worker.restarted_at);
        if let Some(run_id) = run {
            self.add_late_start(id, task, run_id, now);
        }
    }

    /// Handles the clock reading in the reply to a command. If it shows a restart, the worker
    /// has to list its runs before it gets more work.
    pub(crate) fn on_reply(&mut self, id: &Name, clock: Millis, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if !worker.record_reply(clock, now.mono) || !worker.synced {
            return;
        }
        event!("worker_clock_behind", worker = id, clock = clock);
        self.expect_restart(id, now);
    }

    /// Handles a list of another incarnation than the known one, requested at `sent`. Returns
    /// whether it is of a later one. The incarnations of a worker follow each other, so that what
    /// was requested after the known one was shown is later; the starts that they name don't tell,
    /// since the worker's time of day may have been set back.
    pub(crate) fn on_other_list(
        &mut self,
        id: &Name,
        incarnation: u64,
        sent: Millis,
        now: Now,
    ) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        if (sent, incarnation) > (worker.shown_at, worker.info.incarnation) {
            self.on_restart(id, incarnation, "list", now);
            return true;
        }
        if !worker.earlier.contains(&incarnation) {
            self.doubt(id, now);
        }
        false
    }

    /// Handles the record of an incarnation that is not known to be later than the present one. The
    /// next list tells.
    pub(crate) fn on_other_record(&mut self, info: WorkerInfo, now: Now) {
        let id = info.id.clone();
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let incarnation = info.incarnation;
        let other = worker.other_record.as_ref();
        let known = other.is_some_and(|other| other.incarnation == incarnation);
        let new = !known && !worker.earlier.contains(&incarnation);
        if new || known {
            worker.other_record = Some(info);
        }
        if new {
            event!(
                "worker_start_lower",
                worker = id,
                born = incarnation,
                known = worker.info.incarnation
            );
            worker.listed = true;
            self.expect_restart(&id, now);
        }
    }

    /// Notes that a worker has probably restarted: it has to list its runs before it gets more
    /// work.
    fn expect_restart(&mut self, id: &Name, now: Now) {
        let max_lease = self.bounds.max_lease;
        let inherited_end = self.inherited_leases_end(now);
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.synced = false;
        worker.listed_all = false;
        worker.hold_earlier_leases(max_lease, &self.starts_in_doubt, now.mono);
        worker.earlier_leases_end = worker.earlier_leases_end.max(inherited_end);
        self.doubt(id, now);
    }

    /// Notes that a worker may have restarted without the leader's knowledge, and polls it.
    pub(crate) fn doubt(&mut self, id: &Name, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.doubted_at = now.mono;
        self.touched.insert(id.clone());
        self.commands.push(Command::Poll(id.clone()));
    }

    /// Adds a run that may still begin on a worker, in the state in which it gets a stop
    /// command. Its task is not started elsewhere, and its capacity not used, until the worker
    /// has confirmed that the run will not begin.
    pub(crate) fn add_late_start(&mut self, id: &Name, task: TaskId, run_id: u64, now: Now) {
        let job = self.jobs.get(&task.job);
        let step = job.and_then(|job| job.step(&task)).cloned().unwrap_or_default();
        let run = Run {
            state: RunState::Stopping,
            retry_at: now.mono,
            in_flight: false,
            progress_at: now.mono,
            ..Run::starting(run_id, &step, 0)
        };
        self.dequeue(&task);
        let state = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(&task));
        if let Some(state) = state.filter(|state| !state.done) {
            state.workers.push(id.clone());
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.add(task, run);
        }
    }
}

impl Worker {
    /// Makes an incarnation the present one, with its record if that is known.
    fn replace_incarnation(&mut self, incarnation: u64) {
        let before = self.info.incarnation;
        if before == incarnation {
            return;
        }
        self.earlier.retain(|other| *other != incarnation);
        self.earlier.push_back(before);
        if self.earlier.len() > MAX_EARLIER {
            self.earlier.pop_front();
        }
        let other = self.other_record.take_if(|other| other.incarnation == incarnation);
        if let Some(other) = other {
            self.leaving = other.draining;
            self.other_record = Some(std::mem::replace(&mut self.info, other));
        }
        self.info.incarnation = incarnation;
    }

    /// Returns the identifier and address for the next poll.
    pub(crate) fn poll_addr(&self) -> WorkerAddr {
        let other = self.other_record.as_ref().filter(|_| self.at_other_addr);
        other.map_or_else(|| self.addr(), |other| WorkerAddr { addr: other.addr, ..self.addr() })
    }

    /// Selects the address for the next poll after one without a reply: the two addresses in turn,
    /// where the worker has been silent for some time.
    pub(crate) fn next_addr(&mut self, now: Millis) {
        let moved = self.other_record.as_ref().is_some_and(|other| other.addr != self.info.addr);
        let silent = now >= self.replied_at + MAX_SILENCE;
        self.at_other_addr = moved && silent && !self.at_other_addr;
    }
}
