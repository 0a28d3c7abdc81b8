use std::collections::BTreeMap;

use base::{Name, Now, event};
use job::TaskId;
use port::Start;

use crate::{Lead, Order, Run, load::Kind, pass::Pass, search::Found};

/// Starts decided in one pass.
const MAX_STARTS: usize = 200;
impl Lead {
    /// Starts the tasks that wait where there is room for them.
    pub(crate) fn place(&mut self, now: Now) {
        let settled = self.settled(now);
        let mut pass = Pass::default();
        for id in self.order(now) {
            if pass.starts >= MAX_STARTS {
                return;
            }
            if !settled && self.jobs.get(&id).is_some_and(|job| job.inherited) {
                continue;
            }
            if self.blocked(&id, &pass) {
                continue;
            }
            let tasks = self.waiting.remove(&id).unwrap_or_default();
            let left = self.place_job(tasks, &mut pass, now);
            if !left.is_empty() {
                self.waiting.insert(id, left);
            }
        }
    }

    /// Whether no task that waits of a job can find a place in this pass.
    fn blocked(&self, id: &Name, pass: &Pass) -> bool {
        let (Some(job), Some(tasks)) = (self.jobs.get(id), self.waiting.get(id)) else {
            return false;
        };
        let mut steps: Vec<u32> = tasks.iter().map(|task| task.step).collect();
        steps.dedup();
        !steps.is_empty()
            && steps
                .iter()
                .all(|step| pass.blocks(&job.queue.service, &job.spec.steps[*step as usize]))
    }

    /// Starts tasks of one job; returns those left.
    fn place_job(&mut self, tasks: Vec<TaskId>, pass: &mut Pass, now: Now) -> Vec<TaskId> {
        let mut left = Vec::new();
        let mut full: Option<u32> = None;
        let mut found: Option<Found> = None;
        let mut gangs: BTreeMap<(u32, u32), Vec<TaskId>> = BTreeMap::new();
        for id in tasks {
            let open =
                self.jobs.get(&id.job).and_then(|job| job.task(&id)).is_some_and(|t| t.queued);
            if !open {
                continue;
            }
            let gang = self.jobs.get(&id.job).and_then(|job| job.step(&id)).is_some_and(|s| s.gang);
            if gang {
                gangs.entry((id.occ, id.step)).or_default().push(id);
                continue;
            }
            // Tasks of one step are alike: where one finds no place, none does.
            if full == Some(id.step) {
                left.push(id);
                continue;
            }
            let place = self.find(&id, &mut found, now);
            match place {
                Some(worker) => {
                    self.start(&id, &worker, now);
                    pass.starts += 1;
                }
                None => {
                    self.find_failed(&id, pass, now);
                    full = Some(id.step);
                    left.push(id);
                }
            }
        }
        for members in gangs.into_values() {
            if self.place_gang(&members, now) {
                pass.starts += members.len();
            } else {
                self.find_failed(&members[0], pass, now);
                left.extend(members);
            }
        }
        left
    }

    /// Notes that a task finds no place, and asks for a ticket where it needs one.
    fn find_failed(&mut self, id: &TaskId, pass: &mut Pass, now: Now) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        if let Some(step) = job.step(id) {
            pass.note(&job.queue.service, step, job.queue.advised);
        }
        if self.advised(id) {
            self.want_ticket(id, now);
        }
    }

    /// Orders a run of a task on a worker.
    fn start(&mut self, id: &TaskId, worker: &Name, now: Now) {
        let no = self.next_run();
        let saved = self.jobs.get(&id.job).and_then(|job| job.task(id)).map(|t| t.saved.clone());
        self.start_run(id, worker, no, saved.unwrap_or_default(), now);
    }

    /// Orders the run of a number, resumed from a checkpoint.
    pub(crate) fn start_run(&mut self, id: &TaskId, worker: &Name, no: u64, saved: Name, now: Now) {
        let (token, lease) = (self.epoch, self.bounds.lease);
        let ticket = self.ticket(id, worker, now).unwrap_or_default();
        let waited = self.waited(&id.step_id(), now);
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let Some(step) = job.step(id).cloned() else { return };
        let text = job.spec.text.clone();
        let Some(task) = job.task_mut(id) else { return };
        task.queued = false;
        task.on.push(worker.clone());
        self.searched = worker.clone();
        self.reserved.remove(worker);
        let Some(entry) = self.workers.get_mut(worker) else { return };
        let clock = entry.clock_now(now.mono).unwrap_or(0);
        let deadline = clock + lease;
        entry.deadline = entry.deadline.max(deadline);
        entry.add(id.clone(), Run::ordered(no, &step, now.mono));
        let start = Start { task: id.clone(), run: no, text, deadline, token, saved, ticket };
        self.orders.push(Order::Start(entry.peer(), start));
        metrics::histogram!("wait_ms", "kind" => Kind::of(&step).word()).record(waited as f64);
        event!(
            "start",
            task = id,
            worker = worker,
            run = no,
            token = token,
            free_cpu = entry.free().cpu,
            filled = entry.filled,
            image = step.image,
            cpu = step.size.cpu,
            waited = waited,
            kind = Kind::of(&step).word(),
            age = now.mono.saturating_sub(entry.answered)
        );
    }
}
