use std::collections::BTreeSet;

use base::{Name, Now, event};
use job::{Job, PartId, PartProgress, WorkerRecord};
use port::Record;

use crate::Lead;

/// Prefix of the keys of job records.
const JOB: &str = "j/";
/// Prefix of the keys of progress records.
const PROGRESS: &str = "p/";
/// Prefix of the keys of summaries of jobs whose progress is in parts. The records of a job are
/// deleted in the order of their keys: that of the job is the first, so that it does not start anew.
const SUMMARY: &str = "s/";
/// Prefix of the keys of the parts of a job's progress.
const PART: &str = "t/";
/// Prefix of the keys of records of workers that may have runs.
const WORKER: &str = "w/";
/// Prefix of the keys of records of the interference model, one for each service image.
const SERVICE_MODEL: &str = "learned/";
/// Key of the record of the whole interference model in earlier versions.
pub(crate) const MODEL: &str = "learned";
/// Longest key of a record, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Size of a progress record, in bytes, beyond which the progress is recorded in parts.
const MAX_WHOLE_BYTES: usize = 4_096;
/// Size of a part, in bytes, beyond which its checkpoints are left out.
const MAX_PART_BYTES: usize = 128 * 1024;
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
    /// Keys to delete, unless a record was added later.
    deletions: BTreeSet<Name>,
    /// Whether what has changed of the interference model is to be recorded.
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

    /// Deletes the records of a job that has ended, whose parts have been deleted then.
    pub(crate) fn delete_job(&mut self, job: &Job) {
        let id = &job.id;
        self.jobs.remove(id);
        self.progress.remove(id);
        let progress = if job.is_split() { SUMMARY } else { PROGRESS };
        self.deletions.insert(format!("{JOB}{id}").into());
        self.deletions.insert(format!("{progress}{id}").into());
    }

    /// Deletes a record that belongs to no job.
    pub(crate) fn delete_record(&mut self, key: &Name) {
        self.deletions.insert(key.clone());
    }

    /// Returns the records of a job's progress. The summary is the last one: until it is stored,
    /// the next leader ignores parts of occurrences that it does not name.
    fn progress_records(&mut self, job: &mut Job) -> Vec<Record> {
        if !job.is_split() {
            let whole = record(PROGRESS, &job.id, &job.progress());
            if whole.value.len() <= MAX_WHOLE_BYTES {
                return vec![whole];
            }
            event!("progress_split", job = job.id, bytes = whole.value.len());
            job.split();
            self.deletions.insert(whole.key);
        }
        let mut records = Vec::new();
        for (part, progress) in job.take_changed_parts() {
            records.push(part_record(&job.id, part, progress));
        }
        records.push(record(SUMMARY, &job.id, &job.summary()));
        for part in job.take_obsolete_parts() {
            self.deletions.insert(part_key(&job.id, part));
        }
        records
    }
}

fn part_key(job: &str, part: PartId) -> Name {
    format!("{PART}{job}/{part}").into()
}

fn part_record(job: &Name, part: PartId, mut progress: PartProgress) -> Record {
    let whole = record(PART, &format!("{job}/{part}").into(), &progress);
    if whole.value.len() <= MAX_PART_BYTES {
        return whole;
    }
    log::warn!("event=checkpoints_dropped job={job} part={part} bytes={}", whole.value.len());
    progress.checkpoints.clear();
    record(PART, &format!("{job}/{part}").into(), &progress)
}

/// Key of a record in the cell's log, with the id that it contains.
pub(crate) enum RecordKey<'a> {
    Job(&'a str),
    Progress(&'a str),
    Summary(&'a str),
    Part(&'a str, PartId),
    Worker(&'a str),
    ServiceModel(&'a str),
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
    if let Some(id) = key.strip_prefix(SUMMARY) {
        return RecordKey::Summary(id);
    }
    let part = key.strip_prefix(PART).and_then(|rest| rest.split_once('/'));
    if let Some((id, part)) = part.and_then(|(id, part)| Some((id, part.parse().ok()?))) {
        return RecordKey::Part(id, part);
    }
    if let Some(image) = key.strip_prefix(SERVICE_MODEL) {
        return RecordKey::ServiceModel(image);
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

    /// Takes the next batch to append; `None` if nothing has changed. Its records may be stored one
    /// after the other: what the first ones say holds without the others.
    pub fn take_batch(&mut self) -> Option<Batch> {
        let journal = &mut self.journal;
        let mut batch = Batch { number: journal.next_batch, ..Batch::default() };
        for id in std::mem::take(&mut journal.jobs) {
            let Some(job) = self.jobs.get(&id) else { continue };
            batch.records.push(record(JOB, &id, &job.record()));
            batch.jobs.push(id);
        }
        for id in std::mem::take(&mut journal.progress) {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            batch.add_outcome(job);
            batch.records.extend(journal.progress_records(job));
        }
        for id in std::mem::take(&mut journal.workers) {
            let Some(worker) = self.workers.get(&id) else { continue };
            let worker_record = WorkerRecord {
                addr: worker.info.addr,
                incarnation: worker.info.incarnation,
                long_leases: worker.long_leases,
                starts_in_doubt: self.starts_in_doubt.of_worker(&id),
                last_runs: worker.closed.then(|| worker.last_runs(&self.starts_in_doubt)),
            };
            batch.records.push(record(WORKER, &id, &worker_record));
        }
        if std::mem::take(&mut journal.save_model) {
            let models = self.model.take_changed().into_iter();
            let records = models.map(|(image, model)| record(SERVICE_MODEL, &image, model));
            batch.records.extend(records.filter(|record| record.key.len() <= MAX_KEY_BYTES));
        }
        if let Some(members) = journal.members.take() {
            batch.records.push(record("", &MEMBERS.into(), &members));
            batch.members = Some(members);
        }
        let kept: BTreeSet<Name> = batch.records.iter().map(|record| record.key.clone()).collect();
        let deletions = std::mem::take(&mut journal.deletions);
        let deleted = deletions.difference(&kept).cloned();
        batch.records.extend(deleted.map(|key| Record { key, value: Vec::new() }));
        if batch.records.is_empty() {
            return None;
        }
        journal.next_batch += 1;
        Some(batch)
    }

    /// Handles a record of a batch that the store refuses for good, and that will not be stored.
    /// Returns the record to store in its place, `None` if there is none: a job whose progress
    /// cannot be stored has failed.
    pub fn on_record_rejected(&mut self, rejected: &Record, why: &str, now: Now) -> Option<Record> {
        let (key, bytes) = (&rejected.key, rejected.value.len());
        log::error!("event=record_rejected key={key:?} bytes={bytes} reason={why:?}");
        metrics::counter!("records_rejected").increment(1);
        match parse_key(key) {
            RecordKey::Job(id) => {
                self.jobs.remove(id);
                None
            }
            RecordKey::Progress(id) | RecordKey::Summary(id) | RecordKey::Part(id, _) => {
                let id = Name::from(id);
                let job = self.jobs.get_mut(&id).filter(|job| !job.is_terminal())?;
                job.failed = true;
                event!("job_failed", job = id, why = "record_rejected");
                self.end_job(&id, now);
                let job = self.jobs.get_mut(&id)?;
                if job.split() {
                    self.journal.delete_record(&format!("{PROGRESS}{id}").into());
                }
                // Deletes the parts, and lets callers see the end.
                self.journal.add_progress(&id);
                Some(record(SUMMARY, &id, &job.summary()))
            }
            RecordKey::Worker(id) => {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.record_batch = None;
                    worker.closed = false;
                }
                None
            }
            RecordKey::ServiceModel(_) | RecordKey::Model | RecordKey::Other => None,
        }
    }

    /// Applies the changes of a batch that has become durable.
    pub fn on_stored(&mut self, batch: &Batch, now: Now) {
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
