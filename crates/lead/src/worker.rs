use std::collections::{BTreeMap, VecDeque};

use base::{Millis, Name, Size};
use job::TaskId;
use port::{WorkerAddr, WorkerInfo};

use crate::{
    Run, RunState,
    doubt::StartsInDoubt,
    interference::{Exposure, headroom},
};

/// Low bits of a fencing token, which rise within one epoch; the epoch is above them.
pub const TOKEN_COUNTER_BITS: u32 = 28;
/// Lowest assumed rate of a worker clock, relative to true time.
const MIN_CLOCK_RATE: f64 = 0.98;
/// Safety margin on top of a computed lease expiry.
const EXPIRY_MARGIN: Millis = 150;
/// Time for which an unlisted worker still gets work: after an outage, the store lists
/// live workers again within it.
const RELIST_GRACE: Millis = 2_500;
/// Longest time after which a command that got no reply may still be carried out.
pub(crate) const MAX_COMMAND_DELAY: Millis = 14_000;
/// Time without a reply after which a worker gets no new work, and is polled at the address of
/// its other record, too.
pub(crate) const MAX_SILENCE: Millis = 2_000;
/// Longest time from a command to its reply.
pub(crate) const MAX_REPLY_TIME: Millis = 1_000;
/// Most completions that a worker lists in one reply.
pub(crate) const MAX_LISTED_COMPLETIONS: usize = 500;
/// Most start commands without a reply to one worker, well within the connections that it accepts: a
/// command that waits for one is in doubt after its timeout.
const MAX_UNANSWERED_STARTS: usize = 32;
/// Amount by which a reading of the worker clock may be off the estimate beyond that.
const CLOCK_TOLERANCE: Millis = 400;

/// A listed completion that has not been acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingAck {
    /// Number of the completion.
    pub number: u64,
    /// Journal batch that has to be durable first.
    pub batch: u64,
    /// Until when a start in doubt could begin its task again; 0 if there is none.
    pub held_until: Millis,
}

/// A worker as the leader sees it. Times are on the leader's monotonic clock, unless
/// they are said to be on the worker's.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Newest record of the worker in the store.
    pub info: WorkerInfo,
    /// Whether the store lists it.
    pub listed: bool,
    /// When the store stopped listing it; 0 if it never did or its record is unreadable.
    pub unlisted_at: Millis,
    /// Journal batch with the worker's record. The worker gets work only once that
    /// batch is durable, and none while this is `None`.
    pub record_batch: Option<u64>,
    /// Whether its record in the store has its last runs, since it gets no more work.
    pub(crate) closed: bool,
    /// Runs on it, by task.
    pub runs: BTreeMap<TaskId, Run>,
    /// Allocated capacity, without the CPU of best-effort tasks.
    pub used: Size,
    /// CPU requested by best-effort tasks, in thousandths of a core.
    pub best_effort_cpu: u64,
    /// CPU requested by service tasks with a latency target, in thousandths of a core.
    pub service_cpu: u64,
    /// Whether it has listed its runs to this leader.
    pub synced: bool,
    /// Whether it has listed all its completions, too; one list has a limited number of them.
    pub(crate) listed_all: bool,
    /// Last reading of the worker clock and when it was received.
    pub clock: Option<(Millis, Millis)>,
    /// When the newest list of its present incarnation was requested; 0 if there is none.
    pub(crate) listed_since: Millis,
    /// Worker clock of the newest list of runs.
    pub list_clock: Millis,
    /// Latest lease expiry sent to it, on the worker clock; 0 if none was.
    pub lease_expiry: Millis,
    /// When leases that the present incarnation may have been granted on the clock of an
    /// earlier one have certainly expired; 0 if there are none.
    pub(crate) earlier_leases_end: Millis,
    /// Whether the present incarnation has replied to a poll with a token raised since the restart,
    /// so that it refuses whatever was meant for an earlier one.
    pub(crate) fenced: bool,
    /// When a poll was last in doubt; 0 if none was.
    pub(crate) poll_doubted_at: Millis,
    /// Whether its record in the store says that there may be such leases.
    pub(crate) long_leases: bool,
    /// When the newest message came that shows its present incarnation; 0 if that is one that an
    /// earlier leader recorded, before any request of this one.
    pub(crate) shown_at: Millis,
    /// Earlier incarnations, the newest last.
    pub(crate) earlier: VecDeque<u64>,
    /// Newest record of another incarnation than the present one: an earlier one, or the next.
    pub(crate) other_record: Option<WorkerInfo>,
    /// Whether it is polled at the address in `other_record`, since it does not reply.
    pub(crate) at_other_addr: bool,
    /// When its last restart became known; 0 if it has not restarted.
    pub(crate) restarted_at: Millis,
    /// Whether a relay may be renewing its leases, so that `lease_expiry` may be outdated.
    pub(crate) renewed_by_relay: bool,
    /// When the leases that a lost relay may have granted have certainly expired; 0 if it can't
    /// have granted any.
    pub(crate) relay_leases_end: Millis,
    /// Low bits of its fencing token.
    pub(crate) raises: u64,
    /// Number of the last completion processed; completions are numbered in ascending order.
    pub last_completion: u64,
    /// Completions to acknowledge.
    pub pending_acks: VecDeque<PendingAck>,
    /// Highest number of a completion that the worker may forget.
    pub acked: u64,
    /// Since when it may have restarted without the leader's knowledge, so that numbers of
    /// completions may be those of an earlier incarnation; 0 if a list has shown since that it
    /// has not.
    pub(crate) doubted_at: Millis,
    /// When the worker last replied.
    pub replied_at: Millis,
    /// When the newest request that got no reply was sent.
    pub unanswered_at: Millis,
    /// Until when the worker gets no new work.
    pub paused_until: Millis,
    /// Whether this incarnation has said that it is leaving.
    pub(crate) leaving: bool,
    /// Whether this incarnation is known to have crashed.
    pub(crate) crashed: bool,
    /// Runs of this incarnation whose leases have expired and that may have crashed it.
    pub(crate) lost: Vec<(TaskId, u64)>,
    /// When it was last polled for runs of suspects.
    pub(crate) probation_polled_at: Millis,
    /// Consecutive failed runs.
    pub failures: u32,
    /// Number of the last failed run; 0 if none has.
    pub(crate) failed_run: u64,
    /// When best-effort tasks on it were last moved or throttled.
    pub adjusted_at: Millis,
    /// Whether a service task on it misses its latency target.
    pub(crate) target_missed: bool,
    /// Lowest headroom of the service tasks on it, by image.
    pub(crate) headrooms: Vec<(Name, f64)>,
    /// Best-effort tasks started recently: time, image, CPU in thousandths of a core.
    pub(crate) recent_starts: Vec<(Millis, Name, u64)>,
    /// Smoothed CPU shares of the best-effort images that run on it.
    pub(crate) exposure: Exposure,
    /// When `exposure` was last updated.
    pub(crate) exposure_at: Millis,
    /// Whether it may have become able to hold more since the last placement pass.
    pub(crate) improved: bool,
    /// Number of the placement pass before which it last was.
    pub(crate) improved_pass: u64,
    /// Factor by which it is slower than other workers, learned from runs.
    pub slowdown: f64,
}

/// Returns the time after which a lease with `left` on the worker clock has certainly expired.
pub(crate) fn expiry(left: Millis) -> Millis {
    (left as f64 / MIN_CLOCK_RATE) as Millis + EXPIRY_MARGIN
}

impl Worker {
    pub(crate) fn new(info: WorkerInfo) -> Worker {
        Worker {
            info,
            listed: false,
            unlisted_at: 0,
            record_batch: None,
            closed: false,
            runs: BTreeMap::new(),
            used: Size::ZERO,
            best_effort_cpu: 0,
            service_cpu: 0,
            synced: false,
            listed_all: false,
            clock: None,
            listed_since: 0,
            list_clock: 0,
            lease_expiry: 0,
            earlier_leases_end: 0,
            fenced: true,
            poll_doubted_at: 0,
            long_leases: false,
            shown_at: 0,
            earlier: VecDeque::new(),
            other_record: None,
            at_other_addr: false,
            restarted_at: 0,
            renewed_by_relay: false,
            relay_leases_end: 0,
            raises: 0,
            last_completion: 0,
            pending_acks: VecDeque::new(),
            acked: 0,
            doubted_at: 0,
            replied_at: 0,
            unanswered_at: 0,
            paused_until: 0,
            leaving: false,
            crashed: false,
            lost: Vec::new(),
            probation_polled_at: 0,
            failures: 0,
            failed_run: 0,
            adjusted_at: 0,
            target_missed: false,
            headrooms: Vec::new(),
            recent_starts: Vec::new(),
            exposure: Exposure::new(),
            exposure_at: 0,
            improved: true,
            improved_pass: 0,
            slowdown: 1.0,
        }
    }

    /// Returns the identifier and address for calls to the worker.
    pub fn addr(&self) -> WorkerAddr {
        WorkerAddr { id: self.info.id.clone(), addr: self.info.addr }
    }

    /// Returns the fencing token of commands to the worker. It is above those of all earlier epochs.
    pub fn token(&self, epoch: u64) -> u64 {
        (epoch << TOKEN_COUNTER_BITS) | self.raises
    }

    /// Returns the rack of the worker, which is the last of its labels.
    pub fn rack(&self) -> Option<&Name> {
        self.info.labels.last()
    }

    /// Returns whether new work may be placed on the worker; `stored` is the newest
    /// durable batch. An incarnation that is not known yet would take the deadline of a start, which is
    /// on the clock of the known one, for the longest lease.
    pub fn usable(&self, stored: u64, now: Millis) -> bool {
        self.synced
            && self.doubted_at == 0
            && self.is_offered(now)
            && self.record_batch.is_some_and(|batch| batch <= stored)
            && self.paused_until <= now
            && !self.lists_too_much(now)
            && now < self.replied_at + MAX_SILENCE
    }

    /// Returns whether the list in the store offers the worker for new work.
    pub(crate) fn is_offered(&self, now: Millis) -> bool {
        let relists = self.unlisted_at > 0 && now < self.unlisted_at + RELIST_GRACE;
        (self.listed || relists) && !self.info.draining
    }

    /// Returns whether the completions that may not be acknowledged yet could soon keep others from
    /// being listed.
    fn lists_too_much(&self, now: Millis) -> bool {
        self.holds_acks(now) && self.runs.len() + self.pending_acks.len() >= MAX_LISTED_COMPLETIONS
    }

    /// Returns whether completions may not be acknowledged yet although they are durable.
    pub(crate) fn holds_acks(&self, now: Millis) -> bool {
        self.pending_acks.iter().any(|ack| ack.held_until > now)
    }

    /// Returns whether so many start commands to the worker have no reply that it gets no further ones.
    pub(crate) fn is_saturated(&self) -> bool {
        let starting = |run: &&Run| run.state == RunState::Starting;
        self.may_be_saturated()
            && self.runs.values().filter(starting).count() >= MAX_UNANSWERED_STARTS
    }

    /// Returns whether the worker has as many runs as it takes to be saturated.
    pub(crate) fn may_be_saturated(&self) -> bool {
        self.runs.len() >= MAX_UNANSWERED_STARTS
    }

    /// Estimates the current worker clock, assuming that it runs at the rate of the leader's.
    pub fn clock_now(&self, now: Millis) -> Option<Millis> {
        self.clock.map(|(clock, at)| clock + now.saturating_sub(at))
    }

    /// Returns whether a clock reading in a reply received at `now` is too low for the known
    /// incarnation: the clock starts anew with each.
    fn is_behind(&self, reading: Millis, now: Millis) -> bool {
        let Some((clock, at)) = self.clock else { return false };
        let elapsed = now.saturating_sub(at) as f64 * MIN_CLOCK_RATE;
        let expected = (clock + elapsed as Millis).saturating_sub(MAX_REPLY_TIME);
        reading + CLOCK_TOLERANCE < expected
    }

    /// Returns whether a clock reading in a reply received at `now` is too high for the known
    /// incarnation.
    fn is_ahead(&self, reading: Millis, now: Millis) -> bool {
        let expected = self.clock_now(now).map(|clock| clock + MAX_REPLY_TIME + CLOCK_TOLERANCE);
        expected.is_some_and(|expected| reading > expected)
    }

    /// Returns the number up to which the worker may forget its completions. A new incarnation
    /// numbers them anew: it would forget some that it has never listed.
    pub(crate) fn ack_cursor(&self) -> u64 {
        if self.doubted_at > 0 { 0 } else { self.acked }
    }

    /// Returns when all leases granted to it have certainly expired, on the leader's
    /// clock; `None` if it was granted none.
    pub fn leases_end_at(&self) -> Option<Millis> {
        let clock = self.clock.filter(|_| self.lease_expiry > 0);
        let granted = clock.map(|(clock, at)| at + expiry(self.lease_expiry.saturating_sub(clock)));
        let others = self.earlier_leases_end.max(self.relay_leases_end);
        granted.max(Some(others).filter(|end| *end > 0))
    }

    /// Returns when runs whose completions it may not have listed to this leader have ended or
    /// have certainly lost their leases: this leader renews them while the worker replies.
    pub(crate) fn unlisted_until(&self) -> Millis {
        match (self.listed_all, self.synced) {
            (true, _) => 0,
            (false, false) => self.earlier_leases_end,
            (false, true) if self.renewed_by_relay => Millis::MAX,
            (false, true) => self.leases_end_at().unwrap_or(0),
        }
    }

    /// Records a lease expiry that a relay has sent. One that lies beyond the longest lease was
    /// computed on the clock of an earlier incarnation.
    pub(crate) fn record_grant(
        &mut self,
        deadline: Option<Millis>,
        max_lease: Millis,
        starts: &StartsInDoubt,
        now: Millis,
    ) {
        let Some(deadline) = deadline else { return };
        let latest = self.clock_now(now).map(|clock| clock + max_lease);
        if latest.is_some_and(|latest| deadline <= latest) {
            self.lease_expiry = self.lease_expiry.max(deadline);
        } else {
            self.hold_earlier_leases(max_lease, starts, now);
        }
    }

    /// Notes that commands issued before a restart was known may have granted, or may still
    /// grant, leases to the new incarnation. Their deadlines are on the clock of the earlier
    /// one, so that only the longest lease limits them.
    pub(crate) fn hold_earlier_leases(
        &mut self,
        max_lease: Millis,
        starts: &StartsInDoubt,
        now: Millis,
    ) {
        let in_doubt = |run: &Run| matches!(run.state, RunState::Starting | RunState::Unconfirmed);
        let late = starts.any_on(&self.info.id) || self.runs.values().any(in_doubt);
        let delay = if late { MAX_COMMAND_DELAY } else { MAX_REPLY_TIME };
        self.earlier_leases_end = self.earlier_leases_end.max(now + delay + expiry(max_lease));
    }

    /// Notes that the present incarnation has seen the newest token, if a poll was in doubt when it
    /// restarted: until now, that poll may have granted it the longest lease.
    pub(crate) fn note_fenced(&mut self, max_lease: Millis, now: Millis) {
        if std::mem::replace(&mut self.fenced, true) {
            return;
        }
        let late = self.poll_doubted_at > 0 && now < self.poll_doubted_at + MAX_COMMAND_DELAY;
        if late {
            self.earlier_leases_end = self.earlier_leases_end.max(now + expiry(max_lease));
        }
    }

    /// Records a list with its reading of the worker clock. Readings below the last one are
    /// ignored.
    pub(crate) fn record_list(&mut self, clock: Millis, now: Millis) {
        if self.clock.is_none_or(|(before, _)| clock >= before) {
            self.clock = Some((clock, now));
        }
        self.replied_at = now;
    }

    /// Records the reply to a command with its reading of the worker clock. Returns whether
    /// the reading shows that the worker has restarted. The reply does not name the
    /// incarnation, so that a reading that does not fit the known one is not used.
    pub(crate) fn record_reply(&mut self, clock: Millis, now: Millis) -> bool {
        self.replied_at = now;
        let restarted = self.is_behind(clock, now);
        let fits = !restarted && !self.is_ahead(clock, now);
        self.clock = self.clock.map(|(before, at)| match fits && clock >= before {
            true => (clock, now),
            false => (before, at),
        });
        restarted
    }

    /// Returns whether a run was started before the last restart and has neither been listed nor
    /// stopped since.
    pub(crate) fn kept_over_restart(&self, run: &Run) -> bool {
        let earlier = run.started_at > 0 && run.started_at < self.restarted_at;
        let stopped = run.state == RunState::Stopping && run.confirmed_at >= self.restarted_at;
        earlier && run.incarnation.is_none() && !stopped
    }

    /// Adds a run and allocates its capacity.
    pub(crate) fn add(&mut self, task: TaskId, run: Run) {
        let size = run.allocation();
        self.used = self.used.plus(size);
        if run.best_effort {
            self.best_effort_cpu = self.best_effort_cpu.saturating_add(run.size.cpu);
        }
        if run.best_effort && run.started_at > 0 {
            self.recent_starts.push((run.started_at, run.image.clone(), run.size.cpu));
        }
        if run.latency_target > 0 {
            self.service_cpu = self.service_cpu.saturating_add(run.size.cpu);
        }
        self.runs.insert(task, run);
        self.update_headrooms();
    }

    /// Removes a run and releases its capacity.
    pub(crate) fn remove(&mut self, task: &TaskId) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.improved = true;
        self.used = self.used.minus(run.allocation());
        if run.best_effort {
            self.best_effort_cpu = self.best_effort_cpu.saturating_sub(run.size.cpu);
        }
        if run.latency_target > 0 {
            self.service_cpu = self.service_cpu.saturating_sub(run.size.cpu);
            self.update_headrooms();
        }
        Some(run)
    }

    /// Recomputes `target_missed` and the lowest headroom of each service image.
    pub(crate) fn update_headrooms(&mut self) {
        self.improved = true;
        self.headrooms.clear();
        self.target_missed = self.runs.values().any(|run| run.missed_since > 0);
        for run in self.runs.values().filter(|run| run.latency_target > 0) {
            let headroom = headroom(run.latency_target, run.metric);
            match self.headrooms.iter_mut().find(|(image, _)| *image == run.image) {
                Some((_, lowest)) => *lowest = lowest.min(headroom),
                None => self.headrooms.push((run.image.clone(), headroom)),
            }
        }
    }

    /// Whether its tasks take up more than its size, which may have shrunk since they started.
    pub(crate) fn over_size(&self) -> bool {
        !self.used.fits(self.info.size)
    }

    /// Returns the free capacity, counting no CPU for best-effort tasks.
    pub fn free(&self) -> Size {
        self.info.size.minus(self.used)
    }
}
