use std::collections::BTreeSet;

use base::{Millis, Name, Now, event};
use job::TaskId;
use port::{Entry, Held, Hold, Peer, Refusal, Running, WorkerFault};

use crate::{Lead, Order, Run, RunState, Worker};

/// Time for which a list waits for an end.
const WAIT: Millis = 1_000;
/// Silence of a worker after which its leases are renewed no longer.
const RENEW_SILENCE: Millis = 1_600;
/// The same where tasks that serve are watched beside tasks that fill.
const MIXED_WAIT: Millis = 400;
/// Ends that a list holds at most.
const LIST_MOST: usize = 500;

impl Lead {
    /// Takes in what a worker says of itself in the store; returns whether it
    /// is new here.
    pub fn on_entry(&mut self, entry: Entry, now: Now) -> bool {
        let id = entry.id.clone();
        let new = !self.workers.contains_key(&id);
        let worker = self.workers.entry(id.clone()).or_insert_with(|| Worker::new(entry.clone()));
        if new {
            worker.marked = Some(self.journal.worker(&id));
            event!("worker_new", worker = id, addr = entry.addr, cpu = entry.size.cpu);
        }
        let reborn = !new && worker.entry.born < entry.born;
        if worker.entry.born > entry.born {
            // An older record of the worker.
            return new;
        }
        if entry.draining && !worker.entry.draining {
            event!("worker_draining", worker = id, left = entry.remaining.unwrap_or(0));
        }
        worker.listed = true;
        if worker.marked.is_none() && !entry.draining {
            worker.marked = Some(self.journal.worker(&id));
        }
        worker.entry = Entry { born: worker.entry.born, ..entry.clone() };
        if reborn {
            self.reborn(&id, entry.born, now);
        }
        new
    }

    /// Notes that the store lists a worker no longer.
    pub fn on_unlisted(&mut self, id: &Name, now: Now) {
        if let Some(worker) = self.workers.get_mut(id).filter(|worker| worker.listed) {
            worker.listed = false;
            worker.unlisted = now.mono;
            event!("worker_unlisted", worker = id, runs = worker.runs.len());
        }
    }

    /// A worker has started anew: nothing runs on it, but orders that got no
    /// answer may still reach it.
    fn reborn(&mut self, id: &Name, born: u64, now: Now) {
        let mark = self.journal.worker(id);
        let Some(worker) = self.workers.get_mut(id) else { return };
        event!("worker_reborn", worker = id, born = born, runs = worker.runs.len());
        worker.entry.born = born;
        worker.marked = Some(mark);
        worker.synced = false;
        worker.clock = None;
        worker.listed_at = 0;
        worker.deadline = 0;
        worker.seen = 0;
        worker.acked = 0;
        worker.acks.clear();
        let doubted: BTreeSet<(TaskId, u64)> =
            worker.doubted.iter().map(|(task, no, _)| (task.clone(), *no)).collect();
        let mut gone = Vec::new();
        for (task, run) in &mut worker.runs {
            let doubt = doubted.contains(&(task.clone(), run.no));
            match run.state {
                RunState::Doubt | RunState::Starting => run.retry = now.mono,
                RunState::Stopping if run.sure == 0 || doubt => run.restop(now.mono),
                _ => gone.push(task.clone()),
            }
        }
        for task in gone {
            self.drop_run(id, &task, "worker_reborn");
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        let late_starts = worker.late_starts(now.mono);
        for (task, run) in late_starts {
            self.bar(id, task, run);
        }
    }

    /// Keeps a task from starting elsewhere until a worker has confirmed that a run
    /// of it which may still arrive there will not begin.
    fn bar(&mut self, id: &Name, task: TaskId, run: Run) {
        let state = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(&task));
        if let Some(state) = state.filter(|state| !state.done) {
            state.queued = false;
            state.on.push(id.clone());
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.add(task, run);
        }
    }

    /// What to ask a worker next; `None` once it is forgotten. Leases are renewed
    /// only with `renew`.
    pub fn hold(&mut self, id: &Name, look: bool, renew: bool, now: Now) -> Option<(Peer, Hold)> {
        let lease = self.bounds.lease;
        let stored = self.journal.stored;
        let token = self.epoch;
        let worker = self.workers.get_mut(id)?;
        while worker.acks.front().is_some_and(|(_, mark)| *mark <= stored) {
            let (number, _) = worker.acks.pop_front()?;
            worker.acked = worker.acked.max(number);
        }
        // A lease that is renewed into silence would never be known to expire.
        let renew = renew && worker.synced && now.mono < worker.answered + RENEW_SILENCE;
        let deadline = worker.clock_now(now.mono).filter(|_| renew).map(|clock| clock + lease);
        worker.deadline = worker.deadline.max(deadline.unwrap_or(0));
        let mixed = worker.serving > 0 && worker.filled > 0;
        let wait = match (look || !worker.synced, mixed) {
            (true, _) => 0,
            (false, true) => MIXED_WAIT,
            (false, false) => WAIT,
        };
        Some((worker.peer(), Hold { token, acked: worker.acked, deadline, wait }))
    }

    /// Whether ends of a worker wait to become durable, so that it would list them
    /// again at once.
    pub fn unacked(&self, id: &Name) -> bool {
        let stored = self.journal.stored;
        let ends = self.workers.get(id).and_then(|worker| worker.acks.back());
        ends.is_some_and(|(_, mark)| *mark > stored)
    }

    /// Takes in the lists of a worker, asked for at `sent`.
    pub fn on_hold(
        &mut self,
        id: &Name,
        sent: Millis,
        answer: Result<Held, WorkerFault>,
        now: Now,
    ) {
        let held = match answer {
            Ok(held) => held,
            Err(WorkerFault::Refused(Refusal::Fence, _)) => return self.fenced(id),
            Err(WorkerFault::Refused(_, Some(clock))) => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.read_clock(clock, now.mono);
                }
                return;
            }
            Err(_) => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.unanswered = worker.unanswered.max(sent);
                }
                return;
            }
        };
        let Some(worker) = self.workers.get_mut(id) else { return };
        if let Some(born) = held.born {
            if born < worker.entry.born {
                return;
            }
            if born > worker.entry.born {
                self.reborn(id, born, now);
            }
        }
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.read_clock(held.clock, now.mono);
        // Answers may overtake one another.
        let stale = held.clock < worker.listed_at;
        worker.listed_at = worker.listed_at.max(held.clock);
        let full = held.finished.len() >= LIST_MOST;
        for ended in held.finished {
            let Some(worker) = self.workers.get_mut(id) else { return };
            if ended.number > worker.seen {
                worker.seen = ended.number;
                self.on_end(id, ended, now);
            }
        }
        if stale {
            return;
        }
        let listed: BTreeSet<(TaskId, u64)> =
            held.running.iter().map(|row| (row.task.clone(), row.run)).collect();
        for row in held.running {
            self.on_running(id, row, now);
        }
        self.measure(id, now);
        if !full {
            self.miss(id, &listed, sent);
        }
        if let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.synced) {
            worker.synced = true;
            event!("worker_synced", worker = id, runs = worker.runs.len(), epoch = self.epoch);
            if !worker.runs.is_empty() {
                // Renews the leases of what a predecessor left running.
                self.orders.push(Order::Look(id.clone()));
            }
        }
    }

    fn on_running(&mut self, id: &Name, row: Running, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let known = worker.runs.get(&row.task).map(|run| run.no);
        match known {
            Some(no) if no == row.run => self.refresh(id, row, now),
            Some(_) => {}
            None => self.adopt(id, row, now),
        }
    }

    /// Updates a run that is known.
    fn refresh(&mut self, id: &Name, row: Running, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let Some(run) = worker.runs.get_mut(&row.task) else { return };
        if matches!(run.state, RunState::Starting | RunState::Doubt) {
            run.state = RunState::Running;
            run.sure = now.mono;
            run.moved = now.mono;
        }
        if run.percent != row.percent {
            run.percent = row.percent;
            run.moved = now.mono;
        }
        run.gauge = row.gauge;
        let Some(job) = self.jobs.get_mut(&row.task.job) else { return };
        job.started = true;
        if let Some(task) = job.task_mut(&row.task).filter(|_| !row.saved.is_empty()) {
            task.saved = row.saved;
        }
    }

    /// Takes over a run that a predecessor started, or stops it where it is not
    /// wanted.
    fn adopt(&mut self, id: &Name, row: Running, now: Now) {
        let own = self.own_run(row.run);
        let job = self.jobs.get_mut(&row.task.job);
        let step = job.as_ref().and_then(|job| job.step(&row.task)).cloned().unwrap_or_default();
        let over = job.as_ref().is_none_or(|job| job.over());
        let mut wanted = false;
        if let Some(job) = job {
            job.started = true;
            if let Some(task) = job.task_mut(&row.task) {
                wanted = !own && !over && !task.done && task.on.is_empty();
                task.on.push(id.clone());
                if !row.saved.is_empty() {
                    task.saved = row.saved.clone();
                }
                if wanted {
                    task.queued = false;
                }
            }
        }
        let run = Run {
            state: RunState::Running,
            began: 0,
            sure: now.mono,
            ordered: false,
            percent: row.percent,
            gauge: row.gauge,
            pace: u32::MAX,
            ..Run::ordered(row.run, &step, now.mono)
        };
        if let Some(worker) = self.workers.get_mut(id) {
            worker.add(row.task.clone(), run);
        }
        if wanted {
            event!("adopted", task = row.task, worker = id, run = row.run);
            if let Some(waiting) = self.waiting.get_mut(&row.task.job) {
                waiting.retain(|task| *task != row.task);
            }
        } else {
            self.stop(id, &row.task, "not_wanted");
        }
    }

    /// Drops runs that a list asked for at `sent` would have held.
    fn miss(&mut self, id: &Name, listed: &BTreeSet<(TaskId, u64)>, sent: Millis) {
        let Some(worker) = self.workers.get(id) else { return };
        let missing = |(task, run): &(&TaskId, &Run)| {
            let sure = matches!(run.state, RunState::Running | RunState::Stopping);
            sure && run.sure > 0 && run.sure < sent && !listed.contains(&((*task).clone(), run.no))
        };
        let gone: Vec<TaskId> =
            worker.runs.iter().filter(missing).map(|(task, _)| task.clone()).collect();
        for task in gone {
            self.drop_run(id, &task, "not_listed");
        }
    }
}
