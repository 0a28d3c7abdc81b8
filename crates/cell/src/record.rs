use std::collections::BTreeMap;
use std::fmt;

use base::Name;
use serde::{Deserialize, Serialize};

/// One incarnation of the entry process of a VM.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// VM identifier.
    pub vm: Name,
    /// Start of the process, in Unix milliseconds. It increases with each
    /// restart on the same VM.
    pub incarnation: u64,
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.vm, self.incarnation)
    }
}

/// Ownership record of a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Cell identifier.
    pub cell: Name,
    /// Ownership epoch, starting at 1.
    pub epoch: u64,
    /// Process that owns the cell.
    pub primary: Peer,
    /// Process that holds the second copy; `None` while the primary has no
    /// backup.
    pub backup: Option<Peer>,
}

impl Record {
    /// Returns whether the process is the cell's primary or backup.
    pub fn names(&self, peer: &Peer) -> bool {
        self.primary == *peer || self.backup.as_ref() == Some(peer)
    }
}

/// A record of the `claims` stream of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Claim {
    /// Requests the epoch after the one that the claimant has read.
    Claim(Record),
    /// Repeats the record in force before it expires from the log. Written only
    /// by its primary.
    Refresh(Record),
}

/// Ownership records in force, computed from the `claims` stream.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    records: BTreeMap<Name, Record>,
}

impl Registry {
    /// Applies a record of the stream. Returns whether it changed the record in
    /// force.
    pub fn fold(&mut self, claim: &Claim) -> bool {
        let (record, refresh) = match claim {
            Claim::Claim(record) => (record, false),
            Claim::Refresh(record) => (record, true),
        };
        let epoch = self.epoch(&record.cell);
        let wins = if refresh { record.epoch >= epoch } else { record.epoch == epoch + 1 };
        if !wins || self.records.get(&record.cell) == Some(record) {
            return false;
        }
        self.records.insert(record.cell.clone(), record.clone());
        true
    }

    /// Returns the ownership record of a cell.
    pub fn get(&self, cell: &str) -> Option<&Record> {
        self.records.get(cell)
    }

    /// Returns the epoch of a cell; 0 if it has never been claimed.
    pub fn epoch(&self, cell: &str) -> u64 {
        self.records.get(cell).map_or(0, |r| r.epoch)
    }

    /// Iterates over all records, in order of cell identifier.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }
}
