//! Heartbeats between entry VMs. They carry liveness, the version of the
//! configuration and the resources that teams use.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use async_std::task::{JoinHandle, sleep, spawn_local};
use base::{Name, Size, now};
use plat::Kind;
use wire::{
    Method,
    msg::{Beat, BeatReply},
};

use crate::{control, node::Node};

/// Period of heartbeats to entry VMs of the same failure domain.
const PERIOD: Duration = Duration::from_millis(300);
/// Periods between two heartbeats to a VM of another failure domain.
const REMOTE_INTERVAL: u64 = 7;
/// Teams reported per heartbeat on average, which bounds the size of heartbeats.
const TEAMS_PER_HEARTBEAT: u64 = 12;
/// Timeout for the reply to a heartbeat.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);

/// Spawns the loop that sends heartbeats.
pub(crate) fn spawn(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    spawn_local(async move {
        for round in 0_u64.. {
            let teams = control::own_team_usage(&node.state.borrow(), None);
            for (vm, local) in peers(&node) {
                let interval = if local { 1 } else { REMOTE_INTERVAL };
                if round % interval == 0 {
                    let with_usage = round / interval % usage_interval(&teams) == 0;
                    let teams = with_usage.then(|| teams.clone());
                    spawn_local(send_heartbeat(Rc::clone(&node), vm, teams));
                }
            }
            sleep(PERIOD).await;
        }
    })
}

/// Returns how many heartbeats are sent for one that reports the usage of
/// teams. It grows with the number of teams.
fn usage_interval(teams: &BTreeMap<Name, Size>) -> u64 {
    1 + teams.len() as u64 / TEAMS_PER_HEARTBEAT
}

/// Lists the other entry VMs and whether each is in the own failure domain.
fn peers(node: &Node) -> Vec<(Name, bool)> {
    let state = node.state.borrow();
    let others = state.members.vms(Kind::Entry).filter(|vm| vm.id != node.me.vm);
    others.map(|vm| (vm.id.clone(), vm.domain == node.settings.domain)).collect()
}

async fn send_heartbeat(node: Rc<Node>, vm: Name, teams: Option<BTreeMap<Name, Size>>) {
    let Some(link) = node.link(&vm) else { return };
    let message = message(&node, &vm, teams);
    let Ok(reply) = link.call::<_, BeatReply>(Method::Beat, &message, REPLY_TIMEOUT).await else {
        metrics::counter!("beats_lost").increment(1);
        return;
    };
    if reply.from.vm != vm {
        return;
    }
    let config = {
        let mut state = node.state.borrow_mut();
        state.members.on_beat(&reply.from, reply.leaving, now());
        state.members.learn_gone(&reply.gone);
        state.peer_versions.insert(vm, (reply.version, now().unix));
        (state.caught_up && reply.version < state.config.version).then(|| state.config.clone())
    };
    if let Some(config) = config {
        let _: wire::Result<u64> = link.call(Method::Config, &config, REPLY_TIMEOUT).await;
    }
}

fn message(node: &Node, vm: &Name, teams: Option<BTreeMap<Name, Size>>) -> Beat {
    let state = node.state.borrow();
    Beat {
        from: node.me.clone(),
        to: vm.clone(),
        version: state.config.version,
        teams,
        leaving: state.shutting_down,
        gone: state.members.gone().cloned().collect(),
    }
}

/// Handles a heartbeat. Returns `None` if it is addressed to another VM.
pub(crate) fn handle(node: &Rc<Node>, heartbeat: Beat) -> Option<BeatReply> {
    if heartbeat.to != node.me.vm {
        return None;
    }
    let mut state = node.state.borrow_mut();
    state.members.on_beat(&heartbeat.from, heartbeat.leaving, now());
    state.members.learn_gone(&heartbeat.gone);
    state.peer_versions.insert(heartbeat.from.vm.clone(), (heartbeat.version, now().unix));
    if let Some(teams) = heartbeat.teams {
        state.peer_usage.insert(heartbeat.from.vm, teams);
    }
    let version = if state.caught_up { state.config.version } else { 0 };
    let gone = state.members.gone().cloned().collect();
    Some(BeatReply { from: node.me.clone(), version, leaving: state.shutting_down, gone })
}
