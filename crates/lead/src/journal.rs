use std::collections::BTreeSet;

use base::Name;
use job::{Job, WorkerRecord};
use port::Record;

use crate::Lead;

/// Prefix of the keys of job records.
const JOB: &str = "j/";
/// Prefix of the keys of progress records.
const PROGRESS: &str = "p/";
/// Prefix of the keys of records of workers that may have runs.
const WORKER: &str = "w/";
/// Key of the record of the interference model.
const MODEL: &str = "learned";
/// Key of the record that names the leader of the cell and its epoch.
pub const OWNER: &str = "owner";
/// Key of the record of the entry VMs whose word a leader needs where the store does not answer.
pub const MEMBERS: &str = "members";

/// Records that are appended together, and the changes that take effect once they are
/// durable.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Batch {
    /// Number of the batch; batches are stored in the order of their numbers.
    pub number: u64,
    /// Records to append.
    pub records: Vec<Record>,
    /// Members of the cell, if the batch contains their record.
    pub members: Option<BTreeSet<Name>>,
    /// Jobs that the batch makes durable.
    jobs: Vec<Name>,
    /// Jobs whose end the batch makes durable.
    ended: Vec<Name>,
    /// Jobs whose cancellation the batch makes durable.
    cancelled: Vec<Name>,
}

/// Changes to be made durable, gathered into numbered batches.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    /// Number of the batch being gathered.
    pub(crate) next_batch: u64,
    /// Number of the newest durable batch.
    pub(crate) stored: u64,
    jobs: BTreeSet<Name>,
    progress: BTreeSet<Name>,
    workers: BTreeSet<Name>,
    /// Keys to delete. Records that were added later follow in the batch, and count.
    deletions: BTreeSet<Name>,
    /// Whether the interference model is to be recorded.
    save_model: bool,
    /// Members of the cell to record.
    members: Option<BTreeSet<Name>>,
}

impl Journal {
    pub(crate) fn open() -> Journal {
        Journal { next_batch: 1, ..Journal::default() }
    }

    /// Adds the record of a new job. Returns the number of its batch.
    pub(crate) fn add_job(&mut self, id: &Name) -> u64 {
        self.jobs.insert(id.clone());
        self.next_batch
    }

    /// Returns the number of the batch that contains a change of a job which is not durable
    /// yet.
    pub(crate) fn batch_of(&self, id: &Name) -> u64 {
        let gathered = self.jobs.contains(id) || self.progress.contains(id);
        if gathered { self.next_batch } else { self.next_batch - 1 }
    }

    /// Removes a new job from the batch being gathered. Returns `false` if it has left with
    /// an earlier batch.
    pub(crate) fn remove_job(&mut self, id: &Name) -> bool {
        self.jobs.remove(id)
    }

    /// Adds the progress record of a job. Returns the number of its batch.
    pub(crate) fn add_progress(&mut self, id: &Name) -> u64 {
        self.progress.insert(id.clone());
        self.next_batch
    }

    /// Adds the record of a worker, which has to be durable before the worker gets work.
    /// Returns the number of its batch.
    pub(crate) fn add_worker(&mut self, id: &Name) -> u64 {
        self.workers.insert(id.clone());
        self.next_batch
    }

    /// Adds the record of the interference model.
    pub(crate) fn add_model(&mut self) {
        self.save_model = true;
    }

    /// Deletes the record of a worker.
    pub(crate) fn delete_worker(&mut self, id: &Name) {
        self.workers.remove(id);
        self.deletions.insert(format!("{WORKER}{id}").into());
    }

    /// Deletes the records of a job.
    pub(crate) fn delete_job(&mut self, id: &Name) {
        self.jobs.remove(id);
        self.progress.remove(id);
        self.deletions.insert(format!("{JOB}{id}").into());
        self.deletions.insert(format!("{PROGRESS}{id}").into());
    }
}

/// Key of a record in the cell's log, with the id that it contains.
pub(crate) enum RecordKey<'a> {
    Job(&'a str),
    Progress(&'a str),
    Worker(&'a str),
    Model,
    Other,
}

/// Parses the key of a record.
pub(crate) fn parse_key(key: &str) -> RecordKey<'_> {
    if let Some(id) = key.strip_prefix(JOB) {
        return RecordKey::Job(id);
    }
    if let Some(id) = key.strip_prefix(PROGRESS) {
        return RecordKey::Progress(id);
    }
    if key == MODEL {
        return RecordKey::Model;
    }
    key.strip_prefix(WORKER).map_or(RecordKey::Other, RecordKey::Worker)
}

impl Lead {
    /// Adds the record of the members of the cell to the next batch. Returns whether the batch did
    /// not contain it yet.
    pub fn save_members(&mut self, members: BTreeSet<Name>) -> bool {
        let members = Some(members);
        let changed = self.journal.members != members;
        self.journal.members = members;
        changed
    }

    /// Takes the next batch to append; `None` if nothing has changed.
    pub fn take_batch(&mut self) -> Option<Batch> {
        let journal = &mut self.journal;
        let mut batch = Batch { number: journal.next_batch, ..Batch::default() };
        for key in std::mem::take(&mut journal.deletions) {
            batch.records.push(Record { key, value: Vec::new() });
        }
        for id in std::mem::take(&mut journal.jobs) {
            let Some(job) = self.jobs.get(&id) else { continue };
            batch.records.push(record(JOB, &id, &job.record()));
            batch.jobs.push(id);
        }
        for id in std::mem::take(&mut journal.progress) {
            let Some(job) = self.jobs.get(&id) else { continue };
            batch.add_outcome(job);
            batch.records.push(record(PROGRESS, &id, &job.progress()));
        }
        for id in std::mem::take(&mut journal.workers) {
            let Some(worker) = self.workers.get(&id) else { continue };
            let worker_record = WorkerRecord {
                addr: worker.info.addr,
                incarnation: worker.info.incarnation,
                long_leases: worker.long_leases,
            };
            batch.records.push(record(WORKER, &id, &worker_record));
        }
        if std::mem::take(&mut journal.save_model) {
            batch.records.push(record("", &MODEL.into(), &self.model));
        }
        if let Some(members) = journal.members.take() {
            batch.records.push(record("", &MEMBERS.into(), &members));
            batch.members = Some(members);
        }
        if batch.records.is_empty() {
            return None;
        }
        journal.next_batch += 1;
        Some(batch)
    }

    /// Applies the changes of a batch that has become durable.
    pub fn on_stored(&mut self, batch: &Batch, now: base::Now) {
        self.journal.stored = batch.number;
        for id in &batch.cancelled {
            self.apply_cancel(id, now);
        }
        for id in &batch.ended {
            if let Some(job) = self.jobs.get_mut(id) {
                job.end_stored = true;
            }
        }
        for id in &batch.jobs {
            self.activate(id, now);
        }
    }

    /// Returns the number of the newest durable batch.
    pub fn durable_batch(&self) -> u64 {
        self.journal.stored
    }
}

impl Batch {
    /// Records whether the batch contains the cancellation or end of a job.
    fn add_outcome(&mut self, job: &Job) {
        if job.cancel_requested {
            self.cancelled.push(job.id.clone());
        }
        if job.is_terminal() || job.cancel_requested {
            self.ended.push(job.id.clone());
        }
    }
}

/// Encodes a record.
fn record<T: serde::Serialize>(prefix: &str, id: &Name, value: &T) -> Record {
    // Encoding cannot fail: postcard supports everything that the record types contain.
    let value = postcard::to_stdvec(value).unwrap_or_default();
    Record { key: format!("{prefix}{id}").into(), value }
}
