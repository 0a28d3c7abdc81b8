//! What a listing proves about the attempts of the table.

use base::{Name, Now, Size};
use cell::{Cell, Guards, Job, Op, Peer, Phase, Record, Server, ServerState, Setup, World};
use plat::{Listing, LoadReport, RunState, TaskReport};

const TASK: &str = "j#0";

fn now(time: u64) -> Now {
    Now { mono: time, unix: time }
}

fn size() -> Size {
    Size { cpu: 1, memory: 1, accel: 0 }
}

/// Returns a primary without backup, with one task assigned to server `b`.
fn cell() -> Cell {
    let me = Peer { vm: "e".into(), incarnation: 1 };
    let setup = Setup {
        me: me.clone(),
        lease: 1200,
        outage_lease: 6000,
        task_lease: 4000,
        skew: 100,
        guards: Guards::ALL,
    };
    let mut cell = Cell::open("d.r".into(), setup);
    let addr = ([127, 0, 0, 1], 1).into();
    cell.servers.insert("b".into(), Server::open("b".into(), addr, size()));
    let record = Record { cell: "d.r".into(), epoch: 1, primary: me, backup: None };
    let dead = |_: &Peer| false;
    let world = World { now: now(1000), log: true, dead: &dead, live: &[] };
    cell.on_record(&record, &world);
    cell.rebuilt(1, cell::Table::default());
    let job = Job {
        id: "j".into(),
        team: "t".into(),
        kind: "k".into(),
        class: conf::Class::Normal,
        size: size(),
        work: 1000,
        tasks: 1,
        attempts: 2,
        submitted: 0,
        command: "".into(),
    };
    cell.commit(Op::Submit(job), now(1000));
    let backend = Name::from("b");
    cell.commit(Op::Assign { task: TASK.into(), attempt: 1, backend }, now(1000));
    cell
}

fn listing(reports: &[(RunState, u32)]) -> Listing {
    let report = |(state, attempt): &(RunState, u32)| TaskReport {
        task: TASK.into(),
        attempt: *attempt,
        state: *state,
        kind: "k".into(),
        size: size(),
        checkpoint: 70,
        lease: 0,
    };
    let tasks = reports.iter().map(report).collect();
    Listing { incarnation: 1, leaving: false, tasks, usage: LoadReport::default() }
}

#[derive(Debug, Clone)]
struct Case {
    name: &'static str,
    /// Whether the start has been sent; it becomes void at 1500 ms.
    sent: bool,
    started: bool,
    evicted: bool,
    requested: u64,
    reports: &'static [(RunState, u32)],
    phase: Phase,
    checkpoint: u64,
    stops: usize,
}

#[test]
fn a_listing_settles_what_it_proves_and_no_more() {
    let on = || Name::from("b");
    let base = Case {
        name: "",
        sent: true,
        started: false,
        evicted: false,
        requested: 2000,
        reports: &[],
        phase: Phase::Queued,
        checkpoint: 0,
        stops: 0,
    };
    let cases = [
        Case {
            name: "a start may still be received before its deadline",
            requested: 1400,
            phase: Phase::Assigned(on()),
            ..base.clone()
        },
        Case { name: "a start that is void and not listed never ran", ..base.clone() },
        Case {
            name: "a start that is still queued is not settled",
            sent: false,
            phase: Phase::Assigned(on()),
            ..base.clone()
        },
        Case {
            name: "a lost reply to a start that took effect",
            reports: &[(RunState::Running, 1)],
            phase: Phase::Running(on()),
            ..base.clone()
        },
        Case {
            name: "a running attempt that the server lost is queued",
            started: true,
            ..base.clone()
        },
        Case {
            name: "a listing requested before the start was confirmed proves nothing",
            started: true,
            requested: 1000,
            phase: Phase::Running(on()),
            ..base.clone()
        },
        Case {
            name: "a finished attempt",
            started: true,
            reports: &[(RunState::Finished, 1)],
            phase: Phase::Finished,
            ..base.clone()
        },
        Case {
            name: "a failed attempt with another one left",
            started: true,
            reports: &[(RunState::Failed, 1)],
            phase: Phase::Queued,
            ..base.clone()
        },
        Case {
            name: "an expired lease keeps the checkpoint",
            started: true,
            reports: &[(RunState::Stopped, 1)],
            checkpoint: 70,
            ..base.clone()
        },
        Case {
            name: "a stop that was not confirmed is sent again",
            started: true,
            evicted: true,
            reports: &[(RunState::Running, 1)],
            phase: Phase::Stopping(on()),
            stops: 1,
            ..base.clone()
        },
        Case {
            name: "an attempt that is not in the table is stopped",
            started: true,
            reports: &[(RunState::Running, 1), (RunState::Running, 9)],
            phase: Phase::Running(on()),
            stops: 1,
            ..base.clone()
        },
    ];
    for case in cases {
        let mut cell = cell();
        if case.sent {
            cell.flush(now(1000));
        }
        if case.started {
            cell.commit(Op::Started { task: TASK.into(), attempt: 1 }, now(1100));
        }
        if case.evicted {
            cell.commit(Op::Evict { task: TASK.into(), attempt: 1 }, now(1200));
        }
        let listing = listing(case.reports);
        let settled = cell::settle(&mut cell, &on(), &listing, now(case.requested), now(2100));
        let task = &cell.table.tasks[TASK];
        assert_eq!(task.phase, case.phase, "{}", case.name);
        assert_eq!(task.checkpoint, case.checkpoint, "{}", case.name);
        assert_eq!(settled.stops.len(), case.stops, "{}", case.name);
    }
}

/// Regression test: a primary that resumed after a long freeze took the silence of
/// its servers for the end of their tasks and ran a finished task again.
#[test]
fn a_silent_server_keeps_its_tasks_until_it_is_gone() {
    let mut cell = cell();
    cell.flush(now(1000));
    cell::reap(&mut cell, now(900_000));
    assert_eq!(cell.table.tasks[TASK].phase, Phase::Assigned("b".into()));
    if let Some(server) = cell.servers.get_mut("b") {
        server.state = ServerState::Gone;
    }
    cell::reap(&mut cell, now(900_000));
    assert_eq!(cell.table.tasks[TASK].phase, Phase::Queued);
}
