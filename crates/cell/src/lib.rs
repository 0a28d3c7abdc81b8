//! Replicated state of cells, the unit of ownership. A cell is one rack of
//! backend servers in one failure domain with the jobs bound to it, or one shard
//! of idempotency keys. Its primary and its backup are two entry VMs of the
//! domain.
//!
//! The crate does no I/O and reads no clock: callers pass the time in.

mod credit;
mod engine;
mod journal;
mod lease;
mod op;
mod reconcile;
mod record;
mod server;
mod table;

pub use crate::{
    credit::{CreditAnswer, CreditAsk, Credits, Holding},
    engine::{Action, Cell, Guards, Role, Setup, World},
    journal::{Journal, JournalBatch, JournalReader, JournalRecord},
    lease::{Given, Held},
    op::{Job, Op, Outcome, Sync, SyncReply, Verdict},
    reconcile::{Settled, answered, reap, settle, stopped},
    record::{Claim, Peer, Record, Registry},
    server::{RETURN_LEAD, Server, ServerState},
    table::{JOB_KEY, KeyEntry, Parking, Phase, Table, Task},
};
