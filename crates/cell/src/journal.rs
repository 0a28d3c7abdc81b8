use std::collections::{BTreeMap, VecDeque};

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::{Op, Peer, Table};

/// One part of a batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalRecord {
    /// Durable changes of a cell.
    Ops {
        /// The cell.
        cell: Name,
        /// Ownership epoch of the writer.
        epoch: u64,
        /// The changes, each with its index at the writer.
        ops: Vec<(u64, Op)>,
    },
    /// From here on, records of the cell with an older epoch do not count.
    Fence {
        /// The cell.
        cell: Name,
        /// Ownership epoch of the writer.
        epoch: u64,
    },
    /// The cell's whole table, in place of everything before.
    Snapshot {
        /// The cell.
        cell: Name,
        /// Ownership epoch of the writer.
        epoch: u64,
        /// The table.
        table: Box<Table>,
    },
}

/// What one entry VM appends at once for all its cells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalBatch {
    /// The writer.
    pub writer: Peer,
    /// Number of the batch; a reader passes over one that it has seen.
    pub seq: u64,
    /// The parts.
    pub records: Vec<JournalRecord>,
}

/// Changes on their way to the log. One batch is under way at a time, and it is
/// repeated until the log confirms it.
#[derive(Debug)]
pub struct Journal {
    writer: Peer,
    seq: u64,
    waiting: VecDeque<JournalRecord>,
    flying: Option<JournalBatch>,
}

/// Parts of one batch.
const MAX_RECORDS: usize = 500;

impl Journal {
    /// Opens an empty journal.
    pub fn open(writer: Peer) -> Journal {
        Journal { writer, seq: 0, waiting: VecDeque::new(), flying: None }
    }

    /// Adds a part, joined with the one before where both are changes of the
    /// same cell and epoch.
    pub fn push(&mut self, record: JournalRecord) {
        if let JournalRecord::Ops { cell, epoch, ops } = &record
            && let Some(JournalRecord::Ops { cell: c, epoch: e, ops: o }) = self.waiting.back_mut()
            && c == cell
            && e == epoch
        {
            o.extend(ops.iter().cloned());
            return;
        }
        self.waiting.push_back(record);
    }

    /// Parts that the log has not confirmed.
    pub fn len(&self) -> usize {
        self.waiting.len() + self.flying.as_ref().map_or(0, |b| b.records.len())
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The batch to append now: the one in doubt again, or the next.
    pub fn due(&mut self) -> Option<JournalBatch> {
        if self.flying.is_none() && !self.waiting.is_empty() {
            self.seq += 1;
            let count = self.waiting.len().min(MAX_RECORDS);
            let records = self.waiting.drain(..count).collect();
            self.flying =
                Some(JournalBatch { writer: self.writer.clone(), seq: self.seq, records });
        }
        self.flying.clone()
    }

    /// Notes that the log has confirmed batch `seq`; its parts.
    pub fn confirm(&mut self, seq: u64) -> Vec<JournalRecord> {
        match self.flying.take_if(|batch| batch.seq == seq) {
            Some(batch) => batch.records,
            None => Vec::new(),
        }
    }
}

/// Rebuilds one cell's table from the records of its failure domain's stream.
#[derive(Debug)]
pub struct JournalReader {
    /// The table so far.
    pub table: Table,
    cell: Name,
    fence: u64,
    seen: BTreeMap<Peer, u64>,
}

impl JournalReader {
    /// A reader at the beginning of the stream.
    pub fn open(cell: Name) -> JournalReader {
        JournalReader { table: Table::default(), cell, fence: 0, seen: BTreeMap::new() }
    }

    /// Takes in a batch. Whether it held the fence of `epoch`.
    pub fn fold(&mut self, batch: &JournalBatch, epoch: u64, now: Millis) -> bool {
        let seen = self.seen.entry(batch.writer.clone()).or_default();
        if batch.seq <= *seen {
            return false;
        }
        *seen = batch.seq;
        let mut fenced = false;
        for record in &batch.records {
            fenced |= self.record(record, epoch, now);
        }
        fenced
    }

    fn record(&mut self, record: &JournalRecord, epoch: u64, now: Millis) -> bool {
        match record {
            JournalRecord::Fence { cell, epoch: e } if *cell == self.cell => {
                self.fence = self.fence.max(*e);
                return *e == epoch;
            }
            JournalRecord::Snapshot { cell, epoch: e, table }
                if *cell == self.cell && *e >= self.fence =>
            {
                self.table = (**table).clone();
            }
            JournalRecord::Ops { cell, epoch: e, ops }
                if *cell == self.cell && *e >= self.fence =>
            {
                for (_, op) in ops {
                    self.apply(op, now);
                }
            }
            _ => {}
        }
        false
    }

    fn apply(&mut self, op: &Op, now: Millis) {
        self.table.apply(op, now);
        if let Op::Submit(job) = op {
            self.table.apply(&Op::Accept(job.id.clone()), now);
        }
    }
}
