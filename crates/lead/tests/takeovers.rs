//! Leaders that another one succeeds while they act.

#[allow(dead_code)]
mod fleet;

use base::Size;
use fleet::{Fleet, Sent};
use job::{Spec, Step};

/// Returns a new leader of two workers, the first of which it doesn't reach, and the start of the
/// only task there by the earlier leader.
fn taken_over() -> (Fleet, Sent) {
    let mut fleet = Fleet::open(2);
    let size = Size { cpu: 1_000, memory: 100, accel: 0 };
    let step = Step { count: 1, size, estimate: 1_000, ..Step::default() };
    fleet.accept("a", Spec { text: "t".into(), steps: vec![step], repeat: None });
    let sent = fleet.starts().remove(0);
    fleet.reply_start(&sent, Ok(1));
    fleet.take_over();
    fleet.restart("w0", 1);
    fleet.restart("w1", 1);
    (fleet, sent)
}

/// Guards against two runs of a task: a leader that had been succeeded took the leases of the
/// leaders before it as expired by time, while its successor renewed them.
#[test]
fn a_leader_settles_only_by_evidence_from_after_the_end_of_earlier_leases() {
    let (mut fleet, sent) = taken_over();
    let other = if &*sent.0 == "w0" { "w1" } else { "w0" };
    let opened_at = fleet.now();
    let wait = |fleet: &mut Fleet, period: u64| {
        let end = fleet.now() + period;
        while fleet.now() < end {
            fleet.advance(100);
            fleet.list(other, &[], &[]);
            fleet.fail_poll(&sent.0);
            fleet.store();
            if !fleet.starts().is_empty() {
                return true;
            }
        }
        false
    };
    fleet.unclaimed_at = Some(opened_at + 6_500);
    assert!(!wait(&mut fleet, 8_000), "another leader may have renewed the leases");
    fleet.unclaimed_at = Some(opened_at + 7_500);
    assert!(wait(&mut fleet, 200), "no other leader had taken over when the leases expired");
}
