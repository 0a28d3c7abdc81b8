use std::collections::BTreeMap;

use base::{Millis, Name};

/// Time for which a leader decides by one piece of evidence that no other VM has claimed its
/// place. A successor waits as long before it relies on the end of the decisions.
pub const EVIDENCE_TTL: Millis = 2_000;

/// Whether a leader may decide: renew leases, start and stop runs. That takes evidence that no
/// other VM has claimed, which counts from when the request for it was sent. Times are on the
/// leader's clock.
#[derive(Debug, Default)]
pub(crate) struct LeaderLease {
    /// When the newest request was sent in whose answer the store confirmed this leader.
    pub(crate) store_at: Millis,
    /// When the newest heartbeat was sent to each other VM that it answered as a follower.
    words: BTreeMap<Name, Millis>,
}

impl LeaderLease {
    /// Records that the store has confirmed this leader, in answer to a request sent at `sent_at`.
    pub(crate) fn on_store(&mut self, sent_at: Millis) {
        self.store_at = self.store_at.max(sent_at);
    }

    /// Records that a VM follows this leader, in answer to a heartbeat sent at `sent_at`.
    pub(crate) fn on_word(&mut self, vm: &Name, sent_at: Millis) {
        let word = self.words.entry(vm.clone()).or_default();
        *word = sent_at.max(*word);
    }

    /// Drops all evidence.
    pub(crate) fn revoke(&mut self) {
        *self = LeaderLease::default();
    }

    /// Returns until when the leader may decide, if only the VMs in `claimants` can have claimed;
    /// 0 if there is no evidence.
    pub(crate) fn expires_at<'a>(&self, claimants: impl Iterator<Item = &'a Name>) -> Millis {
        let word = |vm| self.words.get(vm).copied().unwrap_or(0);
        // One VM that is silent may have claimed.
        let heard_at = claimants.map(word).min().unwrap_or(0);
        let evidence_at = self.store_at.max(heard_at);
        if evidence_at > 0 { evidence_at + EVIDENCE_TTL } else { 0 }
    }
}
