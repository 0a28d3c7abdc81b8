use base::{Millis, Name, Now, event};
use job::TaskId;

use crate::{Lead, RunState};

/// Remaining time of a draining worker below which all of its runs are stopped.
const MIN_DRAIN_TIME: Millis = 900;

/// Time before the leases expire from which an unanswered request shows that the worker is
/// silent.
const SILENCE_WINDOW: Millis = 900;

impl Lead {
    /// Follows up on unconfirmed commands, expired leases, and draining and vanished workers.
    pub(crate) fn check_workers(&mut self, now: Now, unclaimed_at: Millis) {
        self.expire_starts_in_doubt(now);
        let ids: Vec<Name> = self.workers.keys().cloned().collect();
        for id in ids {
            self.retry_commands(&id, now);
            self.expire(&id, now, unclaimed_at);
            self.record_long_leases(&id, now);
            self.drain(&id);
            self.retire(&id, now);
            self.forget(&id, now);
        }
    }

    /// Follows up on runs whose start or stop is unconfirmed.
    fn retry_commands(&mut self, id: &Name, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let due = worker.runs.iter().filter(|(_, run)| !run.in_flight && run.retry_at <= now.mono);
        let unconfirmed = due.filter(|(_, run)| match run.state {
            RunState::Unconfirmed => true,
            RunState::Stopping => run.confirmed_at == 0,
            _ => false,
        });
        let runs: Vec<(TaskId, RunState)> =
            unconfirmed.map(|(task, run)| (task.clone(), run.state)).collect();
        for (task, state) in runs {
            match state {
                RunState::Unconfirmed => self.retry_start(id, &task, now),
                _ => self.send_stop(id, &task),
            }
        }
    }

    /// Drops the runs of a worker whose leases have certainly expired. Another leader that had taken
    /// over before their end would have renewed them. An earlier one may act on a worker that has
    /// restarted unnoticed since it listed its runs.
    fn expire(&mut self, id: &Name, now: Now, unclaimed_at: Millis) {
        let settle_deadline = self.settle_deadline;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.renewed_by_relay {
            return;
        }
        let end = worker.leases_end_at().unwrap_or(0).max(settle_deadline);
        // Runs may have completed before their leases expired, which only the worker knows.
        // It counts as gone only if it left a request unanswered shortly before the expiry or
        // later.
        let silent = worker.unanswered_at + SILENCE_WINDOW > end;
        if unclaimed_at < end || worker.runs.is_empty() || !silent {
            return;
        }
        event!("leases_expired", worker = id, runs = worker.runs.len(), listed = worker.listed);
        // Its earlier lists are void: it has to list its runs again before it gets work.
        worker.synced = false;
        worker.listed_all = false;
        self.touched.insert(id.clone());
        let runs: Vec<TaskId> = worker.runs.keys().cloned().collect();
        self.note_lost(id);
        self.release_long_running(id);
        for task in runs {
            self.drop_run(id, &task, "lease_expired", now);
        }
    }

    /// Stops runs on a draining worker: service tasks at once, the others shortly before it
    /// leaves.
    fn drain(&mut self, id: &Name) {
        let Some(worker) = self.workers.get(id).filter(|worker| worker.info.draining) else {
            return;
        };
        let leaving = worker.info.remaining.is_some_and(|left| left < MIN_DRAIN_TIME);
        let running = worker.runs.iter().filter(|(_, run)| run.state == RunState::Running);
        let moves = running.filter(|(_, run)| leaving || run.latency_target > 0);
        let moves: Vec<TaskId> = moves.map(|(task, _)| task.clone()).collect();
        for task in moves {
            self.stop(id, &task, "worker_draining");
        }
    }

    /// Removes a worker that the store does not list and that has no runs, valid leases or starts
    /// in doubt. That it has listed its runs does not suffice: an earlier leader may start others
    /// there if it restarts unnoticed.
    fn forget(&mut self, id: &Name, now: Now) {
        if self.settles_by_time(now) {
            return;
        }
        let settled = self.settled(now);
        let Some(worker) = self.workers.get(id) else { return };
        let expired = worker.leases_end_at().is_none_or(|end| end < now.mono);
        if worker.listed
            || worker.renewed_by_relay
            || !worker.runs.is_empty()
            || !expired
            || !settled
            || self.starts_in_doubt.any_on(id)
        {
            return;
        }
        event!("worker_forgotten", worker = id);
        self.workers.remove(id);
        self.touched.insert(id.clone());
        self.journal.delete_worker(id);
    }
}
