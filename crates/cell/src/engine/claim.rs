use super::{Action, Cell, Role, World};
use crate::{Peer, Record};

impl Cell {
    /// Claims the next epoch if the rules of the current role allow it.
    pub(super) fn claim_epoch(&mut self, world: &World<'_>) -> Option<Action> {
        let claim = match self.role {
            Role::Idle => self.claim_idle(world),
            Role::Backup => self.claim_backup(world),
            Role::Primary => self.claim_primary(world),
            Role::Resigned => self.claim_resigned(world),
        }?;
        let first = self.claiming != Some(claim.epoch);
        self.claiming = Some(claim.epoch);
        (first || world.log).then_some(Action::Claim(claim))
    }

    /// Returns the record to claim: the next epoch with this process as primary.
    fn next_record(&self, backup: Option<Peer>) -> Record {
        Record {
            cell: self.id.clone(),
            epoch: self.epoch() + 1,
            primary: self.setup.me.clone(),
            backup,
        }
    }

    /// Claims a cell that has no record or whose primary and backup are both dead.
    fn claim_idle(&self, world: &World<'_>) -> Option<Record> {
        if !world.log || world.live.first() != Some(&self.setup.me) {
            return None;
        }
        let unowned = match &self.record {
            None => true,
            Some(record) => {
                let backup = record.backup.as_ref();
                (world.dead)(&record.primary) && backup.is_none_or(|b| (world.dead)(b))
            }
        };
        unowned.then(|| self.next_record(None))
    }

    /// Claims the cell anew if the backup died after this primary resigned. The
    /// table is then rebuilt, because the backup may have acted in between.
    fn claim_resigned(&self, world: &World<'_>) -> Option<Record> {
        let backup = self.record.as_ref()?.backup.as_ref()?;
        (world.log && (world.dead)(backup)).then(|| self.next_record(None))
    }

    /// Claims the cell if the primary is dead or has resigned, or its lease has
    /// expired. While the log is unreachable, takes over without a claim if the
    /// primary is proven dead and cannot have replaced this backup.
    fn claim_backup(&mut self, world: &World<'_>) -> Option<Record> {
        let record = self.record.as_ref()?;
        let guards = self.setup.guards;
        let dead = (world.dead)(&record.primary) || self.resigned;
        let complete = self.synced || !guards.copy;
        let lease_expired = complete && self.given.expired(world.now.mono);
        if world.log {
            return (dead || lease_expired).then(|| self.next_record(None));
        }
        let current = world.now.mono < self.given.takeover_until || self.resigned || !guards.solo;
        let proven = dead || (lease_expired && !guards.proof);
        if proven && self.synced && current && self.claiming.is_none() {
            self.become_primary(world, true);
            self.acting_alone = true;
            self.ready = true;
        }
        None
    }

    /// Drops a silent or dead backup, or adds a backup if there is none.
    fn claim_primary(&mut self, world: &World<'_>) -> Option<Record> {
        if !world.log {
            return None;
        }
        if self.acting_alone {
            return Some(self.next_record(None));
        }
        let record = self.record.as_ref()?;
        let now = world.now.mono;
        let Some(backup) = &record.backup else {
            let settled = self.ready && now >= self.settled_at;
            let other = world.live.iter().find(|p| **p != self.setup.me);
            let retry = self.claiming.is_some();
            return match (settled || retry, other) {
                (true, Some(peer)) => Some(self.next_record(Some(peer.clone()))),
                _ => None,
            };
        };
        let silent = !self.held.valid(now) && now > self.held.replace_after;
        let dead = (world.dead)(backup);
        (silent || dead || self.claiming.is_some()).then(|| self.next_record(None))
    }
}
