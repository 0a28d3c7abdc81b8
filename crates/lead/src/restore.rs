use std::collections::{BTreeMap, BTreeSet};

use base::{Name, Now, event};
use job::{Job, JobRecord, PartId, PartProgress, Progress, Summary, WorkerRecord};
use port::{Item, WorkerInfo};

use crate::{
    Lead, Worker,
    interference::ServiceModel,
    journal::{RecordKey, parse_key},
};

impl Lead {
    /// Restores jobs, workers and the interference model from the records in the store.
    pub(crate) fn restore(&mut self, items: &[Item], now: Now) {
        let mut records: BTreeMap<Name, JobRecord> = BTreeMap::new();
        let mut progress: BTreeMap<Name, Progress> = BTreeMap::new();
        let mut summaries: BTreeMap<Name, Summary> = BTreeMap::new();
        let mut parts: BTreeMap<Name, Vec<(PartId, PartProgress)>> = BTreeMap::new();
        let mut models: BTreeMap<Name, ServiceModel> = BTreeMap::new();
        let mut workers: Vec<(Name, WorkerRecord)> = Vec::new();
        for item in items.iter().filter(|item| !item.value.is_empty()) {
            match parse_key(&item.key) {
                RecordKey::Job(id) => decode_into(&mut records, id, item),
                RecordKey::Progress(id) => decode_into(&mut progress, id, item),
                RecordKey::Summary(id) => decode_into(&mut summaries, id, item),
                RecordKey::Part(id, part) => {
                    if let Some(progress) = decode(item) {
                        parts.entry(id.into()).or_default().push((part, progress));
                    }
                }
                RecordKey::Worker(id) => {
                    let record = self.restore_worker(id, item);
                    workers.extend(record.map(|record| (Name::from(id), record)));
                }
                RecordKey::ServiceModel(image) => decode_into(&mut models, image, item),
                RecordKey::Model => self.restore_model(item),
                RecordKey::Other => {}
            }
        }
        for (image, model) in models {
            self.model.restore(&image, model);
        }
        self.delete_orphans(items);
        for (id, record) in records {
            let parts = parts.remove(&id).unwrap_or_default();
            let job = match summaries.remove(&id) {
                Some(summary) => Job::restore_split(id.clone(), record, summary, parts),
                None => Job::restore(id.clone(), record, progress.remove(&id)),
            };
            let (ended, obsolete) =
                (job.is_terminal() && !job.end_stored, job.has_obsolete_parts());
            self.jobs.insert(id.clone(), job);
            if ended {
                self.end_job(&id, now);
            }
            if ended || obsolete {
                self.journal.add_progress(&id);
            }
            self.activate(&id, now);
        }
        self.restore_suspects();
        for (id, record) in workers {
            self.restore_starts_in_doubt(&id, &record.starts_in_doubt, now);
            self.restore_last_runs(&id, record.last_runs.unwrap_or_default(), now);
        }
        event!(
            "restored",
            epoch = self.epoch,
            jobs = self.jobs.len(),
            workers = self.workers.len()
        );
    }

    /// Deletes what a leader left that was replaced while it stored a batch in several appends:
    /// records without their job, and one form of progress beside the other.
    fn delete_orphans(&mut self, items: &[Item]) {
        let (mut jobs, mut summaries) = (BTreeSet::new(), BTreeSet::new());
        for item in items.iter().filter(|item| !item.value.is_empty()) {
            match parse_key(&item.key) {
                RecordKey::Job(id) => jobs.insert(id),
                RecordKey::Summary(id) => summaries.insert(id),
                _ => false,
            };
        }
        for item in items.iter().filter(|item| !item.value.is_empty()) {
            let orphan = match parse_key(&item.key) {
                RecordKey::Progress(id) => !jobs.contains(id) || summaries.contains(id),
                RecordKey::Summary(id) => !jobs.contains(id),
                RecordKey::Part(id, _) => !jobs.contains(id) || !summaries.contains(id),
                _ => false,
            };
            if orphan {
                event!("record_orphaned", key = item.key);
                self.journal.delete_record(&item.key);
            }
        }
    }

    /// Restores the model from the record of an earlier version, which is replaced.
    fn restore_model(&mut self, item: &Item) {
        if let Some(model) = decode(item) {
            self.model = model;
            self.model.touch();
            self.journal.add_model();
            self.journal.delete_record(&item.key);
        }
    }

    /// Adds a worker that may have runs of an earlier leader. It gets no work until it has
    /// listed its runs; the remaining fields are set once its own record in the store is read.
    /// Returns the record.
    fn restore_worker(&mut self, id: &str, item: &Item) -> Option<WorkerRecord> {
        let Ok(record) = postcard::from_bytes::<WorkerRecord>(&item.value) else {
            log::warn!("event=record_skipped key={} reason=malformed", item.key);
            return None;
        };
        let info = WorkerInfo {
            id: id.into(),
            addr: record.addr,
            service: "".into(),
            domain: "".into(),
            size: base::Size::ZERO,
            labels: Vec::new(),
            draining: false,
            remaining: None,
            incarnation: record.incarnation,
        };
        let mut worker = Worker::new(info);
        worker.closed = record.last_runs.is_some();
        worker.record_batch = (!worker.closed).then_some(0);
        if record.long_leases {
            worker.long_leases = true;
            worker.earlier_leases_end = self.long_leases_end;
        }
        self.workers.insert(id.into(), worker);
        Some(record)
    }
}

/// Decodes a record into a table; one that cannot be decoded is skipped.
fn decode_into<T: serde::de::DeserializeOwned>(
    table: &mut BTreeMap<Name, T>,
    id: &str,
    item: &Item,
) {
    if let Some(value) = decode(item) {
        table.insert(id.into(), value);
    }
}

/// Decodes a record; `None` for one that cannot be decoded.
fn decode<T: serde::de::DeserializeOwned>(item: &Item) -> Option<T> {
    postcard::from_bytes(&item.value)
        .inspect_err(|e| log::error!("event=record_skipped key={} reason={e:?}", item.key))
        .ok()
}
