use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, VecDeque},
    fmt,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use base::{Millis, Name, Now, Size, now};
use cell::{Cell, Guards, Journal, Peer, Registry, Setup, World};
use conf::{Config, Settings};
use http::Client;
use member::Members;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use rand::{SeedableRng, rngs::StdRng};
use sched::Learn;
use wire::Link;

use crate::{Mode, router::Router};

/// Shards of idempotency keys in a failure domain. It never changes, so that a
/// key always has the same home.
pub(crate) const KEY_SHARDS: u64 = 4;
/// Decisions kept for `explain` and the console.
const MAX_DECISIONS: usize = 2000;
/// Time after the start in which others are heard before a cell is claimed.
const START_PAUSE: Millis = 1500;
/// Time without an answer after which the log counts as unreachable.
const LOG_SILENCE: Millis = 1500;

/// Everything that one process holds.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) mode: Mode,
    pub(crate) me: Peer,
    pub(crate) http: Client,
    pub(crate) log: plat::Log,
    pub(crate) vms: plat::Vms,
    pub(crate) state: RefCell<State>,
    pub(crate) metrics: PrometheusHandle,
    /// Brings what has changed to the backups.
    replicate: fn(&Rc<Node>),
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Node").field("me", &self.me).finish_non_exhaustive()
    }
}

/// A decision as `explain` shows it.
#[derive(Debug, Clone)]
pub(crate) struct Noted {
    pub(crate) at: Millis,
    pub(crate) cell: Name,
    pub(crate) what: &'static str,
    pub(crate) task: Name,
    pub(crate) candidates: usize,
    pub(crate) chosen: Name,
    pub(crate) why: String,
}

/// The tables of the process.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) members: Members,
    pub(crate) registry: Registry,
    pub(crate) config: Config,
    /// When each version came into force here, newest last, in Unix ms.
    pub(crate) configured: Millis,
    pub(crate) cells: BTreeMap<Name, Cell>,
    pub(crate) dirty: BTreeSet<Name>,
    pub(crate) journal: Journal,
    pub(crate) router: Router,
    pub(crate) learn: Learn,
    pub(crate) speeds: BTreeMap<Name, u64>,
    pub(crate) links: BTreeMap<SocketAddr, Link>,
    pub(crate) decisions: VecDeque<Noted>,
    /// When the log last answered, on the monotonic clock.
    pub(crate) log_heard: Option<Millis>,
    /// Streams read to their end once.
    pub(crate) caught_up: bool,
    /// Records have changed that have not been acted upon.
    pub(crate) unread: bool,
    /// Claims being appended, by cell.
    pub(crate) claims: BTreeSet<Name>,
    /// Peers to which a sync is under way.
    pub(crate) syncing: BTreeSet<Name>,
    /// What other entry VMs' cells hold, by VM and team.
    pub(crate) teams: BTreeMap<Name, BTreeMap<Name, Size>>,
    /// Newest credit message of each router and cell.
    pub(crate) asked: BTreeMap<(Name, Peer), u64>,
    /// Routers that wait for slots, by cell, with the time of their asking.
    pub(crate) starved: BTreeMap<Name, Millis>,
    /// Rebuilt cells: routers that have not said yet what they hold.
    pub(crate) unheard: BTreeMap<Name, BTreeSet<Name>>,
    /// Versions of the configuration in force elsewhere.
    pub(crate) versions: BTreeMap<Name, (u64, Millis)>,
    pub(crate) shutting: bool,
    /// Shards are being handed over: no request is entered here any more.
    pub(crate) closing: bool,
    /// Requests entered here whose outcome is open.
    pub(crate) entered: u32,
    pub(crate) inflight: u32,
    pub(crate) started: Now,
    pub(crate) rng: StdRng,
}

impl Node {
    pub(crate) fn open(settings: Settings, mode: Mode, replicate: fn(&Rc<Node>)) -> Rc<Node> {
        let started = now();
        let me = Peer { vm: settings.vm.clone(), incarnation: started.unix };
        let client = Client::open();
        let limit = settings.platform.timeout;
        let state = State {
            members: Members::open(me.clone(), settings.domain.clone()),
            registry: Registry::default(),
            config: Config::default(),
            configured: 0,
            cells: BTreeMap::new(),
            dirty: BTreeSet::new(),
            journal: Journal::open(me.clone()),
            router: Router::open(),
            learn: Learn::default(),
            speeds: BTreeMap::new(),
            links: BTreeMap::new(),
            decisions: VecDeque::new(),
            log_heard: None,
            caught_up: false,
            unread: false,
            claims: BTreeSet::new(),
            syncing: BTreeSet::new(),
            teams: BTreeMap::new(),
            asked: BTreeMap::new(),
            starved: BTreeMap::new(),
            unheard: BTreeMap::new(),
            versions: BTreeMap::new(),
            shutting: false,
            closing: false,
            entered: 0,
            inflight: 0,
            started,
            rng: StdRng::seed_from_u64(started.unix),
        };
        let log = plat::Log::open(client.clone(), settings.platform.log, limit);
        let vms = plat::Vms::open(client.clone(), settings.platform.vms, limit);
        let metrics = recorder();
        let state = RefCell::new(state);
        Rc::new(Node { settings, mode, me, http: client, log, vms, state, metrics, replicate })
    }

    /// Says that tables have changed of which the backups are to hear.
    pub(crate) fn changed(self: &Rc<Node>) {
        (self.replicate)(self);
    }

    /// Client of a backend server's control interface.
    pub(crate) fn backend(&self, peer: SocketAddr, limit: Duration) -> plat::Backend {
        plat::Backend::open(self.http.clone(), peer, limit)
    }

    /// What a cell has to know of itself.
    pub(crate) fn setup(&self) -> Setup {
        let timing = self.settings.timing;
        Setup {
            me: self.me.clone(),
            lease: timing.lease,
            outage_lease: timing.outage_lease,
            task_lease: timing.task_lease,
            skew: timing.skew,
            guards: Guards::ALL,
        }
    }

    /// The connection to a VM's process.
    pub(crate) fn link(&self, vm: &str) -> Option<Link> {
        let mut state = self.state.borrow_mut();
        let addr = state.members.vm(vm)?.rpc?;
        let link = state.links.entry(addr).or_insert_with(|| Link::open(addr));
        Some(link.clone())
    }
}

impl State {
    /// Whether the log has answered lately and has been read to its end.
    pub(crate) fn log_up(&self, now: Now) -> bool {
        let fresh = self.log_heard.is_some_and(|at| now.mono <= at + LOG_SILENCE);
        fresh && self.caught_up
    }

    /// Calls `step` on a cell with what the process knows of the others.
    pub(crate) fn with_cell<T>(
        &mut self,
        id: &str,
        now: Now,
        step: impl FnOnce(&mut Cell, &World<'_>) -> T,
    ) -> Option<T> {
        let log = self.log_up(now);
        let settled = now.mono >= self.started.mono + START_PAUSE;
        let live = if settled { self.members.live(id, now) } else { Vec::new() };
        let members = &self.members;
        let dead = |peer: &Peer| members.dead(peer);
        let world = World { now, log, dead: &dead, live: &live };
        let cell = self.cells.get_mut(id)?;
        Some(step(cell, &world))
    }

    /// Keeps and logs a decision.
    pub(crate) fn decide(&mut self, noted: Noted) {
        base::event!(
            "decision",
            what = noted.what,
            task = noted.task,
            cell = noted.cell,
            candidates = noted.candidates,
            chosen = noted.chosen,
            why = noted.why,
        );
        self.decisions.push_back(noted);
        while self.decisions.len() > MAX_DECISIONS {
            self.decisions.pop_front();
        }
    }
}

thread_local! {
    static RECORDER: PrometheusHandle = install();
}

/// The process's metrics; one recorder serves every entry of a process.
fn recorder() -> PrometheusHandle {
    RECORDER.with(PrometheusHandle::clone)
}

fn install() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        log::debug!("event=metrics_shared");
    }
    handle
}
