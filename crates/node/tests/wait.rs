//! The terms of a new leader's wait.

use elect::{EVIDENCE_TTL, WORDS_TTL};
use lead::Bounds;

/// Guards against a change of one term alone: a successor relies on the end of the decisions of the
/// leader before it, and a VM whose word that leader did not need waits longer.
#[test]
fn a_new_leader_waits_for_the_evidence_of_the_earlier_one() {
    assert_eq!(Bounds::default().isolation_limit, EVIDENCE_TTL);
    const { assert!(WORDS_TTL > EVIDENCE_TTL) };
}
