//! Interface between the scheduler and a platform: typed calls to the platform's
//! store, workers and policy service, as structs of closures that an adapter
//! provides, and the typed requests of callers.

mod caller;
mod policy;
mod store;
mod worker;

use std::{future::Future, rc::Rc};

use base::Name;
use futures::future::LocalBoxFuture;
use job::Manifest;

pub use crate::{
    caller::{Incoming, Reply, Verb},
    policy::{PolicyReply, PolicyService},
    store::{Append, AppendError, Batch, Item, Record, Store, StoreError, Table, Topic},
    worker::{
        Completion, Outcome, Poll, PollReply, Refusal, RunStatus, Start, Stop, Throttle,
        WorkerAddr, WorkerError, WorkerInfo, Workers,
    },
};

/// An asynchronous call that an adapter provides.
pub type Call<Q, R> = Rc<dyn Fn(Q) -> LocalBoxFuture<'static, R>>;

/// Wraps an asynchronous function as a [`Call`].
pub fn call<Q: 'static, R: 'static, F>(f: impl Fn(Q) -> F + 'static) -> Call<Q, R>
where
    F: Future<Output = R> + 'static,
{
    Rc::new(move |request| Box::pin(f(request)))
}

/// The calls and decoders of one platform.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Logs of the store.
    pub store: Store,
    /// Commands to workers.
    pub workers: Workers,
    /// Requests to the policy service.
    pub policy: PolicyService,
    /// Decodes the record that a worker keeps in the store under its identifier; `None`
    /// where the record is malformed.
    pub decode_worker: fn(&Name, &[u8]) -> Option<WorkerInfo>,
    /// Decodes the operator's configuration; `None` where it is malformed.
    pub decode_manifest: fn(&[u8]) -> Option<Manifest>,
}
