//! Reads the streams of claims and configurations from the log.

use std::rc::Rc;

use async_std::task::{JoinHandle, sleep, spawn_local};
use base::{event, now};
use cell::{Cell, Claim, Record};
use conf::{ConfigReader, Publication};

use crate::{
    config, control,
    log::{CLAIMS, CONFIG, READ_PERIOD, parse, read_stream},
    node::{Node, State},
};

/// Spawns the loop that reads claims and configurations from the log.
pub(crate) fn spawn(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    spawn_local(async move {
        let (mut claims, mut config) = (0, 0);
        let mut reader = ConfigReader::default();
        loop {
            let read = read_claims(&node, &mut claims).await;
            let read = read && read_config(&node, &mut config, &mut reader).await;
            if read {
                let mut state = node.state.borrow_mut();
                state.log_read_at = Some(now().mono);
                state.caught_up = true;
            }
            sleep(READ_PERIOD).await;
        }
    })
}

/// Reads the stream of claims to its end and applies the resulting records. They
/// are applied only there: before it, a process that lags behind could take a
/// claim that was lost for one that was won.
async fn read_claims(node: &Rc<Node>, next: &mut u64) -> bool {
    let mut claims = Vec::new();
    let read = read_stream(node, CLAIMS, next, |_, data| claims.extend(parse::<Claim>(data))).await;
    let records = {
        let mut state = node.state.borrow_mut();
        for claim in &claims {
            state.claims_changed |= state.registry.fold(claim);
        }
        if !read || !std::mem::take(&mut state.claims_changed) {
            return read;
        }
        changed_records(node, &state)
    };
    for record in records {
        on_record(node, &record);
    }
    read
}

/// Returns the records of the own failure domain that are not yet applied to
/// their cells.
fn changed_records(node: &Node, state: &State) -> Vec<Record> {
    let own = |r: &&Record| r.cell.split('.').next() == Some(&*node.settings.domain);
    let new =
        |r: &&Record| state.cells.get(&r.cell).is_none_or(|cell| cell.record.as_ref() != Some(*r));
    state.registry.iter().filter(own).filter(new).cloned().collect()
}

fn on_record(node: &Rc<Node>, record: &Record) {
    event!(
        "owner",
        cell = record.cell,
        epoch = record.epoch,
        primary = record.primary,
        backup = record.backup.as_ref().map_or("none".to_owned(), ToString::to_string),
    );
    let mut state = node.state.borrow_mut();
    let setup = node.setup();
    let id = record.cell.clone();
    state.cells.entry(id.clone()).or_insert_with(|| Cell::open(id.clone(), setup));
    let actions = state.with_cell(&id, now(), |cell, world| cell.on_record(record, world));
    state.dirty.insert(id.clone());
    drop(state);
    control::perform(node, &id, actions.unwrap_or_default());
}

async fn read_config(node: &Rc<Node>, next: &mut u64, reader: &mut ConfigReader) -> bool {
    let read = read_stream(node, CONFIG, next, |offset, data| {
        if let Some(publication) = parse::<Publication>(data) {
            reader.fold(offset, &publication);
        }
    })
    .await;
    if !read {
        return false;
    }
    let newer = reader.newer_config(&node.state.borrow().config);
    if let Some(config) = newer {
        config::apply(node, config);
    }
    true
}
