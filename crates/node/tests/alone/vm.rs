//! One VM that leads alone, with a store in memory whose calls can be held back.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
};

use async_std::{
    channel::{Receiver, Sender, unbounded},
    task::yield_now,
};
use base::Name;
use conf::PlatformSettings;
use futures::{channel::oneshot, future::pending};
use job::{Manifest, Queue, Spec, Step};
use node::Running;
use port::{
    Append, AppendError, Batch, Incoming, Item, Platform, PolicyService, Reply, Store, StoreError,
    Table, Topic, Verb, Workers, call,
};

/// An append that is held back, until its reply is sent.
pub(crate) type HeldAppend = (Append, oneshot::Sender<Result<u64, AppendError>>);
/// A read of the cell's log that is held back, until its reply is sent.
pub(crate) type HeldRead = (u64, oneshot::Sender<Result<Batch, StoreError>>);

/// The store in memory.
#[derive(Debug)]
pub(crate) struct Logs {
    logs: RefCell<HashMap<Topic, Vec<Item>>>,
    /// Whether calls about the cell's log are held back.
    pub(crate) held: Cell<bool>,
    held_append: Sender<HeldAppend>,
    held_read: Sender<HeldRead>,
}

impl Logs {
    /// Carries out an append.
    pub(crate) fn append(&self, request: &Append) -> u64 {
        let mut logs = self.logs.borrow_mut();
        let log = logs.entry(request.topic).or_default();
        let items = request.records.iter().cloned();
        log.extend(items.map(|record| Item { key: record.key, value: record.value }));
        log.len() as u64
    }

    fn end(&self, topic: Topic) -> u64 {
        self.logs.borrow().get(&topic).map_or(0, |log| log.len() as u64)
    }

    /// Reads a log from an offset on.
    pub(crate) fn read(&self, topic: Topic, from: u64) -> Batch {
        let end = self.end(topic);
        let logs = self.logs.borrow();
        let items = logs.get(&topic).into_iter().flatten().skip(from as usize).cloned().collect();
        Batch { items, next: end, end }
    }

    fn newest(&self, topic: Topic) -> Table {
        let Batch { items, end, .. } = self.read(topic, 0);
        let newest: HashMap<Name, Item> =
            items.into_iter().map(|item| (item.key.clone(), item)).collect();
        Table { items: newest.into_values().filter(|item| !item.value.is_empty()).collect(), end }
    }
}

/// The VM and its store.
pub(crate) struct Vm {
    pub(crate) running: Rc<Running>,
    pub(crate) logs: Rc<Logs>,
    pub(crate) appends: Receiver<HeldAppend>,
    pub(crate) reads: Receiver<HeldRead>,
}

impl Vm {
    /// Starts a VM with further lines of settings, and waits until it leads.
    pub(crate) async fn spawn(settings: &str) -> Vm {
        let any = "127.0.0.1:0";
        let settings = format!(
            "[entry]\nvm = e\ndomain = d\nregion = r\ncallers = {any}\nhealth = {any}\n\
             peers = {any}\n[platform]\nstore = {any}\n{settings}\n"
        );
        let settings = PlatformSettings::parse("settings", &settings).unwrap();
        let (held_append, appends) = unbounded();
        let (held_read, reads) = unbounded();
        let (logs, held) = (RefCell::default(), Cell::new(false));
        let logs = Rc::new(Logs { logs, held, held_append, held_read });
        let config = Item { key: "config".into(), value: b"config".to_vec() };
        logs.logs.borrow_mut().insert(Topic::Operator, vec![config]);
        let running = Rc::new(node::spawn(settings, platform(&logs)).await.unwrap());
        let vm = Vm { running, logs, appends, reads };
        while vm.answer(Verb::Show, "").await != Reply::Pending(0) {
            yield_now().await;
        }
        vm
    }

    /// Has a request answered, for one job or, without an id, for the queue.
    pub(crate) async fn answer(&self, verb: Verb, id: &str) -> Reply {
        node::answer(self.running.node(), incoming(verb, id)).await
    }
}

/// Returns a request to the queue of the manifest.
pub(crate) fn incoming(verb: Verb, id: &str) -> Incoming {
    Incoming { verb, host: "h".into(), path: format!("/q/{id}").into(), wait: None }
}

/// Returns the submission of a job with one task.
pub(crate) fn submission() -> Verb {
    let step = Step { count: 1, ..Step::default() };
    Verb::Submit(Ok(Spec { text: "t".into(), steps: vec![step], repeat: None }))
}

fn platform(logs: &Rc<Logs>) -> Platform {
    let [newest, reads, appends] = [0; 3].map(|_| Rc::clone(logs));
    let store = Store {
        newest: call(move |topic| {
            let table = newest.newest(topic);
            async move { Ok(table) }
        }),
        read: call(move |(topic, from, wait)| {
            let logs = Rc::clone(&reads);
            async move {
                if logs.held.get() && topic == Topic::Cell {
                    let (reply, receiver) = oneshot::channel();
                    let _ = logs.held_read.send((from, reply)).await;
                    let lost = StoreError::Unavailable { reason: String::new() };
                    return receiver.await.unwrap_or(Err(lost));
                }
                let batch = logs.read(topic, from);
                // Nothing is added to the other logs.
                if batch.items.is_empty() && wait > 0 { pending().await } else { Ok(batch) }
            }
        }),
        append: call(move |request: Append| {
            let logs = Rc::clone(&appends);
            async move {
                if logs.held.get() && request.topic == Topic::Cell {
                    let (reply, receiver) = oneshot::channel();
                    let _ = logs.held_append.send((request, reply)).await;
                    let lost = AppendError::InDoubt(String::new());
                    return receiver.await.unwrap_or(Err(lost));
                }
                Ok(logs.append(&request))
            }
        }),
    };
    Platform {
        store,
        workers: Workers {
            start: call(|_| pending()),
            stop: call(|_| pending()),
            throttle: call(|_| pending()),
            poll: call(|_| pending()),
        },
        policy: PolicyService { request: call(|_| pending()) },
        decode_worker: |_, _| None,
        decode_manifest: |_| Some(manifest()),
    }
}

fn manifest() -> Manifest {
    let queue = Queue {
        name: "q".into(),
        host: "h".into(),
        prefix: "/q/".into(),
        service: "s".into(),
        max_attempts: 1,
        ..Queue::default()
    };
    Manifest { version: 1, queues: vec![queue] }
}
