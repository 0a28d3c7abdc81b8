//! The control loop: advances cells, runs the scheduler and replicates changes.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use async_std::task::{JoinHandle, sleep, spawn_local};
use base::{Millis, Name, Now, Size, event, now};
use cell::{Action, Cell, Op, Peer, Role, Sync, SyncReply, reap};
use plat::{Start, Stop, Throttle};
use sched::{Plan, View};
use wire::Method;

use crate::{
    log,
    node::{DecisionRecord, Node, State},
    servers,
};

/// Period in ms at which cells without changes are planned again.
const REPLAN_PERIOD: Millis = 500;
/// Period in ms at which at most one cell is handed to its preferred VM.
const BALANCE_PERIOD: Millis = 3000;
/// Minimum time in ms for which a primary owns a cell before it may hand it over.
const MIN_OWNERSHIP: Millis = 15_000;
/// Timeout for the reply of a backup.
const SYNC_TIMEOUT: Duration = Duration::from_millis(400);
/// Divisor of the retention that gives the period at which records are repeated.
const REFRESH_DIVISOR: Millis = 4;

/// Spawns the control loop, which advances and plans the cells at each tick.
pub(crate) fn spawn(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    let period = Duration::from_millis(node.settings.timing.tick);
    spawn_local(async move {
        let mut replanned = 0;
        let mut refreshed = now().mono;
        let mut balanced = refreshed;
        loop {
            let time = now();
            if time.mono > balanced + BALANCE_PERIOD {
                balanced = time.mono;
                balance(&node, time);
            }
            let all = time.mono >= replanned + REPLAN_PERIOD;
            if all {
                replanned = time.mono;
            }
            tick(&node, time, all);
            if time.mono > refreshed + node.settings.timing.retention / REFRESH_DIVISOR {
                refreshed = time.mono;
                snapshot(&node);
                let node = Rc::clone(&node);
                spawn_local(async move { log::refresh(&node).await });
            }
            sleep(period).await;
        }
    })
}

fn tick(node: &Rc<Node>, time: Now, all: bool) {
    if node.state.borrow().members.expelled() {
        return;
    }
    let ids: Vec<Name> = node.state.borrow().cells.keys().cloned().collect();
    for id in &ids {
        let mut state = node.state.borrow_mut();
        let actions = state.with_cell(id, time, |cell, world| cell.tick(world));
        if all || state.dirty.contains(id) {
            state.dirty.remove(id);
            plan_cell(node, &mut state, id, time);
        }
        drop(state);
        perform(node, id, actions.unwrap_or_default());
    }
    if all {
        node.state.borrow_mut().estimates.decay();
    }
    replicate(node);
}

/// Resigns from one cell whose backup ranks before this VM as its owner. That
/// happens after VMs have joined or left.
fn balance(node: &Rc<Node>, time: Now) {
    let mut state = node.state.borrow_mut();
    if state.shutting_down || !state.log_up(time) || state.unsettled > 0 {
        return;
    }
    let movable =
        |cell: &&Cell| cell.deciding(time.mono) && time.mono > cell.since.mono + MIN_OWNERSHIP;
    let misplaced = |cell: &&Cell| {
        let backup = cell.record.as_ref().and_then(|r| r.backup.as_ref());
        let live = state.members.live(&cell.id, time);
        let rank = |peer: &Peer| live.iter().position(|p| p == peer);
        let (Some(backup), Some(mine)) = (backup.and_then(rank), rank(&node.me)) else {
            return false;
        };
        backup < mine
    };
    let cell = state.cells.values().filter(movable).find(misplaced).map(|c| c.id.clone());
    if let Some(cell) = cell.and_then(|id| state.cells.get_mut(&id)) {
        event!("balance", cell = cell.id, epoch = cell.epoch());
        cell.resign(time.mono);
    }
}

/// Runs the scheduler for one cell and commits its plan.
fn plan_cell(node: &Rc<Node>, state: &mut State, id: &Name, time: Now) {
    let shutting_down = state.shutting_down;
    let Some(cell) = state.cells.get_mut(id) else { return };
    if cell.role != Role::Primary {
        return;
    }
    reap(cell, time);
    reclaim_slots(state, id, time);
    let remote_usage = remote_team_usage(state, id);
    let Some(cell) = state.cells.get(id) else { return };
    if !cell.deciding(time.mono) || shutting_down {
        return;
    }
    let view = View {
        table: &cell.table,
        servers: &cell.servers,
        document: &state.config.document,
        remote_usage: &remote_usage,
        estimates: &state.estimates,
        speeds: &state.speeds,
        policy: node.mode.policy,
        now: time,
    };
    let plan = sched::plan(&view);
    commit(node, state, id, plan, time);
}

fn commit(node: &Rc<Node>, state: &mut State, id: &Name, plan: Plan, time: Now) {
    for decision in plan.decisions {
        state.record_decision(DecisionRecord {
            at: time.unix,
            cell: id.clone(),
            what: decision.what,
            task: decision.task,
            candidates: decision.candidates,
            chosen: decision.chosen,
            why: decision.why,
        });
    }
    for speed in &plan.speeds {
        state.speeds.insert(speed.task.clone(), speed.percent);
        metrics::counter!("throttles").increment(1);
    }
    let Some(cell) = state.cells.get_mut(id) else { return };
    for (task, reason) in plan.parked {
        cell.commit(Op::Park { task, reason }, time);
    }
    for e in plan.evictions {
        cell.commit(Op::Evict { task: e.task, attempt: e.attempt }, time);
        metrics::counter!("evictions").increment(1);
    }
    for a in plan.assignments {
        cell.commit(Op::Assign { task: a.task, attempt: a.attempt, backend: a.backend }, time);
    }
    for speed in plan.speeds {
        let Some(server) = cell.servers.get(&speed.backend) else { continue };
        let client = node.backend(server.http, servers::CONTROL_TIMEOUT);
        let throttle =
            Throttle { task: speed.task, attempt: speed.attempt, percent: speed.percent };
        spawn_local(async move {
            let _ = client.throttle(&throttle).await;
        });
    }
}

/// Returns the resources that teams use in all cells except `id`.
fn remote_team_usage(state: &State, id: &Name) -> BTreeMap<Name, Size> {
    let mut sums: BTreeMap<Name, Size> = BTreeMap::new();
    let mut add = |team: &Name, size: Size| {
        let sum = sums.entry(team.clone()).or_default();
        *sum = sum.plus(size);
    };
    for (team, size) in state.peer_usage.values().flatten() {
        add(team, *size);
    }
    for (team, size) in own_team_usage(state, Some(id)) {
        add(&team, size);
    }
    sums
}

/// Returns the resources that teams use in the cells of which this process is
/// the primary, without the cell `except`.
pub(crate) fn own_team_usage(state: &State, except: Option<&Name>) -> BTreeMap<Name, Size> {
    let mut sums: BTreeMap<Name, Size> = BTreeMap::new();
    let mine = |(id, cell): &(&Name, &Cell)| cell.role == Role::Primary && Some(*id) != except;
    for (_, cell) in state.cells.iter().filter(mine) {
        for task in cell.table.tasks.values().filter(|t| t.backend().is_some()) {
            if let Some(job) = cell.table.job(task) {
                let sum = sums.entry(job.team.clone()).or_default();
                *sum = sum.plus(job.size);
            }
        }
    }
    sums
}

/// Reclaims the slots of routers that are known to be dead.
fn reclaim_slots(state: &mut State, id: &Name, time: Now) {
    let members = &state.members;
    let Some(cell) = state.cells.get_mut(id) else { return };
    if !cell.authority(time.mono) {
        return;
    }
    let dead: Vec<_> =
        cell.table.credits.routers().into_iter().filter(|r| members.dead(r)).collect();
    for router in dead {
        for holding in cell.table.credits.backends(&router) {
            let router = router.clone();
            cell.commit(Op::Grant { backend: holding.backend, router, slots: 0 }, time);
        }
    }
    if let Some(unreported) = state.unreported.get_mut(id) {
        unreported.retain(|vm| !members.removed(vm, u64::MAX / 2));
    }
}

/// Performs the actions that a cell returned.
pub(crate) fn perform(node: &Rc<Node>, id: &Name, actions: Vec<Action>) {
    let mut starts: BTreeMap<Name, Vec<Start>> = BTreeMap::new();
    for action in actions {
        match action {
            Action::Claim(record) => log::append_claim(node, record),
            Action::Journal(record) => node.state.borrow_mut().journal.push(record),
            Action::Rebuild(epoch) => log::rebuild(node, id.clone(), epoch),
            Action::Start { backend, start } => starts.entry(backend).or_default().push(start),
            Action::Stop { task, attempt, backend } => {
                let stop = Stop { task, attempt, checkpoint: true };
                servers::stop(node, id, &backend, stop);
            }
        }
    }
    for (backend, starts) in starts {
        servers::start(node, id, backend, starts);
    }
}

/// Sends pending changes to the backups: one message to each backup, for all
/// cells that it replicates.
pub(crate) fn replicate(node: &Rc<Node>) {
    let time = now();
    let mut batches: BTreeMap<Name, Vec<Sync>> = BTreeMap::new();
    {
        let mut state = node.state.borrow_mut();
        let sync_period = node.settings.timing.lease / 4;
        let ids: Vec<Name> = state.cells.keys().cloned().collect();
        for id in ids {
            let backup = state.cells.get(&id).and_then(|c| c.record.as_ref()?.backup.clone());
            let Some(backup) = backup else { continue };
            if state.syncing.contains(&backup.vm) {
                continue;
            }
            let sync = state.with_cell(&id, time, |cell, world| cell.sync(world, sync_period));
            if let Some(sync) = sync.flatten() {
                batches.entry(backup.vm).or_default().push(sync);
            }
        }
        state.syncing.extend(batches.keys().cloned());
    }
    for (vm, batch) in batches {
        spawn_local(send_batch(Rc::clone(node), vm, batch));
    }
}

async fn send_batch(node: Rc<Node>, vm: Name, batch: Vec<Sync>) {
    let replies: Vec<SyncReply> = match node.link(&vm) {
        None => Vec::new(),
        Some(link) => link.call(Method::Sync, &batch, SYNC_TIMEOUT).await.unwrap_or_default(),
    };
    node.state.borrow_mut().syncing.remove(&vm);
    for reply in &replies {
        let time = now();
        let mut state = node.state.borrow_mut();
        let Some(cell) = state.cells.get_mut(&reply.cell) else { continue };
        cell.on_reply(reply, time);
        let actions = cell.flush(time);
        drop(state);
        perform(&node, &reply.cell, actions);
    }
    if !replies.is_empty() {
        replicate(&node);
    }
}

/// Journals a snapshot of the table of each own cell, before the log lets the
/// earlier records of the cell expire.
fn snapshot(node: &Rc<Node>) {
    let mut state = node.state.borrow_mut();
    let time = now();
    let retained = node.settings.timing.retention / 2;
    let mut records = Vec::new();
    for cell in state.cells.values_mut() {
        if cell.deciding(time.mono) {
            cell.table.forget(time.unix.saturating_sub(retained));
            let table = Box::new(cell.table.clone());
            let (cell, epoch) = (cell.id.clone(), cell.epoch());
            records.push(cell::JournalRecord::Snapshot { cell, epoch, table });
        }
    }
    records.into_iter().for_each(|record| state.journal.push(record));
}
