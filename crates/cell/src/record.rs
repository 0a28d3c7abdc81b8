use std::collections::BTreeMap;
use std::fmt;

use base::Name;
use serde::{Deserialize, Serialize};

/// One run of the process of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// VM identifier.
    pub vm: Name,
    /// When the process started, in Unix milliseconds. A later run of the same
    /// VM's process has a greater one.
    pub incarnation: u64,
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.vm, self.incarnation)
    }
}

/// Who owns a cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The cell.
    pub cell: Name,
    /// Ownership epoch, counted from 1.
    pub epoch: u64,
    /// The owner.
    pub primary: Peer,
    /// The holder of the second copy; `None` while the primary works alone.
    pub backup: Option<Peer>,
}

impl Record {
    /// Whether the process takes part in the cell.
    pub fn names(&self, peer: &Peer) -> bool {
        self.primary == *peer || self.backup.as_ref() == Some(peer)
    }
}

/// A record of the `claims` stream of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Claim {
    /// Asks for the epoch after the one that the claimant read.
    Claim(Record),
    /// Repeats the record in force before the log lets it expire. Only its
    /// primary writes it.
    Refresh(Record),
}

/// The records in force, folded from the `claims` stream.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    records: BTreeMap<Name, Record>,
}

impl Registry {
    /// Takes in a record of the stream. Whether it came into force.
    pub fn fold(&mut self, claim: &Claim) -> bool {
        let (record, repeat) = match claim {
            Claim::Claim(record) => (record, false),
            Claim::Refresh(record) => (record, true),
        };
        let epoch = self.epoch(&record.cell);
        let wins = if repeat { record.epoch >= epoch } else { record.epoch == epoch + 1 };
        if !wins || self.records.get(&record.cell) == Some(record) {
            return false;
        }
        self.records.insert(record.cell.clone(), record.clone());
        true
    }

    /// The record of a cell.
    pub fn get(&self, cell: &str) -> Option<&Record> {
        self.records.get(cell)
    }

    /// The epoch of a cell; 0 where nobody has claimed it.
    pub fn epoch(&self, cell: &str) -> u64 {
        self.records.get(cell).map_or(0, |r| r.epoch)
    }

    /// Every record, by cell.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }
}
