use base::{Millis, Name, Now, event};
use job::TaskId;
use port::{Refusal, Start, Stop, Throttle, WorkerAddr, WorkerError};
use relay::WorkerCommand;

use crate::{Command, Lead, RunState, worker::TOKEN_COUNTER_BITS};

/// Time after which a command that got no reply is followed up.
const RETRY_PAUSE: Millis = 250;
/// Pause of a worker that refused a start for lack of capacity, although the leader
/// counted enough.
const FULL_PAUSE: Millis = 150;
/// Pause of a worker that is unhealthy, unreachable or has restarted.
const UNHEALTHY_PAUSE: Millis = 700;

impl Lead {
    /// Issues the stop command for a run.
    pub(crate) fn send_stop(&mut self, name: &Name, id: &TaskId) {
        let epoch = self.epoch;
        let Some(worker) = self.workers.get_mut(name) else { return };
        let token = worker.token(epoch);
        let addr = worker.addr();
        let Some(run) = worker.runs.get_mut(id) else { return };
        run.in_flight = true;
        run.stops_sent += 1;
        let stop = Stop { task: id.clone(), run: run.run_id, token };
        self.commands.push(Command::Stop(addr, stop));
    }

    /// Handles the reply to a command that a relay has carried.
    pub fn on_command_reply(
        &mut self,
        worker: &WorkerAddr,
        command: &WorkerCommand,
        reply: Result<Millis, WorkerError>,
        now: Now,
    ) {
        match command {
            WorkerCommand::Start(start) => {
                metrics::counter!("starts").increment(1);
                self.on_start(&worker.id, start, reply, now);
            }
            WorkerCommand::Stop(stop) => {
                metrics::counter!("stops").increment(1);
                self.on_stop(&worker.id, stop, reply, now);
            }
            WorkerCommand::Throttle(throttle) => {
                self.on_throttle(&worker.id, throttle, reply, now);
            }
        }
    }

    /// Handles the reply to a start command.
    pub fn on_start(
        &mut self,
        name: &Name,
        start: &Start,
        reply: Result<Millis, WorkerError>,
        now: Now,
    ) {
        let (id, run_id) = (&start.task, start.run);
        if matches!(reply, Err(WorkerError::InDoubt(_))) {
            self.fence_off(name, start.token);
            self.note_start_in_doubt(name, start, now);
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        worker.improved |= worker.may_be_saturated();
        let Some(run) = worker.runs.get_mut(id).filter(|run| run.run_id == run_id) else { return };
        if run.state != RunState::Stopping {
            // Otherwise the command in flight is the stop command.
            run.in_flight = false;
        }
        if matches!(reply, Err(WorkerError::Refused(..) | WorkerError::Unsent(_))) {
            run.crash = None;
        }
        let resent = run.resent;
        match reply {
            Ok(clock) => {
                if run.state == RunState::Starting || run.state == RunState::Unconfirmed {
                    run.state = RunState::Running;
                    run.confirmed_at = now.mono;
                    run.progress_at = now.mono;
                }
                run.since = run.since.or(Some(clock));
                self.on_reply(name, clock, now);
                if let Some(job) = self.jobs.get_mut(&id.job) {
                    job.started = true;
                }
            }
            Err(WorkerError::Refused(why, clock)) => {
                match why {
                    Refusal::Fence => self.fenced(name, start.token),
                    Refusal::Room => worker.paused_until = now.mono + FULL_PAUSE,
                    Refusal::Unhealthy => worker.paused_until = now.mono + UNHEALTHY_PAUSE,
                    Refusal::OtherLife => worker.paused_until = now.mono + UNHEALTHY_PAUSE,
                    Refusal::Old | Refusal::Late | Refusal::Ticket | Refusal::Malformed => {}
                }
                if let Some(clock) = clock.filter(|_| why != Refusal::OtherLife) {
                    self.on_reply(name, clock, now);
                }
                if why == Refusal::Ticket {
                    self.discard_ticket(id, name);
                }
                if why == Refusal::Old && resent {
                    // The first command was carried out, so that the list has the run or its end.
                    return self.confirm_start(name, id, now);
                }
                self.drop_run(name, id, &format!("{why:?}").to_lowercase(), now);
                if why == Refusal::Room {
                    self.commands.push(Command::Poll(name.clone()));
                }
            }
            Err(WorkerError::Unsent(_)) => {
                worker.paused_until = now.mono + UNHEALTHY_PAUSE;
                self.drop_run(name, id, "unsent", now);
            }
            Err(WorkerError::InDoubt(why)) => {
                if run.state == RunState::Starting {
                    run.state = RunState::Unconfirmed;
                }
                // The next list tells first whether it was carried out.
                run.retry_at = now.mono;
                event!("start_in_doubt", task = id, worker = name, run = run_id, why = why);
                self.doubt(name, now);
            }
        }
    }

    /// Marks a run as confirmed, and polls its worker.
    fn confirm_start(&mut self, name: &Name, id: &TaskId, now: Now) {
        let run = self.workers.get_mut(name).and_then(|worker| worker.runs.get_mut(id));
        if let Some(run) = run.filter(|run| run.state == RunState::Starting) {
            run.state = RunState::Running;
            run.confirmed_at = now.mono;
            run.progress_at = now.mono;
        }
        self.commands.push(Command::Poll(name.clone()));
    }

    /// Handles the reply to a stop command.
    pub fn on_stop(
        &mut self,
        name: &Name,
        stop: &Stop,
        reply: Result<Millis, WorkerError>,
        now: Now,
    ) {
        let (id, run_id) = (&stop.task, stop.run);
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(run) = worker.runs.get_mut(id).filter(|run| run.run_id == run_id) else { return };
        run.stops_sent = run.stops_sent.saturating_sub(1);
        run.in_flight = run.stops_sent > 0;
        let outdated = run.stops_outdated > 0;
        run.stops_outdated = run.stops_outdated.saturating_sub(1);
        match reply {
            Ok(_) if outdated => run.retry_at = now.mono,
            Ok(clock) => {
                // From now on, the run does not exist or its completion will be listed.
                run.state = RunState::Stopping;
                run.confirmed_at = now.mono;
                self.on_reply(name, clock, now);
                self.commands.push(Command::Poll(name.clone()));
            }
            Err(WorkerError::Refused(Refusal::Fence, _)) => {
                run.retry_at = now.mono;
                self.fenced(name, stop.token);
            }
            Err(_) => {
                run.retry_at = now.mono + RETRY_PAUSE;
                self.doubt(name, now);
            }
        }
    }

    /// Handles the reply to a throttle command.
    pub fn on_throttle(
        &mut self,
        name: &Name,
        throttle: &Throttle,
        reply: Result<Millis, WorkerError>,
        now: Now,
    ) {
        if matches!(reply, Err(WorkerError::InDoubt(_))) {
            self.fence_off(name, throttle.token);
        }
        let Some(worker) = self.workers.get_mut(name) else { return };
        match reply {
            Ok(clock) => self.on_reply(name, clock, now),
            Err(e) => {
                // The speed limit in force is unknown, so the next decision sends it again.
                if let Some(run) = worker.runs.get_mut(&throttle.task) {
                    run.throttle = u32::MAX;
                }
                if matches!(e, WorkerError::Refused(Refusal::Fence, _)) {
                    self.fenced(name, throttle.token);
                }
            }
        }
    }

    /// Handles a request in doubt that carried `token`: unless the worker's token has been raised
    /// since, raises it. The worker may still carry the request out.
    pub(crate) fn fence_off(&mut self, name: &Name, token: u64) {
        let newest = self.workers.get(name).map(|worker| worker.token(self.epoch));
        if newest.is_some_and(|newest| token >= newest) {
            self.raise_token(name);
        }
    }

    /// Raises the fencing token of a worker: once it has seen the new one, it refuses all requests
    /// issued before, also in an incarnation for which they were not meant.
    pub(crate) fn raise_token(&mut self, name: &Name) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        self.raise_count = (self.raise_count + 1).min((1 << TOKEN_COUNTER_BITS) - 1);
        worker.raises = self.raise_count;
        self.touched.insert(name.clone());
    }

    /// Handles the refusal of a fencing token. If it is the newest one of the worker, another
    /// leader has taken over; a lower one has been raised by this leader.
    pub(crate) fn fenced(&mut self, name: &Name, token: u64) {
        let newest = self.workers.get(name).map(|worker| worker.token(self.epoch));
        if newest.is_some_and(|newest| token < newest) {
            event!("command_fenced", worker = name, epoch = self.epoch);
        } else if self.deposed.is_none() {
            self.deposed = Some(format!("worker {name} has accepted a higher fencing token"));
        }
    }
}
