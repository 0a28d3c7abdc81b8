use base::{Millis, Now};

use super::{Cell, InFlight, Role, World};
use crate::{Peer, Record, Sync, SyncReply, Verdict};

/// Time without a reply after which a new [`Sync`] is sent, in milliseconds.
const SYNC_TIMEOUT: Millis = 400;
/// Maximum number of changes in one [`Sync`].
const MAX_OPS: usize = 4000;

impl Cell {
    /// Returns the next message to the backup if one is due: changes are pending,
    /// or the last renewal is `every` milliseconds old.
    pub fn sync(&mut self, world: &World<'_>, every: Millis) -> Option<Sync> {
        let backup = self.record.as_ref()?.backup.clone()?;
        let sends = matches!(self.role, Role::Primary | Role::Resigned);
        if !sends || self.acting_alone || self.claiming.is_some() || !self.ready {
            return None;
        }
        if !self.sync_due(world.now.mono, every) {
            return None;
        }
        Some(self.build_sync(backup, world))
    }

    fn sync_due(&mut self, now: Millis, every: Millis) -> bool {
        if let Some(in_flight) = &self.in_flight {
            if now < in_flight.sent + SYNC_TIMEOUT {
                return false;
            }
            // The message may be lost: the next one repeats its contents.
            self.send_table |= in_flight.table;
            return true;
        }
        let pending = !self.ops.is_empty() || self.send_table || self.role == Role::Resigned;
        pending || !self.held.valid(now) || now >= self.last_grant() + every
    }

    fn build_sync(&mut self, backup: Peer, world: &World<'_>) -> Sync {
        let now = world.now.mono;
        let end = self.index();
        let table =
            self.send_table.then(|| (self.table.clone(), self.unlogged.iter().cloned().collect()));
        let (first, ops) = match self.send_table {
            true => (end, Vec::new()),
            false => (self.first, self.ops.iter().take(MAX_OPS).cloned().collect()),
        };
        let ttl = if world.log { self.setup.lease } else { self.setup.outage_lease };
        let reached = first + ops.len() as u64;
        self.seq += 1;
        self.held.send(now, ttl);
        self.in_flight =
            Some(InFlight { seq: self.seq, sent: now, end: reached, table: self.send_table });
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

    /// Returns when the newest grant was received, derived from `replace_after`.
    fn last_grant(&self) -> Millis {
        self.held.replace_after.saturating_sub(self.held.echo_ttl + self.setup.skew)
    }

    /// Applies the reply of the backup.
    pub fn on_reply(&mut self, reply: &SyncReply, now: Now) {
        if reply.epoch != self.epoch() || !matches!(self.role, Role::Primary | Role::Resigned) {
            return;
        }
        let Some(in_flight) = self.in_flight.take_if(|f| f.seq == reply.seq) else { return };
        match reply.verdict {
            Verdict::Granted => {
                self.held.grant(now.mono, in_flight.sent, reply.stamp, reply.ttl, self.setup.skew);
                while self.first < in_flight.end && self.ops.pop_front().is_some() {
                    self.first += 1;
                }
                self.send_table &= !in_flight.table;
            }
            Verdict::Resync => self.send_table = true,
            Verdict::Refused => {}
        }
    }

    /// Applies a message of the primary and renews its lease. Returns the reply.
    pub fn on_sync(&mut self, sync: Sync, world: &World<'_>) -> SyncReply {
        let now = world.now;
        if sync.backup == self.setup.me && sync.epoch > self.epoch() {
            // The sender acts on a record that this process has not read yet.
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
