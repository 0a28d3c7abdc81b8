use std::{collections::BTreeMap, rc::Rc, time::Duration};

use async_std::task::{JoinHandle, sleep, spawn_local};
use base::{Name, Size, now};
use plat::Kind;
use wire::{
    Method,
    msg::{Beat, BeatReply},
};

use crate::{control, node::Node};

/// Period of heartbeats within the failure domain.
const PERIOD: Duration = Duration::from_millis(300);
/// Heartbeats within the domain for one to other domains.
const FAR_EVERY: u64 = 7;
/// Teams told of in a heartbeat, on average.
const TEAMS_EACH: u64 = 12;
/// Time within which a heartbeat must be answered.
const LIMIT: Duration = Duration::from_millis(800);

/// Sends heartbeats for ever.
pub(crate) fn spawn(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    spawn_local(async move {
        for round in 0_u64.. {
            let teams = control::own_teams(&node.state.borrow(), None);
            for (vm, own) in peers(&node) {
                let turn = if own { 1 } else { FAR_EVERY };
                if round % turn == 0 {
                    let told = round / turn % turns(&teams) == 0;
                    let teams = told.then(|| teams.clone());
                    spawn_local(beat(Rc::clone(&node), vm, teams));
                }
            }
            sleep(PERIOD).await;
        }
    })
}

/// Heartbeats for one that tells what teams hold: the more teams, the fewer.
fn turns(teams: &BTreeMap<Name, Size>) -> u64 {
    1 + teams.len() as u64 / TEAMS_EACH
}

/// Other entry VMs, with whether they are in the own failure domain.
fn peers(node: &Node) -> Vec<(Name, bool)> {
    let state = node.state.borrow();
    let others = state.members.vms(Kind::Entry).filter(|vm| vm.id != node.me.vm);
    others.map(|vm| (vm.id.clone(), vm.domain == node.settings.domain)).collect()
}

async fn beat(node: Rc<Node>, vm: Name, teams: Option<BTreeMap<Name, Size>>) {
    let Some(link) = node.link(&vm) else { return };
    let message = message(&node, &vm, teams);
    let Ok(reply) = link.call::<_, BeatReply>(Method::Beat, &message, LIMIT).await else {
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
        state.versions.insert(vm, (reply.version, now().unix));
        (state.caught_up && reply.version < state.config.version).then(|| state.config.clone())
    };
    if let Some(config) = config {
        let _: wire::Result<u64> = link.call(Method::Config, &config, LIMIT).await;
    }
}

fn message(node: &Node, vm: &Name, teams: Option<BTreeMap<Name, Size>>) -> Beat {
    let state = node.state.borrow();
    Beat {
        from: node.me.clone(),
        to: vm.clone(),
        version: state.config.version,
        teams,
        leaving: state.shutting,
        gone: state.members.gone().cloned().collect(),
    }
}

/// Answers a heartbeat; one that means another VM gets no answer.
pub(crate) fn answer(node: &Rc<Node>, beat: Beat) -> Option<BeatReply> {
    if beat.to != node.me.vm {
        return None;
    }
    let mut state = node.state.borrow_mut();
    state.members.on_beat(&beat.from, beat.leaving, now());
    state.members.learn_gone(&beat.gone);
    state.versions.insert(beat.from.vm.clone(), (beat.version, now().unix));
    if let Some(teams) = beat.teams {
        state.teams.insert(beat.from.vm, teams);
    }
    let version = if state.caught_up { state.config.version } else { 0 };
    let gone = state.members.gone().cloned().collect();
    Some(BeatReply { from: node.me.clone(), version, leaving: state.shutting, gone })
}
