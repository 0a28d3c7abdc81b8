use std::collections::{BTreeMap, VecDeque};

use base::{Name, Size};
use cell::{Job, Phase, Task};
use conf::Class;

use crate::View;

/// Waiting tasks in scheduling order: urgent ones first, then those of the team
/// with the lowest CPU usage relative to its weight.
pub(crate) struct Queue<'a> {
    /// Urgent tasks, or all tasks when fair sharing is off.
    urgent: VecDeque<&'a Task>,
    teams: BTreeMap<Name, Team<'a>>,
    fair_share: bool,
}

struct Team<'a> {
    waiting: VecDeque<&'a Task>,
    /// Resources held by the team's tasks in all cells.
    used: Size,
    /// `None` for a team that the document does not list: no limit.
    quota: Option<Size>,
    weight: f64,
}

impl<'a> Queue<'a> {
    pub(crate) fn new(view: &View<'a>) -> Queue<'a> {
        let mut usage = view.remote_usage.clone();
        let mut waiting: Vec<(&Job, &Task)> = Vec::new();
        for task in view.table.tasks.values() {
            let Some((job, accepted)) = view.table.jobs.get(&task.job) else { continue };
            if task.backend().is_some() {
                let sum = usage.entry(job.team.clone()).or_default();
                *sum = sum.plus(job.size);
            }
            if task.phase == Phase::Queued && *accepted {
                waiting.push((job, task));
            }
        }
        waiting.sort_by(|(a, s), (b, t)| {
            (a.submitted, &a.id, &s.id).cmp(&(b.submitted, &b.id, &t.id))
        });
        let mut queue = Queue {
            urgent: VecDeque::new(),
            teams: BTreeMap::new(),
            fair_share: view.policy.fair_share,
        };
        for (job, task) in waiting {
            queue.enqueue(view, job, task, &usage);
        }
        queue
    }

    /// Adds a task, unless it would exceed the quota of its team. `usage` has the
    /// resources held by each team.
    fn enqueue(
        &mut self,
        view: &View<'a>,
        job: &'a Job,
        task: &'a Task,
        usage: &BTreeMap<Name, Size>,
    ) {
        if !self.fair_share || job.class == Class::Urgent {
            self.urgent.push_back(task);
            return;
        }
        let team = self.teams.entry(job.team.clone()).or_insert_with(|| {
            let spec = view.document.team(&job.team);
            Team {
                waiting: VecDeque::new(),
                used: usage.get(&job.team).copied().unwrap_or_default(),
                quota: spec.map(|t| t.quota),
                weight: spec.map_or(1.0, |t| f64::from(t.weight)),
            }
        });
        let over_quota = team.quota.is_some_and(|quota| !team.used.plus(job.size).fits(quota));
        if !over_quota {
            team.waiting.push_back(task);
        }
    }

    /// Removes and returns the next task.
    pub(crate) fn dequeue(&mut self) -> Option<&'a Task> {
        if let Some(task) = self.urgent.pop_front() {
            return Some(task);
        }
        let share = |team: &Team<'_>| team.used.cpu as f64 / team.weight;
        let nonempty = self.teams.values_mut().filter(|team| !team.waiting.is_empty());
        let team = nonempty.min_by(|a, b| share(a).total_cmp(&share(b)))?;
        team.waiting.pop_front()
    }

    /// Charges a started task to its team. If another task of this size would
    /// exceed the quota, the waiting tasks of the team are dropped.
    pub(crate) fn charge(&mut self, job: &Job) {
        let Some(team) = self.teams.get_mut(&job.team) else { return };
        team.used = team.used.plus(job.size);
        if team.quota.is_some_and(|quota| !team.used.plus(job.size).fits(quota)) {
            team.waiting.clear();
        }
    }

    /// Skips the next tasks of the same job: they have the same size and do not
    /// fit either.
    pub(crate) fn skip_job(&mut self, job: &Job) {
        let team = self.teams.get_mut(&job.team).map(|team| &mut team.waiting);
        for waiting in team.into_iter().chain([&mut self.urgent]) {
            while waiting.front().is_some_and(|task| task.job == job.id) {
                waiting.pop_front();
            }
        }
    }
}
