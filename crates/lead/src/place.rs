use std::collections::{BTreeMap, BTreeSet};

use base::{Name, Now, event};
use job::TaskId;
use port::Start;

use crate::{
    Command, Lead, Run,
    load::TaskKind,
    pass::{MAX_UNPLACED_STEPS, Pass},
    search::SearchCache,
};

/// Limit of starts in one placement pass.
const MAX_STARTS: usize = 200;

impl Lead {
    /// Starts waiting tasks on workers with enough free capacity.
    pub(crate) fn place_tasks(&mut self, now: Now) {
        let settled = self.settled(now);
        self.begin_pass();
        let mut pass = self.open_pass(now);
        for id in self.scheduling_order(now) {
            if pass.starts >= MAX_STARTS {
                return;
            }
            if !settled && self.jobs.get(&id).is_some_and(|job| job.inherited) {
                continue;
            }
            if self.is_blocked(&id, &pass, now) {
                continue;
            }
            let tasks = self.waiting.remove(&id).unwrap_or_default();
            let left = self.place_job(tasks, &mut pass, now);
            if !left.is_empty() {
                self.waiting.insert(id, left);
            }
        }
    }

    /// Whether none of a job's waiting tasks can be placed in the rest of this pass. Workers that
    /// are reserved for one of its steps, or isolated for one of its tasks, are open to no other.
    fn is_blocked(&self, id: &Name, pass: &Pass, now: Now) -> bool {
        if self.holds_reservation(id, now) {
            return false;
        }
        let (Some(job), Some(tasks)) = (self.jobs.get(id), self.waiting.get(id)) else {
            return false;
        };
        if tasks.iter().any(|task| self.suspects.contains(task)) {
            return false;
        }
        let mut steps: Vec<u32> = tasks.iter().map(|task| task.step).collect();
        steps.dedup();
        !steps.is_empty()
            && steps
                .iter()
                .all(|step| pass.can_skip(id, &job.queue.service, &job.spec.steps[*step as usize]))
    }

    /// Starts tasks of one job and returns those that were not placed.
    fn place_job(&mut self, tasks: Vec<TaskId>, pass: &mut Pass, now: Now) -> Vec<TaskId> {
        let (mut left, mut untried) = (Vec::new(), Vec::new());
        // Tasks with the same requirements: if one cannot be placed, neither can the others.
        let mut full: BTreeSet<(u32, u32)> = BTreeSet::new();
        let mut cache: Option<SearchCache> = None;
        let mut gangs: BTreeMap<(u32, u32), Vec<TaskId>> = BTreeMap::new();
        for id in tasks {
            let Some(job) = self.jobs.get(&id.job) else { continue };
            if job.task(&id).is_none_or(|task| !task.queued) {
                continue;
            }
            let Some(step) = job.step(&id) else { continue };
            if step.gang {
                gangs.entry((id.occurrence, id.step)).or_default().push(id);
                continue;
            }
            if self.suspects.contains(&id) {
                match self.find_isolated(&id, now) {
                    Some(worker) => {
                        self.start_task(&id, &worker, now);
                        pass.starts += 1;
                    }
                    None => left.push(id),
                }
                continue;
            }
            if self.bound_worker(&id).is_some() {
                match self.find_bound(&id, now) {
                    Some(worker) => {
                        self.start_task(&id, &worker, now);
                        pass.starts += 1;
                    }
                    None => left.push(id),
                }
                continue;
            }
            let alike = self.alike(&id);
            if full.contains(&alike) {
                left.push(id);
                continue;
            }
            if full.len() >= MAX_UNPLACED_STEPS {
                untried.push(id);
                continue;
            }
            let fits = self.may_fit(pass, &job.queue.service, step, now);
            let place = if fits { self.find_worker(&id, &mut cache, now) } else { None };
            match place {
                Some(worker) => {
                    self.start_task(&id, &worker, now);
                    pass.starts += 1;
                }
                None => {
                    self.handle_unplaced(&id, pass, now);
                    full.insert(alike);
                    left.push(id);
                }
            }
        }
        for members in gangs.into_values() {
            let alike = self.alike(&members[0]);
            if full.contains(&alike) {
                left.extend(members);
            } else if full.len() >= MAX_UNPLACED_STEPS {
                untried.extend(members);
            } else if self.may_place_gang(&members, pass, now) && self.place_gang(&members, now) {
                pass.starts += members.len();
            } else {
                self.handle_unplaced(&members[0], pass, now);
                full.insert(alike);
                left.extend(members);
            }
        }
        // Those that have not been tried come first in the next pass.
        untried.extend(left);
        untried
    }

    fn may_place_gang(&self, members: &[TaskId], pass: &mut Pass, now: Now) -> bool {
        let Some(job) = self.jobs.get(&members[0].job) else { return false };
        let Some(step) = job.step(&members[0]) else { return false };
        self.may_fit(pass, &job.queue.service, step, now)
    }

    /// Returns what the waiting tasks of a job have in common that the same workers can run:
    /// occurrence and step, or the step alone.
    fn alike(&self, id: &TaskId) -> (u32, u32) {
        let job = self.jobs.get(&id.job);
        let needs_ticket = job.is_some_and(|job| job.queue.needs_ticket);
        let step = job.and_then(|job| job.step(id));
        let own = step.is_some_and(|step| step.has_own_workers(needs_ticket));
        (if own { id.occurrence } else { 0 }, id.step)
    }

    /// Records that a task could not be placed and requests a ticket if its queue needs one.
    fn handle_unplaced(&mut self, id: &TaskId, pass: &mut Pass, now: Now) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        if let Some(step) = job.step(id) {
            pass.note_unplaced(&job.queue.service, step, job.queue.needs_ticket);
            if !step.gang && !job.queue.needs_ticket {
                self.note_searched(id.step_id(), now);
            }
        }
        if self.needs_ticket(id) {
            self.request_ticket(id, now);
        }
    }

    /// Starts a task on a worker under a new run id.
    fn start_task(&mut self, id: &TaskId, worker: &Name, now: Now) {
        let run_id = self.next_run_id();
        let checkpoint =
            self.jobs.get(&id.job).and_then(|job| job.task(id)).map(|t| t.checkpoint.clone());
        self.start_run(id, worker, run_id, checkpoint.unwrap_or_default(), now);
    }

    /// Starts a task on a worker as the run `run_id`, resuming from a checkpoint.
    pub(crate) fn start_run(
        &mut self,
        id: &TaskId,
        name: &Name,
        run_id: u64,
        checkpoint: Name,
        now: Now,
    ) {
        let epoch = self.epoch;
        let waited = self.waited(&id.step_id(), now);
        let suspect = self.suspects.contains(id);
        let alone = suspect && self.starts_alone(id, now);
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let Some(step) = job.step(id).cloned() else { return };
        let Some(task) = job.task_mut(id) else { return };
        task.queued = false;
        task.workers.push(name.clone());
        self.search_cursor = name.clone();
        self.reservations.remove(name);
        let Some(worker) = self.workers.get_mut(name) else { return };
        let run = Run {
            suspect,
            alone,
            checkpoint: checkpoint.clone(),
            ..Run::starting(run_id, &step, now.mono)
        };
        worker.add(id.clone(), run);
        self.send_start(id, name, run_id, checkpoint, now);
        let Some(worker) = self.workers.get(name) else { return };
        if !self.settled {
            metrics::counter!("starts_unsettled").increment(1);
        }
        metrics::histogram!("wait_ms", "kind" => TaskKind::of(&step).label()).record(waited as f64);
        event!(
            "start",
            task = id,
            worker = name,
            run = run_id,
            token = epoch,
            free_cpu = worker.free().cpu,
            best_effort_cpu = worker.best_effort_cpu,
            image = step.image,
            cpu = step.size.cpu,
            waited = waited,
            kind = TaskKind::of(&step).label(),
            age = now.mono.saturating_sub(worker.replied_at),
            unclaimed = now.mono.saturating_sub(self.unclaimed_at),
            settled = self.settled
        );
    }
    /// Issues the start command for a run.
    pub(crate) fn send_start(
        &mut self,
        id: &TaskId,
        name: &Name,
        run: u64,
        checkpoint: Name,
        now: Now,
    ) {
        let (epoch, lease) = (self.epoch, self.bounds.lease);
        let ticket = self.ticket(id, name, now).unwrap_or_default();
        let text = self.jobs.get(&id.job).map(|job| job.spec.text.clone()).unwrap_or_default();
        let Some(worker) = self.workers.get_mut(name) else { return };
        let token = worker.token(epoch);
        let deadline = worker.clock_now(now.mono).unwrap_or(0) + lease;
        worker.lease_expiry = worker.lease_expiry.max(deadline);
        let start = Start { task: id.clone(), run, text, deadline, token, checkpoint, ticket };
        self.commands.push(Command::Start(worker.addr(), start));
    }
}
