//! Slots of backend servers: requested as a router, granted as the primary of a
//! cell.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use async_std::task::{JoinHandle, sleep, spawn_local};
use base::{Millis, Name, Now, now};
use cell::{Cell, CreditAnswer, CreditAsk, Holding, Op, Peer, Role};
use route::Tier;
use wire::{Method, msg::CreditReply};

use crate::{
    control,
    node::{Node, State},
};

/// Period at which slots are requested.
const PERIOD: Duration = Duration::from_millis(100);
/// Timeout for the reply of a primary.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Period in ms of requests to a cell from which no further slots are needed.
const IDLE_PERIOD: Millis = 1000;
/// Time in ms for which a cell counts as short of slots after a router got too few.
const SHORTAGE_PERIOD: Millis = 1000;
/// Slots of a backend server while the document lists no service.
const DEFAULT_SLOTS: u32 = 8;
/// Maximum number of slots requested from a cell of another region, which bounds
/// the load on the link between regions.
const MAX_FAR_SLOTS: u32 = 8;
/// Pause between two checks whether a change has been replicated.
const REPLICATE_PAUSE: Duration = Duration::from_millis(2);
/// Maximum number of these pauses.
const MAX_REPLICATE_PAUSES: usize = 200;

/// Spawns the loop that requests slots from the primaries of cells.
pub(crate) fn spawn(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    spawn_local(async move {
        let last_requests: Rc<std::cell::RefCell<BTreeMap<Name, Millis>>> = Rc::default();
        let mut seq = 0;
        loop {
            for (cell, primary, holds, want) in slot_requests(&node) {
                let idle = want <= holds.iter().map(|h| h.slots).sum();
                let period = if idle { IDLE_PERIOD } else { 0 };
                let ready =
                    last_requests.borrow().get(&cell).is_none_or(|t| *t + period <= now().mono);
                if !ready {
                    continue;
                }
                last_requests.borrow_mut().insert(cell.clone(), Millis::MAX - IDLE_PERIOD);
                seq += 1;
                let request = CreditAsk { cell, router: node.me.clone(), seq, holds, want };
                let (node, last_requests) = (Rc::clone(&node), Rc::clone(&last_requests));
                spawn_local(async move {
                    request_slots(&node, &primary, &request).await;
                    last_requests.borrow_mut().insert(request.cell, now().mono);
                });
            }
            sleep(PERIOD).await;
        }
    })
}

/// Returns, for each cell to ask, its primary, the slots held and the number of
/// slots wanted.
fn slot_requests(node: &Node) -> Vec<(Name, Peer, Vec<Holding>, u32)> {
    let mut state = node.state.borrow_mut();
    let time = now();
    state.router.record_demand(time.mono);
    let mut cells: BTreeMap<Name, (Tier, Vec<Holding>)> = BTreeMap::new();
    for (id, target) in &state.router.targets.by_id {
        let entry = cells.entry(target.cell.clone()).or_insert((target.tier, Vec::new()));
        if target.slots > 0 {
            entry.1.push(Holding { backend: id.clone(), slots: target.slots });
        }
    }
    let near = cells.values().filter(|(tier, _)| *tier == Tier::Domain).count();
    let want = state.router.demand.slots_needed();
    let held_near = held(&cells, Tier::Domain);
    let held_region = held(&cells, Tier::Region);
    let mut wants = Vec::new();
    for (cell, (tier, _)) in &cells {
        let Some(record) = state.registry.get(cell) else { continue };
        let wanted = match tier {
            Tier::Domain => want.div_ceil(near.max(1) as u32),
            Tier::Region => want.saturating_sub(held_near),
            Tier::Far => want.saturating_sub(held_near + held_region).min(MAX_FAR_SLOTS),
        };
        // Slots of other domains are requested only while the own domain has
        // too few.
        let needed = *tier == Tier::Domain || state.router.starved(time.mono);
        let wanted = if needed { wanted } else { 0 };
        wants.push((cell.clone(), *tier, record.primary.clone(), wanted));
    }
    let request = |(cell, tier, primary, want): (Name, Tier, Peer, u32)| {
        let unused = tier != Tier::Domain && want == 0;
        let holds = state.router.holdings(&cell, unused);
        (cell, primary, holds, want)
    };
    wants.into_iter().map(request).collect()
}

fn held(cells: &BTreeMap<Name, (Tier, Vec<Holding>)>, tier: Tier) -> u32 {
    let of_tier = cells.values().filter(|(t, _)| *t == tier);
    of_tier.flat_map(|(_, holds)| holds).map(|h| h.slots).sum()
}

async fn request_slots(node: &Rc<Node>, primary: &Peer, request: &CreditAsk) {
    let reply = if *primary == node.me {
        Some(handle(node, request.clone()).await)
    } else {
        match node.link(&primary.vm) {
            Some(link) => link.call(Method::Credit, request, REPLY_TIMEOUT).await.ok(),
            None => None,
        }
    };
    let Some(CreditReply::Granted(granted)) = reply else { return };
    node.state.borrow_mut().router.on_credit(request, &granted);
}

/// Handles a router's request for slots of a cell.
pub(crate) async fn handle(node: &Rc<Node>, request: CreditAsk) -> CreditReply {
    let time = now();
    let index = {
        let mut state = node.state.borrow_mut();
        let key = (request.cell.clone(), request.router.clone());
        let newest = state.credit_seqs.entry(key).or_default();
        if request.seq <= *newest {
            return CreditReply::NotPrimary;
        }
        *newest = request.seq;
        match grant(&mut state, &request, time) {
            Some(index) => index,
            None => return CreditReply::NotPrimary,
        }
    };
    control::replicate(node);
    for _ in 0..MAX_REPLICATE_PAUSES {
        match replicated(node, &request, index) {
            None => return CreditReply::NotPrimary,
            Some(true) => break,
            Some(false) => sleep(REPLICATE_PAUSE).await,
        }
    }
    let mut state = node.state.borrow_mut();
    match state.cells.get(&request.cell).is_some_and(|cell| cell.reached(index)) {
        true => CreditReply::Granted(credit_reply(&mut state, &request, now())),
        false => CreditReply::NotPrimary,
    }
}

/// Returns whether the backup has the changes before `index`, or `None` if this
/// process no longer owns the cell.
fn replicated(node: &Node, request: &CreditAsk, index: u64) -> Option<bool> {
    let state = node.state.borrow();
    let cell = state.cells.get(&request.cell)?;
    let decides = cell.role == Role::Primary && cell.authority(now().mono);
    decides.then(|| cell.reached(index))
}

/// Records slots that the router has released and grants those that it wants, as
/// far as slots are free. Returns the index of the last change, or `None` if this
/// process has no authority over the cell.
fn grant(state: &mut State, request: &CreditAsk, time: Now) -> Option<u64> {
    let slots = slots_per_server(state);
    let blocked = blocked(state, request);
    let live = state.members.live(&request.cell, time);
    let own = live.contains(&request.router);
    let cell = state.cells.get_mut(&request.cell)?;
    if !cell.authority(time.mono) || !cell.is_ready() {
        return None;
    }
    for holding in cell.table.credits.backends(&request.router) {
        let reported =
            request.holds.iter().find(|h| h.backend == holding.backend).map_or(0, |h| h.slots);
        if reported < holding.slots {
            set_slots(cell, &holding.backend, &request.router, reported, time);
        }
    }
    for holding in &request.holds {
        // After the loss of both replicas of a cell, its grants are restored
        // from the reports of the routers.
        if cell.table.credits.held(&holding.backend, &request.router) < holding.slots {
            set_slots(cell, &holding.backend, &request.router, holding.slots, time);
        }
    }
    if !blocked {
        let usable = cell.servers.values().filter(|s| s.serves(time.unix)).count() as u32;
        let fair = usable * slots / live.len().max(1) as u32;
        let others = live.iter().filter(|r| **r != request.router);
        let kept = others.map(|r| fair.saturating_sub(cell.table.credits.total(r))).sum();
        match own {
            true => hand_out(cell, &request.router, request.want.max(fair), slots, 0, time),
            // Routers of other domains get what is left after the fair shares
            // of the own ones.
            false => hand_out(cell, &request.router, request.want, slots, kept, time),
        }
        if own && cell.table.credits.total(&request.router) < request.want {
            state.starved.insert(request.cell.clone(), time.mono);
        }
    }
    state.cells.get(&request.cell).map(Cell::index)
}

fn set_slots(cell: &mut Cell, backend: &Name, router: &Peer, slots: u32, time: Now) {
    let (backend, router) = (backend.clone(), router.clone());
    cell.commit(Op::Grant { backend, router, slots }, time);
}

/// Grants slots one by one, each from the server with the most free slots, until
/// the router has `want` or only `kept` are free.
fn hand_out(cell: &mut Cell, router: &Peer, want: u32, slots: u32, kept: u32, time: Now) {
    let mut free: BTreeMap<Name, u32> = BTreeMap::new();
    for server in cell.servers.values().filter(|s| s.serves(time.unix)) {
        let left = slots.saturating_sub(cell.table.credits.used(&server.id));
        free.insert(server.id.clone(), left);
    }
    let spare = free.values().sum::<u32>().saturating_sub(kept);
    let mut more = want.saturating_sub(cell.table.credits.total(router)).min(spare);
    let mut given: BTreeMap<Name, u32> = BTreeMap::new();
    while more > 0 {
        let open = free.iter_mut().filter(|(_, left)| **left > 0);
        let most =
            open.max_by_key(|(id, left)| (**left, std::cmp::Reverse(given.get(*id).copied())));
        let Some((id, left)) = most else { break };
        *left -= 1;
        *given.entry(id.clone()).or_default() += 1;
        more -= 1;
    }
    for (backend, count) in given {
        let held = cell.table.credits.held(&backend, router);
        set_slots(cell, &backend, router, held + count, time);
    }
}

/// Returns whether routers may hold slots that they have not reported to this
/// process yet. Nothing is granted until they have.
fn blocked(state: &mut State, request: &CreditAsk) -> bool {
    let Some(unreported) = state.unreported.get_mut(&request.cell) else { return false };
    unreported.remove(&request.router.vm);
    if unreported.is_empty() {
        state.unreported.remove(&request.cell);
        return false;
    }
    true
}

fn slots_per_server(state: &State) -> u32 {
    let most = state.config.document.services.iter().map(|s| s.slots).max();
    most.unwrap_or(DEFAULT_SLOTS)
}

fn credit_reply(state: &mut State, request: &CreditAsk, time: Now) -> CreditAnswer {
    let slots = slots_per_server(state);
    let live = state.members.live(&request.cell, time);
    let own = live.contains(&request.router);
    let starved =
        state.starved.get(&request.cell).is_some_and(|at| time.mono < at + SHORTAGE_PERIOD);
    let Some(cell) = state.cells.get(&request.cell) else { return CreditAnswer::default() };
    let usable = cell.servers.values().filter(|s| s.serves(time.unix)).count() as u32;
    let fair = if own { usable * slots / live.len().max(1) as u32 } else { 0 };
    let held = cell.table.credits.total(&request.router);
    let leaving = cell.servers.values().filter(|s| !s.serves(time.unix)).map(|s| s.id.clone());
    CreditAnswer {
        grants: cell.table.credits.backends(&request.router),
        recall: if starved { held.saturating_sub(fair) } else { 0 },
        leaving: leaving.collect(),
        excess: cell.servers.keys().map(|id| (id.clone(), excess(state, cell, id))).collect(),
    }
}

/// Returns the time that the tasks on a server are expected to add to a request,
/// in percent of its time on an idle server.
fn excess(state: &State, cell: &Cell, backend: &Name) -> u32 {
    let here = cell.table.tasks.values().filter(|t| t.backend() == Some(backend));
    let sum: f64 = here
        .filter_map(|task| Some((task, cell.table.job(task)?)))
        .map(|(task, job)| {
            let speed = state.speeds.get(&task.id).copied().unwrap_or(100);
            state.estimates.excess("service", &job.kind) * speed as f64 / 100.0
        })
        .sum();
    (sum * 100.0) as u32
}
