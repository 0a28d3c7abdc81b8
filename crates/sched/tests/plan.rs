//! Table-driven tests of scheduling decisions, and a test of the interference
//! estimates.

use std::collections::BTreeMap;

use base::{Name, Now, Size};
use cell::{Job, Op, Server, Table};
use conf::{Class, Document, Team};
use sched::{Estimates, Plan, Policy, View, plan};

const NOW: Now = Now { mono: 10_000, unix: 10_000 };

/// Description of a job; its kind has the name of its team.
#[derive(Clone, Copy)]
struct JobSpec {
    team: &'static str,
    tasks: u32,
    cpu: u64,
    class: Class,
    submitted: u64,
    /// Number of its tasks that already run on server `a`.
    running: u32,
    accepted: bool,
}

const JOB: JobSpec = JobSpec {
    team: "t",
    tasks: 1,
    cpu: 2,
    class: Class::Normal,
    submitted: 0,
    running: 0,
    accepted: true,
};

/// Description of a server with a CPU size of 8.
#[derive(Clone, Copy)]
struct ServerSpec {
    id: &'static str,
    until: Option<u64>,
    leaving: bool,
    quarantined: bool,
    listed: bool,
}

const A: ServerSpec =
    ServerSpec { id: "a", until: None, leaving: false, quarantined: false, listed: true };
const B: ServerSpec = ServerSpec { id: "b", ..A };

struct Case {
    name: &'static str,
    jobs: &'static [JobSpec],
    servers: &'static [ServerSpec],
    /// Expected starts in any order, `JOB#TASK on SERVER`.
    starts: &'static [&'static str],
    parked: usize,
    evicted: usize,
}

fn size(cpu: u64) -> Size {
    Size { cpu, memory: 1, accel: 0 }
}

fn decide(case: &Case) -> Plan {
    let mut table = Table::default();
    for (i, spec) in case.jobs.iter().enumerate() {
        let id = Name::from(format!("{}{i}", spec.team));
        let job = Job {
            id: id.clone(),
            team: spec.team.into(),
            kind: spec.team.into(),
            class: spec.class,
            size: size(spec.cpu),
            work: 5000,
            tasks: spec.tasks,
            attempts: 1,
            submitted: spec.submitted,
            command: "".into(),
        };
        table.apply(&Op::Submit(job), 0);
        if spec.accepted {
            table.apply(&Op::Accept(id.clone()), 0);
        }
        for t in 0..spec.running {
            let task = Name::from(format!("{id}#{t}"));
            let backend = Name::from("a");
            table.apply(&Op::Assign { task: task.clone(), attempt: 1, backend }, 9000);
            table.apply(&Op::Started { task, attempt: 1 }, 9000);
        }
    }
    let mut servers = BTreeMap::new();
    for spec in case.servers {
        let capacity = Size { cpu: 8, memory: 100, accel: 0 };
        let mut server = Server::open(spec.id.into(), ([127, 0, 0, 1], 1).into(), capacity);
        server.listed = spec.listed.then_some(1);
        server.until = spec.until;
        server.says_leaving = spec.leaving;
        server.shunned = if spec.quarantined { NOW.mono + 1 } else { 0 };
        servers.insert(spec.id.into(), server);
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
        remote_usage: &BTreeMap::new(),
        estimates: &Estimates::default(),
        speeds: &BTreeMap::new(),
        policy: Policy::FULL,
        now: NOW,
    })
}

#[test]
fn tasks_start_by_priority_share_and_capacity() {
    let base = Case { name: "", jobs: &[], servers: &[A], starts: &[], parked: 0, evicted: 0 };
    let cases = [
        Case { name: "free capacity", jobs: &[JOB], starts: &["t0#0 on a"], ..base },
        Case {
            name: "a job that is not accepted waits",
            jobs: &[JobSpec { accepted: false, ..JOB }],
            ..base
        },
        Case {
            name: "a server that has not been listed gets nothing",
            jobs: &[JOB],
            servers: &[ServerSpec { listed: false, ..A }],
            ..base
        },
        Case {
            name: "nothing beyond the server's size",
            jobs: &[JobSpec { tasks: 5, ..JOB }],
            starts: &["t0#0 on a", "t0#1 on a", "t0#2 on a", "t0#3 on a"],
            ..base
        },
        Case {
            name: "urgent first",
            jobs: &[
                JobSpec { cpu: 8, ..JOB },
                JobSpec { cpu: 8, class: Class::Urgent, submitted: 9, ..JOB },
            ],
            starts: &["t1#0 on a"],
            ..base
        },
        Case {
            name: "by weight",
            jobs: &[
                JobSpec { tasks: 4, ..JOB },
                JobSpec { team: "heavy", tasks: 4, submitted: 9, ..JOB },
            ],
            starts: &["heavy1#0 on a", "heavy1#1 on a", "t0#0 on a", "heavy1#2 on a"],
            ..base
        },
        Case {
            name: "a quota holds",
            jobs: &[JobSpec { team: "small", tasks: 4, ..JOB }],
            starts: &["small0#0 on a", "small0#1 on a"],
            ..base
        },
        Case {
            name: "what fits nowhere is parked",
            jobs: &[JobSpec { cpu: 9, ..JOB }],
            parked: 1,
            ..base
        },
        Case {
            name: "a long task does not delay the first task that waits for the server",
            jobs: &[
                JobSpec { tasks: 1, cpu: 6, running: 1, ..JOB },
                JobSpec { cpu: 8, class: Class::Urgent, ..JOB },
                JOB,
            ],
            ..base
        },
        Case {
            name: "a task that would outlast the VM does not start there",
            jobs: &[JOB],
            servers: &[ServerSpec { until: Some(60_000), ..A }],
            ..base
        },
        Case {
            name: "a quarantined server gets nothing",
            jobs: &[JOB],
            servers: &[ServerSpec { quarantined: true, ..A }, B],
            starts: &["t0#0 on b"],
            ..base
        },
        Case {
            name: "tasks are evicted from a leaving server",
            jobs: &[JobSpec { tasks: 2, running: 2, ..JOB }],
            servers: &[ServerSpec { leaving: true, ..A }, B],
            evicted: 2,
            ..base
        },
        Case {
            name: "tasks are evicted from a VM that is returned soon",
            jobs: &[JobSpec { running: 1, ..JOB }],
            servers: &[ServerSpec { until: Some(30_000), ..A }],
            evicted: 1,
            ..base
        },
    ];
    for case in cases {
        let plan = decide(&case);
        let starts: Vec<String> =
            plan.assignments.iter().map(|a| format!("{} on {}", a.task, a.backend)).collect();
        let (mut got, mut want) = (starts.clone(), case.starts.to_vec());
        got.sort_unstable();
        want.sort_unstable();
        assert_eq!(got, want, "{}", case.name);
        assert_eq!(plan.parked.len(), case.parked, "{}", case.name);
        assert_eq!(plan.evictions.len(), case.evicted, "{}", case.name);
    }
}

#[test]
fn interference_is_learned_from_noisy_measurements() {
    let mut estimates = Estimates::default();
    let (noisy, quiet) = (Name::from("noisy"), Name::from("quiet"));
    for i in 0..200 {
        let jitter = 1.0 + f64::from(i % 5) * 0.02;
        estimates.record_service_time(20.0 * jitter, std::slice::from_ref(&quiet));
        estimates.record_service_time(32.0 * jitter, &[noisy.clone(), quiet.clone()]);
    }
    let (n, q) = (estimates.excess("service", "noisy"), estimates.excess("service", "quiet"));
    assert!(n > 0.4 && q < 0.2, "noisy {n:.2}, quiet {q:.2}");
}
