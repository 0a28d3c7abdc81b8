use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name};
use lead::{Bounds, Lead};
use port::Item;
use rand::Rng;

use super::{
    CALL_TIMEOUT, Cell, DOMAINS, DRAIN_TIME, Event, Leader, NETWORK_DELAY, RETRY_DELAY, TIME_STEP,
    VMS,
};

/// Time without a leader that the store answers after which a VM claims.
const LEADERLESS_TIME: Millis = 750;
/// Silence of a worker after which the store no longer lists it.
const UNLIST_AFTER: Millis = 1_500;
/// Longest time after which a worker that reaches the store writes its record.
const MAX_RELIST: Millis = 2_000;

/// The log of the cell, as the newest record of each key.
#[derive(Debug, Default)]
pub(super) struct Log {
    pub(super) epoch: u64,
    /// Number of the newest batch of the epoch.
    pub(super) batch: u64,
    pub(super) table: BTreeMap<Name, Vec<u8>>,
}

impl Cell {
    /// Updates the list of workers in the store.
    pub(super) fn update_list(&mut self) {
        let ids: Vec<Name> = self.workers.keys().cloned().collect();
        for id in ids {
            let (worker, host) = (&self.workers[&id], &self.hosts[&id]);
            let (domain, contact_at) = (host.domain, host.contact_at);
            let mut info = worker.info();
            info.domain = format!("d{domain}").into();
            info.draining = host.draining;
            info.remaining = host.draining.then_some(DRAIN_TIME);
            let up = worker.down_until <= self.now;
            let back = up && self.reaches_store(domain);
            // A worker that was away, or that has restarted, takes some time.
            let fresh = self.now > contact_at + 2 * TIME_STEP;
            let delay = if back && fresh { self.rng.random_range(0..MAX_RELIST) } else { 0 };
            let host = self.hosts.get_mut(&id).expect("a host");
            if back {
                host.contact_at = self.now;
                if fresh {
                    host.write_at = self.now + delay;
                }
                if self.now >= host.write_at && self.list.get(&id) != Some(&info) {
                    self.list.insert(id.clone(), info.clone());
                    self.changes.push((self.now, id, Some(info)));
                }
            } else if self.now >= contact_at + UNLIST_AFTER && self.list.remove(&id).is_some() {
                self.changes.push((self.now, id, None));
            }
        }
    }

    /// Has a VM that reaches the store claim where no leader is in touch with it.
    pub(super) fn elect(&mut self) {
        let led = self.leaders.get(&self.log.epoch).is_some_and(|leader| {
            leader.frozen_until <= self.now && self.reaches_store(leader.vm % DOMAINS)
        });
        if led || self.outage_until > self.now {
            self.leaderless_since = self.now;
        } else if self.now >= self.leaderless_since + LEADERLESS_TIME {
            self.claim();
        }
    }

    /// Has a VM that reaches the store and does not lead claim, with all that is durable.
    pub(super) fn claim(&mut self) {
        let leads = |vm: &usize| self.leaders.values().any(|leader| leader.vm == *vm);
        let vms = (0..VMS).filter(|vm| !leads(vm) && self.reaches_store(vm % DOMAINS));
        let vms: Vec<usize> = vms.collect();
        let Some(vm) = self.pick(&vms) else { return };
        self.log.epoch += 1;
        self.log.batch = 0;
        let epoch = self.log.epoch;
        log::info!("event=claimed at={} epoch={epoch} vm={vm}", self.now);
        let items = self.log.table.iter();
        let items: Vec<Item> =
            items.map(|(key, value)| Item { key: key.clone(), value: value.clone() }).collect();
        let time = self.time();
        let mut lead = Lead::open(epoch, &items, Bounds::default(), time);
        let listed = self.list.keys().map(|id| Item { key: id.clone(), value: vec![1] });
        let decode = |id: &Name, _: &[u8]| self.list.get(id).cloned();
        lead.on_worker_records(&listed.collect::<Vec<_>>(), true, &decode, time);
        let leader = Leader {
            vm,
            lead,
            store_at: self.now,
            heard_at: 0,
            frozen_until: 0,
            appending: None,
            changes_seen: self.changes.len(),
            polled: BTreeSet::new(),
        };
        self.leaders.insert(epoch, leader);
        self.leaderless_since = self.now;
    }

    /// Sends the next batch to the store, one at a time.
    pub(super) fn append(&mut self, epoch: u64, pause: Millis) {
        let Some(leader) = self.leaders.get_mut(&epoch) else { return };
        if leader.appending.is_some() {
            return;
        }
        leader.appending = leader.lead.take_batch();
        if leader.appending.is_some() {
            let most = self.faults.append_time;
            let slow = most > 0 && self.rng.random_bool(0.3);
            let ms = if slow { self.rng.random_range(0..most) } else { 0 };
            self.schedule(pause + NETWORK_DELAY + ms, Event::Append(epoch));
        }
    }

    /// Handles an append that reaches the store, unless that is away.
    pub(super) fn store(&mut self, epoch: u64) {
        let Some(leader) = self.leaders.get(&epoch) else { return };
        let reaches = self.reaches_store(leader.vm % DOMAINS);
        let Some(batch) = leader.appending.as_ref().filter(|_| reaches) else {
            return self.schedule(CALL_TIMEOUT + RETRY_DELAY, Event::Append(epoch));
        };
        if self.log.epoch > epoch {
            return self.schedule(NETWORK_DELAY, Event::Stored(epoch, false));
        }
        if batch.number > self.log.batch {
            self.log.batch = batch.number;
            for record in &batch.records {
                if record.value.is_empty() {
                    self.log.table.remove(&record.key);
                } else {
                    self.log.table.insert(record.key.clone(), record.value.clone());
                }
            }
        }
        self.schedule(NETWORK_DELAY, Event::Stored(epoch, true));
    }

    /// Handles the store's answer to an append; it may be lost.
    pub(super) fn on_stored(&mut self, epoch: u64, stored: bool) {
        let time = self.time();
        let Some(leader) = self.leaders.get(&epoch) else { return };
        if !self.reaches_store(leader.vm % DOMAINS) {
            return self.schedule(CALL_TIMEOUT + RETRY_DELAY, Event::Append(epoch));
        }
        if !stored {
            log::info!("event=fenced at={} epoch={epoch}", self.now);
            self.leaders.remove(&epoch);
            return;
        }
        let leader = self.leaders.get_mut(&epoch).expect("a leader");
        if let Some(batch) = leader.appending.take() {
            leader.lead.on_stored(&batch, time);
        }
    }
}
