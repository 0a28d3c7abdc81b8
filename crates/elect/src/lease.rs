use base::Millis;

/// Time for which a leader decides by one piece of evidence.
pub const EVIDENCE_TTL: Millis = 2_000;

/// Whether a leader may decide: renew leases, start and stop runs. Times are on its clock.
#[derive(Debug, Default)]
pub(crate) struct LeaderLease {
    /// Newest evidence that no other VM has taken over; 0 if there is none.
    evidence_at: Millis,
}

impl LeaderLease {
    /// Records evidence of time `at`.
    pub(crate) fn confirm(&mut self, at: Millis) {
        self.evidence_at = self.evidence_at.max(at);
    }

    /// Drops all evidence.
    pub(crate) fn revoke(&mut self) {
        self.evidence_at = 0;
    }

    /// Returns until when the leader may decide; 0 if there is no evidence.
    pub(crate) fn expires_at(&self) -> Millis {
        if self.evidence_at > 0 { self.evidence_at + EVIDENCE_TTL } else { 0 }
    }
}
