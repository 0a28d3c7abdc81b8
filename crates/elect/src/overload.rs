use base::Millis;

/// Time within which a former leader stops lagging if its load was the cause. A VM whose
/// processor has become slow goes on lagging.
const RECOVERY_TIME: Millis = 3_000;
/// Time for which a VM reports that it could not bear the load.
const REPORT_TIME: Millis = 30_000;

/// Whether this VM has given up leadership because the load was too high for it, rather than
/// because its processor was slow.
#[derive(Debug, Default)]
pub(crate) struct Overload {
    /// When this VM gave up leadership while it lagged, until the cause is known.
    relieved_at: Option<Millis>,
    /// When the load was found to be the cause.
    found_at: Option<Millis>,
}

impl Overload {
    /// Records that this VM no longer leads.
    pub(crate) fn on_relief(&mut self, lags: bool, now: Millis) {
        self.relieved_at = lags.then_some(now);
    }

    /// Updates the state with whether this VM lags now.
    pub(crate) fn update(&mut self, lags: bool, now: Millis) {
        let Some(at) = self.relieved_at else { return };
        let in_time = now < at + RECOVERY_TIME;
        if in_time && !lags {
            self.found_at = Some(now);
        }
        if !in_time || !lags {
            self.relieved_at = None;
        }
    }

    /// Returns whether the load was too high for this VM a short time ago.
    pub(crate) fn is_recent(&self, now: Millis) -> bool {
        self.found_at.is_some_and(|at| now < at + REPORT_TIME)
    }
}
