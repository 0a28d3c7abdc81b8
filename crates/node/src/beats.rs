use std::{rc::Rc, time::Duration};

use async_std::task::{JoinHandle, sleep, spawn_local};
use base::{Millis, Now, event, now};
use elect::{Beat, Purpose};

use crate::{claim, manifest, state::Node, tell::send};

/// Period of the ticker.
const TICK: Duration = Duration::from_millis(50);
/// Period of a leader's heartbeats.
const LEADER_PERIOD: Millis = 150;
/// Period of heartbeats to the leader.
const FOLLOWER_PERIOD: Millis = 400;
/// Period of heartbeats to the others.
const OTHERS_PERIOD: Millis = 1_000;
/// Time without the store after which a leader hands over to a VM that has it.
const STORE_AWAY: Millis = 400;
/// Pause between two orders to take over.
const SUMMON_PERIOD: Millis = 200;
/// Gap between two ticks from which the process counts as having been stopped.
const STOPPED_GAP: Millis = 1_000;
/// Weight of a tick's lateness in the smoothed one.
const LAG_WEIGHT: f64 = 0.1;
/// Smoothed lateness of ticks, in milliseconds, from which a process is told to lag.
const LAGGING: f64 = 40.0;
/// Time between two lines about it.
const LAG_PERIOD: Millis = 500;
/// Bytes of a datagram.
const DATAGRAM: usize = 16 * 1024;

/// Receives heartbeats for ever.
pub(crate) fn spawn_receiver(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    spawn_local(async move {
        let mut buffer = vec![0; DATAGRAM];
        loop {
            let Ok((length, _)) = node.socket.recv_from(&mut buffer).await else {
                sleep(TICK).await;
                continue;
            };
            match postcard::from_bytes::<Beat>(&buffer[..length]) {
                Ok(beat) => receive(&node, beat).await,
                Err(e) => log::warn!("event=datagram_skipped reason={e:?}"),
            }
        }
    })
}

async fn receive(node: &Rc<Node>, beat: Beat) {
    let time = now();
    let from = beat.from.clone();
    let (purpose, epoch, leader) = (beat.purpose, beat.epoch, beat.leader.clone());
    let answer = {
        let mut shared = node.shared.borrow_mut();
        let before = shared.elect.epoch();
        shared.elect.on_beat(beat, time.mono);
        let own = shared.lead.as_ref().map(|lead| lead.epoch);
        if own == Some(epoch) && leader.is_some_and(|vm| vm == node.me) {
            shared.authority = time.mono;
        }
        if epoch > before {
            event!("leader_heard", epoch = epoch, from = from.name);
        }
        (purpose == Purpose::Ask).then(|| shared.elect.beat(Purpose::Tell, time.mono))
    };
    let deposed = node.shared.borrow().lead.as_ref().is_some_and(|lead| lead.epoch < epoch);
    if deposed {
        node.depose(&format!("{} knows epoch {epoch}", from.name));
    }
    if let Some(answer) = answer {
        send(node, &from, &answer).await;
    }
    manifest::fetch(node);
    if purpose == Purpose::TakeOver {
        claim::consider(node);
    }
}

#[derive(Debug, Default)]
struct Times {
    beat: Millis,
    others: Millis,
    summon: Millis,
    before: Millis,
    /// Smoothed lateness of ticks, in milliseconds.
    lag: f64,
    /// When it was last told of.
    lagged: Millis,
}

/// Sends heartbeats and looks whether to claim, for ever.
pub(crate) fn spawn_ticker(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    spawn_local(async move {
        let mut times = Times::default();
        loop {
            tick(&node, &mut times, now()).await;
            sleep(TICK).await;
        }
    })
}

async fn tick(node: &Rc<Node>, times: &mut Times, now: Now) {
    if times.before > 0 && now.mono > times.before + STOPPED_GAP {
        event!("stopped_gap", ms = now.mono - times.before);
        node.shared.borrow_mut().authority = 0;
    }
    let late = now.mono.saturating_sub(times.before + TICK.as_millis() as Millis);
    if times.before > 0 {
        times.lag += LAG_WEIGHT * (late as f64 - times.lag);
    }
    node.shared.borrow_mut().elect.lag = times.lag as u32;
    if times.lag > LAGGING && now.mono >= times.lagged + LAG_PERIOD {
        times.lagged = now.mono;
        event!("lagging", ms = times.lag as Millis, leads = node.shared.borrow().lead.is_some());
    }
    times.before = now.mono;
    let alone = {
        let mut shared = node.shared.borrow_mut();
        let alone = shared.lead.is_some() && shared.elect.targets(now.mono).is_empty();
        if alone {
            shared.authority = now.mono;
        }
        alone
    };
    if !alone {
        summon(node, times, now).await;
    }
    tell(node, times, now).await;
    manifest::fetch(node);
    claim::consider(node);
}

/// Makes another VM take over where this leader cannot go on.
async fn summon(node: &Rc<Node>, times: &mut Times, now: Now) {
    let order = {
        let shared = node.shared.borrow();
        let away = shared.away > 0 && now.mono > shared.away + STORE_AWAY;
        let unfit = away || shared.elect.leaving || shared.elect.outpaced(now.mono);
        let wanted = shared.lead.is_some() && unfit;
        if !wanted || now.mono < times.summon + SUMMON_PERIOD {
            return;
        }
        let beat = shared.elect.beat(Purpose::TakeOver, now.mono);
        shared.elect.successor(now.mono).map(|vm| (vm, beat))
    };
    times.summon = now.mono;
    if let Some((vm, beat)) = order {
        event!("hand_over", epoch = beat.epoch, to = vm.name);
        send(node, &vm, &beat).await;
    }
}

async fn tell(node: &Rc<Node>, times: &mut Times, now: Now) {
    let (beat, targets) = {
        let mut shared = node.shared.borrow_mut();
        let ask = shared.elect.should_ask(now.mono);
        let purpose = if ask { Purpose::Ask } else { Purpose::Tell };
        let beat = shared.elect.beat(purpose, now.mono);
        let all = ask || now.mono >= times.others + OTHERS_PERIOD;
        let period = if beat.leading { LEADER_PERIOD } else { FOLLOWER_PERIOD };
        let due = now.mono >= times.beat + period;
        if !all && !due {
            return;
        }
        times.beat = now.mono;
        let everybody = all || beat.leading;
        if all {
            times.others = now.mono;
        }
        let leader = beat.leader.as_ref().map(|vm| vm.name.clone());
        let mut targets = shared.elect.targets(now.mono);
        targets.retain(|vm| everybody || Some(&vm.name) == leader.as_ref());
        (beat, targets)
    };
    for vm in targets {
        send(node, &vm, &beat).await;
    }
}
