use base::{Millis, Now};

use super::{Cell, Flying, Role, World};
use crate::{Peer, Record, Sync, SyncReply, Verdict};

/// Time after which an unanswered [`Sync`] is sent again.
const SYNC_TIMEOUT: Millis = 400;
/// Changes beyond which one [`Sync`] is cut.
const MAX_OPS: usize = 4000;

impl Cell {
    /// The next message to the backup, where one is due: changes wait, or the
    /// lease is `every` milliseconds old.
    pub fn sync(&mut self, world: &World<'_>, every: Millis) -> Option<Sync> {
        let backup = self.record.as_ref()?.backup.clone()?;
        let acts = matches!(self.role, Role::Primary | Role::Resigned);
        if !acts || self.solo || self.claiming.is_some() || !self.ready {
            return None;
        }
        if !self.sync_due(world.now.mono, every) {
            return None;
        }
        Some(self.compose(backup, world))
    }

    fn sync_due(&mut self, now: Millis, every: Millis) -> bool {
        if let Some(flying) = &self.flying {
            if now < flying.sent + SYNC_TIMEOUT {
                return false;
            }
            // What an unanswered message held is unknown: it is covered anew.
            self.whole |= flying.table;
            return true;
        }
        let waits = !self.ops.is_empty() || self.whole || self.role == Role::Resigned;
        waits || !self.held.valid(now) || now >= self.renewed() + every
    }

    fn compose(&mut self, backup: Peer, world: &World<'_>) -> Sync {
        let now = world.now.mono;
        let end = self.index();
        let table =
            self.whole.then(|| (self.table.clone(), self.unlogged.iter().cloned().collect()));
        let (first, ops) = match self.whole {
            true => (end, Vec::new()),
            false => (self.first, self.ops.iter().take(MAX_OPS).cloned().collect()),
        };
        let ttl = if world.log { self.setup.lease } else { self.setup.outage_lease };
        let reached = first + ops.len() as u64;
        self.seq += 1;
        self.held.send(now, ttl);
        self.flying = Some(Flying { seq: self.seq, sent: now, end: reached, table: self.whole });
        Sync {
            cell: self.id.clone(),
            epoch: self.epoch(),
            primary: self.setup.me.clone(),
            backup,
            seq: self.seq,
            ttl,
            echo: self.held.echo,
            echo_ttl: self.held.echo_ttl,
            resign: self.role == Role::Resigned,
            table,
            logged: self.unlogged.front().map_or(end, |(index, _)| *index),
            first,
            ops,
        }
    }

    /// When the newest grant was received, as far as it can be told.
    fn renewed(&self) -> Millis {
        self.held.bound.saturating_sub(self.held.echo_ttl + self.setup.skew)
    }

    /// Takes in the answer of the backup.
    pub fn on_reply(&mut self, reply: &SyncReply, now: Now) {
        if reply.epoch != self.epoch() || !matches!(self.role, Role::Primary | Role::Resigned) {
            return;
        }
        let Some(flying) = self.flying.take_if(|f| f.seq == reply.seq) else { return };
        match reply.verdict {
            Verdict::Granted => {
                self.held.grant(now.mono, flying.sent, reply.stamp, reply.ttl, self.setup.skew);
                while self.first < flying.end && self.ops.pop_front().is_some() {
                    self.first += 1;
                }
                self.whole &= !flying.table;
            }
            Verdict::Resync => self.whole = true,
            Verdict::Refused => {}
        }
    }

    /// Applies a message of the primary and renews its lease.
    pub fn on_sync(&mut self, sync: Sync, world: &World<'_>) -> SyncReply {
        let now = world.now;
        if sync.backup == self.setup.me && sync.epoch > self.epoch() {
            // The sender acts on a record that this process has yet to read.
            let record = Record {
                cell: sync.cell.clone(),
                epoch: sync.epoch,
                primary: sync.primary.clone(),
                backup: Some(sync.backup.clone()),
            };
            self.on_record(&record, world);
        }
        let mut reply = SyncReply {
            cell: sync.cell.clone(),
            epoch: sync.epoch,
            seq: sync.seq,
            verdict: Verdict::Refused,
            stamp: now.mono,
            ttl: 0,
        };
        let fits = sync.epoch == self.epoch()
            && self.role == Role::Backup
            && sync.backup == self.setup.me
            && self.record.as_ref().is_some_and(|r| r.primary == sync.primary);
        let claimed = self.claiming.is_some() && self.setup.guards.fence;
        if !fits || claimed || self.resigned || sync.seq <= self.seq && self.synced {
            return reply;
        }
        if let Some((table, unlogged)) = sync.table {
            self.table = table;
            self.unlogged = unlogged.into();
            self.first = sync.first;
            self.synced = true;
        }
        if !self.synced || sync.first > self.first {
            reply.verdict = Verdict::Resync;
            return reply;
        }
        let skip = (self.first - sync.first) as usize;
        for op in sync.ops.iter().skip(skip) {
            self.table.apply(op, now.unix);
            if op.durable() {
                self.unlogged.push_back((self.first, op.clone()));
            }
            self.first += 1;
        }
        self.unlogged.retain(|(index, _)| *index >= sync.logged);
        self.seq = sync.seq;
        self.resigned = sync.resign;
        let ttl = if world.log { sync.ttl.min(self.setup.lease) } else { sync.ttl };
        self.given.grant(now.mono, sync.ttl, ttl, (sync.echo, sync.echo_ttl), self.setup.skew);
        reply.verdict = Verdict::Granted;
        reply.ttl = ttl;
        reply
    }
}
