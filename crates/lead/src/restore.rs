use std::collections::BTreeMap;

use base::{Name, Now, event};
use job::{Job, JobRecord, Progress, WorkerRecord};
use port::{Item, WorkerInfo};

use crate::{
    Lead, Worker,
    journal::{RecordKey, parse_key},
};

impl Lead {
    /// Restores jobs, workers and the interference model from the records in the store.
    pub(crate) fn restore(&mut self, items: &[Item], now: Now) {
        let mut records: BTreeMap<Name, JobRecord> = BTreeMap::new();
        let mut progress: BTreeMap<Name, Progress> = BTreeMap::new();
        for item in items.iter().filter(|item| !item.value.is_empty()) {
            match parse_key(&item.key) {
                RecordKey::Job(id) => decode_into(&mut records, id, item),
                RecordKey::Progress(id) => decode_into(&mut progress, id, item),
                RecordKey::Worker(id) => self.restore_worker(id, item),
                RecordKey::Model => self.restore_model(item),
                RecordKey::Other => {}
            }
        }
        for (id, record) in records {
            let job = Job::restore(id.clone(), record, progress.remove(&id));
            self.jobs.insert(id.clone(), job);
            self.activate(&id, now);
        }
        self.restore_suspects();
        event!(
            "restored",
            epoch = self.epoch,
            jobs = self.jobs.len(),
            workers = self.workers.len()
        );
    }

    fn restore_model(&mut self, item: &Item) {
        match postcard::from_bytes(&item.value) {
            Ok(model) => self.model = model,
            Err(e) => log::warn!("event=record_skipped key={} reason={e:?}", item.key),
        }
    }

    /// Adds a worker that may have runs of an earlier leader. It gets no work until it has
    /// listed its runs; the remaining fields are set once its own record in the store is read.
    fn restore_worker(&mut self, id: &str, item: &Item) {
        let Ok(record) = postcard::from_bytes::<WorkerRecord>(&item.value) else {
            log::warn!("event=record_skipped key={} reason=malformed", item.key);
            return;
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
        worker.record_batch = Some(0);
        if record.long_leases {
            worker.long_leases = true;
            worker.earlier_leases_end = self.long_leases_end;
        }
        self.workers.insert(id.into(), worker);
    }
}

/// Decodes a record into a table; one that cannot be decoded is skipped.
fn decode_into<T: serde::de::DeserializeOwned>(
    table: &mut BTreeMap<Name, T>,
    id: &str,
    item: &Item,
) {
    match postcard::from_bytes(&item.value) {
        Ok(value) => {
            table.insert(id.into(), value);
        }
        Err(e) => log::error!("event=record_skipped key={} reason={e:?}", item.key),
    }
}
