//! State of an entry VM process that its loops and handlers share.

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
use sched::Estimates;
use wire::Link;

use crate::{Mode, router::Router};

/// Number of key shards in a failure domain. It must not change, so that a key
/// always belongs to the same shard.
pub(crate) const KEY_SHARDS: u64 = 4;
/// Number of recent decisions kept for `explain` and the console.
const MAX_DECISIONS: usize = 2000;
/// Time after the start before a cell may be claimed, in ms. Heartbeats of other
/// VMs arrive meanwhile.
const CLAIM_DELAY: Millis = 1500;
/// Time since the last complete read after which the log counts as unreachable, in
/// ms.
const LOG_TIMEOUT: Millis = 1500;

/// State and clients of one process.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) mode: Mode,
    pub(crate) me: Peer,
    pub(crate) http: Client,
    pub(crate) log: plat::Log,
    pub(crate) vms: plat::Vms,
    pub(crate) state: RefCell<State>,
    pub(crate) metrics: PrometheusHandle,
    /// Starts replication of changes to the backups.
    replicate: fn(&Rc<Node>),
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Node").field("me", &self.me).finish_non_exhaustive()
    }
}

/// A scheduling decision as `explain` shows it.
#[derive(Debug, Clone)]
pub(crate) struct DecisionRecord {
    /// Time of the decision in Unix milliseconds.
    pub(crate) at: Millis,
    pub(crate) cell: Name,
    pub(crate) what: &'static str,
    pub(crate) task: Name,
    pub(crate) candidates: usize,
    pub(crate) chosen: Name,
    pub(crate) why: String,
}

/// Mutable state of the process.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) members: Members,
    /// Owners of all cells, as read from the log.
    pub(crate) registry: Registry,
    pub(crate) config: Config,
    /// Time at which `config` was applied here, in Unix milliseconds.
    pub(crate) config_applied_at: Millis,
    pub(crate) cells: BTreeMap<Name, Cell>,
    /// Cells to be planned at the next tick.
    pub(crate) dirty: BTreeSet<Name>,
    /// Changes that wait to be appended to the log.
    pub(crate) journal: Journal,
    pub(crate) router: Router,
    pub(crate) estimates: Estimates,
    /// Speed of throttled tasks in percent, by task.
    pub(crate) speeds: BTreeMap<Name, u64>,
    pub(crate) links: BTreeMap<SocketAddr, Link>,
    pub(crate) decisions: VecDeque<DecisionRecord>,
    /// Time at which the log was last read to its end, on the monotonic clock.
    pub(crate) log_read_at: Option<Millis>,
    /// The streams have been read to their end at least once.
    pub(crate) caught_up: bool,
    /// Claims have changed the registry and are not yet applied to the cells.
    pub(crate) claims_changed: bool,
    /// Cells whose claim is being appended.
    pub(crate) pending_claims: BTreeSet<Name>,
    /// Backups to which a sync is in flight.
    pub(crate) syncing: BTreeSet<Name>,
    /// Resources that teams use in the cells of other entry VMs, by VM and team.
    pub(crate) peer_usage: BTreeMap<Name, BTreeMap<Name, Size>>,
    /// Sequence number of the newest slot request, by cell and router.
    pub(crate) credit_seqs: BTreeMap<(Name, Peer), u64>,
    /// Cells that had too few slots for a router of the domain, with the time of the
    /// latest such request on the monotonic clock.
    pub(crate) starved: BTreeMap<Name, Millis>,
    /// Routers that have not reported their slots since a cell was rebuilt, by cell.
    pub(crate) unreported: BTreeMap<Name, BTreeSet<Name>>,
    /// Version of the configuration on other entry VMs, with the time of the report in
    /// Unix milliseconds.
    pub(crate) peer_versions: BTreeMap<Name, (u64, Millis)>,
    /// The process is shutting down and no longer schedules.
    pub(crate) shutting_down: bool,
    /// Cells are being handed over: no new key is entered here.
    pub(crate) handing_over: bool,
    /// Number of keys entered here whose outcome is not recorded yet.
    pub(crate) unsettled: u32,
    /// HTTP requests being handled.
    pub(crate) inflight: u32,
    pub(crate) started: Now,
    pub(crate) rng: StdRng,
}

impl Node {
    /// Creates the state of a process that has just started.
    pub(crate) fn open(settings: Settings, mode: Mode, replicate: fn(&Rc<Node>)) -> Rc<Node> {
        let started = now();
        let me = Peer { vm: settings.vm.clone(), incarnation: started.unix };
        let client = Client::new();
        let timeout = settings.platform.timeout;
        let state = State {
            members: Members::open(me.clone(), settings.domain.clone()),
            registry: Registry::default(),
            config: Config::default(),
            config_applied_at: 0,
            cells: BTreeMap::new(),
            dirty: BTreeSet::new(),
            journal: Journal::open(me.clone()),
            router: Router::open(),
            estimates: Estimates::default(),
            speeds: BTreeMap::new(),
            links: BTreeMap::new(),
            decisions: VecDeque::new(),
            log_read_at: None,
            caught_up: false,
            claims_changed: false,
            pending_claims: BTreeSet::new(),
            syncing: BTreeSet::new(),
            peer_usage: BTreeMap::new(),
            credit_seqs: BTreeMap::new(),
            starved: BTreeMap::new(),
            unreported: BTreeMap::new(),
            peer_versions: BTreeMap::new(),
            shutting_down: false,
            handing_over: false,
            unsettled: 0,
            inflight: 0,
            started,
            rng: StdRng::seed_from_u64(started.unix),
        };
        let log = plat::Log::new(client.clone(), settings.platform.log, timeout);
        let vms = plat::Vms::new(client.clone(), settings.platform.vms, timeout);
        let metrics = recorder();
        let state = RefCell::new(state);
        Rc::new(Node { settings, mode, me, http: client, log, vms, state, metrics, replicate })
    }

    /// Starts replication after tables have changed.
    pub(crate) fn start_replication(self: &Rc<Node>) {
        (self.replicate)(self);
    }

    /// Returns a client of the control interface of a backend server.
    pub(crate) fn backend(&self, peer: SocketAddr, timeout: Duration) -> plat::Backend {
        plat::Backend::new(self.http.clone(), peer, timeout)
    }

    /// Returns the settings of a new cell.
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

    /// Returns the RPC link to the process of a VM, or `None` if its address is not
    /// known.
    pub(crate) fn link(&self, vm: &str) -> Option<Link> {
        let mut state = self.state.borrow_mut();
        let addr = state.members.vm(vm)?.rpc?;
        let link = state.links.entry(addr).or_insert_with(|| Link::new(addr));
        Some(link.clone())
    }
}

impl State {
    /// Returns whether the log has been read to its end recently.
    pub(crate) fn log_up(&self, now: Now) -> bool {
        let recent = self.log_read_at.is_some_and(|at| now.mono <= at + LOG_TIMEOUT);
        recent && self.caught_up
    }

    /// Calls `step` on a cell with a view of the process and its peers. Returns `None`
    /// if the cell does not exist here.
    pub(crate) fn with_cell<T>(
        &mut self,
        id: &str,
        now: Now,
        step: impl FnOnce(&mut Cell, &World<'_>) -> T,
    ) -> Option<T> {
        let log = self.log_up(now);
        let may_claim = now.mono >= self.started.mono + CLAIM_DELAY;
        let live = if may_claim { self.members.live(id, now) } else { Vec::new() };
        let members = &self.members;
        let dead = |peer: &Peer| members.dead(peer);
        let world = World { now, log, dead: &dead, live: &live };
        let cell = self.cells.get_mut(id)?;
        Some(step(cell, &world))
    }

    /// Logs a decision and keeps it among the recent ones.
    pub(crate) fn record_decision(&mut self, decision: DecisionRecord) {
        base::event!(
            "decision",
            what = decision.what,
            task = decision.task,
            cell = decision.cell,
            candidates = decision.candidates,
            chosen = decision.chosen,
            why = decision.why,
        );
        self.decisions.push_back(decision);
        while self.decisions.len() > MAX_DECISIONS {
            self.decisions.pop_front();
        }
    }
}

thread_local! {
    static RECORDER: PrometheusHandle = install();
}

/// Returns the metrics recorder, which all entry VMs of a process share.
fn recorder() -> PrometheusHandle {
    RECORDER.with(PrometheusHandle::clone)
}

/// Installs the metrics recorder.
fn install() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    if metrics::set_global_recorder(recorder).is_err() {
        log::debug!("event=metrics_shared");
    }
    handle
}
