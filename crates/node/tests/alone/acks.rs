//! Replies to submissions around changes of leadership.

use std::rc::Rc;

use async_std::task::{self, spawn_local};
use elect::Vm as EntryVm;
use job::State;
use port::{AppendError, Batch, Item, Reply, Verb};

use crate::vm::{Vm, submission};

const JOB: &str = "5c0e7a21d94b36f8";

/// Returns the record of a successor's claim.
fn claim(epoch: u64) -> Item {
    let addr = ([127, 0, 0, 1], 9).into();
    let vm =
        EntryVm { name: "f".into(), domain: "d".into(), addr, incarnation: 1, cpu_capacity: 1 };
    Item { key: lead::OWNER.into(), value: postcard::to_stdvec(&(epoch, vm)).unwrap() }
}

/// Guards against a caller being told that a durable job never runs, where leadership is lost
/// between the answer of the store and the reply.
#[test]
fn a_durable_job_is_acknowledged_though_leadership_is_lost() {
    task::block_on(async {
        let vm = Rc::new(Vm::spawn("").await);
        vm.logs.held.set(true);
        let caller = Rc::clone(&vm);
        let reply = spawn_local(async move { caller.answer(submission(), JOB).await });
        let (_, query) = vm.reads.recv().await.unwrap();
        loop {
            let (request, answer) = vm.appends.recv().await.unwrap();
            let end = vm.logs.append(&request);
            answer.send(Ok(end)).unwrap();
            if request.records.iter().any(|record| record.key.ends_with(JOB)) {
                break;
            }
        }
        // Both answers are handled before the caller's request goes on.
        let items = vec![claim(u64::MAX / 2)];
        query.send(Ok(Batch { items, next: 9, end: 9 })).unwrap();
        assert_eq!(reply.await, Reply::Accepted);
    });
}

/// Guards against a cancellation that is answered with "no such job" while the submission is on its
/// way to the store, after which the job runs.
#[test]
fn a_cancellation_waits_for_the_submission_of_its_job() {
    task::block_on(async {
        let vm = Rc::new(Vm::spawn("").await);
        vm.logs.held.set(true);
        let (submitter, canceller) = (Rc::clone(&vm), Rc::clone(&vm));
        let accepted = spawn_local(async move { submitter.answer(submission(), JOB).await });
        let (mut request, mut answer) = vm.appends.recv().await.unwrap();
        while !request.records.iter().any(|record| record.key.ends_with(JOB)) {
            answer.send(Ok(vm.logs.append(&request))).unwrap();
            (request, answer) = vm.appends.recv().await.unwrap();
        }
        let cancelled = spawn_local(async move { canceller.answer(Verb::Cancel, JOB).await });
        task::yield_now().await;
        vm.logs.held.set(false);
        answer.send(Ok(vm.logs.append(&request))).unwrap();
        assert_eq!(accepted.await, Reply::Accepted);
        assert_eq!(cancelled.await, Reply::Cancelled);
        assert_eq!(vm.answer(Verb::Show, JOB).await, Reply::State(State::Cancelled));
    });
}

/// Guards against a job that the store refuses to store: its append would be retried for good, and
/// nothing after it would become durable.
#[test]
fn a_job_too_large_for_the_store_stops_no_other() {
    task::block_on(async {
        let vm = Rc::new(Vm::spawn("").await);
        vm.logs.held.set(true);
        let store = Rc::clone(&vm);
        let _serving = spawn_local(async move {
            while let Ok((request, answer)) = store.appends.recv().await {
                let fits = request.records.iter().all(|record| record.value.len() <= 256 << 10);
                let refused = AppendError::Refused("status 413".into());
                let end = if fits { Ok(store.logs.append(&request)) } else { Err(refused) };
                let _ = answer.send(end);
            }
        });
        let mut large = submission();
        if let Verb::Submit(Ok(spec)) = &mut large {
            spec.steps[0].image = "x".repeat(300 << 10).into();
        }
        let reply = vm.answer(large, "0000000000000001").await;
        assert!(matches!(reply, Reply::Bad(_)), "{reply:?}");
        assert_eq!(vm.answer(submission(), JOB).await, Reply::Accepted);
    });
}

/// Guards against a log that takes nothing more: the leader took the rejection of a batch for an
/// outage, and sent the batch again for good.
#[test]
fn rejected_appends_hold_up_no_other_job() {
    const MAX_RECORD_BYTES: usize = 64 << 10;
    const MAX_CALL_BYTES: usize = 128 << 10;
    struct Case {
        name: &'static str,
        settings: &'static str,
        /// Sizes of the jobs.
        sizes: &'static [usize],
        /// Number of jobs that the store never takes.
        refused: usize,
        /// Whether the store rejects any append.
        rejects: bool,
    }
    let cases = [
        Case {
            name: "a batch beyond the limit",
            settings: "max-call-bytes = 131072",
            sizes: &[30 << 10; 12],
            refused: 0,
            rejects: false,
        },
        Case {
            name: "a batch beyond a limit that the settings do not name",
            settings: "",
            sizes: &[30 << 10; 12],
            refused: 0,
            rejects: true,
        },
        Case {
            name: "a record beyond the limit",
            settings: "",
            sizes: &[1 << 10, 100 << 10, 1 << 10],
            refused: 1,
            rejects: true,
        },
    ];
    for case in cases {
        task::block_on(async {
            let vm = Rc::new(Vm::spawn(case.settings).await);
            vm.logs.held.set(true);
            let callers: Vec<_> = (0..case.sizes.len())
                .map(|n| {
                    let (vm, mut job) = (Rc::clone(&vm), submission());
                    if let Verb::Submit(Ok(spec)) = &mut job {
                        spec.steps[0].image = "x".repeat(case.sizes[n]).into();
                    }
                    spawn_local(async move { vm.answer(job, &format!("{n:016x}")).await })
                })
                .collect();
            let store = Rc::clone(&vm);
            let rejections = Rc::new(std::cell::Cell::new(0));
            let count = Rc::clone(&rejections);
            let _serving = spawn_local(async move {
                while let Ok((request, answer)) = store.appends.recv().await {
                    let sizes: Vec<usize> =
                        request.records.iter().map(|record| record.encoded_len()).collect();
                    let fits = sizes.iter().all(|bytes| *bytes <= MAX_RECORD_BYTES)
                        && sizes.iter().sum::<usize>() <= MAX_CALL_BYTES;
                    count.set(count.get() + usize::from(!fits));
                    let rejected = AppendError::Rejected("status 413".into());
                    let end = if fits { Ok(store.logs.append(&request)) } else { Err(rejected) };
                    let _ = answer.send(end);
                }
            });
            let mut refused = 0;
            for caller in callers {
                match caller.await {
                    Reply::Accepted => {}
                    Reply::NotDone(_) => refused += 1,
                    other => panic!("{}: {other:?}", case.name),
                }
            }
            assert_eq!(refused, case.refused, "{}", case.name);
            assert_eq!(rejections.get() > 0, case.rejects, "{}", case.name);
            assert_eq!(vm.answer(Verb::Cancel, &format!("{:016x}", 0)).await, Reply::Cancelled);
        });
    }
}

/// Guards against a job that runs on after its cancellation was answered with "no such job": a leader
/// that has been succeeded without its knowledge does not know what its successor has accepted.
#[test]
fn an_unknown_job_is_denied_by_evidence_that_is_newer_than_its_cancellation() {
    for claimed in [false, true] {
        task::block_on(async {
            let vm = Rc::new(Vm::spawn("").await);
            vm.logs.held.set(true);
            let canceller = Rc::clone(&vm);
            let cancelled = spawn_local(async move { canceller.answer(Verb::Cancel, JOB).await });
            let store = Rc::clone(&vm);
            let _appending = spawn_local(async move {
                while let Ok((request, answer)) = store.appends.recv().await {
                    let _ = answer.send(Err(AppendError::Refused(format!("{request:?}"))));
                }
            });
            let store = Rc::clone(&vm);
            let _reading = spawn_local(async move {
                while let Ok((from, query)) = store.reads.recv().await {
                    let items = if claimed { vec![claim(u64::MAX / 2)] } else { Vec::new() };
                    let _ = query.send(Ok(Batch { items, next: from, end: from }));
                }
            });
            let reply = cancelled.await;
            assert_eq!(reply == Reply::NoJob, !claimed, "claimed: {claimed}, {reply:?}");
        });
    }
}
