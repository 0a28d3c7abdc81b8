use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name};

/// Time for which a leader decides by one piece of evidence that no other VM has claimed its
/// place. A successor waits as long before it relies on the end of the decisions.
pub const EVIDENCE_TTL: Millis = 2_000;
/// Time since the newest answer of the store for which words of other VMs are enough. A VM that is
/// not a member waits as long as a successor, since its word is not needed.
pub const WORDS_TTL: Millis = 12_000;
/// Silence of a VM after which it is no longer a member.
pub(crate) const MEMBER_SILENCE: Millis = 5_000;
/// Age of the newest answer of the store from which the leader asks it again, and the interval at
/// which it does. Appends serve as such requests.
const STORE_QUERY_INTERVAL: Millis = 300;
/// Age of the newest answer of the store from which the leader asks the members for their words,
/// and the interval at which it does.
const WORD_QUERY_AFTER: Millis = 700;
const WORD_QUERY_INTERVAL: Millis = 300;
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
    /// When the members were last asked for their words.
    words_asked_at: Millis,
    /// When the leader began to collect evidence.
    opened_at: Millis,
    /// When the newest heartbeat was sent to each other VM that it answered as a follower.
    words: BTreeMap<Name, Millis>,
    /// When the newest heartbeat was sent that all other members have answered; 0 if there is none.
    heard_at: Millis,
    /// VMs whose word is needed, as the store has them; `None` while it has no such record.
    members: Option<BTreeSet<Name>>,
    /// Members of a record that the store may have as well.
    proposed: Option<BTreeSet<Name>>,
}

impl LeaderLease {
    pub(crate) fn open(members: Option<BTreeSet<Name>>, now: Millis) -> LeaderLease {
        LeaderLease { opened_at: now, members, ..LeaderLease::default() }
    }

    /// Records that the store has confirmed this leader, in answer to a request sent at `sent_at`.
    pub(crate) fn on_store(&mut self, sent_at: Millis) {
        self.store_at = self.store_at.max(sent_at);
    }

    /// Records that a VM follows this leader `me`, in answer to a heartbeat sent at `sent_at`.
    pub(crate) fn on_word(&mut self, vm: &Name, sent_at: Millis, me: &Name) {
        let word = self.words.entry(vm.clone()).or_default();
        *word = sent_at.max(*word);
        self.update_heard(me);
    }

    fn update_heard(&mut self, me: &Name) {
        let word = |vm| self.words.get(vm).copied().unwrap_or(0);
        let members = self.members.iter().chain(&self.proposed).flatten();
        let others = members.filter(|vm| *vm != me);
        // One member that is silent may have claimed. Without others, nobody can have.
        let newest = others.map(word).min().unwrap_or(Millis::MAX);
        self.heard_at = if self.members.is_some() { newest } else { 0 };
    }

    /// Returns the members of the newest record that was sent to the store.
    pub(crate) fn members(&self) -> Option<&BTreeSet<Name>> {
        self.proposed.as_ref().or(self.members.as_ref())
    }

    /// Records that a record of the members may reach the store from now on.
    pub(crate) fn propose(&mut self, members: BTreeSet<Name>, me: &Name) {
        self.proposed = Some(members);
        self.update_heard(me);
    }

    /// Records that the store has the members that were proposed.
    pub(crate) fn on_stored(&mut self, me: &Name) {
        self.members = self.proposed.take().or(self.members.take());
        self.update_heard(me);
    }

    /// Drops all evidence.
    pub(crate) fn revoke(&mut self, now: Millis) {
        let (members, proposed) = (self.members.take(), self.proposed.take());
        *self = LeaderLease { proposed, ..LeaderLease::open(members, now) };
    }

    /// Returns whether to ask the store now, and if so records the time.
    pub(crate) fn store_query_due(&mut self, now: Millis) -> bool {
        let due = now >= self.store_at.max(self.asked_at) + STORE_QUERY_INTERVAL;
        if due {
            self.asked_at = now;
        }
        due
    }

    /// Returns whether to ask the members for their words now, and if so records the time.
    pub(crate) fn word_query_due(&mut self, now: Millis) -> bool {
        let silent = now >= self.store_at.max(self.opened_at) + WORD_QUERY_AFTER;
        let due = silent && now >= self.words_asked_at + WORD_QUERY_INTERVAL;
        if due {
            self.words_asked_at = now;
        }
        due
    }

    /// Returns whether the store has not answered for so long that another VM should lead.
    pub(crate) fn is_store_silent(&self, now: Millis) -> bool {
        now >= self.store_at.max(self.opened_at) + MAX_STORE_SILENCE
    }

    /// Returns until when the leader may decide; 0 if there is no evidence.
    pub(crate) fn expires_at(&self) -> Millis {
        if self.store_at == 0 {
            return 0;
        }
        let by_words = self.heard_at.saturating_add(EVIDENCE_TTL).min(self.store_at + WORDS_TTL);
        by_words.max(self.store_at + EVIDENCE_TTL)
    }
}
