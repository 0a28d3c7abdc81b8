//! Interface between the scheduler and a platform: typed calls to the platform's
//! store, workers and policy service, as structs of closures that an adapter
//! provides, and the typed requests of callers.

mod advice;
mod caller;
mod store;
mod worker;

use std::{future::Future, rc::Rc};

use base::Name;
use futures::future::LocalBoxFuture;
use job::Manifest;

pub use crate::{
    advice::{Advice, Allowed},
    caller::{Incoming, Reply, Verb},
    store::{Append, AppendFault, Batch, Item, Record, Store, StoreFault, Table, Topic},
    worker::{
        End, Ended, Entry, Held, Hold, Pace, Peer, Refusal, Running, Start, Stop, WorkerFault,
        Workers,
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
    pub advice: Advice,
    /// Decodes the record that a worker keeps in the store under its identifier; `None`
    /// where the record is malformed.
    pub entry: fn(&Name, &[u8]) -> Option<Entry>,
    /// Decodes the operator's configuration; `None` where it is malformed.
    pub manifest: fn(&[u8]) -> Option<Manifest>,
}
