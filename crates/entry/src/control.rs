use std::{collections::BTreeMap, rc::Rc, time::Duration};

use async_std::task::{JoinHandle, sleep, spawn_local};
use base::{Millis, Name, Now, Size, event, now};
use cell::{Action, Cell, Op, Peer, Role, Sync, SyncReply, reap};
use plat::{Start, Stop, Throttle};
use sched::{Plan, View};
use wire::Method;

use crate::{
    log,
    node::{Node, Noted, State},
    servers,
};

/// Period at which an unchanged cell is looked at again.
const IDLE_PERIOD: Millis = 500;
/// Period at which at most one cell is given to the VM that should have it.
const BALANCE_PERIOD: Millis = 3000;
/// Time for which a primary keeps a cell before it may give it away.
const BALANCE_REST: Millis = 15_000;
/// Time within which a peer must answer.
const SYNC_LIMIT: Duration = Duration::from_millis(400);
/// Period at which records are repeated, as a fraction of their retention.
const REFRESH_PART: Millis = 4;

/// Runs the systems over the tables at each tick, for ever.
pub(crate) fn spawn(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    let period = Duration::from_millis(node.settings.timing.tick);
    spawn_local(async move {
        let mut idle = 0;
        let mut refreshed = now().mono;
        let mut balanced = refreshed;
        loop {
            let time = now();
            if time.mono > balanced + BALANCE_PERIOD {
                balanced = time.mono;
                balance(&node, time);
            }
            let whole = time.mono >= idle + IDLE_PERIOD;
            if whole {
                idle = time.mono;
            }
            tick(&node, time, whole);
            if time.mono > refreshed + node.settings.timing.retention / REFRESH_PART {
                refreshed = time.mono;
                snapshot(&node);
                let node = Rc::clone(&node);
                spawn_local(async move { log::refresh(&node).await });
            }
            sleep(period).await;
        }
    })
}

fn tick(node: &Rc<Node>, time: Now, whole: bool) {
    if node.state.borrow().members.expelled() {
        return;
    }
    let ids: Vec<Name> = node.state.borrow().cells.keys().cloned().collect();
    for id in &ids {
        let mut state = node.state.borrow_mut();
        let actions = state.with_cell(id, time, |cell, world| cell.tick(world));
        if whole || state.dirty.contains(id) {
            state.dirty.remove(id);
            decide(node, &mut state, id, time);
        }
        drop(state);
        perform(node, id, actions.unwrap_or_default());
    }
    if whole {
        node.state.borrow_mut().learn.fade();
    }
    pump(node);
}

/// Resigns from one cell whose backup is a better choice for it than this VM,
/// as after VMs have come and gone.
fn balance(node: &Rc<Node>, time: Now) {
    let mut state = node.state.borrow_mut();
    if state.shutting || !state.log_up(time) || state.entered > 0 {
        return;
    }
    let rested =
        |cell: &&Cell| cell.deciding(time.mono) && time.mono > cell.since.mono + BALANCE_REST;
    let misplaced = |cell: &&Cell| {
        let backup = cell.record.as_ref().and_then(|r| r.backup.as_ref());
        let live = state.members.live(&cell.id, time);
        let place = |peer: &Peer| live.iter().position(|p| p == peer);
        let (Some(backup), Some(mine)) = (backup.and_then(place), place(&node.me)) else {
            return false;
        };
        backup < mine
    };
    let cell = state.cells.values().filter(rested).find(misplaced).map(|c| c.id.clone());
    if let Some(cell) = cell.and_then(|id| state.cells.get_mut(&id)) {
        event!("balance", cell = cell.id, epoch = cell.epoch());
        cell.resign(time.mono);
    }
}

/// Plans for one cell and commits the plan.
fn decide(node: &Rc<Node>, state: &mut State, id: &Name, time: Now) {
    let shutting = state.shutting;
    let Some(cell) = state.cells.get_mut(id) else { return };
    if cell.role != Role::Primary {
        return;
    }
    reap(cell, time);
    drop_routers(state, id, time);
    let elsewhere = teams(state, id);
    let Some(cell) = state.cells.get(id) else { return };
    if !cell.deciding(time.mono) || shutting {
        return;
    }
    let view = View {
        table: &cell.table,
        servers: &cell.servers,
        document: &state.config.document,
        elsewhere: &elsewhere,
        learn: &state.learn,
        speeds: &state.speeds,
        policy: node.mode.policy,
        now: time,
    };
    let plan = sched::plan(&view);
    commit(node, state, id, plan, time);
}

fn commit(node: &Rc<Node>, state: &mut State, id: &Name, plan: Plan, time: Now) {
    for decision in plan.decisions {
        state.decide(Noted {
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
    for (task, reason) in plan.parks {
        cell.commit(Op::Park { task, reason }, time);
    }
    for e in plan.evictions {
        cell.commit(Op::Evict { task: e.task, attempt: e.attempt }, time);
        metrics::counter!("evictions").increment(1);
    }
    for a in plan.assigns {
        cell.commit(Op::Assign { task: a.task, attempt: a.attempt, backend: a.backend }, time);
    }
    for speed in plan.speeds {
        let Some(server) = cell.servers.get(&speed.backend) else { continue };
        let client = node.backend(server.http, servers::CALL_LIMIT);
        let throttle =
            Throttle { task: speed.task, attempt: speed.attempt, percent: speed.percent };
        spawn_local(async move {
            let _ = client.throttle(&throttle).await;
        });
    }
}

/// What teams hold in every cell but this one.
fn teams(state: &State, id: &Name) -> BTreeMap<Name, Size> {
    let mut sums: BTreeMap<Name, Size> = BTreeMap::new();
    let mut add = |team: &Name, size: Size| {
        let sum = sums.entry(team.clone()).or_default();
        *sum = sum.plus(size);
    };
    for (team, size) in state.teams.values().flatten() {
        add(team, *size);
    }
    for (team, size) in own_teams(state, Some(id)) {
        add(&team, size);
    }
    sums
}

/// What teams hold in the cells of which this process is the primary.
pub(crate) fn own_teams(state: &State, but: Option<&Name>) -> BTreeMap<Name, Size> {
    let mut sums: BTreeMap<Name, Size> = BTreeMap::new();
    let mine = |(id, cell): &(&Name, &Cell)| cell.role == Role::Primary && Some(*id) != but;
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

/// Takes slots back from routers that are proven dead.
fn drop_routers(state: &mut State, id: &Name, time: Now) {
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
    if let Some(unheard) = state.unheard.get_mut(id) {
        unheard.retain(|vm| !members.removed(vm, u64::MAX / 2));
    }
}

/// Carries out what a cell calls for.
pub(crate) fn perform(node: &Rc<Node>, id: &Name, actions: Vec<Action>) {
    let mut starts: BTreeMap<Name, Vec<Start>> = BTreeMap::new();
    for action in actions {
        match action {
            Action::Claim(record) => log::claim(node, record),
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

/// Sends what is due to each backup, all cells of a pair in one message.
pub(crate) fn pump(node: &Rc<Node>) {
    let time = now();
    let mut batches: BTreeMap<Name, Vec<Sync>> = BTreeMap::new();
    {
        let mut state = node.state.borrow_mut();
        let every = node.settings.timing.lease / 4;
        let ids: Vec<Name> = state.cells.keys().cloned().collect();
        for id in ids {
            let backup = state.cells.get(&id).and_then(|c| c.record.as_ref()?.backup.clone());
            let Some(backup) = backup else { continue };
            if state.syncing.contains(&backup.vm) {
                continue;
            }
            let sync = state.with_cell(&id, time, |cell, world| cell.sync(world, every));
            if let Some(sync) = sync.flatten() {
                batches.entry(backup.vm).or_default().push(sync);
            }
        }
        state.syncing.extend(batches.keys().cloned());
    }
    for (vm, batch) in batches {
        spawn_local(send(Rc::clone(node), vm, batch));
    }
}

async fn send(node: Rc<Node>, vm: Name, batch: Vec<Sync>) {
    let replies: Vec<SyncReply> = match node.link(&vm) {
        None => Vec::new(),
        Some(link) => link.call(Method::Sync, &batch, SYNC_LIMIT).await.unwrap_or_default(),
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
        pump(&node);
    }
}

/// Writes each own cell's whole table to the log, before what it rests on
/// expires there.
fn snapshot(node: &Rc<Node>) {
    let mut state = node.state.borrow_mut();
    let time = now();
    let kept = node.settings.timing.retention / 2;
    let mut records = Vec::new();
    for cell in state.cells.values_mut() {
        if cell.deciding(time.mono) {
            cell.table.forget(time.unix.saturating_sub(kept));
            let table = Box::new(cell.table.clone());
            let (cell, epoch) = (cell.id.clone(), cell.epoch());
            records.push(cell::JournalRecord::Snapshot { cell, epoch, table });
        }
    }
    records.into_iter().for_each(|record| state.journal.push(record));
}
