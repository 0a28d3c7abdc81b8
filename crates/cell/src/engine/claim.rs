use super::{Action, Cell, Role, World};
use crate::{Peer, Record};

impl Cell {
    /// Claims the next epoch where the rules allow it.
    pub(super) fn succeed(&mut self, world: &World<'_>) -> Option<Action> {
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

    fn next(&self, backup: Option<Peer>) -> Record {
        Record {
            cell: self.id.clone(),
            epoch: self.epoch() + 1,
            primary: self.setup.me.clone(),
            backup,
        }
    }

    /// A third VM claims what nobody has, or what all holders have lost.
    fn claim_idle(&self, world: &World<'_>) -> Option<Record> {
        if !world.log || world.live.first() != Some(&self.setup.me) {
            return None;
        }
        let orphan = match &self.record {
            None => true,
            Some(record) => {
                let backup = record.backup.as_ref();
                (world.dead)(&record.primary) && backup.is_none_or(|b| (world.dead)(b))
            }
        };
        orphan.then(|| self.next(None))
    }

    /// A primary that has resigned to a backup which then died starts over, as
    /// anyone else would: the backup may have acted in between.
    fn claim_resigned(&self, world: &World<'_>) -> Option<Record> {
        let backup = self.record.as_ref()?.backup.as_ref()?;
        (world.log && (world.dead)(backup)).then(|| self.next(None))
    }

    fn claim_backup(&mut self, world: &World<'_>) -> Option<Record> {
        let record = self.record.as_ref()?;
        let guards = self.setup.guards;
        let dead = (world.dead)(&record.primary) || self.resigned;
        let whole = self.synced || !guards.copy;
        let lapsed = whole && self.given.expired(world.now.mono);
        if world.log {
            return (dead || lapsed).then(|| self.next(None));
        }
        let bound = world.now.mono < self.given.solo || self.resigned || !guards.solo;
        let proven = dead || (lapsed && !guards.proof);
        if proven && self.synced && bound && self.claiming.is_none() {
            self.begin(world, true);
            self.solo = true;
            self.ready = true;
        }
        None
    }

    /// The primary goes on alone when its backup is silent, and takes a new
    /// backup when it is alone.
    fn claim_primary(&mut self, world: &World<'_>) -> Option<Record> {
        if !world.log {
            return None;
        }
        if self.solo {
            return Some(self.next(None));
        }
        let record = self.record.as_ref()?;
        let now = world.now.mono;
        let Some(backup) = &record.backup else {
            let settled = self.ready && now >= self.settle;
            let other = world.live.iter().find(|p| **p != self.setup.me);
            let again = self.claiming.is_some();
            return match (settled || again, other) {
                (true, Some(peer)) => Some(self.next(Some(peer.clone()))),
                _ => None,
            };
        };
        let silent = !self.held.valid(now) && now > self.held.bound;
        let dead = (world.dead)(backup);
        (silent || dead || self.claiming.is_some()).then(|| self.next(None))
    }
}
