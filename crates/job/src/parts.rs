use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    hash::{DefaultHasher, Hash, Hasher},
    str::FromStr,
};

use base::Name;

use crate::{
    Job, JobRecord, Occurrence, PartProgress, Spec, StepProgress, Summary, Task, TaskId,
    progress::StepState,
};

/// Number of consecutive tasks of an occurrence in one part.
const TASKS_PER_PART: u32 = 64;

/// Identifies a part of a job's progress: some consecutive tasks of one occurrence, counted over
/// all its steps; displayed as `OCCURRENCE/NUMBER`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartId {
    /// Occurrence; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Number of the part within the occurrence.
    pub number: u32,
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.occurrence, self.number)
    }
}

impl FromStr for PartId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<PartId, Self::Err> {
        let (occurrence, number) = text.split_once('/').unwrap_or((text, ""));
        Ok(PartId { occurrence: occurrence.parse()?, number: number.parse()? })
    }
}

/// Parts of the progress of a job that is too large for one record.
#[derive(Debug, Clone)]
pub(crate) struct Parts {
    /// Tasks of an occurrence before each step, and in all.
    offsets: Vec<u32>,
    /// Parts that may have changed since they were last taken.
    changed: BTreeSet<PartId>,
    /// Parts with a record, and the hash of that record.
    recorded: BTreeMap<PartId, u64>,
    /// Parts whose record is no longer needed.
    obsolete: Vec<PartId>,
}

impl Parts {
    fn new(spec: &Spec) -> Parts {
        let mut offsets = vec![0];
        let mut total = 0;
        for step in &spec.steps {
            total += step.count;
            offsets.push(total);
        }
        Parts { offsets, changed: BTreeSet::new(), recorded: BTreeMap::new(), obsolete: Vec::new() }
    }

    /// Notes that a task may have changed.
    pub(crate) fn mark(&mut self, id: &TaskId) {
        let Some(offset) = self.offsets.get(id.step as usize) else { return };
        let number = offset.saturating_add(id.index) / TASKS_PER_PART;
        self.changed.insert(PartId { occurrence: id.occurrence, number });
    }

    /// Notes that the tasks of an occurrence need no records any more.
    pub(crate) fn remove(&mut self, occurrence: u32) {
        let of_occurrence = |part: &PartId| part.occurrence == occurrence;
        self.changed.retain(|part| !of_occurrence(part));
        let first = PartId { occurrence, number: 0 };
        let last = PartId { occurrence, number: u32::MAX };
        let gone: Vec<PartId> = self.recorded.range(first..=last).map(|(part, _)| *part).collect();
        for part in gone {
            self.recorded.remove(&part);
            self.obsolete.push(part);
        }
    }

    /// Returns the step and index of a task by its number within an occurrence.
    fn locate(&self, number: u32) -> Option<(usize, usize)> {
        let step = self.offsets.partition_point(|offset| *offset <= number).checked_sub(1)?;
        (step + 1 < self.offsets.len()).then(|| (step, (number - self.offsets[step]) as usize))
    }

    /// Returns the progress of a part of an occurrence.
    fn progress(&self, state: &Occurrence, number: u32) -> PartProgress {
        let mut progress = PartProgress::default();
        let first = number * TASKS_PER_PART;
        for number in first..first + TASKS_PER_PART {
            let Some((step, index)) = self.locate(number) else { break };
            progress.add(number, &state.steps[step].tasks[index]);
        }
        progress
    }

    /// Applies the progress of a part to its occurrence. Numbers without a task are skipped.
    fn restore(&self, state: &mut Occurrence, progress: PartProgress) {
        let mut steps: BTreeMap<usize, StepProgress> = BTreeMap::new();
        for number in progress.done {
            let Some((step, index)) = self.locate(number) else { continue };
            steps.entry(step).or_default().done.push(index as u32);
        }
        for (number, runs) in progress.failed {
            let Some((step, index)) = self.locate(number) else { continue };
            steps.entry(step).or_default().failed.push((index as u32, runs));
        }
        for (number, saved) in progress.checkpoints {
            let Some((step, index)) = self.locate(number) else { continue };
            steps.entry(step).or_default().checkpoints.push((index as u32, saved));
        }
        for (step, progress) in steps {
            state.steps[step].restore(progress);
        }
        for (number, crashes) in progress.crashes {
            if let Some((step, index)) = self.locate(number) {
                state.steps[step].tasks[index].crashes = crashes;
            }
        }
    }
}

impl PartProgress {
    fn add(&mut self, number: u32, task: &Task) {
        if task.done {
            self.done.push(number);
            return;
        }
        if !task.failed_runs.is_empty() {
            self.failed.push((number, task.failed_runs.clone()));
        }
        if task.has_checkpoint_to_store() {
            self.checkpoints.push((number, task.checkpoint.clone()));
        }
        if !task.crashes.is_empty() {
            self.crashes.push((number, task.crashes.clone()));
        }
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

impl Job {
    /// Has the progress recorded in parts from now on; returns whether it was not before.
    pub fn split(&mut self) -> bool {
        if self.parts.is_some() {
            return false;
        }
        let mut parts = Parts::new(&self.spec);
        let last = parts.offsets.last().map_or(0, |total| total.saturating_sub(1));
        for occurrence in self.in_progress.keys() {
            let numbers = 0..=last / TASKS_PER_PART;
            parts.changed.extend(numbers.map(|number| PartId { occurrence: *occurrence, number }));
        }
        self.parts = Some(parts);
        true
    }

    /// Returns whether the progress is recorded in parts.
    pub fn is_split(&self) -> bool {
        self.parts.is_some()
    }

    /// Returns whether there are parts whose records are to be deleted.
    pub fn has_obsolete_parts(&self) -> bool {
        self.parts.as_ref().is_some_and(|parts| !parts.obsolete.is_empty())
    }

    /// Returns the summary to store beside the parts.
    pub fn summary(&self) -> Summary {
        let mut open: Vec<(u32, u32)> = Vec::new();
        for occ in self.in_progress.keys().filter(|_| !self.is_terminal()) {
            match open.last_mut() {
                Some((first, count)) if *first + *count == *occ => *count += 1,
                _ => open.push((*occ, 1)),
            }
        }
        Summary {
            cancelled: self.cancelled || self.cancel_requested,
            failed: self.failed,
            ended_at: self.ended_at,
            begun: self.next_occurrence,
            open,
        }
    }

    /// Takes the parts to store that have changed.
    pub fn take_changed_parts(&mut self) -> Vec<(PartId, PartProgress)> {
        let terminal = self.is_terminal();
        let Some(parts) = self.parts.as_mut().filter(|_| !terminal) else { return Vec::new() };
        let mut taken = Vec::new();
        for id in std::mem::take(&mut parts.changed) {
            let Some(state) = self.in_progress.get(&id.occurrence) else { continue };
            let progress = parts.progress(state, id.number);
            let digest = progress.digest();
            let recorded = parts.recorded.get(&id);
            if recorded == Some(&digest) || recorded.is_none() && progress.is_empty() {
                continue;
            }
            parts.recorded.insert(id, digest);
            taken.push((id, progress));
        }
        taken
    }

    /// Takes the parts whose records are to be deleted: those of occurrences that are done, or all
    /// where the job has ended.
    pub fn take_obsolete_parts(&mut self) -> Vec<PartId> {
        let terminal = self.is_terminal();
        let Some(parts) = &mut self.parts else { return Vec::new() };
        let mut obsolete = std::mem::take(&mut parts.obsolete);
        if terminal {
            obsolete.extend(std::mem::take(&mut parts.recorded).into_keys());
        }
        obsolete
    }

    /// Rebuilds a job from its stored records, for a leader that takes over. Parts of occurrences
    /// that are not in progress become obsolete.
    pub fn restore_split(
        id: Name,
        record: JobRecord,
        summary: Summary,
        stored: Vec<(PartId, PartProgress)>,
    ) -> Job {
        let mut job = Job::restore(id, record, None);
        job.cancelled = summary.cancelled;
        job.failed = summary.failed;
        job.ended_at = summary.ended_at;
        job.next_occurrence = summary.begun;
        job.started = summary.begun > 0;
        for (first, count) in summary.open {
            for occ in first..first.saturating_add(count).min(summary.begun) {
                job.in_progress.insert(occ, Occurrence::new(&job.spec));
            }
        }
        job.end_stored = job.is_terminal();
        let mut parts = Parts::new(&job.spec);
        for (id, progress) in stored {
            match job.in_progress.get_mut(&id.occurrence) {
                Some(state) => {
                    parts.recorded.insert(id, progress.digest());
                    parts.restore(state, progress);
                }
                None => parts.obsolete.push(id),
            }
        }
        let done = |state: &Occurrence| state.steps.iter().all(StepState::is_done);
        let done: Vec<u32> =
            job.in_progress.iter().filter(|(_, state)| done(state)).map(|(occ, _)| *occ).collect();
        for occ in done {
            job.in_progress.remove(&occ);
            parts.remove(occ);
        }
        job.parts = Some(parts);
        job
    }
}
