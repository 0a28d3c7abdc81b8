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
