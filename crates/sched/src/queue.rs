use std::collections::{BTreeMap, VecDeque};

use base::{Name, Size};
use cell::{Job, Phase, Task};
use conf::Class;

use crate::View;

/// Waiting tasks in the order in which they are to start: urgent ones first,
/// then the team that holds the least for its weight.
pub(crate) struct Queue<'a> {
    urgent: VecDeque<&'a Task>,
    teams: BTreeMap<Name, Team<'a>>,
    shares: bool,
}

struct Team<'a> {
    waiting: VecDeque<&'a Task>,
    used: Size,
    quota: Option<Size>,
    weight: f64,
}

impl<'a> Queue<'a> {
    pub(crate) fn open(view: &View<'a>) -> Queue<'a> {
        let mut used = view.elsewhere.clone();
        let mut waiting: Vec<(&Job, &Task)> = Vec::new();
        for task in view.table.tasks.values() {
            let Some((job, accepted)) = view.table.jobs.get(&task.job) else { continue };
            if task.backend().is_some() {
                let sum = used.entry(job.team.clone()).or_default();
                *sum = sum.plus(job.size);
            }
            if task.phase == Phase::Queued && *accepted {
                waiting.push((job, task));
            }
        }
        waiting.sort_by(|(a, s), (b, t)| {
            (a.submitted, &a.id, &s.id).cmp(&(b.submitted, &b.id, &t.id))
        });
        let mut queue =
            Queue { urgent: VecDeque::new(), teams: BTreeMap::new(), shares: view.policy.shares };
        for (job, task) in waiting {
            queue.add(view, job, task, &used);
        }
        queue
    }

    fn add(&mut self, view: &View<'a>, job: &'a Job, task: &'a Task, used: &BTreeMap<Name, Size>) {
        if !self.shares || job.class == Class::Urgent {
            self.urgent.push_back(task);
            return;
        }
        let team = self.teams.entry(job.team.clone()).or_insert_with(|| {
            let spec = view.document.team(&job.team);
            Team {
                waiting: VecDeque::new(),
                used: used.get(&job.team).copied().unwrap_or_default(),
                quota: spec.map(|t| t.quota),
                weight: spec.map_or(1.0, |t| f64::from(t.weight)),
            }
        });
        let full = team.quota.is_some_and(|quota| !team.used.plus(job.size).fits(quota));
        if !full {
            team.waiting.push_back(task);
        }
    }

    /// The task whose turn it is.
    pub(crate) fn next(&mut self) -> Option<&'a Task> {
        if let Some(task) = self.urgent.pop_front() {
            return Some(task);
        }
        let share = |team: &Team<'_>| team.used.cpu as f64 / team.weight;
        let open = self.teams.values_mut().filter(|team| !team.waiting.is_empty());
        let team = open.min_by(|a, b| share(a).total_cmp(&share(b)))?;
        team.waiting.pop_front()
    }

    /// Charges a started task to its team; a team at its quota drops out.
    pub(crate) fn started(&mut self, job: &Job) {
        let Some(team) = self.teams.get_mut(&job.team) else { return };
        team.used = team.used.plus(job.size);
        if team.quota.is_some_and(|quota| !team.used.plus(job.size).fits(quota)) {
            team.waiting.clear();
        }
    }

    /// Passes over the tasks of the same job that come next: they do not fit
    /// either.
    pub(crate) fn blocked(&mut self, job: &Job) {
        let team = self.teams.get_mut(&job.team).map(|team| &mut team.waiting);
        for waiting in team.into_iter().chain([&mut self.urgent]) {
            while waiting.front().is_some_and(|task| task.job == job.id) {
                waiting.pop_front();
            }
        }
    }
}
