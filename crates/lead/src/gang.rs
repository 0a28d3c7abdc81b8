use std::collections::{BTreeMap, BTreeSet};

use base::{Name, Now, Size, event};
use job::{Step, TaskId};

use crate::{Lead, RunState};

impl Lead {
    /// Starts all tasks of a gang, or none of them. Returns whether they were started.
    pub(crate) fn place_gang(&mut self, tasks: &[TaskId], now: Now) -> bool {
        let Some(first) = tasks.first() else { return false };
        let Some(step) = self.jobs.get(&first.job).and_then(|job| job.step(first)).cloned() else {
            return false;
        };
        let complete = tasks.len() == step.count as usize;
        if !complete {
            return false;
        }
        let Some(workers) = self.gang_workers(tasks, &step, now) else { return false };
        let run = self.next_run_id();
        let checkpoint = self.gang_checkpoint(tasks);
        event!("gang", job = first.job, step = first.step, tasks = tasks.len(), run = run);
        for (task, worker) in tasks.iter().zip(workers) {
            self.start_run(task, &worker, run, checkpoint.clone(), now);
        }
        true
    }

    /// Returns a worker for each task. Steps that slow down across racks are placed in one
    /// rack if one has the capacity.
    fn gang_workers(&mut self, tasks: &[TaskId], step: &Step, now: Now) -> Option<Vec<Name>> {
        if step.rack_local {
            let mut racks: Vec<Name> =
                self.workers.values().filter_map(|w| w.rack().cloned()).collect();
            racks.sort_unstable();
            racks.dedup();
            let within =
                racks.iter().find_map(|rack| self.assign_workers(tasks, step, Some(rack), now));
            if within.is_some() {
                return within;
            }
        }
        self.assign_workers(tasks, step, None, now)
    }

    /// Assigns the tasks to workers one after the other, counting the capacity taken by the
    /// preceding ones.
    fn assign_workers(
        &self,
        tasks: &[TaskId],
        step: &Step,
        rack: Option<&Name>,
        now: Now,
    ) -> Option<Vec<Name>> {
        let mut assigned: BTreeMap<Name, (Size, u32)> = BTreeMap::new();
        let mut workers = Vec::new();
        for task in tasks {
            let eligible = |id: &Name, free: Size| {
                let (size, count) = assigned.get(id).copied().unwrap_or_default();
                let under_limit = step.per_worker == 0 || count < step.per_worker;
                under_limit && step.size.fits(free.minus(size)) && self.in_rack(id, rack)
            };
            let worker = self.find_worker_where(task, now, &eligible)?;
            let (size, count) = assigned.get(&worker).copied().unwrap_or_default();
            assigned.insert(worker.clone(), (size.plus(step.size), count + 1));
            workers.push(worker);
        }
        Some(workers)
    }

    fn in_rack(&self, id: &Name, rack: Option<&Name>) -> bool {
        rack.is_none() || self.workers.get(id).and_then(|worker| worker.rack()) == rack
    }

    /// Returns a checkpoint that is valid for all tasks of the gang.
    fn gang_checkpoint(&self, tasks: &[TaskId]) -> Name {
        let checkpoint =
            |id: &TaskId| self.jobs.get(&id.job)?.task(id).map(|task| task.checkpoint.clone());
        tasks.iter().filter_map(checkpoint).find(|found| !found.is_empty()).unwrap_or_default()
    }

    /// Stops the other tasks of a gang after the run of one of them has ended or been lost.
    pub(crate) fn stop_gang(&mut self, id: &TaskId) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        let Some(step) = job.step(id).filter(|step| step.gang) else { return };
        let mut others = Vec::new();
        for index in (0..step.count).filter(|index| *index != id.index) {
            let other = TaskId { index, ..id.clone() };
            let workers = job.task(&other).map(|task| task.workers.clone()).unwrap_or_default();
            others.extend(workers.into_iter().map(|worker| (worker, other.clone())));
        }
        for (worker, other) in others {
            let run = self.workers.get(&worker).and_then(|w| w.runs.get(&other));
            if run.is_some_and(|run| run.state != RunState::Stopping) {
                self.stop(&worker, &other, "gang_broken");
            }
        }
    }

    /// Returns a task, or all members of its gang.
    pub(crate) fn with_gang(&self, id: &TaskId) -> Vec<TaskId> {
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        let gang = step.filter(|step| step.gang).map(|step| step.count);
        let indexes = gang.map_or(id.index..id.index + 1, |count| 0..count);
        indexes.map(|index| TaskId { index, ..id.clone() }).collect()
    }

    /// Returns the number of failed runs of a task, or of its gang, whose members share the number
    /// of a run.
    pub(crate) fn failed_runs_of(&self, id: &TaskId) -> usize {
        let Some(job) = self.jobs.get(&id.job) else { return 0 };
        let members = self.with_gang(id);
        let tasks = members.iter().filter_map(|member| job.task(member));
        tasks.flat_map(|task| &task.failed_runs).collect::<BTreeSet<&u64>>().len()
    }

    /// Keeps the next run of a task, or of its gang, off a worker where possible. A member that failed
    /// elsewhere in the same run stays off that worker.
    pub(crate) fn avoid(&mut self, id: &TaskId, worker: &Name, run: u64) {
        for member in self.with_gang(id) {
            let job = self.jobs.get_mut(&id.job);
            let Some(task) = job.and_then(|job| job.task_mut(&member)) else { continue };
            if member == *id || !task.failed_runs.contains(&run) {
                task.avoid = Some(worker.clone());
            }
        }
    }
}
