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

/// Period at which slots are asked for.
const PERIOD: Duration = Duration::from_millis(100);
/// Time within which a primary must answer.
const LIMIT: Duration = Duration::from_millis(500);
/// Period at which a cell is asked whose slots are not needed.
const QUIET_PERIOD: Millis = 1000;
/// Time for which a router that got too little counts as waiting.
const STARVED: Millis = 1000;
/// Slots of a backend server while no document says otherwise.
const DEFAULT_SLOTS: u32 = 8;
/// Slots asked for at most in the other region, so that the narrow link is not
/// flooded.
const FAR_SLOTS: u32 = 8;
/// Pause while a change is being replicated.
const REPLICATE_PAUSE: Duration = Duration::from_millis(2);
/// Most pauses to wait for that.
const REPLICATE_PAUSES: usize = 200;

/// Asks for slots for ever.
pub(crate) fn spawn(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    spawn_local(async move {
        let asking: Rc<std::cell::RefCell<BTreeMap<Name, Millis>>> = Rc::default();
        let mut seq = 0;
        loop {
            for (cell, primary, holds, want) in wants(&node) {
                let idle = want <= holds.iter().map(|h| h.slots).sum();
                let period = if idle { QUIET_PERIOD } else { 0 };
                let ready = asking.borrow().get(&cell).is_none_or(|t| *t + period <= now().mono);
                if !ready {
                    continue;
                }
                asking.borrow_mut().insert(cell.clone(), Millis::MAX - QUIET_PERIOD);
                seq += 1;
                let ask = CreditAsk { cell, router: node.me.clone(), seq, holds, want };
                let (node, asking) = (Rc::clone(&node), Rc::clone(&asking));
                spawn_local(async move {
                    ask_for(&node, &primary, &ask).await;
                    asking.borrow_mut().insert(ask.cell, now().mono);
                });
            }
            sleep(PERIOD).await;
        }
    })
}

/// For each cell worth asking: its primary, what is held and what is wanted.
fn wants(node: &Node) -> Vec<(Name, Peer, Vec<Holding>, u32)> {
    let mut state = node.state.borrow_mut();
    let time = now();
    state.router.note(time.mono);
    let mut cells: BTreeMap<Name, (Tier, Vec<Holding>)> = BTreeMap::new();
    for (id, target) in &state.router.targets.table {
        let entry = cells.entry(target.cell.clone()).or_insert((target.tier, Vec::new()));
        if target.slots > 0 {
            entry.1.push(Holding { backend: id.clone(), slots: target.slots });
        }
    }
    let near = cells.values().filter(|(tier, _)| *tier == Tier::Domain).count();
    let want = state.router.demand.want();
    let held_near = held(&cells, Tier::Domain);
    let held_region = held(&cells, Tier::Region);
    let mut wants = Vec::new();
    for (cell, (tier, _)) in &cells {
        let Some(record) = state.registry.get(cell) else { continue };
        let here = match tier {
            Tier::Domain => want.div_ceil(near.max(1) as u32),
            Tier::Region => want.saturating_sub(held_near),
            Tier::Far => want.saturating_sub(held_near + held_region).min(FAR_SLOTS),
        };
        // While the own domain still hands out slots, others are left alone.
        let needed = *tier == Tier::Domain || state.router.starved(time.mono);
        let here = if needed { here } else { 0 };
        wants.push((cell.clone(), *tier, record.primary.clone(), here));
    }
    let ask = |(cell, tier, primary, want): (Name, Tier, Peer, u32)| {
        let unused = tier != Tier::Domain && want == 0;
        let holds = state.router.holdings(&cell, unused);
        (cell, primary, holds, want)
    };
    wants.into_iter().map(ask).collect()
}

fn held(cells: &BTreeMap<Name, (Tier, Vec<Holding>)>, tier: Tier) -> u32 {
    let of_tier = cells.values().filter(|(t, _)| *t == tier);
    of_tier.flat_map(|(_, holds)| holds).map(|h| h.slots).sum()
}

async fn ask_for(node: &Rc<Node>, primary: &Peer, ask: &CreditAsk) {
    let reply = if *primary == node.me {
        Some(answer(node, ask.clone()).await)
    } else {
        match node.link(&primary.vm) {
            Some(link) => link.call(Method::Credit, ask, LIMIT).await.ok(),
            None => None,
        }
    };
    let Some(CreditReply::Granted(answer)) = reply else { return };
    node.state.borrow_mut().router.on_credit(ask, &answer);
}

/// Answers a router's request for slots of a cell.
pub(crate) async fn answer(node: &Rc<Node>, ask: CreditAsk) -> CreditReply {
    let time = now();
    let index = {
        let mut state = node.state.borrow_mut();
        let key = (ask.cell.clone(), ask.router.clone());
        let newest = state.asked.entry(key).or_default();
        if ask.seq <= *newest {
            return CreditReply::NotPrimary;
        }
        *newest = ask.seq;
        match grant(&mut state, &ask, time) {
            Some(index) => index,
            None => return CreditReply::NotPrimary,
        }
    };
    control::pump(node);
    for _ in 0..REPLICATE_PAUSES {
        match replicated(node, &ask, index) {
            None => return CreditReply::NotPrimary,
            Some(true) => break,
            Some(false) => sleep(REPLICATE_PAUSE).await,
        }
    }
    let mut state = node.state.borrow_mut();
    match state.cells.get(&ask.cell).is_some_and(|cell| cell.reached(index)) {
        true => CreditReply::Granted(summary(&mut state, &ask, now())),
        false => CreditReply::NotPrimary,
    }
}

/// Whether the backup has the changes before `index`; `None` where this process
/// cannot tell any more.
fn replicated(node: &Node, ask: &CreditAsk, index: u64) -> Option<bool> {
    let state = node.state.borrow();
    let cell = state.cells.get(&ask.cell)?;
    let decides = cell.role == Role::Primary && cell.authority(now().mono);
    decides.then(|| cell.reached(index))
}

/// Takes back what the router no longer holds and grants what it wants, as far
/// as there is any. Index of the last change, or `None` without authority.
fn grant(state: &mut State, ask: &CreditAsk, time: Now) -> Option<u64> {
    let slots = slots(state);
    let blocked = blocked(state, ask);
    let live = state.members.live(&ask.cell, time);
    let own = live.contains(&ask.router);
    let cell = state.cells.get_mut(&ask.cell)?;
    if !cell.authority(time.mono) || !cell.is_ready() {
        return None;
    }
    for holding in cell.table.credits.backends(&ask.router) {
        let still = ask.holds.iter().find(|h| h.backend == holding.backend).map_or(0, |h| h.slots);
        if still < holding.slots {
            set(cell, &holding.backend, &ask.router, still, time);
        }
    }
    for holding in &ask.holds {
        // After the loss of both copies, routers say what they hold.
        if cell.table.credits.held(&holding.backend, &ask.router) < holding.slots {
            set(cell, &holding.backend, &ask.router, holding.slots, time);
        }
    }
    if !blocked {
        let usable = cell.servers.values().filter(|s| s.serves(time.unix)).count() as u32;
        let fair = usable * slots / live.len().max(1) as u32;
        let others = live.iter().filter(|r| **r != ask.router);
        let kept = others.map(|r| fair.saturating_sub(cell.table.credits.total(r))).sum();
        match own {
            true => hand_out(cell, &ask.router, ask.want.max(fair), slots, 0, time),
            // Another domain's router gets what the own ones leave.
            false => hand_out(cell, &ask.router, ask.want, slots, kept, time),
        }
        if own && cell.table.credits.total(&ask.router) < ask.want {
            state.starved.insert(ask.cell.clone(), time.mono);
        }
    }
    state.cells.get(&ask.cell).map(Cell::index)
}

fn set(cell: &mut Cell, backend: &Name, router: &Peer, slots: u32, time: Now) {
    let (backend, router) = (backend.clone(), router.clone());
    cell.commit(Op::Grant { backend, router, slots }, time);
}

/// Grants slots one by one, of the server with the most free ones, until only
/// `kept` are free.
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
        set(cell, &backend, router, held + count, time);
    }
}

/// Whether slots may be held that this process has not heard of.
fn blocked(state: &mut State, ask: &CreditAsk) -> bool {
    let Some(unheard) = state.unheard.get_mut(&ask.cell) else { return false };
    unheard.remove(&ask.router.vm);
    if unheard.is_empty() {
        state.unheard.remove(&ask.cell);
        return false;
    }
    true
}

fn slots(state: &State) -> u32 {
    let most = state.config.document.services.iter().map(|s| s.slots).max();
    most.unwrap_or(DEFAULT_SLOTS)
}

fn summary(state: &mut State, ask: &CreditAsk, time: Now) -> CreditAnswer {
    let slots = slots(state);
    let live = state.members.live(&ask.cell, time);
    let own = live.contains(&ask.router);
    let starved = state.starved.get(&ask.cell).is_some_and(|at| time.mono < at + STARVED);
    let Some(cell) = state.cells.get(&ask.cell) else { return CreditAnswer::default() };
    let usable = cell.servers.values().filter(|s| s.serves(time.unix)).count() as u32;
    let fair = if own { usable * slots / live.len().max(1) as u32 } else { 0 };
    let held = cell.table.credits.total(&ask.router);
    let leaving = cell.servers.values().filter(|s| !s.serves(time.unix)).map(|s| s.id.clone());
    CreditAnswer {
        grants: cell.table.credits.backends(&ask.router),
        recall: if starved { held.saturating_sub(fair) } else { 0 },
        leaving: leaving.collect(),
        excess: cell.servers.keys().map(|id| (id.clone(), excess(state, cell, id))).collect(),
    }
}

/// Time that the tasks on a server are expected to add to a request, in percent.
fn excess(state: &State, cell: &Cell, backend: &Name) -> u32 {
    let here = cell.table.tasks.values().filter(|t| t.backend() == Some(backend));
    let sum: f64 = here
        .filter_map(|task| Some((task, cell.table.job(task)?)))
        .map(|(task, job)| {
            let speed = state.speeds.get(&task.id).copied().unwrap_or(100);
            state.learn.excess("service", &job.kind) * speed as f64 / 100.0
        })
        .sum();
    (sum * 100.0) as u32
}
