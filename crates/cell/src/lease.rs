use base::Millis;

/// The primary's view of its lease, on the primary's clock, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Held {
    /// Lease expiry.
    pub until: Millis,
    /// Until this time the backup may take over without the log once the primary
    /// is proven dead, so the primary must not replace the backup.
    pub replace_after: Millis,
    /// Stamp of the newest grant received, on the backup's clock.
    pub echo: Millis,
    /// Lease duration of that grant.
    pub echo_ttl: Millis,
}

impl Held {
    /// Records that a renewal for `ttl` is being sent. A lease that lasts longer
    /// is shortened to `ttl`, so that the backup may shorten it too.
    pub fn send(&mut self, now: Millis, ttl: Millis) {
        self.until = self.until.min(now + ttl);
    }

    /// Records a grant of `ttl` for a renewal sent at `sent`. The lease counts
    /// from the time of sending, which is before the backup's grant.
    pub fn grant(&mut self, now: Millis, sent: Millis, stamp: Millis, ttl: Millis, skew: Millis) {
        self.until = self.until.max(sent + ttl);
        self.replace_after = now + ttl + skew;
        self.echo = stamp;
        self.echo_ttl = ttl;
    }

    /// Returns whether the lease is held at `now`.
    pub fn valid(&self, now: Millis) -> bool {
        now < self.until
    }
}

/// The backup's view of the lease that it granted, on the backup's clock, in
/// milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Given {
    /// Latest time at which the primary may still hold the lease.
    pub until: Millis,
    /// Until this time the primary cannot have replaced this backup.
    pub takeover_until: Millis,
}

impl Given {
    /// Grants `ttl` at `now` for a renewal that requested `requested`. `echo` and
    /// `echo_ttl` describe the newest grant that the primary had received when
    /// it sent the renewal.
    pub fn grant(
        &mut self,
        now: Millis,
        requested: Millis,
        ttl: Millis,
        (echo, echo_ttl): (Millis, Millis),
        skew: Millis,
    ) {
        let until = now + ttl + skew;
        self.until = if requested <= ttl { until } else { self.until.max(until) };
        self.takeover_until = (echo + echo_ttl).saturating_sub(skew);
    }

    /// Returns whether the primary's lease has expired.
    pub fn expired(&self, now: Millis) -> bool {
        now > self.until
    }
}
