use std::collections::BTreeMap;

use base::{Millis, Name};

/// Time for which a leader decides by one piece of evidence that no other VM has claimed its
/// place. A successor waits as long before it relies on the end of the decisions.
pub const EVIDENCE_TTL: Millis = 2_000;
/// Age of the newest answer of the store from which the leader asks it again, and the interval at
/// which it does. Appends serve as such requests.
const STORE_QUERY_INTERVAL: Millis = 300;
/// Age of the newest answer of the store from which the leader hands over to a VM that the store
/// answers.
const MAX_STORE_SILENCE: Millis = 1_500;

/// Whether a leader may decide: renew leases, start and stop runs. That takes evidence that no
/// other VM has claimed, which counts from when the request for it was sent. Times are on the
/// leader's clock.
#[derive(Debug, Default)]
pub(crate) struct LeaderLease {
    /// When the newest request was sent in whose answer the store confirmed this leader.
    pub(crate) store_at: Millis,
    /// When the store was last asked.
    asked_at: Millis,
    /// When the leader began to collect evidence.
    opened_at: Millis,
    /// When the newest heartbeat was sent to each other VM that it answered as a follower.
    words: BTreeMap<Name, Millis>,
}

impl LeaderLease {
    pub(crate) fn open(now: Millis) -> LeaderLease {
        LeaderLease { opened_at: now, ..LeaderLease::default() }
    }

    /// Records that the store has confirmed this leader, in answer to a request sent at `sent_at`.
    pub(crate) fn on_store(&mut self, sent_at: Millis) {
        self.store_at = self.store_at.max(sent_at);
    }

    /// Records that a VM follows this leader, in answer to a heartbeat sent at `sent_at`.
    pub(crate) fn on_word(&mut self, vm: &Name, sent_at: Millis) {
        let word = self.words.entry(vm.clone()).or_default();
        *word = sent_at.max(*word);
    }

    /// Returns whether to ask the store now, and if so records the time.
    pub(crate) fn store_query_due(&mut self, now: Millis) -> bool {
        let due = now >= self.store_at.max(self.asked_at) + STORE_QUERY_INTERVAL;
        if due {
            self.asked_at = now;
        }
        due
    }

    /// Returns whether the store has not answered for so long that another VM should lead.
    pub(crate) fn is_store_silent(&self, now: Millis) -> bool {
        now >= self.store_at.max(self.opened_at) + MAX_STORE_SILENCE
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
