use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use base::{Millis, Name, hash};

use crate::{
    Heartbeat, Purpose, Vm,
    fanout::{CORE_INTERVAL, Schedule},
    lease::{LeaderLease, MEMBER_SILENCE},
    overload::Overload,
};

/// Leader silence after which the other VMs are queried about it, for a VM that gets the
/// leader's heartbeats at [`CORE_INTERVAL`].
const SUSPECT_AFTER: Millis = 3 * CORE_INTERVAL;
/// Leader silence after which the first candidate claims leadership, for such a VM.
const CLAIM_AFTER: Millis = 5 * CORE_INTERVAL;
/// Extra claim delay of VMs outside the core, which do not know all better candidates.
const REMOTE_CLAIM_DELAY: Millis = 1_000;
/// Time for which a leader holds back its appends once it has requested a takeover. The
/// successor's claim succeeds only if nothing is appended between its read and its append.
const APPEND_HOLD: Millis = 700;
/// Interval at which appends may be held back, so that a leader without a successor goes on.
const APPEND_HOLD_INTERVAL: Millis = 1_500;
/// Pause before the next claim after another VM has announced one.
const CLAIM_HOLD: Millis = 1_000;
/// Delay after process start before the first claim if no leader is known.
const STARTUP_DELAY: Millis = 300;
/// Extra claim delay for each better candidate.
const CLAIM_STAGGER: Millis = 250;
/// Age up to which a contact with the leader that another VM reported counts.
const INDIRECT_CONTACT_TTL: Millis = 700;
/// Age of the last heartbeat from which a VM is no longer a candidate.
const MAX_CANDIDATE_AGE: Millis = 2_500;
/// Age of the last heartbeat from which its contents are dropped.
const PEER_RETENTION: Millis = 60_000;
/// Number of VMs per failure domain that read the manifest from the store.
const MANIFEST_READERS: usize = 3;
/// Age of the last heartbeat from which a VM no longer counts as a manifest reader.
const MAX_READER_AGE: Millis = 2_200;
/// Time for which a VM that did not reply to a request for its manifest is asked after the others.
const FETCH_FAILURE_AGE: Millis = 5_000;
/// Most VMs that a heartbeat names as newcomers, to bound its size.
const MAX_NEWCOMERS: usize = 16;
/// Pause before the next claim after leadership or a claim was lost.
const CLAIM_BACKOFF: Millis = 400;
/// Resolution at which store latencies are compared, in milliseconds.
const LATENCY_BUCKET: u32 = 6;
/// Tick lag, in milliseconds, below which CPU capacity counts in full, because idle
/// processes show such lag, too. Capacity counts half at this lag, a third at twice it.
const IDLE_LAG: u32 = 40;
/// Tenure before a lagging leader may hand over, so that leadership does not move
/// around continually when all VMs are busy.
const MIN_TENURE: Millis = 5_000;

/// The leader of an epoch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leader {
    /// Epoch of the leadership.
    pub epoch: u64,
    /// The leading VM.
    pub vm: Vm,
}

#[derive(Debug)]
struct Peer {
    /// Last heartbeat received from the VM.
    heartbeat: Heartbeat,
    /// When it was received.
    received_at: Millis,
    /// When the VM last failed to reply to a request for its manifest; 0 if it never has.
    fetch_failed_at: Millis,
}

/// Membership and leadership from the point of view of one VM. Times are
/// milliseconds of a monotonic clock.
#[derive(Debug)]
pub struct Election {
    pub(crate) me: Vm,
    /// VMs that have recently sent a heartbeat.
    peers: BTreeMap<Name, Peer>,
    /// All VMs known, including those that have sent nothing.
    pub(crate) known: BTreeMap<Name, Vm>,
    /// VMs in close contact with the leader.
    pub(crate) core: BTreeSet<Name>,
    leader: Option<Leader>,
    epoch: u64,
    /// Last direct contact with the leader.
    contact_at: Millis,
    /// Interval at which the leader sends heartbeats to this VM.
    leader_interval: Millis,
    /// When the leader sent the newest heartbeat that was received, on its clock; 0 if there is
    /// none of this epoch.
    leader_sent_at: Millis,
    /// Last contact of another VM with the leader, and that VM.
    indirect_contact: Option<(Millis, Vm)>,
    /// Time before which this VM makes no claim.
    backoff_until: Millis,
    /// When the other VMs were last queried about the leader.
    queried_at: Millis,
    /// Whether a leader has requested that this VM take over.
    takeover_requested: bool,
    /// When this leader last began to hold back its appends.
    append_hold_at: Millis,
    /// When this VM became the leader.
    leading_since: Millis,
    /// Whether this VM may decide as the leader.
    pub(crate) lease: LeaderLease,
    pub(crate) schedule: Schedule,
    /// Whether this VM is the leader.
    pub leading: bool,
    /// Whether the store answers this VM.
    pub store_reachable: bool,
    /// Latency of the store, in milliseconds.
    pub store_latency: u32,
    /// Smoothed lateness of this process's ticks, in milliseconds.
    lag: u32,
    overload: Overload,
    /// Version of this VM's manifest, 0 if it has none.
    pub manifest_version: u64,
    /// Whether this VM is shutting down; it then makes no claim.
    pub leaving: bool,
    /// Whether a claim of this VM is running.
    pub claiming: bool,
    /// VMs that are not members, as the leader said last.
    newcomers: BTreeSet<Name>,
}

impl Election {
    /// Creates the state of a process that has just started.
    pub fn new(me: Vm, now: Millis) -> Election {
        Election {
            core: BTreeSet::from([me.name.clone()]),
            me,
            peers: BTreeMap::new(),
            known: BTreeMap::new(),
            leader: None,
            epoch: 0,
            contact_at: now.saturating_sub(CLAIM_AFTER - STARTUP_DELAY),
            leader_interval: CORE_INTERVAL,
            leader_sent_at: 0,
            indirect_contact: None,
            backoff_until: 0,
            queried_at: 0,
            takeover_requested: false,
            append_hold_at: 0,
            leading_since: 0,
            lease: LeaderLease::default(),
            schedule: Schedule::default(),
            leading: false,
            store_reachable: false,
            store_latency: 0,
            lag: 0,
            overload: Overload::default(),
            manifest_version: 0,
            leaving: false,
            claiming: false,
            newcomers: BTreeSet::new(),
        }
    }

    /// Adds a VM to those that get heartbeats, or updates it to a newer incarnation.
    pub fn add_vm(&mut self, vm: Vm) {
        if vm.name == self.me.name {
            return;
        }
        let newer = self.known.get(&vm.name).is_none_or(|known| known.incarnation < vm.incarnation);
        if newer {
            let known = self.known.insert(vm.name.clone(), vm);
            if known.is_none() {
                self.update_core();
            }
        }
    }

    /// Applies a received heartbeat.
    pub fn on_heartbeat(&mut self, heartbeat: Heartbeat, now: Millis) {
        if heartbeat.from.name == self.me.name {
            return;
        }
        self.add_vm(heartbeat.from.clone());
        for vm in &heartbeat.others {
            self.add_vm(vm.clone());
        }
        self.update_leader(&heartbeat, now);
        self.update_lease(&heartbeat);
        if heartbeat.leading && heartbeat.epoch == self.epoch {
            self.newcomers = heartbeat.newcomers.iter().cloned().collect();
        }
        if heartbeat.purpose == Purpose::TakeOver && heartbeat.epoch >= self.epoch {
            self.takeover_requested = true;
        }
        if heartbeat.claiming && heartbeat.epoch >= self.epoch {
            self.backoff_until = self.backoff_until.max(now + CLAIM_HOLD);
        }
        let name = heartbeat.from.name.clone();
        let fetch_failed_at = self.peers.get(&name).map_or(0, |peer| peer.fetch_failed_at);
        self.peers.insert(name, Peer { heartbeat, received_at: now, fetch_failed_at });
    }

    /// Updates leader, epoch and contact times from a heartbeat; ignores old epochs.
    fn update_leader(&mut self, heartbeat: &Heartbeat, now: Millis) {
        if heartbeat.epoch < self.epoch {
            return;
        }
        let Some(vm) = heartbeat.leader.clone().filter(|v| v.name != self.me.name) else { return };
        let advanced = heartbeat.epoch > self.epoch;
        if advanced {
            self.epoch = heartbeat.epoch;
            self.indirect_contact = None;
        }
        if advanced || self.leader.is_none() {
            self.leader = Some(Leader { epoch: heartbeat.epoch, vm });
            // No contact yet: query the other VMs at once.
            self.contact_at = now.saturating_sub(SUSPECT_AFTER);
            self.leader_interval = CORE_INTERVAL;
            self.leader_sent_at = 0;
        }
        if heartbeat.leading {
            self.contact_at = now;
            self.leader_sent_at = self.leader_sent_at.max(heartbeat.sent_at);
            // Heartbeats that announce a takeover or reply to a query have no interval.
            if heartbeat.interval > 0 {
                self.leader_interval = heartbeat.interval;
            }
        } else if heartbeat.contact_age < SUSPECT_AFTER {
            self.indirect_contact =
                Some((now.saturating_sub(heartbeat.contact_age), heartbeat.from.clone()));
        }
    }

    /// Records a follower's word that it does not lead.
    fn update_lease(&mut self, heartbeat: &Heartbeat) {
        let follows = heartbeat.epoch == self.epoch && heartbeat.leader.as_ref() == Some(&self.me);
        if self.leading && follows {
            self.lease.on_word(&heartbeat.from.name, heartbeat.echo, &self.me.name);
        }
    }

    /// Records the members that the store had when this leader claimed; `None` if it had no such
    /// record.
    pub fn set_members(&mut self, members: Option<BTreeSet<Name>>, now: Millis) {
        self.lease = LeaderLease::open(members, now);
    }

    /// Returns the members to store: the VMs that have recently been heard from, if they are not
    /// those of the newest record.
    pub fn members_due(&self, now: Millis) -> Option<BTreeSet<Name>> {
        let heard = self.peers.iter().filter(|(_, peer)| now < peer.received_at + MEMBER_SILENCE);
        let mut members: BTreeSet<Name> = heard.map(|(name, _)| name.clone()).collect();
        members.insert(self.me.name.clone());
        (self.leading && self.lease.members() != Some(&members)).then_some(members)
    }

    /// Returns VMs that this leader has recently heard from and that are not in the newest record of
    /// the members.
    fn list_newcomers(&self, now: Millis) -> Vec<Name> {
        let Some(members) = self.lease.members() else { return Vec::new() };
        let heard = self.peers.iter().filter(|(_, peer)| now < peer.received_at + MEMBER_SILENCE);
        let others = heard.map(|(name, _)| name).filter(|name| !members.contains(*name));
        others.take(MAX_NEWCOMERS).cloned().collect()
    }

    /// Records that a record of the members may reach the store from now on.
    pub fn on_members_sent(&mut self, members: BTreeSet<Name>) {
        self.lease.propose(members, &self.me.name);
    }

    /// Records that the store has the members that were sent last.
    pub fn on_members_stored(&mut self) {
        self.lease.on_stored(&self.me.name);
    }

    /// Records that this VM has become the leader in an epoch.
    pub fn become_leader(&mut self, epoch: u64, now: Millis) {
        self.epoch = epoch;
        self.leader = Some(Leader { epoch, vm: self.me.clone() });
        self.leading_since = now;
        self.append_hold_at = 0;
        self.lease = LeaderLease::open(None, now);
        self.leading = true;
        self.contact_at = now;
        self.takeover_requested = false;
    }

    /// Records that this VM is no longer the leader, or that its claim failed.
    pub fn step_down(&mut self, now: Millis) {
        if self.leading {
            self.leader = None;
            self.overload.on_relief(self.lag >= IDLE_LAG, now);
        }
        self.leading = false;
        self.takeover_requested = false;
        self.backoff_until = now + CLAIM_BACKOFF;
    }

    /// Returns whether this VM should claim leadership now.
    pub fn should_claim(&mut self, now: Millis) -> bool {
        if self.leading || self.leaving || !self.store_reachable || now < self.backoff_until {
            return false;
        }
        if self.takeover_requested {
            return true;
        }
        let leader_alive =
            self.indirect_contact.as_ref().is_some_and(|(at, _)| now < at + INDIRECT_CONTACT_TTL);
        let remote_delay = if self.in_core() { 0 } else { REMOTE_CLAIM_DELAY };
        let delay = self.scaled(CLAIM_AFTER) + self.rank(now) * CLAIM_STAGGER + remote_delay;
        let due = self.contact_at + delay;
        !leader_alive && now >= due
    }

    /// Returns whether to query the other VMs about the leader now, and if so records
    /// the time.
    pub(crate) fn should_query(&mut self, now: Millis) -> bool {
        if self.leading
            || now < self.contact_at + self.scaled(SUSPECT_AFTER)
            || now < self.queried_at + self.query_interval()
        {
            return false;
        }
        self.queried_at = now;
        true
    }

    /// Returns a time limit on the leader's silence, extended if this VM gets the leader's
    /// heartbeats at a longer interval.
    fn scaled(&self, limit: Millis) -> Millis {
        limit * self.leader_interval / CORE_INTERVAL
    }

    /// Returns the number of better candidates, each of which claims earlier.
    fn rank(&self, now: Millis) -> Millis {
        let score = score(self.effective_capacity(), self.store_latency, &self.me.name);
        let mine = (self.is_newcomer(&self.me.name), score);
        self.candidates(now).filter(|heartbeat| self.preference(heartbeat) < mine).count() as Millis
    }

    /// Returns the sort key of a candidate, lowest first. Members come first: a leader that is none
    /// waits for longer before it relies on the end of the earlier leader's decisions.
    fn preference(&self, heartbeat: &Heartbeat) -> (bool, Score) {
        let name = &heartbeat.from.name;
        let score = score(heartbeat.cpu_capacity, heartbeat.store_latency, name);
        (self.is_newcomer(name), score)
    }

    /// Returns whether a VM is known not to be a member.
    fn is_newcomer(&self, name: &Name) -> bool {
        match self.lease.members().filter(|_| self.leading) {
            Some(members) => !members.contains(name),
            None => self.newcomers.contains(name),
        }
    }

    /// Returns the last heartbeats of VMs that may become leader: fresh, with access to
    /// the store, not shutting down, and not the current leader.
    fn candidates(&self, now: Millis) -> impl Iterator<Item = &Heartbeat> {
        let current = self.leader.as_ref().map(|l| l.vm.name.clone());
        let fresh =
            self.peers.values().filter(move |peer| now < peer.received_at + MAX_CANDIDATE_AGE);
        let heartbeats = fresh.map(|peer| &peer.heartbeat);
        heartbeats.filter(move |h| {
            h.store_reachable && !h.leaving && Some(&h.from.name) != current.as_ref()
        })
    }

    /// Returns the best candidate to hand leadership over to.
    pub fn successor(&self, now: Millis) -> Option<Vm> {
        self.candidates(now)
            .min_by_key(|heartbeat| self.preference(heartbeat))
            .map(|heartbeat| heartbeat.from.clone())
    }

    /// Returns the CPU capacity in thousandths of a core, reduced if the process lags,
    /// since it then gets less than its VM was given.
    fn effective_capacity(&self) -> u32 {
        match self.lag {
            0..IDLE_LAG => self.me.cpu_capacity,
            lag => self.me.cpu_capacity * IDLE_LAG / (IDLE_LAG + lag),
        }
    }

    /// Updates the smoothed lateness of this process's ticks, in milliseconds.
    pub fn set_lag(&mut self, lag: u32, now: Millis) {
        self.lag = lag;
        self.overload.update(lag >= IDLE_LAG, now);
    }

    /// Returns whether this leader should hand over because of load: past its minimum
    /// tenure it lags, and a candidate has at least twice its effective CPU capacity. A VM that
    /// is no stronger than one that could not bear the load is none.
    pub fn should_hand_over(&self, now: Millis) -> bool {
        let settled = self.leading && now >= self.leading_since + MIN_TENURE;
        let fresh = self.peers.values().filter(|peer| now < peer.received_at + MAX_CANDIDATE_AGE);
        let overloaded = fresh.map(|peer| &peer.heartbeat).filter(|h| h.overloaded);
        let too_weak = overloaded.map(|h| h.from.cpu_capacity).max().unwrap_or(0);
        let strong = self.candidates(now).filter(|h| h.from.cpu_capacity > too_weak);
        let best = strong.map(|heartbeat| heartbeat.cpu_capacity).max().unwrap_or(0);
        settled && self.lag >= IDLE_LAG && best >= 2 * self.effective_capacity()
    }

    /// Returns where to forward requests for the leader: the leader itself, or if this VM
    /// has lost contact with it, a VM that had contact recently.
    pub fn next_hop(&self, now: Millis) -> Option<Vm> {
        let leader = self.leader.as_ref()?;
        if self.leading || now < self.contact_at + self.scaled(CLAIM_AFTER) {
            return Some(leader.vm.clone());
        }
        let relay =
            self.indirect_contact.as_ref().filter(|(at, _)| now < at + 2 * INDIRECT_CONTACT_TTL);
        Some(relay.map_or(leader.vm.clone(), |(_, vm)| vm.clone()))
    }

    /// Records that the store has confirmed this leader, in answer to a request sent at `sent_at`:
    /// no other VM had claimed by then.
    pub fn on_store_confirmed(&mut self, sent_at: Millis) {
        self.lease.on_store(sent_at);
    }

    /// Returns whether this leader has to ask the store now whether another VM has claimed, and if
    /// so records the time. Nothing else confirms a leader that nobody follows and that has
    /// nothing to append.
    pub fn store_query_due(&mut self, now: Millis) -> bool {
        self.leading && self.lease.store_query_due(now)
    }

    /// Returns whether the store has not answered this leader for so long that it should hand over.
    pub fn has_lost_store(&self, now: Millis) -> bool {
        self.leading && self.lease.is_store_silent(now)
    }

    /// Records that this process was suspended: what it knew may have changed meanwhile.
    pub fn on_suspension(&mut self, now: Millis) {
        self.lease.revoke(now);
    }

    /// Returns until when this VM may decide; 0 if it may not.
    pub fn decides_until(&self) -> Millis {
        if self.leading { self.lease.expires_at() } else { 0 }
    }

    /// Returns whether this VM is the leader and may decide.
    pub fn may_decide(&self, now: Millis) -> bool {
        now < self.decides_until()
    }

    /// Returns the newest time at which no other VM at all had claimed this leader's place; 0 if
    /// that is not known. Only the store tells that of VMs that are not members.
    pub fn unclaimed_at(&self) -> Millis {
        if self.leading { self.lease.store_at } else { 0 }
    }

    /// Returns the leader, `None` while none is known.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// Records that this leader has requested a takeover.
    pub fn on_takeover_requested(&mut self, now: Millis) {
        if now >= self.append_hold_at + APPEND_HOLD_INTERVAL {
            self.append_hold_at = now;
        }
    }

    /// Returns whether this leader holds back its appends for a successor.
    pub fn holds_appends(&self, now: Millis) -> bool {
        self.append_hold_at > 0 && now < self.append_hold_at + APPEND_HOLD
    }

    /// Returns for how long this VM has led, in milliseconds.
    pub fn tenure(&self, now: Millis) -> Millis {
        now.saturating_sub(self.leading_since)
    }

    /// Returns a VM by its name.
    pub fn vm(&self, name: &Name) -> Option<Vm> {
        self.known.get(name).cloned()
    }

    /// Returns the highest epoch known.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the milliseconds since the last contact with the leader, direct or reported
    /// by another VM; 0 on the leader.
    pub fn silence(&self, now: Millis) -> Millis {
        if self.leading {
            return 0;
        }
        let indirect = self.indirect_contact.as_ref().map_or(0, |(at, _)| *at);
        let direct = if self.leader.is_some() { self.contact_at } else { 0 };
        now.saturating_sub(direct.max(indirect))
    }

    /// Drops the heartbeats of VMs that have been silent for too long.
    pub fn expire_peers(&mut self, now: Millis) {
        self.peers.retain(|_, peer| now < peer.received_at + PEER_RETENTION);
    }

    /// Returns the VMs that have recently sent a heartbeat.
    pub(crate) fn fresh_vms(&self, now: Millis) -> Vec<Vm> {
        let fresh = self.peers.values().filter(|peer| now < peer.received_at + MAX_CANDIDATE_AGE);
        fresh.map(|peer| peer.heartbeat.from.clone()).collect()
    }

    /// Returns the last heartbeats of the VMs to which the leader may hand work: those that
    /// have recently sent one, follow it and are not shutting down.
    pub fn helpers(&self, now: Millis) -> Vec<&Heartbeat> {
        let fresh = self.peers.values().filter(|peer| now < peer.received_at + MAX_CANDIDATE_AGE);
        let heartbeats = fresh.map(|peer| &peer.heartbeat);
        heartbeats.filter(|h| h.epoch == self.epoch && !h.leaving).collect()
    }

    /// Returns a VM with a newer manifest, preferably one that has not failed to reply lately, has
    /// sent a heartbeat lately and is in the same failure domain.
    pub fn manifest_source(&self, now: Millis) -> Option<Vm> {
        let preference = |peer: &&Peer| {
            let failed_at = peer.fetch_failed_at;
            let failed = failed_at > 0 && now < failed_at + FETCH_FAILURE_AGE;
            (
                Reverse(if failed { failed_at } else { 0 }),
                now < peer.received_at + MAX_READER_AGE,
                peer.heartbeat.from.domain == self.me.domain,
                peer.heartbeat.manifest_version,
                peer.received_at,
            )
        };
        let newer = self
            .peers
            .values()
            .filter(|peer| peer.heartbeat.manifest_version > self.manifest_version);
        newer.max_by_key(preference).map(|peer| peer.heartbeat.from.clone())
    }

    /// Notes that a VM has not replied to a request for its manifest.
    pub fn on_fetch_failed(&mut self, name: &Name, now: Millis) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.fetch_failed_at = now;
        }
    }

    /// Returns whether this VM reads the manifest from the store. Only three VMs of a
    /// failure domain do so for all, since the link between regions is narrow.
    pub fn reads_manifest(&self, now: Millis) -> bool {
        let own = self.peers.values().filter(|peer| peer.heartbeat.from.domain == self.me.domain);
        let alive = own.filter(|peer| now < peer.received_at + MAX_READER_AGE);
        let readers =
            alive.filter(|peer| peer.heartbeat.store_reachable && !peer.heartbeat.leaving);
        let before = readers.filter(|peer| peer.heartbeat.from.name < self.me.name);
        before.count() < MANIFEST_READERS
    }

    /// Returns the other VMs of this failure domain.
    pub fn domain_peers(&self) -> Vec<Vm> {
        self.known.values().filter(|vm| vm.domain == self.me.domain).cloned().collect()
    }

    /// Returns a heartbeat of this VM.
    pub fn heartbeat(&self, purpose: Purpose, now: Millis) -> Heartbeat {
        let others = if self.leading { self.named_vms(now) } else { Vec::new() };
        Heartbeat {
            from: self.me.clone(),
            purpose,
            epoch: self.epoch,
            leader: self.leader.as_ref().map(|l| l.vm.clone()),
            leading: self.leading,
            contact_age: now.saturating_sub(self.contact_at),
            store_reachable: self.store_reachable,
            store_latency: self.store_latency,
            cpu_capacity: self.effective_capacity(),
            manifest_version: self.manifest_version,
            leaving: self.leaving,
            overloaded: self.overload.is_recent(now),
            claiming: self.claiming,
            interval: 0,
            others,
            sent_at: now,
            echo: self.leader_sent_at,
            newcomers: if self.leading { self.list_newcomers(now) } else { Vec::new() },
        }
    }
}

/// Sort key of a candidate, lowest first.
type Score = (Reverse<u32>, u32, u64);

/// Returns the sort key of a candidate. The hash breaks ties.
fn score(cpu_capacity: u32, store_latency: u32, name: &str) -> Score {
    (Reverse(cpu_capacity), store_latency / LATENCY_BUCKET, hash(name.as_bytes()))
}
