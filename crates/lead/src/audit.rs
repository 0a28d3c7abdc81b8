use std::collections::BTreeMap;

use base::{Millis, Now, event};
use job::{Job, Task, TaskId};

use crate::{Lead, Run, RunState};

/// Time in a phase other than running from which it is logged, in milliseconds.
const LONG_PHASE: Millis = 3_000;

/// What the leader does about a task whose turn has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TaskPhase {
    /// A worker has confirmed or listed a run of it.
    Running,
    /// A start command is on its way.
    Starting,
    /// A start command got no reply; the task waits until it is certain that it won't begin.
    InDoubt,
    /// A run of it is being stopped.
    Stopping,
    /// It waits for a worker.
    Queued,
    /// None of these: nothing would start it.
    Orphaned,
}

impl TaskPhase {
    /// Returns the label used in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            TaskPhase::Running => "running",
            TaskPhase::Starting => "starting",
            TaskPhase::InDoubt => "in_doubt",
            TaskPhase::Stopping => "stopping",
            TaskPhase::Queued => "queued",
            TaskPhase::Orphaned => "orphaned",
        }
    }

    const ALL: [TaskPhase; 6] = [
        TaskPhase::Running,
        TaskPhase::Starting,
        TaskPhase::InDoubt,
        TaskPhase::Stopping,
        TaskPhase::Queued,
        TaskPhase::Orphaned,
    ];
}

/// Since when each task has been in its phase, as seen by the last audit.
pub(crate) type Phases = BTreeMap<TaskId, (TaskPhase, Millis)>;

/// Number of tasks in a phase, and the one that has been in it for the longest.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PhaseCount {
    /// Number of tasks.
    pub tasks: usize,
    /// Task that has been in the phase for the longest.
    pub oldest: Option<TaskId>,
    /// Time since it entered the phase, in milliseconds.
    pub age: Millis,
}

impl PhaseCount {
    fn add(&mut self, id: &TaskId, age: Millis) {
        self.tasks += 1;
        if self.oldest.is_none() || age > self.age {
            self.oldest = Some(id.clone());
            self.age = age;
        }
    }
}

/// Tasks whose turn has come, by what the leader does about them. Times are accurate to the
/// interval between two audits.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audit {
    /// Tasks by phase.
    pub phases: BTreeMap<TaskPhase, PhaseCount>,
    /// Long-running tasks that don't run.
    pub lasting_down: PhaseCount,
}

impl Lead {
    /// Accounts for all tasks whose turn has come.
    pub fn audit(&mut self, now: Now) -> Audit {
        let before = std::mem::take(&mut self.phases);
        let (mut phases, mut audit) = (Phases::new(), Audit::default());
        for job in self.jobs.values().filter(|job| job.stored && !job.is_terminal()) {
            for_each_due(job, |id, task| {
                let phase = self.phase(&id, task);
                let since = match before.get(&id) {
                    Some((same, since)) if *same == phase => *since,
                    _ => now.mono,
                };
                let age = now.mono.saturating_sub(since);
                audit.phases.entry(phase).or_default().add(&id, age);
                let lasting = job.step(&id).is_some_and(|step| step.long_running);
                if lasting && phase != TaskPhase::Running {
                    audit.lasting_down.add(&id, age);
                }
                phases.insert(id, (phase, since));
            });
        }
        self.phases = phases;
        audit
    }

    /// Returns the phase of a task that is not done. With several runs, the one that is furthest
    /// counts.
    fn phase(&self, id: &TaskId, task: &Task) -> TaskPhase {
        let runs = task.workers.iter().filter_map(|worker| self.workers.get(worker)?.runs.get(id));
        let queued = task.queued.then_some(TaskPhase::Queued);
        runs.map(Run::phase).chain(queued).min().unwrap_or(TaskPhase::Orphaned)
    }

    /// Logs an audit and updates its gauges.
    pub(crate) fn report_audit(&mut self, now: Now) {
        let audit = self.audit(now);
        let count = |phase| audit.phases.get(&phase).cloned().unwrap_or_default();
        for phase in TaskPhase::ALL {
            let tasks = count(phase).tasks as f64;
            metrics::gauge!("tasks", "phase" => phase.label()).set(tasks);
        }
        metrics::gauge!("lasting_down").set(audit.lasting_down.tasks as f64);
        metrics::gauge!("lasting_down_ms").set(audit.lasting_down.age as f64);
        event!(
            "audit",
            running = count(TaskPhase::Running).tasks,
            starting = count(TaskPhase::Starting).tasks,
            in_doubt = count(TaskPhase::InDoubt).tasks,
            stopping = count(TaskPhase::Stopping).tasks,
            queued = count(TaskPhase::Queued).tasks,
            lasting_down = audit.lasting_down.tasks,
            lasting_down_ms = audit.lasting_down.age,
            lasting_oldest = name_of(&audit.lasting_down),
            suspects = self.suspects.len(),
            isolated = self.isolated.len()
        );
        for phase in [TaskPhase::InDoubt, TaskPhase::Stopping, TaskPhase::Queued] {
            let PhaseCount { tasks, age, .. } = count(phase);
            if age >= LONG_PHASE {
                event!(
                    "long_phase",
                    phase = phase.label(),
                    tasks = tasks,
                    ms = age,
                    oldest = name_of(&count(phase))
                );
            }
        }
        let orphaned = count(TaskPhase::Orphaned);
        if orphaned.tasks > 0 {
            log::error!(
                "event=orphaned tasks={} ms={} oldest={}",
                orphaned.tasks,
                orphaned.age,
                name_of(&orphaned)
            );
        }
    }
}

/// Resets the gauges when this process no longer leads.
pub(crate) fn reset_audit_metrics() {
    for phase in TaskPhase::ALL {
        metrics::gauge!("tasks", "phase" => phase.label()).set(0.0);
    }
    metrics::gauge!("lasting_down").set(0.0);
    metrics::gauge!("lasting_down_ms").set(0.0);
}

fn name_of(count: &PhaseCount) -> String {
    count.oldest.as_ref().map_or_else(|| "none".to_owned(), TaskId::to_string)
}

impl Run {
    fn phase(&self) -> TaskPhase {
        match self.state {
            RunState::Running => TaskPhase::Running,
            RunState::Starting => TaskPhase::Starting,
            RunState::Unconfirmed => TaskPhase::InDoubt,
            RunState::Stopping => TaskPhase::Stopping,
        }
    }
}

/// Calls `visit` for each task of an open step that is not done.
fn for_each_due(job: &Job, mut visit: impl FnMut(TaskId, &Task)) {
    for (occurrence, state) in job.in_progress.iter().filter(|(_, state)| !state.early) {
        for (number, step) in state.steps.iter().enumerate().filter(|(_, step)| step.open) {
            for (index, task) in step.tasks.iter().enumerate().filter(|(_, task)| !task.done) {
                let (step, index) = (number as u32, index as u32);
                visit(TaskId { job: job.id.clone(), occurrence: *occurrence, step, index }, task);
            }
        }
    }
}
