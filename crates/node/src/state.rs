use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use async_std::{
    channel::{Receiver, Sender, bounded},
    net::UdpSocket,
};
use base::{Millis, Name, event, now};
use conf::PlatformSettings;
use elect::{Election, Vm};
use futures::channel::oneshot;
use job::Manifest;
use lead::Lead;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use port::Platform;
use relay::{Dispatcher, Relay};
use snafu::ResultExt;
use wire::Link;

use crate::{Error, error::DatagramsSnafu, shutdown::Drain};

/// Leader silence from which this VM reports that it is not ready for callers.
const MAX_SILENCE: Millis = 3_000;

/// Outcome for a request that waits for a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The change is durable.
    Durable,
    /// The change did not happen: another submission of the job has withdrawn it.
    Withdrawn,
    /// Leadership or the time to answer was lost before.
    Unknown,
}

/// A request that waits for a change to become durable.
#[derive(Debug)]
pub(crate) struct Waiter {
    /// Number of the batch with the change.
    pub(crate) batch_no: u64,
    /// Job that is changed.
    pub(crate) job: Name,
    pub(crate) sender: oneshot::Sender<Outcome>,
}

/// Wake-up signal for one loop. Signals sent before the loop wakes are merged.
#[derive(Debug)]
pub(crate) struct Notify {
    sender: Sender<()>,
    pub(crate) receiver: Receiver<()>,
}

impl Notify {
    fn new() -> Notify {
        let (sender, receiver) = bounded(1);
        Notify { sender, receiver }
    }

    /// Wakes the loop.
    pub(crate) fn notify(&self) {
        // If the channel is full, a wake-up is already pending.
        let _ = self.sender.try_send(());
    }
}

/// State shared by the loops and request handlers of the process.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: PlatformSettings,
    pub(crate) me: Vm,
    pub(crate) platform: Platform,
    pub(crate) socket: UdpSocket,
    pub(crate) decide_wakeup: Notify,
    pub(crate) append_wakeup: Notify,
    pub(crate) report_wakeup: Notify,
    pub(crate) shared: RefCell<Shared>,
    /// Number of forwarded requests of other VMs in flight.
    pub(crate) forwarded: Cell<usize>,
    /// The shutdown in progress, if any.
    pub(crate) drain: Cell<Option<Drain>>,
    metrics: PrometheusHandle,
}

/// Mutable part of [`Node`]. Times are monotonic milliseconds.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) election: Election,
    /// Leader state, `None` while this VM is not the leader.
    pub(crate) lead: Option<Lead>,
    /// The leader's sessions with relays, `None` while this VM is not the leader.
    pub(crate) dispatcher: Option<Dispatcher>,
    /// Workers that this leader polls itself.
    pub(crate) polled: BTreeSet<Name>,
    /// When this leader last checked its relays.
    pub(crate) relays_checked: Millis,
    /// This VM as a relay for the leader.
    pub(crate) relay: Relay,
    /// Sequence number of the next append.
    pub(crate) next_seq: u64,
    /// Offset at which the leader's log ended after its last append.
    pub(crate) log_end: u64,
    pub(crate) manifest: Option<Rc<Manifest>>,
    /// Requests that wait for a change to become durable.
    pub(crate) waiters: Vec<Waiter>,
    /// First attempt of the append in flight; 0 if there is none.
    pub(crate) append_started: Millis,
    /// Start of the current outage of appends; 0 while they succeed.
    pub(crate) unavailable_since: Millis,
    /// Whether a request for another VM's manifest is in flight.
    pub(crate) fetching: bool,
    /// Last request for another VM's manifest.
    pub(crate) fetched_at: Millis,
    /// Connections to other entry VMs by name.
    pub(crate) links: BTreeMap<Name, Link>,
}

impl Node {
    /// Binds the heartbeat socket and creates the state of a process that starts.
    pub(crate) async fn open(
        settings: PlatformSettings,
        platform: Platform,
    ) -> Result<Rc<Node>, Error> {
        let time = now();
        let bind_addr = settings.peers;
        let domain = settings.domain.clone();
        let addr = settings.announce.unwrap_or(bind_addr);
        let me = Vm {
            name: settings.vm.clone(),
            domain,
            addr,
            incarnation: time.unix,
            cpu_capacity: settings.cpu_capacity,
        };
        let socket =
            UdpSocket::bind(bind_addr).await.context(DatagramsSnafu { addr: bind_addr })?;
        let recorder = PrometheusBuilder::new().build_recorder();
        let metrics = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::debug!("event=metrics_shared reason=recorder_already_set");
        }
        event!("start", vm = me.name, domain = settings.domain, power = settings.cpu_capacity);
        let election = Election::new(me.clone(), time.mono);
        let shared = Shared {
            election,
            lead: None,
            dispatcher: None,
            polled: BTreeSet::new(),
            relays_checked: 0,
            relay: Relay::default(),
            next_seq: 0,
            log_end: 0,
            manifest: None,
            waiters: Vec::new(),
            append_started: 0,
            unavailable_since: 0,
            fetching: false,
            fetched_at: 0,
            links: BTreeMap::new(),
        };
        Ok(Rc::new(Node {
            settings,
            me,
            platform,
            socket,
            decide_wakeup: Notify::new(),
            append_wakeup: Notify::new(),
            report_wakeup: Notify::new(),
            shared: RefCell::new(shared),
            forwarded: Cell::new(0),
            drain: Cell::new(None),
            metrics,
        }))
    }

    /// Returns whether this VM is ready for callers: it has a manifest and contact with a
    /// leader, and is not shutting down.
    pub fn ready(&self) -> bool {
        let shared = self.shared.borrow();
        let has_leader = shared.election.silence(now().mono) < MAX_SILENCE;
        shared.manifest.is_some() && has_leader && !shared.election.leaving
    }

    /// Returns counters and histograms in the Prometheus text format.
    pub fn metrics(&self) -> String {
        self.metrics.render()
    }

    /// Returns the link to another entry VM, opened anew if its address has changed.
    pub(crate) fn link(&self, vm: &Vm) -> Link {
        let mut shared = self.shared.borrow_mut();
        let link = shared.links.entry(vm.name.clone()).or_insert_with(|| Link::new(vm.addr));
        if link.peer != vm.addr {
            *link = Link::new(vm.addr);
        }
        link.clone()
    }

    /// Replaces the manifest unless the current one is as new; `from` is the source for
    /// the log.
    pub(crate) fn adopt(&self, manifest: Manifest, from: &str) {
        let mut shared = self.shared.borrow_mut();
        if shared.manifest.as_ref().is_some_and(|current| current.version >= manifest.version) {
            return;
        }
        let queues = manifest.queues.len();
        event!("manifest", version = manifest.version, queues = queues, from = from);
        shared.election.manifest_version = manifest.version;
        shared.manifest = Some(Rc::new(manifest));
    }

    /// Gives leadership up, if this VM has it, and fails the requests that wait.
    pub(crate) fn depose(&self, why: &str) {
        let mut shared = self.shared.borrow_mut();
        let Some(lead) = shared.lead.take() else { return };
        shared.dispatcher = None;
        event!("deposed", epoch = lead.epoch, why = why);
        metrics::counter!("deposed").increment(1);
        lead::reset_load_metrics();
        shared.election.step_down(now().mono);
        shared.append_started = 0;
        shared.unavailable_since = 0;
        shared.fail_waiters();
    }
}

impl Shared {
    /// Returns whether this VM is the leader and may decide.
    pub(crate) fn may_decide(&self, now: Millis) -> bool {
        self.lead.is_some() && self.election.may_decide(now)
    }

    /// Fails the requests that wait for a change to become durable: it may or may not.
    pub(crate) fn fail_waiters(&mut self) {
        for waiter in self.waiters.drain(..) {
            let _ = waiter.sender.send(Outcome::Unknown);
        }
    }

    /// Returns the leader state if this VM is still the leader in `epoch`.
    pub(crate) fn lead_in(&mut self, epoch: u64) -> Option<&mut Lead> {
        self.lead.as_mut().filter(|lead| lead.epoch == epoch)
    }
}
