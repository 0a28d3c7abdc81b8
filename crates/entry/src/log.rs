//! Reads and appends the streams of the log.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use async_std::task::{JoinHandle, sleep, spawn_local};
use base::{Name, event, now};
use cell::{Claim, JournalBatch, JournalReader, JournalRecord, Record};
use conf::Publication;
use plat::{Batch, Kind};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::node::Node;

/// Stream of the claims of cells.
pub(crate) const CLAIMS: &str = "claims";
/// Stream of the configurations that operators publish.
pub(crate) const CONFIG: &str = "config";
/// Period at which the streams of claims and configurations are read.
pub(crate) const READ_PERIOD: Duration = Duration::from_millis(200);
/// Period at which the journal is appended to the log.
const JOURNAL_PERIOD: Duration = Duration::from_millis(100);
/// Pause after a failed append.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Reads a stream from `next` to its end and passes each record to `on_record`
/// with its offset. Returns whether the end was reached.
pub(crate) async fn read_stream(
    node: &Node,
    stream: &str,
    next: &mut u64,
    mut on_record: impl FnMut(u64, Value),
) -> bool {
    loop {
        let batch: Batch = match node.log.read(stream, *next).await {
            Ok(batch) => batch,
            Err(e) => {
                metrics::counter!("log_read_failures").increment(1);
                log::debug!("event=log_read stream={stream} error={:?}", e.to_string());
                return false;
            }
        };
        for entry in batch.records {
            *next = entry.offset + 1;
            on_record(entry.offset, entry.data);
        }
        *next = (*next).max(batch.start);
        if *next >= batch.end {
            return true;
        }
    }
}

/// Decodes a record. Returns `None` for a malformed one, which is skipped.
pub(crate) fn parse<T: DeserializeOwned>(data: Value) -> Option<T> {
    match serde_json::from_value(data) {
        Ok(value) => Some(value),
        Err(e) => {
            log::warn!("event=log_record_ignored error={:?}", e.to_string());
            None
        }
    }
}

fn to_values<T: Serialize>(record: &T) -> Vec<Value> {
    serde_json::to_value(record).into_iter().collect()
}

/// Appends a claim unless one for the same cell is in flight. The cell repeats it
/// at a later tick if no record of its epoch has been read by then.
pub(crate) fn append_claim(node: &Rc<Node>, record: Record) {
    let cell = record.cell.clone();
    if !node.state.borrow_mut().pending_claims.insert(cell.clone()) {
        return;
    }
    let node = Rc::clone(node);
    spawn_local(async move {
        event!("claim", cell = record.cell, epoch = record.epoch);
        metrics::counter!("log_appends", "stream" => "claims").increment(1);
        let appended = node.log.append(CLAIMS, to_values(&Claim::Claim(record))).await;
        match appended {
            // Whether the claim was won shows when the stream is read.
            Ok(_) => sleep(READ_PERIOD * 2).await,
            Err(_) => sleep(RETRY_PAUSE).await,
        }
        node.state.borrow_mut().pending_claims.remove(&cell);
    });
}

/// Repeats the records of the own cells and the configuration before they expire
/// in the log.
pub(crate) async fn refresh(node: &Rc<Node>) {
    let (claims, config) = {
        let state = node.state.borrow();
        let mine = |r: &&Record| r.primary == node.me;
        let claims: Vec<Value> = state
            .registry
            .iter()
            .filter(mine)
            .flat_map(|record| to_values(&Claim::Refresh(record.clone())))
            .collect();
        let is_first = state.members.live("config", now()).first() == Some(&node.me);
        let config = (is_first && state.caught_up && state.config.version > 0)
            .then(|| to_values(&Publication::Repeat(state.config.clone())));
        (claims, config)
    };
    if !claims.is_empty() {
        let _ = node.log.append(CLAIMS, claims).await;
    }
    if let Some(config) = config {
        let _ = node.log.append(CONFIG, config).await;
    }
}

/// Spawns the loop that appends the journal to the log, one batch at a time.
pub(crate) fn spawn_journal(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    let stream = journal_stream(&node);
    spawn_local(async move {
        loop {
            let batch = node.state.borrow_mut().journal.due();
            let Some(batch) = batch else {
                sleep(JOURNAL_PERIOD).await;
                continue;
            };
            metrics::counter!("log_appends", "stream" => "jobs").increment(1);
            match node.log.append(&stream, to_values(&batch)).await {
                Ok(_) => confirm(&node, batch.seq),
                Err(e) => {
                    log::warn!("event=journal_append error={:?}", e.to_string());
                    sleep(RETRY_PAUSE).await;
                }
            }
            sleep(JOURNAL_PERIOD).await;
        }
    })
}

fn journal_stream(node: &Node) -> String {
    format!("jobs.{}", node.settings.domain)
}

/// Marks the changes of a batch as logged.
fn confirm(node: &Rc<Node>, seq: u64) {
    let mut state = node.state.borrow_mut();
    for record in state.journal.confirm(seq) {
        if let JournalRecord::Ops { cell, epoch, ops } = record {
            state.with_cell(&cell, now(), |c, world| c.logged(epoch, &ops, world.now));
            state.dirty.insert(cell);
        }
    }
}

/// Rebuilds the table of a cell from the journal stream of the domain, which is
/// read up to the fence of `epoch`.
pub(crate) fn rebuild(node: &Rc<Node>, id: Name, epoch: u64) {
    let node = Rc::clone(node);
    spawn_local(async move {
        let started = now();
        loop {
            let mut reader = JournalReader::open(id.clone());
            let mut fenced = false;
            let mut next = 0;
            let stream = journal_stream(&node);
            read_stream(&node, &stream, &mut next, |_, data| {
                if let Some(batch) = parse::<JournalBatch>(data) {
                    fenced |= reader.fold(&batch, epoch, now().unix);
                }
            })
            .await;
            let superseded = node.state.borrow().cells.get(&id).is_none_or(|c| c.epoch() > epoch);
            if fenced || superseded {
                let tasks = reader.table.tasks.len();
                finish_rebuild(&node, &id, epoch, reader);
                let took = now().mono - started.mono;
                event!("rebuilt", cell = id, epoch = epoch, tasks = tasks, took_ms = took);
                return;
            }
            sleep(READ_PERIOD / 4).await;
        }
    });
}

/// Installs a rebuilt table. Under a later epoch than the first, other routers
/// may hold slots of the cell and have to report them first.
fn finish_rebuild(node: &Rc<Node>, id: &Name, epoch: u64, reader: JournalReader) {
    let mut state = node.state.borrow_mut();
    if epoch > 1 {
        let others = state.members.vms(Kind::Entry).map(|vm| vm.id.clone());
        let others: BTreeSet<Name> = others.collect();
        state.unreported.insert(id.clone(), others);
    }
    if let Some(cell) = state.cells.get_mut(id) {
        // If this process has become primary again under a later epoch, the
        // table is still its own.
        let epoch = cell.epoch().max(epoch);
        cell.rebuilt(epoch, reader.table);
    }
    state.dirty.insert(id.clone());
}
