//! The leader's side of relays: assigns workers to them, sends them orders and applies their
//! reports.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use async_std::task::{sleep, spawn_local};
use base::{Millis, Name, Now, now};
use elect::{Election, Heartbeat, Vm};
use lead::Command;
use port::{WorkerAddr, WorkerError};
use relay::{Closed, Dispatcher, Helper, Orders, Report, ReportReply, WorkerCommand};
use wire::Method;

use crate::{
    decide::execute,
    msg::PeerRequest,
    state::{Node, Shared},
    workers,
};

/// Interval at which relays are checked and workers assigned to them.
const CHECK_INTERVAL: Millis = 100;
/// Time after a takeover for which workers wait for a relay before the leader polls them.
const RELAY_WAIT: Millis = 400;
/// Longest permission to renew leases that a relay gets.
const MAX_GRANT: Millis = 1_500;
/// Timeout of orders.
const ORDERS_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause between two orders to one relay, so that commands are sent together.
const ORDERS_PAUSE: Duration = Duration::from_millis(4);
/// Share of its configured CPU capacity below which a VM is no longer fit to relay.
const MIN_CAPACITY_SHARE: f64 = 0.4;

/// Hands the commands for workers with a relay to the dispatcher. Returns the others.
pub(crate) fn route(shared: &mut Shared, commands: Vec<Command>) -> Vec<Command> {
    let Some(dispatcher) = &mut shared.dispatcher else { return commands };
    let direct = commands.into_iter().filter_map(|command| {
        let (worker, command) = match command {
            Command::Start(worker, start) => (worker, WorkerCommand::Start(start)),
            Command::Stop(worker, stop) => (worker, WorkerCommand::Stop(stop)),
            Command::Throttle(worker, throttle) => (worker, WorkerCommand::Throttle(throttle)),
            Command::Poll(id) => return (!dispatcher.poll(&id)).then_some(Command::Poll(id)),
            other => return Some(other),
        };
        dispatcher.send(worker, command).map(|(worker, command)| direct(worker, command))
    });
    direct.collect()
}

fn direct(worker: WorkerAddr, command: WorkerCommand) -> Command {
    match command {
        WorkerCommand::Start(start) => Command::Start(worker, start),
        WorkerCommand::Stop(stop) => Command::Stop(worker, stop),
        WorkerCommand::Throttle(throttle) => Command::Throttle(worker, throttle),
    }
}

/// Gives up lost relays, assigns workers to relays, and sends the orders that wait.
pub(crate) fn run(node: &Rc<Node>, time: Now) {
    let Some(epoch) = node.shared.borrow().lead.as_ref().map(|lead| lead.epoch) else { return };
    let due = time.mono >= node.shared.borrow().relays_checked + CHECK_INTERVAL;
    if due {
        node.shared.borrow_mut().relays_checked = time.mono;
        for closed in close_sessions(node, time.mono) {
            on_closed(node, epoch, closed);
        }
        for id in assign_workers(node, time.mono) {
            workers::spawn_poller(node, epoch, id);
        }
    }
    update_workers(&mut node.shared.borrow_mut());
    send_orders(node, epoch);
}

/// Closes the sessions with relays that are silent or no longer fit.
fn close_sessions(node: &Node, now: Millis) -> Vec<Closed> {
    let mut shared = node.shared.borrow_mut();
    let Shared { election, dispatcher: Some(dispatcher), .. } = &mut *shared else {
        return Vec::new();
    };
    let helpers = helpers(election, dispatcher, now);
    let unfit = |vm: &Name| helpers.iter().all(|helper| helper.vm != *vm || !helper.fit);
    let silent = dispatcher.silent(now).into_iter().map(|id| (id, "silent"));
    let unfit = dispatcher.sessions_of(unfit).into_iter().map(|id| (id, "unfit"));
    let sessions: BTreeMap<u64, &str> = unfit.chain(silent).collect();
    sessions.into_iter().map(|(id, why)| dispatcher.close(id, None, why)).collect()
}

/// Assigns the workers without a relay, if the deployment is large enough. Returns those that
/// the leader polls itself.
fn assign_workers(node: &Node, now: Millis) -> Vec<Name> {
    let mut shared = node.shared.borrow_mut();
    let Shared { election, lead: Some(lead), dispatcher: Some(dispatcher), .. } = &mut *shared
    else {
        return Vec::new();
    };
    let uses_relays = lead.workers.len() > node.settings.direct_workers;
    if uses_relays {
        let without = lead.workers.iter().filter(|(id, _)| !dispatcher.is_assigned(id));
        let unassigned: Vec<(Name, Name)> =
            without.map(|(id, worker)| (id.clone(), worker.info.domain.clone())).collect();
        for (vm, workers) in relay::assign(&unassigned, &helpers(election, dispatcher, now)) {
            let states = workers.iter().filter_map(|id| lead.relayed_worker(id, now)).collect();
            dispatcher.assign(&vm, states, now);
        }
    }
    // After a takeover, the other VMs are not known yet.
    if uses_relays && election.tenure(now) < RELAY_WAIT {
        return Vec::new();
    }
    lead.workers.keys().filter(|id| !dispatcher.is_assigned(id)).cloned().collect()
}

/// Returns the VMs that may become relays.
fn helpers(election: &Election, dispatcher: &Dispatcher, now: Millis) -> Vec<Helper> {
    let helper = |heartbeat: &Heartbeat| {
        let (capacity, configured) = (heartbeat.cpu_capacity, heartbeat.from.cpu_capacity);
        Helper {
            vm: heartbeat.from.name.clone(),
            domain: heartbeat.from.domain.clone(),
            capacity,
            workers: dispatcher.load(&heartbeat.from.name),
            fit: f64::from(capacity) >= MIN_CAPACITY_SHARE * f64::from(configured),
        }
    };
    election.helpers(now).into_iter().map(helper).collect()
}

/// Tells the dispatcher what has changed about the workers with a relay.
fn update_workers(shared: &mut Shared) {
    let (Some(lead), Some(dispatcher)) = (&mut shared.lead, &mut shared.dispatcher) else { return };
    for (id, state) in lead.take_touched(now().mono) {
        match state {
            Some(worker) => dispatcher.update(worker),
            None => dispatcher.release(&id),
        }
    }
}

/// Sends the orders that wait, one after the other to each relay.
fn send_orders(node: &Rc<Node>, epoch: u64) {
    let ready = node.shared.borrow().dispatcher.as_ref().map(|d| d.ready()).unwrap_or_default();
    for session in ready {
        let node = Rc::clone(node);
        let first = take_orders(&node, epoch, session);
        spawn_local(async move {
            let mut next = first;
            while let Some((vm, orders)) = next {
                if !deliver(&node, epoch, &vm, orders).await {
                    return;
                }
                sleep(ORDERS_PAUSE).await;
                next = take_orders(&node, epoch, session);
            }
        });
    }
}

fn take_orders(node: &Node, epoch: u64, session: u64) -> Option<(Vm, Orders)> {
    let mut shared = node.shared.borrow_mut();
    shared.lead_in(epoch)?;
    let (name, orders) = shared.dispatcher.as_mut()?.take_orders(session)?;
    // Only VMs that have sent a heartbeat become relays.
    let vm = shared.election.vm(&name)?;
    Some((vm, orders))
}

/// Sends orders to a relay; closes the session and returns `false` if that fails.
async fn deliver(node: &Rc<Node>, epoch: u64, vm: &Vm, orders: Orders) -> bool {
    let request = PeerRequest::Orders(orders);
    let result = node.link(vm).call::<_, bool>(Method::Work, &request, ORDERS_TIMEOUT).await;
    let PeerRequest::Orders(orders) = request else { return false };
    let (undelivered, why) = match result {
        Ok(true) => return true,
        Ok(false) => (Some(&orders), "refused".to_owned()),
        Err(e) if e.is_unsent() => (Some(&orders), e.to_string()),
        Err(e) => (None, e.to_string()),
    };
    let closed = {
        let mut shared = node.shared.borrow_mut();
        if shared.lead_in(epoch).is_none() {
            return false;
        }
        shared.dispatcher.as_mut().map(|d| d.close(orders.session, undelivered, &why))
    };
    if let Some(closed) = closed {
        on_closed(node, epoch, closed);
    }
    false
}

/// Applies the end of a session: the leader polls its workers itself from now on.
fn on_closed(node: &Rc<Node>, epoch: u64, closed: Closed) {
    let time = now();
    {
        let mut shared = node.shared.borrow_mut();
        let Some(lead) = shared.lead_in(epoch) else { return };
        for id in &closed.workers {
            lead.on_relay_closed(id, closed.granted_until, time);
        }
        for (worker, command) in closed.in_doubt {
            let lost = Err(WorkerError::InDoubt("the relay was lost".to_owned()));
            lead.on_command_reply(&worker, &command, lost, time);
        }
    }
    for (worker, command) in closed.unsent {
        spawn_local(execute(Rc::clone(node), epoch, direct(worker, command)));
    }
    for id in closed.workers {
        workers::spawn_poller(node, epoch, id);
    }
}

/// Handles a report of a relay.
pub(crate) fn on_report(node: &Rc<Node>, report: Report) -> ReportReply {
    let time = now();
    let reply = {
        let mut shared = node.shared.borrow_mut();
        let valid_for = match shared.may_decide(time.mono) {
            true => shared.election.decides_until().saturating_sub(time.mono),
            false => 0,
        };
        let Shared { lead, dispatcher, .. } = &mut *shared;
        let (Some(lead), Some(dispatcher)) = (lead, dispatcher) else { return ReportReply::Closed };
        let (received, reply) = dispatcher.on_report(report, valid_for.min(MAX_GRANT), time.mono);
        lead.on_report(received, time);
        reply
    };
    node.decide_wakeup.notify();
    reply
}
