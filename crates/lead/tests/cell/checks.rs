use base::{Millis, Name};
use job::{State, TaskId};
use lead::TaskPhase;
use port::{Outcome, Start};

use super::Cell;

/// Interval between two audits of the leaders' tasks.
const AUDIT_INTERVAL: Millis = 50;
/// Longest time for which a run may be in doubt or stopped once the faults have stopped. Its worker
/// may have left: a restart of before becomes known, a start without a reply may still be carried
/// out, and has the longest lease, on a clock that runs 2 % slow.
const MAX_PHASE: Millis = 4_000 + 14_000 + 10_000 * 100 / 98;

impl Cell {
    pub(super) fn violate(&mut self, text: String) {
        log::info!("event=violation at={} {text}", self.now);
        self.violations.push(format!("{} ms: {text}", self.now));
    }

    /// Lets the workers work, and takes note of what has ended.
    pub(super) fn work(&mut self) {
        for (id, worker) in self.workers.iter_mut().filter(|(_, w)| w.down_until <= self.now) {
            if worker.has_lapsed(self.now) {
                self.hosts.get_mut(id).expect("a host").lapsed_at = self.now;
            }
            worker.work(self.now);
            worker.failed.clear();
            for end in worker.completions.iter().filter(|end| end.outcome == Outcome::Done) {
                self.done.insert(end.task.clone());
                self.ended.entry((id.clone(), end.task.clone())).or_insert(self.now);
            }
        }
    }

    pub(super) fn acknowledge(&mut self, id: &Name, acked: u64) {
        let worker = self.workers.get_mut(id).expect("a worker");
        for task in worker.forget(acked) {
            self.ended.remove(&(id.clone(), task.clone()));
            if let Some(at) = self.outdated.remove(&(id.clone(), task.clone())) {
                self.violate(format!("end of {task} on {id} acknowledged, started again at {at}"));
            }
            self.acknowledged.insert(task, self.now);
        }
    }

    /// Checks the guarantees that a start could violate.
    pub(super) fn check_start(&mut self, id: &Name, start: &Start) {
        if !self.workers[id].would_start(start, self.now) {
            return;
        }
        let (task, token) = (&start.task, start.token);
        if let Some(at) = self.acknowledged.get(task) {
            self.violate(format!("{token} starts {task} on {id}, its end acknowledged at {at}"));
        }
        let mut others = Vec::new();
        for worker in self.workers.values().filter(|worker| worker.down_until <= self.now) {
            if worker.runs.contains_key(task) {
                others.push(worker.id.clone());
            }
        }
        // Where the leases have expired since, the worker counts as lost.
        for (held, at) in self.ended.iter().filter(|((_, ended), _)| ended == task) {
            if self.hosts[&held.0].lapsed_at < *at {
                self.outdated.insert(held.clone(), self.now);
            }
        }
        for other in others {
            self.violate(format!("{token} starts {task} on {id}, it runs on {other}"));
        }
        for step in &self.specs[&task.job].steps[task.step as usize].depends_on {
            if !self.is_done(&task.job, *step) {
                return self.violate(format!("{token} starts {task} before step {step} is done"));
            }
        }
    }

    /// Returns whether all tasks of a step have ended as done.
    pub(super) fn is_done(&self, job: &Name, number: u32) -> bool {
        let step = &self.specs[job].steps[number as usize];
        let task = |index| TaskId { job: job.clone(), occurrence: 0, step: number, index };
        let mut ended = (0..step.count).map(|index| self.done.contains(&task(index)));
        if step.gang { ended.any(|done| done) } else { ended.all(|done| done) }
    }

    /// Checks that no job is shown as completed before all of its tasks are done.
    pub(super) fn check_shown(&mut self) {
        let mut wrong = Vec::new();
        for (id, spec) in &self.specs {
            let mut leaders = self.leaders.values();
            let shown = leaders.any(|leader| leader.lead.state(id) == Some(State::Completed));
            if shown && !(0..spec.steps.len()).all(|step| self.is_done(id, step as u32)) {
                wrong.push(format!("{id} is shown as completed"));
            }
        }
        wrong.into_iter().for_each(|text| self.violate(text));
    }

    /// Checks that each leader is about to run each task whose turn has come, and that runs don't
    /// stay in doubt once the faults have stopped.
    pub(super) fn audit(&mut self) {
        if !self.now.is_multiple_of(AUDIT_INTERVAL) {
            return;
        }
        let (now, time) = (self.now, self.time());
        let calm = self.healed_at.map_or(0, |at| now - at);
        let mut lines = Vec::new();
        for (epoch, leader) in &mut self.leaders {
            for (phase, count) in leader.lead.audit(time).phases {
                let doubtful =
                    matches!(phase, TaskPhase::Starting | TaskPhase::InDoubt | TaskPhase::Stopping);
                let long = doubtful && count.age.min(calm) > MAX_PHASE;
                if phase == TaskPhase::Orphaned || long {
                    let (label, task, age) = (phase.label(), count.oldest, count.age);
                    lines.push(format!("{epoch}: {task:?} is {label} for {age} ms"));
                }
            }
        }
        lines.into_iter().for_each(|line| self.violate(line));
    }

    /// Returns the jobs that the newest leader does not show as ended, with their states.
    pub(crate) fn unfinished(&self) -> Vec<String> {
        let Some(leader) = self.leaders.get(&self.log.epoch) else {
            return vec!["no leader".to_owned()];
        };
        let ended = [State::Completed, State::Failed, State::Cancelled];
        let state = |id| leader.lead.state(id);
        let open = self.specs.keys().filter(|id| state(id).is_none_or(|s| !ended.contains(&s)));
        open.map(|id| format!("{id} is {:?}", state(id))).collect()
    }
}
