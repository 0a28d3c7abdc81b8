use std::{cmp::Reverse, collections::BTreeMap};

use base::{Millis, Name, hash};

use crate::{Beat, Purpose, Vm};

/// Silence of the leader after which the others are asked about it.
const SUSPECT: Millis = 450;
/// Silence of the leader after which the first candidate claims.
const SILENCE: Millis = 750;
/// Wait of a process that has just started and has heard of no leader.
const FIRST_WAIT: Millis = 300;
/// Time by which each further candidate claims later.
const TURN: Millis = 250;
/// Age up to which another VM's word that the leader is alive counts.
const VOUCH: Millis = 700;
/// Age of a heartbeat from which its sender is no longer a candidate.
const FRESH: Millis = 2_500;
/// Age of a heartbeat from which its sender is forgotten.
const FORGET: Millis = 60_000;
/// VMs of a failure domain that read the manifest from the store.
const READERS: usize = 3;
/// Age of a heartbeat from which its sender no longer reads for others.
const READER_FRESH: Millis = 2_200;
/// Wait after a claim that was lost.
const LOST_WAIT: Millis = 400;
/// Grain in which delays to the store are compared, in milliseconds.
const DELAY_GRAIN: u32 = 6;
/// Lateness of ticks, in milliseconds, that idle processes show, too; one as late
/// again has half of its power left.
const LAG_IDLE: u32 = 40;
/// Time for which a leader that lags goes on, so that leadership does not wander
/// where all are busy.
const OUTPACED_AFTER: Millis = 5_000;

/// The VM that leads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leader {
    /// Epoch of its leadership.
    pub epoch: u64,
    /// The VM.
    pub vm: Vm,
}

#[derive(Debug)]
struct Peer {
    beat: Beat,
    at: Millis,
}

/// Membership and leadership as one VM sees them.
#[derive(Debug)]
pub struct Elect {
    me: Vm,
    power: u32,
    peers: BTreeMap<Name, Peer>,
    known: BTreeMap<Name, Vm>,
    leader: Option<Leader>,
    epoch: u64,
    heard: Millis,
    vouched: Option<(Millis, Vm)>,
    quiet: Millis,
    asked: Millis,
    summoned: bool,
    /// When this VM took leadership over.
    led: Millis,
    /// Whether this VM leads.
    pub leading: bool,
    /// Whether the store answers this VM.
    pub store: bool,
    /// Milliseconds that the store takes to answer.
    pub delay: u32,
    /// Milliseconds by which this process comes late to its ticks, smoothed.
    pub lag: u32,
    /// Version of the manifest that this VM has.
    pub version: u64,
    /// Whether this VM is shutting down.
    pub leaving: bool,
}

impl Elect {
    /// Opens the view of a process that has just started.
    pub fn open(me: Vm, power: u32, now: Millis) -> Elect {
        Elect {
            me,
            power,
            peers: BTreeMap::new(),
            known: BTreeMap::new(),
            leader: None,
            epoch: 0,
            heard: now.saturating_sub(SILENCE - FIRST_WAIT),
            vouched: None,
            quiet: 0,
            asked: 0,
            summoned: false,
            led: 0,
            leading: false,
            store: false,
            delay: 0,
            lag: 0,
            version: 0,
            leaving: false,
        }
    }

    /// Learns of a VM, which then gets heartbeats.
    pub fn learn(&mut self, vm: Vm) {
        if vm.name == self.me.name {
            return;
        }
        let newer = self.known.get(&vm.name).is_none_or(|known| known.born < vm.born);
        if newer {
            self.known.insert(vm.name.clone(), vm);
        }
    }

    /// Takes a heartbeat in.
    pub fn on_beat(&mut self, beat: Beat, now: Millis) {
        if beat.from.name == self.me.name {
            return;
        }
        self.learn(beat.from.clone());
        for vm in &beat.others {
            self.learn(vm.clone());
        }
        self.follow(&beat, now);
        if beat.purpose == Purpose::TakeOver && beat.epoch >= self.epoch {
            self.summoned = true;
        }
        self.peers.insert(beat.from.name.clone(), Peer { beat, at: now });
    }

    fn follow(&mut self, beat: &Beat, now: Millis) {
        if beat.epoch < self.epoch {
            return;
        }
        let Some(vm) = beat.leader.clone().filter(|vm| vm.name != self.me.name) else { return };
        let news = beat.epoch > self.epoch;
        if news {
            self.epoch = beat.epoch;
            self.vouched = None;
        }
        if news || self.leader.is_none() {
            self.leader = Some(Leader { epoch: beat.epoch, vm });
            self.heard = now.saturating_sub(SUSPECT);
        }
        if beat.leading {
            self.heard = now;
        } else if beat.heard < SUSPECT {
            self.vouched = Some((now.saturating_sub(beat.heard), beat.from.clone()));
        }
    }

    /// Notes that this VM leads.
    pub fn lead(&mut self, epoch: u64, now: Millis) {
        self.epoch = epoch;
        self.leader = Some(Leader { epoch, vm: self.me.clone() });
        self.led = now;
        self.leading = true;
        self.heard = now;
        self.summoned = false;
    }

    /// Notes that this VM no longer leads, or that its claim failed.
    pub fn yield_lead(&mut self, now: Millis) {
        if self.leading {
            self.leader = None;
        }
        self.leading = false;
        self.summoned = false;
        self.quiet = now + LOST_WAIT;
    }

    /// Whether this VM should claim leadership now.
    pub fn should_claim(&mut self, now: Millis) -> bool {
        if self.leading || self.leaving || !self.store || now < self.quiet {
            return false;
        }
        if self.summoned {
            return true;
        }
        let vouched = self.vouched.as_ref().is_some_and(|(at, _)| now < at + VOUCH);
        let due = self.heard + SILENCE + self.rank(now) * TURN;
        !vouched && now >= due
    }

    /// Whether to ask the others about the leader now.
    pub fn should_ask(&mut self, now: Millis) -> bool {
        if self.leading || now < self.heard + SUSPECT || now < self.asked + TURN / 2 {
            return false;
        }
        self.asked = now;
        true
    }

    /// Number of better candidates.
    fn rank(&self, now: Millis) -> Millis {
        let mine = score(self.power_now(), self.delay, &self.me.name);
        self.candidates(now).filter(|beat| beat_score(beat) < mine).count() as Millis
    }

    fn candidates(&self, now: Millis) -> impl Iterator<Item = &Beat> {
        let old = self.leader.as_ref().map(|l| l.vm.name.clone());
        let fresh = self.peers.values().filter(move |peer| now < peer.at + FRESH);
        let beats = fresh.map(|peer| &peer.beat);
        beats.filter(move |b| b.store && !b.leaving && Some(&b.from.name) != old.as_ref())
    }

    /// The VM that should lead after this one.
    pub fn successor(&self, now: Millis) -> Option<Vm> {
        self.candidates(now).min_by_key(|beat| beat_score(beat)).map(|beat| beat.from.clone())
    }

    /// Processor power that this VM has left: a process that lags has less than its
    /// VM was given.
    fn power_now(&self) -> u32 {
        match self.lag {
            0..LAG_IDLE => self.power,
            lag => self.power * LAG_IDLE / (LAG_IDLE + lag),
        }
    }

    /// Whether this VM has led for a while and lags, and the one that would lead
    /// after it has at least twice its power.
    pub fn outpaced(&self, now: Millis) -> bool {
        let long = self.leading && now >= self.led + OUTPACED_AFTER;
        let best = self.candidates(now).map(|beat| beat.power).max().unwrap_or(0);
        long && self.lag >= LAG_IDLE && best >= 2 * self.power_now()
    }

    /// Where to send what the leader must decide: the leader, or a VM that
    /// hears it when this one does not.
    pub fn path(&self, now: Millis) -> Option<Vm> {
        let leader = self.leader.as_ref()?;
        if self.leading || now < self.heard + SILENCE {
            return Some(leader.vm.clone());
        }
        let vouch = self.vouched.as_ref().filter(|(at, _)| now < at + 2 * VOUCH);
        Some(vouch.map_or(leader.vm.clone(), |(_, vm)| vm.clone()))
    }

    /// The leader, where one is known.
    pub fn leader(&self) -> Option<&Leader> {
        self.leader.as_ref()
    }

    /// Highest epoch known.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Milliseconds since the leader was heard, directly or through another VM.
    pub fn silence(&self, now: Millis) -> Millis {
        if self.leading {
            return 0;
        }
        let vouched = self.vouched.as_ref().map_or(0, |(at, _)| *at);
        let heard = if self.leader.is_some() { self.heard } else { 0 };
        now.saturating_sub(heard.max(vouched))
    }

    /// VMs to send heartbeats to.
    pub fn targets(&mut self, now: Millis) -> Vec<Vm> {
        self.peers.retain(|_, peer| now < peer.at + FORGET);
        self.known.values().cloned().collect()
    }

    /// A VM that has a newer manifest, in the own failure domain where one has.
    pub fn newer(&self) -> Option<Vm> {
        let own = |peer: &&Peer| (peer.beat.from.domain == self.me.domain, peer.beat.version);
        let newer = self.peers.values().filter(|peer| peer.beat.version > self.version);
        newer.max_by_key(own).map(|peer| peer.beat.from.clone())
    }

    /// Whether this VM reads the manifest from the store. In large failure domains
    /// three VMs do so for all, since the link between regions is narrow.
    pub fn reads_manifest(&self, now: Millis) -> bool {
        let own = self.peers.values().filter(|peer| peer.beat.from.domain == self.me.domain);
        let alive = own.filter(|peer| now < peer.at + READER_FRESH);
        let readers = alive.filter(|peer| peer.beat.store && !peer.beat.leaving);
        let before = readers.filter(|peer| peer.beat.from.name < self.me.name);
        before.count() < READERS
    }

    /// Other VMs of the own failure domain.
    pub fn neighbours(&self) -> Vec<Vm> {
        self.known.values().filter(|vm| vm.domain == self.me.domain).cloned().collect()
    }

    /// The heartbeat of this VM.
    pub fn beat(&self, purpose: Purpose, now: Millis) -> Beat {
        let fresh = self.peers.values().filter(|peer| now < peer.at + FRESH);
        let others =
            if self.leading { fresh.map(|p| p.beat.from.clone()).collect() } else { Vec::new() };
        Beat {
            from: self.me.clone(),
            purpose,
            epoch: self.epoch,
            leader: self.leader.as_ref().map(|l| l.vm.clone()),
            leading: self.leading,
            heard: now.saturating_sub(self.heard),
            store: self.store,
            delay: self.delay,
            power: self.power_now(),
            version: self.version,
            leaving: self.leaving,
            others,
        }
    }
}

fn score(power: u32, delay: u32, name: &str) -> (Reverse<u32>, u32, u64) {
    (Reverse(power), delay / DELAY_GRAIN, hash(name.as_bytes()))
}

fn beat_score(beat: &Beat) -> (Reverse<u32>, u32, u64) {
    score(beat.power, beat.delay, &beat.from.name)
}
