use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use async_std::{
    channel::{Receiver, Sender, bounded},
    net::UdpSocket,
};
use base::{Millis, Name, event, now};
use conf::Fleet;
use elect::{Elect, Vm};
use futures::channel::oneshot;
use job::Manifest;
use lead::Lead;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use port::Platform;
use snafu::ResultExt;
use wire::Link;

use crate::{Error, error::DatagramsSnafu};

/// Age of the last sign that others follow this leader, beyond which it decides
/// nothing.
pub(crate) const SOLO: Millis = 2_000;
/// Silence of the leader beyond which callers are sent to other VMs.
const READY_SILENCE: Millis = 3_000;

/// What has become of a change that was waited for.
pub(crate) type Stored = bool;

/// Wakes one loop.
#[derive(Debug)]
pub(crate) struct Notify {
    sender: Sender<()>,
    pub(crate) woken: Receiver<()>,
}

impl Notify {
    fn new() -> Notify {
        let (sender, woken) = bounded(1);
        Notify { sender, woken }
    }

    pub(crate) fn notify(&self) {
        // A full channel means that the loop is about to wake anyway.
        let _ = self.sender.try_send(());
    }
}

/// State that the loops of a process share.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: Fleet,
    pub(crate) me: Vm,
    pub(crate) platform: Platform,
    pub(crate) socket: UdpSocket,
    pub(crate) decide: Notify,
    pub(crate) append: Notify,
    pub(crate) shared: RefCell<Shared>,
    pub(crate) inflight: Cell<usize>,
    metrics: PrometheusHandle,
}

/// What changes.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) elect: Elect,
    pub(crate) lead: Option<Lead>,
    pub(crate) seq: u64,
    pub(crate) manifest: Option<Rc<Manifest>>,
    pub(crate) waiters: Vec<(u64, oneshot::Sender<Stored>)>,
    /// When the append that is on its way was first sent; 0 where none is.
    pub(crate) appending: Millis,
    /// Since when appends have failed; 0 while they succeed.
    pub(crate) away: Millis,
    /// When others were last known to follow this leader.
    pub(crate) authority: Millis,
    pub(crate) claiming: bool,
    /// Whether another VM is being asked for its manifest.
    pub(crate) fetching: bool,
    /// When one was last asked.
    pub(crate) fetched: Millis,
    pub(crate) links: BTreeMap<Name, Link>,
}

impl Node {
    pub(crate) async fn open(settings: Fleet, platform: Platform) -> Result<Rc<Node>, Error> {
        let time = now();
        let peer = settings.peers;
        let domain = settings.domain.clone();
        let addr = settings.announce.unwrap_or(peer);
        let me = Vm { name: settings.vm.clone(), domain, addr, born: time.unix };
        let socket = UdpSocket::bind(peer).await.context(DatagramsSnafu { peer })?;
        let recorder = PrometheusBuilder::new().build_recorder();
        let metrics = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            log::debug!("event=metrics_shared reason=another_process_part_records");
        }
        event!("start", vm = me.name, domain = settings.domain, power = settings.power);
        let elect = Elect::open(me.clone(), settings.power, time.mono);
        let shared = Shared {
            elect,
            lead: None,
            seq: 0,
            manifest: None,
            waiters: Vec::new(),
            appending: 0,
            away: 0,
            authority: 0,
            claiming: false,
            fetching: false,
            fetched: 0,
            links: BTreeMap::new(),
        };
        Ok(Rc::new(Node {
            settings,
            me,
            platform,
            socket,
            decide: Notify::new(),
            append: Notify::new(),
            shared: RefCell::new(shared),
            inflight: Cell::new(0),
            metrics,
        }))
    }

    /// Whether new callers should come here.
    pub fn ready(&self) -> bool {
        let shared = self.shared.borrow();
        let led = shared.elect.silence(now().mono) < READY_SILENCE;
        shared.manifest.is_some() && led && !shared.elect.leaving
    }

    /// Counters and histograms as text.
    pub fn metrics(&self) -> String {
        self.metrics.render()
    }

    /// The link to another entry VM.
    pub(crate) fn link(&self, vm: &Vm) -> Link {
        let mut shared = self.shared.borrow_mut();
        let link = shared.links.entry(vm.name.clone()).or_insert_with(|| Link::open(vm.addr));
        if link.peer != vm.addr {
            *link = Link::open(vm.addr);
        }
        link.clone()
    }

    /// Takes a manifest in; an older one changes nothing.
    pub(crate) fn adopt(&self, manifest: Manifest, from: &str) {
        let mut shared = self.shared.borrow_mut();
        if shared.manifest.as_ref().is_some_and(|known| known.version >= manifest.version) {
            return;
        }
        let queues = manifest.queues.len();
        event!("manifest", version = manifest.version, queues = queues, from = from);
        shared.elect.version = manifest.version;
        shared.manifest = Some(Rc::new(manifest));
    }

    /// Gives leadership up.
    pub(crate) fn depose(&self, why: &str) {
        let mut shared = self.shared.borrow_mut();
        let Some(lead) = shared.lead.take() else { return };
        event!("deposed", epoch = lead.epoch, why = why);
        metrics::counter!("deposed").increment(1);
        lead::clear_load();
        shared.elect.yield_lead(now().mono);
        shared.appending = 0;
        shared.away = 0;
        for (_, waiter) in shared.waiters.drain(..) {
            let _ = waiter.send(false);
        }
    }
}

impl Shared {
    /// Whether this VM leads and others follow it, or no other can.
    pub(crate) fn may_decide(&self, now: Millis) -> bool {
        self.lead.is_some() && now < self.authority + SOLO
    }

    /// The leadership of an epoch, while it lasts.
    pub(crate) fn leading(&mut self, epoch: u64) -> Option<&mut Lead> {
        self.lead.as_mut().filter(|lead| lead.epoch == epoch)
    }
}
