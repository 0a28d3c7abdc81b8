use base::Millis;

/// The lease as its holder, the primary, counts it on its own clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Held {
    /// End of the lease.
    pub until: Millis,
    /// Before this moment the backup may take over without the log once the
    /// primary is proven dead, so the primary must not replace it.
    pub bound: Millis,
    /// Stamp of the newest grant received, on the backup's clock.
    pub echo: Millis,
    /// Length of that grant.
    pub echo_ttl: Millis,
}

impl Held {
    /// Notes that a renewal for `ttl` is sent: a longer lease held so far is
    /// given up, which lets the backup shorten its own count.
    pub fn send(&mut self, now: Millis, ttl: Millis) {
        self.until = self.until.min(now + ttl);
    }

    /// Notes a grant of `ttl` that answers a renewal sent at `sent`.
    pub fn grant(&mut self, now: Millis, sent: Millis, stamp: Millis, ttl: Millis, skew: Millis) {
        self.until = self.until.max(sent + ttl);
        self.bound = now + ttl + skew;
        self.echo = stamp;
        self.echo_ttl = ttl;
    }

    /// Whether the lease is held.
    pub fn valid(&self, now: Millis) -> bool {
        now < self.until
    }
}

/// The lease as its giver, the backup, counts it on its own clock.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Given {
    /// Until this moment the primary may hold the lease.
    pub until: Millis,
    /// Until this moment the primary cannot have replaced this backup.
    pub solo: Millis,
}

impl Given {
    /// Grants a renewal that asked for `asked` and gives `ttl`, at `now`.
    /// `echo` and `echo_ttl` are the newest grant that the primary had
    /// received when it sent the renewal.
    pub fn grant(
        &mut self,
        now: Millis,
        asked: Millis,
        ttl: Millis,
        (echo, echo_ttl): (Millis, Millis),
        skew: Millis,
    ) {
        let until = now + ttl + skew;
        self.until = if asked <= ttl { until } else { self.until.max(until) };
        self.solo = (echo + echo_ttl).saturating_sub(skew);
    }

    /// Whether the primary's lease has run out.
    pub fn expired(&self, now: Millis) -> bool {
        now > self.until
    }
}
