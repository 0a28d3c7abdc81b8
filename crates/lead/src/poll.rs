use std::collections::BTreeSet;

use base::{Millis, Name, Now, event};
use job::TaskId;
use port::{Item, Poll, PollReply, Refusal, RunStatus, WorkerAddr, WorkerError, WorkerInfo};
use relay::{PollTimes, Received, RelayedWorker};

use crate::{
    Command, Lead, Run, RunState, Worker,
    worker::{MAX_LISTED_COMPLETIONS, PendingAck, expiry},
};

/// Longest time for which a worker delays its reply while no run completes.
const LIST_WAIT: Millis = 1_000;
/// Time without a reply from a worker after which its leases are no longer renewed.
const MAX_RENEW_SILENCE: Millis = 1_600;
/// [`LIST_WAIT`] of a worker with service and best-effort tasks, whose latencies have to be
/// measured more often.
const MIXED_LIST_WAIT: Millis = 400;
/// Amount by which a relay's estimate of a worker clock may be ahead of that clock.
const RELAY_CLOCK_MARGIN: Millis = 250;
/// Amount by which a worker's start may seem to be in the future, since clocks differ.
const MAX_CLOCK_DIFFERENCE: Millis = 3_600_000;

impl Lead {
    /// Handles records of the list of workers in the store. If the list is complete, workers
    /// that it does not contain become unlisted.
    pub fn on_worker_records(
        &mut self,
        items: &[Item],
        complete: bool,
        decode: &dyn Fn(&Name, &[u8]) -> Option<WorkerInfo>,
        now: Now,
    ) {
        let mut seen: BTreeSet<Name> = BTreeSet::new();
        for item in items {
            if item.value.is_empty() {
                self.on_unlisted(&item.key, now);
                continue;
            }
            let info = decode(&item.key, &item.value);
            // A start in the far future is another writer's.
            let latest = now.unix.saturating_add(MAX_CLOCK_DIFFERENCE);
            let plausible =
                |info: &WorkerInfo| info.incarnation <= latest && !self.is_foreign(info);
            let Some(info) = info.filter(plausible) else {
                log::warn!("event=record_skipped key={:?} reason=unreadable", item.key);
                self.on_unreadable(&item.key, now);
                continue;
            };
            seen.insert(item.key.clone());
            self.on_worker_info(info, now);
        }
        if complete {
            let known: Vec<Name> = self.workers.keys().cloned().collect();
            known.iter().filter(|id| !seen.contains(*id)).for_each(|id| self.on_unlisted(id, now));
        }
    }

    /// Whether a record names a known worker, but a service that neither that worker nor any other nor
    /// any job belongs to: it is another writer's. A worker that has moved to such a service shows its
    /// restart by its next list.
    fn is_foreign(&self, info: &WorkerInfo) -> bool {
        let Some(known) = self.workers.get(&info.id) else { return false };
        // A worker on record has no service before its own record in the store is read.
        known.info.service != info.service
            && !known.info.service.is_empty()
            && self.workers.values().all(|worker| worker.info.service != info.service)
            && self.jobs.values().all(|job| job.queue.service != info.service)
    }

    /// Handles the record of a worker in the store. Returns whether the worker was unknown.
    pub fn on_worker_info(&mut self, info: WorkerInfo, now: Now) -> bool {
        let id = info.id.clone();
        let new = !self.workers.contains_key(&id);
        let worker = self.workers.entry(id.clone()).or_insert_with(|| Worker::new(info.clone()));
        if new {
            worker.record_batch = Some(self.journal.add_worker(&id));
            worker.raises = self.raise_count;
            worker.shown_at = now.mono;
            event!("worker_new", worker = id, addr = info.addr, cpu = info.size.cpu);
            self.note_replaced(&info, now);
        }
        let Some(worker) = self.workers.get_mut(&id) else { return new };
        let restarted = worker.info.incarnation != info.incarnation;
        let higher = info.incarnation > worker.info.incarnation;
        if restarted && (!higher || worker.earlier.contains(&info.incarnation)) {
            self.on_other_record(info, now);
            return new;
        }
        if info.draining && !worker.info.draining {
            event!("worker_draining", worker = id, left = info.remaining.unwrap_or(0));
        }
        worker.leaving |= info.draining && !restarted;
        worker.listed = true;
        if worker.record_batch.is_none() && !info.draining {
            worker.open_record(&mut self.journal);
        }
        let present = WorkerInfo { incarnation: worker.info.incarnation, ..info.clone() };
        let before = std::mem::replace(&mut worker.info, present);
        if restarted {
            worker.other_record = Some(before);
        }
        worker.improved = true;
        self.touched.insert(id.clone());
        if restarted {
            self.on_restart(&id, info.incarnation, "record", now);
        }
        new
    }

    /// Handles the removal of a worker from the list in the store.
    pub fn on_unlisted(&mut self, id: &Name, now: Now) {
        if let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.listed) {
            worker.listed = false;
            worker.unlisted_at = now.mono;
            event!("worker_unlisted", worker = id, runs = worker.runs.len());
        }
    }

    /// Handles a record of which no worker can be read. A known worker of that identifier gets
    /// no more work, since its state and size are unknown; its runs go on.
    fn on_unreadable(&mut self, id: &Name, now: Now) {
        self.on_unlisted(id, now);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unlisted_at = 0;
        }
    }

    /// Builds the next lease renewal and list request for a worker; `None` if the worker is
    /// unknown. With `at_once`, the worker replies at once. Leases are renewed only with
    /// `renew`.
    pub fn poll(
        &mut self,
        id: &Name,
        at_once: bool,
        renew: bool,
        now: Now,
    ) -> Option<(WorkerAddr, Poll)> {
        let lease = self.bounds.lease;
        let stored = self.journal.stored;
        let epoch = self.epoch;
        let worker = self.workers.get_mut(id)?;
        let token = worker.token(epoch);
        worker.advance_acks(stored, now.mono);
        // Leases must be left to expire while a worker is silent: each renewal that it may
        // have received puts off the time from which its runs can be dropped.
        let renew = renew && worker.synced && now.mono < worker.replied_at + MAX_RENEW_SILENCE;
        let deadline = worker.clock_now(now.mono).filter(|_| renew).map(|clock| clock + lease);
        worker.lease_expiry = worker.lease_expiry.max(deadline.unwrap_or(0));
        // A worker that has restarted would take the deadline for the longest lease.
        let deadline = deadline.filter(|_| worker.doubted_at == 0);
        let wait = if at_once || !worker.listed_all { 0 } else { worker.list_wait() };
        Some((worker.poll_addr(), Poll { token, acked: worker.ack_cursor(), deadline, wait }))
    }

    /// Returns a worker as its relay has to know it; `None` if the worker is unknown.
    pub fn relayed_worker(&mut self, id: &Name, now: Millis) -> Option<RelayedWorker> {
        let (stored, epoch) = (self.journal.stored, self.epoch);
        let worker = self.workers.get_mut(id)?;
        worker.advance_acks(stored, now);
        Some(RelayedWorker {
            worker: worker.poll_addr(),
            token: worker.token(epoch),
            incarnation: worker.info.incarnation,
            acked: worker.ack_cursor(),
            wait: worker.list_wait(),
            synced: worker.synced,
        })
    }

    /// Returns the workers with a relay that may have changed since the last call, `None` for
    /// one that no longer exists.
    pub fn take_touched(&mut self, now: Millis) -> Vec<(Name, Option<RelayedWorker>)> {
        let touched = std::mem::take(&mut self.touched);
        let mut changes = Vec::new();
        for id in touched {
            let state = self.relayed_worker(&id, now);
            // Completions can be acknowledged later.
            if self.workers.get(&id).is_some_and(|worker| !worker.pending_acks.is_empty()) {
                self.touched.insert(id.clone());
            }
            changes.push((id, state));
        }
        changes
    }

    /// Handles the loss of a worker's relay, which may have renewed its leases until
    /// `granted_until`. The worker may have restarted since its last reported list.
    pub fn on_relay_closed(&mut self, id: &Name, granted_until: Millis, now: Now) {
        let lease = self.bounds.lease + RELAY_CLOCK_MARGIN;
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.renewed_by_relay = false;
        if granted_until > 0 {
            worker.relay_leases_end = worker.relay_leases_end.max(granted_until + expiry(lease));
        }
        self.doubt(id, now);
    }

    /// Handles a report of a relay, received at `now`. What it says of workers counts from then:
    /// a list shows that a run is gone only if it was requested after the run was confirmed.
    pub fn on_report(&mut self, received: Received, now: Now) {
        for (worker, command, reply) in received.replies {
            self.on_command_reply(&worker, &command, reply, now);
        }
        for (poll, reply) in received.polls {
            self.on_relayed_poll(&poll, reply, now);
        }
    }

    /// Handles the result of a relay's poll.
    pub fn on_relayed_poll(
        &mut self,
        poll: &PollTimes,
        reply: Result<PollReply, WorkerError>,
        now: Now,
    ) {
        let max_lease = self.bounds.max_lease;
        let Some(worker) = self.workers.get_mut(&poll.worker) else { return };
        worker.record_grant(poll.deadline, max_lease, &self.starts_in_doubt, now.mono);
        // A worker that replies gets a permission at once, if its relay has none.
        worker.renewed_by_relay = poll.renews || reply.is_ok();
        self.touched.insert(poll.worker.clone());
        self.on_poll(&poll.worker, poll.token, poll.sent_at, reply, now);
    }

    /// Returns whether completions of a worker still have to become durable. Until then, the
    /// worker would reply at once and list them again.
    pub fn unacked(&self, id: &Name) -> bool {
        let stored = self.journal.stored;
        let newest = self.workers.get(id).and_then(|worker| worker.pending_acks.back());
        newest.is_some_and(|ack| ack.batch > stored)
    }

    /// Returns whether completions of a worker may not be acknowledged for some time, so that it
    /// replies at once.
    pub fn holds_acks(&self, id: &Name, now: Millis) -> bool {
        self.workers.get(id).is_some_and(|worker| worker.holds_acks(now))
    }

    /// Handles the runs and completions listed by a worker, in reply to a request sent at `sent`
    /// with a fencing token.
    pub fn on_poll(
        &mut self,
        id: &Name,
        token: u64,
        sent: Millis,
        reply: Result<PollReply, WorkerError>,
        now: Now,
    ) {
        let reply = match reply {
            Ok(reply) => reply,
            Err(WorkerError::Refused(Refusal::Fence, _)) => return self.fenced(id, token),
            // Another worker replies at its address.
            Err(WorkerError::Refused(why, Some(clock))) if why != Refusal::OtherLife => {
                return self.on_reply(id, clock, now);
            }
            Err(why) => {
                let in_doubt = matches!(why, WorkerError::InDoubt(_));
                if in_doubt {
                    self.fence_off(id, token);
                }
                if let Some(worker) = self.workers.get_mut(id) {
                    if in_doubt {
                        worker.poll_doubted_at = now.mono;
                    }
                    worker.unanswered_at = worker.unanswered_at.max(sent);
                    worker.doubted_at = now.mono;
                    worker.next_addr(now.mono);
                }
                return;
            }
        };
        let (epoch, max_lease) = (self.epoch, self.bounds.max_lease);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let other = reply.incarnation.filter(|listed| *listed != worker.info.incarnation);
        if let Some(listed) = other
            && !self.on_other_list(id, listed, sent, now)
        {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        if reply.incarnation.is_some() {
            worker.shown_at = now.mono;
        }
        if token >= worker.token(epoch) {
            worker.note_fenced(max_lease, now.mono);
        }
        worker.at_other_addr = false;
        worker.record_list(reply.clock, now.mono);
        // A list that was requested earlier may be one of the earlier incarnation.
        let doubted = worker.doubted_at > sent;
        if !doubted {
            worker.doubted_at = 0;
        }
        worker.lost.clear();
        // Replies may arrive out of order.
        let stale = reply.clock < worker.list_clock;
        worker.list_clock = worker.list_clock.max(reply.clock);
        worker.listed_since = worker.listed_since.max(sent);
        let full = reply.completions.len() >= MAX_LISTED_COMPLETIONS;
        for completion in reply.completions {
            let Some(worker) = self.workers.get_mut(id) else { return };
            if completion.number > worker.last_completion {
                worker.last_completion = completion.number;
                self.on_completion(id, completion, now);
            }
        }
        if stale {
            return;
        }
        let listed: BTreeSet<(TaskId, u64)> =
            reply.running.iter().map(|row| (row.task.clone(), row.run)).collect();
        for row in reply.running {
            let task = row.task.clone();
            self.on_running(id, row, reply.incarnation, now);
            self.observe_run(id, &task, reply.incarnation, reply.clock);
        }
        self.record_measurements(id, now);
        if !full {
            self.drop_unlisted(id, &listed, sent, now);
        }
        let Some(worker) = self.workers.get_mut(id).filter(|_| !doubted) else { return };
        if !full && !worker.listed_all {
            worker.listed_all = true;
            if worker.synced {
                event!("worker_listed_all", worker = id, last = worker.last_completion);
            }
        }
        if !worker.synced {
            worker.synced = true;
            event!(
                "worker_synced",
                worker = id,
                runs = worker.runs.len(),
                epoch = self.epoch,
                all = worker.listed_all
            );
            if !worker.runs.is_empty() {
                // Renews the leases of the runs that a previous leader started.
                self.commands.push(Command::Poll(id.clone()));
            }
        }
    }

    /// Handles a run listed by an incarnation of a worker.
    fn on_running(&mut self, id: &Name, row: RunStatus, incarnation: Option<u64>, now: Now) {
        let (task, run_id) = (row.task.clone(), row.run);
        self.note_carried_out(id, &task, run_id);
        let Some(worker) = self.workers.get_mut(id) else { return };
        let known = worker.runs.get(&row.task).map(|run| run.run_id);
        match known {
            Some(run_id) if run_id == row.run => self.update_run(id, row, now),
            Some(_) => {}
            None => self.adopt(id, row, now),
        }
        let listed = self.workers.get_mut(id).and_then(|worker| worker.runs.get_mut(&task));
        if let Some(run) = listed.filter(|run| run.run_id == run_id) {
            run.incarnation = incarnation.or(run.incarnation);
        }
    }

    /// Updates a known run.
    fn update_run(&mut self, id: &Name, row: RunStatus, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.runs.get_mut(&row.task) else { return };
        if matches!(run.state, RunState::Starting | RunState::Unconfirmed) {
            run.state = RunState::Running;
            run.confirmed_at = now.mono;
            run.progress_at = now.mono;
        }
        run.recorded = false;
        if run.percent != row.percent {
            run.percent = row.percent;
            run.progress_at = now.mono;
        }
        run.metric = row.metric;
        let Some(job) = self.jobs.get_mut(&row.task.job) else { return };
        job.started = true;
        if let Some(task) = job.task_mut(&row.task).filter(|_| !row.checkpoint.is_empty()) {
            task.checkpoint = row.checkpoint;
        }
    }

    /// Adopts a run that a previous leader started, or stops it if its task is not to run.
    fn adopt(&mut self, id: &Name, row: RunStatus, now: Now) {
        let own = self.own_run(row.run);
        self.begin_listed(&row.task, now);
        self.drop_superseded(&row.task, row.run);
        let job = self.jobs.get_mut(&row.task.job);
        let step = job.as_ref().and_then(|job| job.step(&row.task)).cloned().unwrap_or_default();
        let terminal = job.as_ref().is_none_or(|job| job.is_terminal());
        let mut wanted = false;
        let mut others = Vec::new();
        if let Some(job) = job {
            job.started = true;
            if let Some(task) = job.task_mut(&row.task) {
                wanted = !own && !terminal && !task.done && task.workers.is_empty();
                others.clone_from(&task.workers);
                task.workers.push(id.clone());
                if !row.checkpoint.is_empty() {
                    task.checkpoint = row.checkpoint.clone();
                }
            }
        }
        self.dequeue(&row.task);
        let run = Run {
            state: RunState::Running,
            started_at: 0,
            confirmed_at: now.mono,
            in_flight: false,
            // A task that crashes its worker does so before it makes progress.
            proven: row.percent > 0,
            percent: row.percent,
            metric: row.metric,
            throttle: u32::MAX,
            ..Run::starting(row.run, &step, now.mono)
        };
        if let Some(worker) = self.workers.get_mut(id) {
            worker.add(row.task.clone(), run);
        }
        if wanted {
            event!("adopted", task = row.task, worker = id, run = row.run);
        } else {
            if !step.speculative && !others.is_empty() {
                event!(
                    "run_twice",
                    task = row.task,
                    worker = id,
                    run = row.run,
                    others = others.join(",")
                );
                metrics::counter!("runs_twice").increment(1);
            }
            self.stop(id, &row.task, "not_wanted");
        }
    }

    /// Drops runs that the worker confirmed before `sent`, when its list was requested, and
    /// that are not on the list.
    fn drop_unlisted(
        &mut self,
        id: &Name,
        listed: &BTreeSet<(TaskId, u64)>,
        sent: Millis,
        now: Now,
    ) {
        let Some(worker) = self.workers.get(id) else { return };
        let missing = |(task, run): &(&TaskId, &Run)| {
            let confirmed = matches!(run.state, RunState::Running | RunState::Stopping);
            confirmed
                && run.confirmed_at > 0
                && run.confirmed_at < sent
                && !listed.contains(&((*task).clone(), run.run_id))
        };
        let gone: Vec<TaskId> =
            worker.runs.iter().filter(missing).map(|(task, _)| task.clone()).collect();
        for task in gone {
            let Some(worker) = self.workers.get(id) else { return };
            let kept = worker.runs.get(&task).is_some_and(|run| worker.kept_over_restart(run));
            self.drop_run(id, &task, "not_listed", now);
            if kept {
                self.guard_late_start(id, task, now);
            }
        }
    }
}

impl Worker {
    /// Acknowledges the completions that have become durable and whose tasks can't start again.
    fn advance_acks(&mut self, stored: u64, now: Millis) {
        let due = |ack: &mut PendingAck| ack.batch <= stored && ack.held_until <= now;
        while let Some(ack) = self.pending_acks.pop_front_if(due) {
            self.acked = self.acked.max(ack.number);
        }
    }

    /// Returns the time for which the worker may hold back its reply to a poll.
    fn list_wait(&self) -> Millis {
        let mixed = self.service_cpu > 0 && self.best_effort_cpu > 0;
        if mixed { MIXED_LIST_WAIT } else { LIST_WAIT }
    }
}
