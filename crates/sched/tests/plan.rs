//! Decisions about batch work, by a table of cases.

use std::collections::BTreeMap;

use base::{Name, Now, Size};
use cell::{Job, Op, Server, Table};
use conf::{Class, Document, Team};
use sched::{Learn, Plan, Policy, View, plan};

const NOW: Now = Now { mono: 10_000, unix: 10_000 };

/// A job of one kind, named like its team.
#[derive(Clone, Copy)]
struct Work {
    team: &'static str,
    tasks: u32,
    cpu: u64,
    class: Class,
    submitted: u64,
    /// Tasks that run already, on server `a`.
    running: u32,
    accepted: bool,
}

const WORK: Work = Work {
    team: "t",
    tasks: 1,
    cpu: 2,
    class: Class::Normal,
    submitted: 0,
    running: 0,
    accepted: true,
};

/// A server with 8 processors.
#[derive(Clone, Copy)]
struct At {
    id: &'static str,
    until: Option<u64>,
    leaving: bool,
    shunned: bool,
    listed: bool,
}

const A: At = At { id: "a", until: None, leaving: false, shunned: false, listed: true };
const B: At = At { id: "b", ..A };

struct Case {
    name: &'static str,
    work: &'static [Work],
    servers: &'static [At],
    /// Expected starts, `JOB#TASK on SERVER`.
    starts: &'static [&'static str],
    parked: usize,
    evicted: usize,
}

fn size(cpu: u64) -> Size {
    Size { cpu, memory: 1, accel: 0 }
}

fn decide(case: &Case) -> Plan {
    let mut table = Table::default();
    for (i, work) in case.work.iter().enumerate() {
        let id = Name::from(format!("{}{i}", work.team));
        let job = Job {
            id: id.clone(),
            team: work.team.into(),
            kind: work.team.into(),
            class: work.class,
            size: size(work.cpu),
            work: 5000,
            tasks: work.tasks,
            attempts: 1,
            submitted: work.submitted,
            command: "".into(),
        };
        table.apply(&Op::Submit(job), 0);
        if work.accepted {
            table.apply(&Op::Accept(id.clone()), 0);
        }
        for t in 0..work.running {
            let task = Name::from(format!("{id}#{t}"));
            let backend = Name::from("a");
            table.apply(&Op::Assign { task: task.clone(), attempt: 1, backend }, 9000);
            table.apply(&Op::Started { task, attempt: 1 }, 9000);
        }
    }
    let mut servers = BTreeMap::new();
    for at in case.servers {
        let room = Size { cpu: 8, memory: 100, accel: 0 };
        let mut server = Server::open(at.id.into(), ([127, 0, 0, 1], 1).into(), room);
        server.listed = at.listed.then_some(1);
        server.until = at.until;
        server.says_leaving = at.leaving;
        server.shunned = if at.shunned { NOW.mono + 1 } else { 0 };
        servers.insert(at.id.into(), server);
    }
    let team = |name: &str, weight, cpu| {
        let quota = Size { cpu, memory: 1000, accel: 0 };
        Team { name: name.into(), weight, quota }
    };
    let document = Document {
        teams: vec![team("t", 1, 100), team("heavy", 3, 100), team("small", 1, 4)],
        ..Document::default()
    };
    plan(&View {
        table: &table,
        servers: &servers,
        document: &document,
        elsewhere: &BTreeMap::new(),
        learn: &Learn::default(),
        speeds: &BTreeMap::new(),
        policy: Policy::FULL,
        now: NOW,
    })
}

#[test]
fn tasks_start_in_their_order_where_they_may() {
    let base = Case { name: "", work: &[], servers: &[A], starts: &[], parked: 0, evicted: 0 };
    let cases = [
        Case { name: "room", work: &[WORK], starts: &["t0#0 on a"], ..base },
        Case {
            name: "a job that is not accepted waits",
            work: &[Work { accepted: false, ..WORK }],
            ..base
        },
        Case {
            name: "a server that has not been listed gets nothing",
            work: &[WORK],
            servers: &[At { listed: false, ..A }],
            ..base
        },
        Case {
            name: "nothing beyond the server's size",
            work: &[Work { tasks: 5, ..WORK }],
            starts: &["t0#0 on a", "t0#1 on a", "t0#2 on a", "t0#3 on a"],
            ..base
        },
        Case {
            name: "urgent first",
            work: &[
                Work { cpu: 8, ..WORK },
                Work { cpu: 8, class: Class::Urgent, submitted: 9, ..WORK },
            ],
            starts: &["t1#0 on a"],
            ..base
        },
        Case {
            name: "by weight",
            work: &[
                Work { tasks: 4, ..WORK },
                Work { team: "heavy", tasks: 4, submitted: 9, ..WORK },
            ],
            starts: &["heavy1#0 on a", "heavy1#1 on a", "t0#0 on a", "heavy1#2 on a"],
            ..base
        },
        Case {
            name: "a quota holds",
            work: &[Work { team: "small", tasks: 4, ..WORK }],
            starts: &["small0#0 on a", "small0#1 on a"],
            ..base
        },
        Case {
            name: "what fits nowhere is parked",
            work: &[Work { cpu: 9, ..WORK }],
            parked: 1,
            ..base
        },
        Case {
            name: "a long task does not delay the head that waits for the server",
            work: &[
                Work { tasks: 1, cpu: 6, running: 1, ..WORK },
                Work { cpu: 8, class: Class::Urgent, ..WORK },
                WORK,
            ],
            ..base
        },
        Case {
            name: "nothing that would run beyond the VM's return",
            work: &[WORK],
            servers: &[At { until: Some(60_000), ..A }],
            ..base
        },
        Case {
            name: "a server that is set aside gets nothing",
            work: &[WORK],
            servers: &[At { shunned: true, ..A }, B],
            starts: &["t0#0 on b"],
            ..base
        },
        Case {
            name: "tasks leave a server that leaves",
            work: &[Work { tasks: 2, running: 2, ..WORK }],
            servers: &[At { leaving: true, ..A }, B],
            evicted: 2,
            ..base
        },
        Case {
            name: "tasks leave a VM that goes back soon",
            work: &[Work { running: 1, ..WORK }],
            servers: &[At { until: Some(30_000), ..A }],
            evicted: 1,
            ..base
        },
    ];
    for case in cases {
        let plan = decide(&case);
        let starts: Vec<String> =
            plan.assigns.iter().map(|a| format!("{} on {}", a.task, a.backend)).collect();
        let (mut got, mut want) = (starts.clone(), case.starts.to_vec());
        got.sort_unstable();
        want.sort_unstable();
        assert_eq!(got, want, "{}", case.name);
        assert_eq!(plan.parks.len(), case.parked, "{}", case.name);
        assert_eq!(plan.evictions.len(), case.evicted, "{}", case.name);
    }
}

#[test]
fn interference_is_learned_from_noisy_measures() {
    let mut learn = Learn::default();
    let (noisy, quiet) = (Name::from("noisy"), Name::from("quiet"));
    for i in 0..200 {
        let wobble = 1.0 + f64::from(i % 5) * 0.02;
        learn.service(20.0 * wobble, std::slice::from_ref(&quiet));
        learn.service(32.0 * wobble, &[noisy.clone(), quiet.clone()]);
    }
    let (n, q) = (learn.excess("service", "noisy"), learn.excess("service", "quiet"));
    assert!(n > 0.4 && q < 0.2, "noisy {n:.2}, quiet {q:.2}");
}
