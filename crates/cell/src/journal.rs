use std::collections::{BTreeMap, VecDeque};

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::{Op, Peer, Table};

/// Record in a [`JournalBatch`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JournalRecord {
    /// Durable changes to a cell's table.
    Ops {
        /// Cell identifier.
        cell: Name,
        /// Ownership epoch of the writer.
        epoch: u64,
        /// Changes, each with its index at the writer.
        ops: Vec<(u64, Op)>,
    },
    /// Invalidates later records of the cell that have an older epoch.
    Fence {
        /// Cell identifier.
        cell: Name,
        /// Ownership epoch of the writer.
        epoch: u64,
    },
    /// Full table of the cell; replaces all earlier records of the cell.
    Snapshot {
        /// Cell identifier.
        cell: Name,
        /// Ownership epoch of the writer.
        epoch: u64,
        /// State of the cell at the time of writing.
        table: Box<Table>,
    },
}

/// Records that an entry VM appends in one write for all its cells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalBatch {
    /// Process that wrote the batch.
    pub writer: Peer,
    /// Sequence number of the batch at its writer; readers skip duplicates.
    pub seq: u64,
    /// Records in the order in which they were pushed.
    pub records: Vec<JournalRecord>,
}

/// Queue of records to append to the log. At most one batch is in flight; it is
/// appended again until the log confirms it.
#[derive(Debug)]
pub struct Journal {
    writer: Peer,
    seq: u64,
    queued: VecDeque<JournalRecord>,
    in_flight: Option<JournalBatch>,
}

/// Maximum number of records in a batch.
const MAX_RECORDS: usize = 500;

impl Journal {
    /// Creates an empty journal.
    pub fn open(writer: Peer) -> Journal {
        Journal { writer, seq: 0, queued: VecDeque::new(), in_flight: None }
    }

    /// Queues a record. Changes are merged into the last queued record if it
    /// holds changes of the same cell and epoch.
    pub fn push(&mut self, record: JournalRecord) {
        if let JournalRecord::Ops { cell, epoch, ops } = &record
            && let Some(JournalRecord::Ops { cell: c, epoch: e, ops: o }) = self.queued.back_mut()
            && c == cell
            && e == epoch
        {
            o.extend(ops.iter().cloned());
            return;
        }
        self.queued.push_back(record);
    }

    /// Returns the number of records that the log has not confirmed.
    pub fn len(&self) -> usize {
        self.queued.len() + self.in_flight.as_ref().map_or(0, |b| b.records.len())
    }

    /// Returns whether the log has confirmed every record.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the batch to append now: the unconfirmed one, or else the next;
    /// `None` if no record is queued.
    pub fn due(&mut self) -> Option<JournalBatch> {
        if self.in_flight.is_none() && !self.queued.is_empty() {
            self.seq += 1;
            let count = self.queued.len().min(MAX_RECORDS);
            let records = self.queued.drain(..count).collect();
            self.in_flight =
                Some(JournalBatch { writer: self.writer.clone(), seq: self.seq, records });
        }
        self.in_flight.clone()
    }

    /// Records that the log has confirmed batch `seq` and returns its records;
    /// none if that batch is not in flight.
    pub fn confirm(&mut self, seq: u64) -> Vec<JournalRecord> {
        match self.in_flight.take_if(|batch| batch.seq == seq) {
            Some(batch) => batch.records,
            None => Vec::new(),
        }
    }
}

/// Rebuilds the table of one cell from the stream of its failure domain.
#[derive(Debug)]
pub struct JournalReader {
    /// Table rebuilt from the batches read so far.
    pub table: Table,
    cell: Name,
    fence: u64,
    seen: BTreeMap<Peer, u64>,
}

impl JournalReader {
    /// Creates a reader at the beginning of the stream.
    pub fn open(cell: Name) -> JournalReader {
        JournalReader { table: Table::default(), cell, fence: 0, seen: BTreeMap::new() }
    }

    /// Applies a batch. Returns whether it held the cell's fence of `epoch`.
    pub fn fold(&mut self, batch: &JournalBatch, epoch: u64, now: Millis) -> bool {
        let seen = self.seen.entry(batch.writer.clone()).or_default();
        if batch.seq <= *seen {
            return false;
        }
        *seen = batch.seq;
        let mut fenced = false;
        for record in &batch.records {
            fenced |= self.fold_record(record, epoch, now);
        }
        fenced
    }

    fn fold_record(&mut self, record: &JournalRecord, epoch: u64, now: Millis) -> bool {
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
