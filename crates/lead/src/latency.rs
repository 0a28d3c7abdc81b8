use base::{Millis, Name, Now, event};
use job::TaskId;
use port::Throttle;

use crate::{
    Command, Lead, RunState, Worker,
    interference::{Exposure, headroom},
};

/// Time constant with which a change of neighbours shows in the measured tail latency, in
/// milliseconds.
const EXPOSURE_TIME_CONSTANT: f64 = 350.0;
/// Shortest time between two corrections on one worker, in milliseconds.
const CORRECTION_INTERVAL: Millis = 450;
/// Headroom of a service task below which interference on its worker is reduced.
const MIN_HEADROOM: f64 = 1.05;
/// Share of `Bounds::max_impact` for which a target may be missed before best-effort tasks are
/// moved away even without expected interference.
const MOVE_ANY_SHARE: f64 = 0.4;
/// Share of `Bounds::max_impact` for which a target may be missed before all best-effort tasks on
/// the worker are paused.
const PAUSE_ALL_SHARE: f64 = 0.5;
/// Share of its latency target below which a tail latency counts as recovered. It leaves a
/// margin because measurements are noisy.
const RECOVERY_SHARE: f64 = 0.9;
/// Interference from which a best-effort task is moved away.
const MIN_INTERFERENCE: f64 = 0.12;
/// Headroom kept beyond the latency target when a best-effort task is placed, for loads that
/// rise later.
const HEADROOM_MARGIN: f64 = 0.5;
/// Interference up to which a best-effort task may be placed beside any service task.
const NEGLIGIBLE_INTERFERENCE: f64 = 0.04;
/// Time after which a started run shows in the measurements, in milliseconds.
const MEASUREMENT_DELAY: Millis = 700;

impl Lead {
    /// Keeps service tasks within their latency targets: moves away or pauses the best-effort
    /// tasks that interfere most, and resumes paused ones once the targets are met.
    pub(crate) fn enforce_targets(&mut self, now: Now) {
        let old = |began: &Millis| now.mono >= began + MEASUREMENT_DELAY;
        self.workers.values_mut().for_each(|w| w.recent_starts.retain(|(began, ..)| !old(began)));
        let due = |w: &&Worker| {
            w.service_cpu > 0
                && w.best_effort_cpu > 0
                && now.mono >= w.adjusted_at + CORRECTION_INTERVAL
        };
        let ids: Vec<Name> = self.workers.values().filter(due).map(|w| w.info.id.clone()).collect();
        for id in ids {
            self.enforce_targets_on(&id, now);
        }
    }

    fn enforce_targets_on(&mut self, id: &Name, now: Now) {
        let Some(worker) = self.workers.get(id) else { return };
        let services = worker.runs.values().filter(|run| run.latency_target > 0);
        let lowest = services
            .clone()
            .map(|run| headroom(run.latency_target, run.metric))
            .fold(f64::MAX, f64::min);
        let missed_since =
            services.filter(|run| run.missed_since > 0).map(|run| run.missed_since).min();
        let missed = missed_since.map_or(0.0, |since| now.mono.saturating_sub(since) as f64);
        let impact = self.bounds.max_impact as f64;
        if missed > impact * PAUSE_ALL_SHARE {
            self.pause_best_effort(id, now);
        } else if missed > impact * MOVE_ANY_SHARE {
            self.move_most_interfering(id, 0.0, now);
        } else if lowest < MIN_HEADROOM {
            self.move_most_interfering(id, MIN_INTERFERENCE, now);
        } else {
            self.resume_best_effort(id, now);
        }
    }

    /// Pauses all best-effort tasks on a worker.
    fn pause_best_effort(&mut self, id: &Name, now: Now) {
        for (_, task) in self.ranked_best_effort(id) {
            self.throttle(id, &task, 0, "target_missed_long", now);
        }
    }

    /// Moves the best-effort task with the highest interference away, if that is at least
    /// `min_interference`.
    fn move_most_interfering(&mut self, id: &Name, min_interference: f64, now: Now) {
        let Some((loss, task)) = self.ranked_best_effort(id).into_iter().next() else { return };
        if loss < min_interference {
            return;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.adjusted_at = now.mono;
        }
        event!("move_interfering", worker = id, task = task, interference = format!("{loss:.2}"));
        self.stop(id, &task, "harms_service");
    }

    /// Lets paused best-effort tasks run at full speed again.
    fn resume_best_effort(&mut self, id: &Name, now: Now) {
        for (_, task) in self.ranked_best_effort(id) {
            self.throttle(id, &task, 100, "service_well", now);
        }
    }

    /// Returns the running best-effort tasks of a worker with their expected interference,
    /// the highest first.
    fn ranked_best_effort(&self, id: &Name) -> Vec<(f64, TaskId)> {
        let Some(worker) = self.workers.get(id) else { return Vec::new() };
        let cpu = worker.info.size.cpu.max(1) as f64;
        let service_images: Vec<&Name> = worker
            .runs
            .values()
            .filter(|run| run.latency_target > 0)
            .map(|run| &run.image)
            .collect();
        let interference = |image: &Name| {
            service_images
                .iter()
                .map(|service_image| self.model.interference(service_image, image))
                .fold(0.0, f64::max)
        };
        let tasks =
            worker.runs.iter().filter(|(_, r)| r.best_effort && r.state == RunState::Running);
        let mut found: Vec<(f64, TaskId)> = tasks
            .map(|(task, run)| (interference(&run.image) * run.size.cpu as f64 / cpu, task.clone()))
            .collect();
        found.sort_by(|a, b| b.0.total_cmp(&a.0));
        found
    }

    fn throttle(&mut self, id: &Name, task: &TaskId, percent: u32, why: &str, now: Now) {
        let epoch = self.epoch;
        let Some(worker) = self.workers.get_mut(id) else { return };
        let token = worker.token(epoch);
        worker.adjusted_at = now.mono;
        let addr = worker.addr();
        let Some(run) = worker.runs.get_mut(task).filter(|r| r.throttle != percent) else { return };
        run.throttle = percent;
        event!(
            "throttle",
            task = task,
            worker = id,
            run = run.run_id,
            percent = percent,
            why = why
        );
        let command = Throttle { task: task.clone(), run: run.run_id, percent, token };
        self.commands.push(Command::Throttle(addr, command));
    }

    /// Processes the measurements in a worker's reply: updates since when latency targets
    /// have been missed, and the interference model.
    pub(crate) fn record_measurements(&mut self, id: &Name, now: Now) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.update_exposure(now.mono);
        for (task, run) in worker.runs.iter_mut().filter(|(_, run)| run.latency_target > 0) {
            let under = (run.metric as f64) < run.latency_target as f64 * RECOVERY_SHARE;
            match (run.metric > run.latency_target, run.missed_since) {
                (true, 0) => {
                    run.missed_since = now.mono;
                    event!(
                        "target_missed",
                        task = task,
                        worker = id,
                        image = run.image,
                        tail = run.metric,
                        neighbours = format_exposure(&worker.exposure)
                    );
                }
                (false, since) if since > 0 && under => {
                    run.missed_since = 0;
                    event!(
                        "target_met",
                        task = task,
                        worker = id,
                        after_ms = now.mono.saturating_sub(since)
                    );
                }
                _ => {}
            }
            if run.percent >= 100 && run.metric > 0 {
                let headroom = headroom(run.latency_target, run.metric);
                self.model.observe(&run.image, headroom, &worker.exposure);
            }
        }
        worker.update_headrooms();
    }

    /// Returns whether the service tasks on a worker are expected to stay within their latency
    /// targets if a best-effort task is added, and the most headroom that one of them loses.
    /// `interference` gives the interference with a service image; `pair_interference` that
    /// between a service image and another best-effort image.
    pub(crate) fn predict_interference(
        worker: &Worker,
        cpu: u64,
        interference: &dyn Fn(&Name) -> f64,
        pair_interference: &dyn Fn(&Name, &Name) -> f64,
        now: Now,
    ) -> (bool, f64) {
        let whole = worker.info.size.cpu.max(1) as f64;
        let mut acceptable = !worker.target_missed;
        let mut max_loss = 0.0_f64;
        for (service_image, headroom) in &worker.headrooms {
            let loss = interference(service_image) * cpu as f64 / whole;
            max_loss = max_loss.max(loss);
            // Runs that have started only recently don't show in the measurements yet.
            let recent = worker
                .recent_starts
                .iter()
                .filter(|(began, ..)| now.mono < began + MEASUREMENT_DELAY);
            let hidden: f64 = recent
                .map(|(_, image, cpu)| {
                    pair_interference(service_image, image) * *cpu as f64 / whole
                })
                .sum();
            acceptable &=
                loss < NEGLIGIBLE_INTERFERENCE || headroom - hidden - loss >= 1.0 + HEADROOM_MARGIN;
        }
        (acceptable, max_loss)
    }
}

/// Formats images and their CPU shares for a log line.
fn format_exposure(exposure: &Exposure) -> String {
    let pairs: Vec<String> = exposure.iter().map(|(i, share)| format!("{i}:{share:.2}")).collect();
    pairs.join(",")
}

impl Worker {
    /// Returns the CPU shares at which best-effort tasks run now, by image.
    fn current_exposure(&self) -> Exposure {
        let cpu = self.info.size.cpu.max(1) as f64;
        let mut shares = Exposure::new();
        for run in self.runs.values().filter(|run| run.best_effort) {
            let share = run.size.cpu as f64 / cpu * f64::from(run.throttle.min(100)) / 100.0;
            *shares.entry(run.image.clone()).or_default() += share;
        }
        shares
    }

    /// Updates the smoothed CPU shares of best-effort tasks.
    fn update_exposure(&mut self, now: Millis) {
        let weight =
            1.0 - (-(now.saturating_sub(self.exposure_at) as f64) / EXPOSURE_TIME_CONSTANT).exp();
        self.exposure_at = now;
        let shares = self.current_exposure();
        for (image, share) in &shares {
            let smoothed = self.exposure.entry(image.clone()).or_default();
            *smoothed += weight * (share - *smoothed);
        }
        for (image, smoothed) in &mut self.exposure {
            if !shares.contains_key(image) {
                *smoothed -= weight * *smoothed;
            }
        }
        self.exposure.retain(|_, share| *share > 0.002);
    }
}
